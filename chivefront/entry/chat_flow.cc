// Requests for models: parsing, choice of the version, session pin, admission.
#include "chivefront/entry/chat_flow.h"

#include "chivefront/base/ids.h"

namespace chivefront::entry {
namespace detail {

// Usual estimate for European languages. The actual count is charged when the
// request ends.
constexpr uint64_t kBytesPerToken = 4;
// Assumed length of an answer without max_tokens. Only the cost estimate of the
// plan uses it.
constexpr uint32_t kDefaultAnswerTokens = 256;

net::Task<void>
ChatFlow::RefuseWith(const CallerError& aError)
{
  return Refuse(m_components.m_entry,
                m_caller.m_requestId,
                m_caller.m_team,
                aError,
                m_exchange);
}

uint64_t
ChatFlow::ExpectedTokens(const catalog::Catalog& aCatalog) const
{
  const catalog::Version* version = aCatalog.FindVersion(m_spec.m_version);
  uint64_t answer = version == nullptr ? 0 : version->m_maxAnswerTokens;
  if (m_chat.m_maxTokens != 0) {
    answer = std::min<uint64_t>(answer, m_chat.m_maxTokens);
  }
  return m_spec.m_body.size() / kBytesPerToken + answer;
}

policy::CascadePlan
ChatFlow::PlanCascade(const catalog::Catalog& aCatalog, uint64_t aHash)
{
  const catalog::Team* team = aCatalog.FindTeam(m_caller.m_team);
  policy::CascadeRequest request;
  request.m_task = m_caller.m_headers.m_task;
  const auto target = team->m_tasks.find(request.m_task);
  request.m_target =
    target == team->m_tasks.end() ? team->m_defaultTarget : target->second;
  // A session keeps the version of its first answer and so can't escalate,
  // like a streamed answer.
  request.m_stream = m_chat.m_stream || !m_caller.m_headers.m_session.empty();
  request.m_promptTokens =
    static_cast<uint32_t>(m_exchange.Request().m_body.size() / kBytesPerToken);
  request.m_answerTokens =
    m_chat.m_maxTokens == 0 ? kDefaultAnswerTokens : m_chat.m_maxTokens;
  return m_components.m_cascadePlanner.Plan(
    aCatalog, m_caller.m_team, std::move(request), aHash);
}

net::Task<absl::Status>
ChatFlow::ResolveSession(const catalog::Catalog& aCatalog)
{
  const std::string& session = m_caller.m_headers.m_session;
  const bool automatic = m_chat.m_model == kAutoModel;
  std::string proposed;
  if (!m_components.m_sessions.CachedVersion(m_caller.m_team, session)) {
    const uint64_t hash = base::StableHash(m_caller.m_team + "/" + session);
    if (automatic) {
      const policy::CascadePlan plan = PlanCascade(aCatalog, hash);
      proposed = plan.m_versions.empty() ? "" : plan.m_versions.front();
    } else {
      const auto chosen =
        ProposeVersion(aCatalog, m_caller.m_team, m_chat.m_model, hash);
      if (!chosen.ok()) {
        co_return chosen.status();
      }
      proposed = *chosen;
    }
    if (proposed.empty()) {
      co_return base::MakeError(base::ErrorKind::UnknownModel,
                                "the team has no model");
    }
  }
  const base::TimePoint until =
    std::min(m_caller.m_deadline,
             m_components.m_entry.m_clock.Now() +
               m_components.m_entry.m_limits.m_ledgerTimeout);
  const auto pinned = co_await m_components.m_sessions.Pin(
    m_caller.m_team, session, proposed, until);
  if (!pinned.ok()) {
    co_return pinned.status();
  }
  m_plan.m_versions = { *pinned };
  const std::string model = automatic ? std::string() : m_chat.m_model;
  co_return CheckPinned(aCatalog, m_caller.m_team, *pinned, model);
}

absl::Status
ChatFlow::ResolveWithoutSession(const catalog::Catalog& aCatalog)
{
  const uint64_t hash = base::StableHash(m_caller.m_requestId);
  if (m_chat.m_model == kAutoModel) {
    m_plan = PlanCascade(aCatalog, hash);
    return m_plan.m_versions.empty()
             ? base::MakeError(base::ErrorKind::UnknownModel,
                               "the team has no model that it may use now")
             : absl::OkStatus();
  }
  const auto chosen =
    ProposeVersion(aCatalog, m_caller.m_team, m_chat.m_model, hash);
  if (!chosen.ok()) {
    return chosen.status();
  }
  m_plan.m_versions = { *chosen };
  return absl::OkStatus();
}

absl::Status
ChatFlow::FillSpec(const catalog::Catalog& aCatalog, size_t aIndex)
{
  m_spec.m_version = m_plan.m_versions[aIndex];
  m_spec.m_run = static_cast<uint32_t>(aIndex);
  const catalog::Version* version = aCatalog.FindVersion(m_spec.m_version);
  if (version == nullptr) {
    return base::MakeError(base::ErrorKind::UnknownModel,
                           "no version '" + m_spec.m_version + "'");
  }
  m_spec.m_requestId = m_caller.m_requestId;
  m_spec.m_team = m_caller.m_team;
  m_spec.m_class = m_caller.m_class;
  m_spec.m_session = m_caller.m_headers.m_session;
  m_spec.m_model = version->m_model;
  m_spec.m_deadline = m_caller.m_deadline;
  m_spec.m_method = "POST";
  m_spec.m_target = "/v1/chat/completions";
  m_spec.m_contentType = "application/json";
  m_spec.m_stream = m_chat.m_stream;
  m_spec.m_body = EngineBody(
    m_chat, m_spec.m_version, version->m_maxAnswerTokens, m_chat.m_stream);
  return absl::OkStatus();
}

net::Task<absl::Status>
ChatFlow::Resolve()
{
  auto chat = ParseChat(m_exchange.Request());
  if (!chat.ok()) {
    co_return chat.status();
  }
  m_chat = std::move(*chat);
  const auto view = m_components.m_entry.m_watcher.FreshView();
  if (!view.ok()) {
    co_return view.status();
  }
  const catalog::Catalog& catalog = *(*view)->m_catalog;
  if (catalog.FindTeam(m_caller.m_team) == nullptr) {
    co_return base::MakeError(base::ErrorKind::UnknownTeam, "the team is gone");
  }
  m_spec.m_fingerprint = Fingerprint(
    m_caller.m_team, m_exchange.Request().Path(), m_exchange.Request().m_body);
  if (m_caller.m_headers.m_session.empty()) {
    if (const absl::Status chosen = ResolveWithoutSession(catalog);
        !chosen.ok()) {
      co_return chosen;
    }
  } else {
    const absl::Status pinned = co_await ResolveSession(catalog);
    if (!pinned.ok()) {
      co_return pinned;
    }
  }
  co_return FillSpec(catalog, 0);
}

net::Task<void>
ChatFlow::Serve()
{
  const absl::Status resolved = co_await Resolve();
  if (!resolved.ok()) {
    const CallerError error = CallerError::BeforeDispatch(resolved);
    co_await RefuseWith(error);
    co_return;
  }
  m_components.m_entry.m_events.Record(
    "routed",
    { { "team", m_caller.m_team },
      { "model", m_spec.m_model },
      { "version", m_spec.m_version },
      { "plan", std::to_string(m_plan.m_versions.size()) },
      { "session", m_spec.m_session } },
    m_caller.m_requestId);
  const auto view = m_components.m_entry.m_watcher.LastView();
  const catalog::Team* team = view->m_catalog->FindTeam(m_caller.m_team);
  if (team == nullptr) {
    const CallerError error(base::ErrorKind::UnknownTeam, "the team is gone");
    co_await RefuseWith(error);
    co_return;
  }
  base::Millis retryAfter;
  auto guard = m_components.m_teamLimits.Admit(
    *team, ExpectedTokens(*view->m_catalog), retryAfter);
  if (!guard.ok()) {
    CallerError error(guard.status());
    error.m_retryAfter = retryAfter;
    co_await RefuseWith(error);
    co_return;
  }
  if (m_chat.m_stream) {
    co_await ServeStream();
  } else {
    co_await ServeWhole();
  }
  guard->AddUsedTokens(m_usedTokens);
}

} // namespace detail

net::Task<void>
ServeChat(FlowComponents& aComponents,
          Caller aCaller,
          net::HttpExchange& aExchange)
{
  detail::ChatFlow flow(aComponents, std::move(aCaller), aExchange);
  co_await flow.Serve();
}

} // namespace chivefront::entry
