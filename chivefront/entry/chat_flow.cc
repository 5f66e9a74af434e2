// Requests for models.
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "chivefront/base/ids.h"
#include "chivefront/entry/flows.h"

namespace chivefront::entry {
namespace detail {

// One request under way.
class ChatFlow
{
public:
  ChatFlow(FlowParts& aParts, Caller aCaller, net::HttpExchange& aExchange)
    : m_parts(aParts)
    , m_caller(std::move(aCaller))
    , m_exchange(aExchange)
  {
  }

  net::Task<void> Serve();

private:
  net::Task<absl::Status> Resolve();
  net::Task<absl::Status> ResolveSession(const catalog::Catalog& aCatalog,
                                         std::string aModel);
  absl::Status FillSpec(const catalog::Catalog& aCatalog);
  net::Task<void> ServeAdmitted();
  net::Task<void> ServeStream();
  net::Task<void> ServeWhole();
  net::Task<absl::Status> Bill(const RunResult& aResult);
  void NoteEvidence(const RunResult& aResult);
  net::HttpHeaders Headers() const;
  std::string Trailer() const;
  uint64_t ExpectedTokens() const;
  net::Task<void> RefuseWith(const CallerError& aError);

  FlowParts& m_parts;
  const Caller m_caller;
  net::HttpExchange& m_exchange;
  ChatRequest m_chat;
  RunSpec m_spec;
  uint32_t m_runs = 1;
  uint64_t m_costMicros = 0;
  uint64_t m_tokens = 0; // of all runs
};

// The best model of the team by rank, for requests that leave the choice to
// the router. Empty when the team has no model.
std::string
HighestRanked(const catalog::Catalog& aCatalog, const std::string& aTeam)
{
  const catalog::Team* team = aCatalog.FindTeam(aTeam);
  const catalog::Model* best = nullptr;
  for (const std::string& id : team->m_models) {
    const catalog::Model* model = aCatalog.FindModel(id);
    if (model != nullptr && (best == nullptr || model->m_rank > best->m_rank)) {
      best = model;
    }
  }
  return best == nullptr ? std::string() : best->m_id;
}

net::Task<void>
ChatFlow::RefuseWith(const CallerError& aError)
{
  return Refuse(
    m_parts.m_entry, m_caller.m_requestId, m_caller.m_team, aError, m_exchange);
}

// What the request uses at most, prompt included. Four bytes a token is the
// usual estimate for European languages; the true count is charged at the end.
uint64_t
ChatFlow::ExpectedTokens() const
{
  constexpr uint64_t kBytesPerToken = 4;
  const auto view = m_parts.m_entry.m_watcher.LastView();
  const catalog::Version* version =
    view->m_catalog->FindVersion(m_spec.m_version);
  uint64_t answer = version == nullptr ? 0 : version->m_maxAnswerTokens;
  if (m_chat.m_maxTokens != 0) {
    answer = std::min<uint64_t>(answer, m_chat.m_maxTokens);
  }
  return m_spec.m_body.size() / kBytesPerToken + answer;
}

net::Task<absl::Status>
ChatFlow::ResolveSession(const catalog::Catalog& aCatalog, std::string aModel)
{
  const std::string& session = m_caller.m_headers.m_session;
  const std::string place = m_caller.m_team + "/" + session;
  std::string proposed;
  if (!m_parts.m_sessions.Cached(m_caller.m_team, session)) {
    const std::string model =
      aModel == kAutoModel ? HighestRanked(aCatalog, m_caller.m_team) : aModel;
    const auto chosen =
      ProposeVersion(aCatalog, m_caller.m_team, model, base::StableHash(place));
    if (!chosen.ok()) {
      co_return chosen.status();
    }
    proposed = *chosen;
  }
  const base::TimePoint until =
    std::min(m_caller.m_deadline,
             m_parts.m_entry.m_clock.Now() + m_parts.m_entry.m_limits.m_ledger);
  const auto pinned =
    co_await m_parts.m_sessions.Pin(m_caller.m_team, session, proposed, until);
  if (!pinned.ok()) {
    co_return pinned.status();
  }
  m_spec.m_version = *pinned;
  const std::string wanted =
    aModel == kAutoModel ? std::string() : std::move(aModel);
  co_return CheckPinned(aCatalog, m_caller.m_team, *pinned, wanted);
}

absl::Status
ChatFlow::FillSpec(const catalog::Catalog& aCatalog)
{
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

// Finds the version of the request and commits the pin of its session.
net::Task<absl::Status>
ChatFlow::Resolve()
{
  auto chat = ParseChat(m_exchange.Request());
  if (!chat.ok()) {
    co_return chat.status();
  }
  m_chat = std::move(*chat);
  const auto view = m_parts.m_entry.m_watcher.FreshView();
  if (!view.ok()) {
    co_return view.status();
  }
  const catalog::Catalog& catalog = *(*view)->m_catalog;
  m_spec.m_fingerprint = Fingerprint(
    m_caller.m_team, m_exchange.Request().Path(), m_exchange.Request().m_body);
  std::string model = m_chat.m_model;
  if (!m_caller.m_headers.m_session.empty()) {
    const absl::Status pinned = co_await ResolveSession(catalog, model);
    if (!pinned.ok()) {
      co_return pinned;
    }
  } else {
    if (model == kAutoModel) {
      model = HighestRanked(catalog, m_caller.m_team);
    }
    const auto chosen = ProposeVersion(
      catalog, m_caller.m_team, model, base::StableHash(m_caller.m_requestId));
    if (!chosen.ok()) {
      co_return chosen.status();
    }
    m_spec.m_version = *chosen;
  }
  co_return FillSpec(catalog);
}

void
ChatFlow::NoteEvidence(const RunResult& aResult)
{
  if (!aResult.m_dispatched) {
    return;
  }
  m_parts.m_evidence.Exposed(m_spec.m_version);
  if (aResult.m_done) {
    m_parts.m_evidence.Answered(m_spec.m_version, aResult.m_elapsed);
  } else if (aResult.m_error.m_outcome == base::Outcome::Unknown &&
             !aResult.m_readerGone) {
    m_parts.m_evidence.Failed(m_spec.m_version,
                              aResult.m_error.m_kind ==
                                base::ErrorKind::UpstreamLost);
  }
}

// Makes the bill durable and lets the agent forget the run.
net::Task<absl::Status>
ChatFlow::Bill(const RunResult& aResult)
{
  const auto view = m_parts.m_entry.m_watcher.LastView();
  std::vector<wire::BillLineT> lines{ MakeLine(
    *view->m_catalog, m_spec, aResult) };
  m_tokens += aResult.m_promptTokens + aResult.m_answerTokens;
  m_costMicros += lines.front().cost_micros;
  const absl::Status billed = co_await m_parts.m_billing.Post(std::move(lines));
  if (billed.ok()) {
    m_parts.m_runner.Settle(m_spec, aResult);
  }
  co_return billed;
}

net::HttpHeaders
ChatFlow::Headers() const
{
  return { { "X-Chivefront-Request", m_caller.m_requestId },
           { "X-Chivefront-Model", m_spec.m_model },
           { "X-Chivefront-Version", m_spec.m_version },
           { "X-Chivefront-Runs", std::to_string(m_runs) } };
}

std::string
ChatFlow::Trailer() const
{
  boost::json::object facts;
  facts["request_id"] = m_caller.m_requestId;
  facts["model"] = m_spec.m_model;
  facts["version"] = m_spec.m_version;
  facts["runs"] = m_runs;
  facts["cost_micros"] = m_costMicros;
  boost::json::object whole;
  whole["chivefront"] = std::move(facts);
  return "data: " + boost::json::serialize(whole) + "\n\n";
}

net::Task<void>
ChatFlow::ServeStream()
{
  StreamSink sink(m_exchange, Headers());
  const RunResult result = co_await m_parts.m_runner.Run(m_spec, sink);
  NoteEvidence(result);
  CallerError error = result.m_error;
  bool done = result.m_done;
  const bool billable = done || result.m_answerTokens > 0;
  if (billable) {
    const absl::Status billed = co_await Bill(result);
    if (done && !billed.ok()) {
      error = CallerError(billed);
      done = false;
    }
  }
  if (result.m_readerGone) {
    m_parts.m_entry.m_events.Record(
      "reader_lost", { { "team", m_caller.m_team } }, m_caller.m_requestId);
    co_return;
  }
  if (done) {
    const absl::Status sent = co_await sink.Finish(Trailer());
    m_parts.m_entry.m_events.Record(sent.ok() ? "answered" : "reader_lost",
                                    { { "team", m_caller.m_team },
                                      { "version", m_spec.m_version },
                                      { "upstream", result.m_upstream } },
                                    m_caller.m_requestId);
    co_return;
  }
  if (!sink.Begun()) {
    co_await RefuseWith(error);
    co_return;
  }
  m_parts.m_entry.m_events.Record(
    "answer_failed",
    { { "team", m_caller.m_team },
      { "kind", std::string(base::ErrorName(error.m_kind)) } },
    m_caller.m_requestId);
  (void)co_await sink.Fail(ErrorEvent(error, m_caller.m_requestId));
}

net::Task<void>
ChatFlow::ServeWhole()
{
  BufferSink sink(m_parts.m_entry.m_limits.m_maxAnswerBytes);
  const RunResult result = co_await m_parts.m_runner.Run(m_spec, sink);
  NoteEvidence(result);
  CallerError error = result.m_error;
  bool done = result.m_done && !sink.Overflowed();
  if (sink.Overflowed()) {
    error = CallerError(base::ErrorKind::AnswerIncomplete,
                        "the answer exceeds the bound of this entry");
  }
  if (result.m_done || result.m_answerTokens > 0) {
    const absl::Status billed = co_await Bill(result);
    if (done && !billed.ok()) {
      error = CallerError(billed);
      done = false;
    }
  }
  if (!done) {
    co_await RefuseWith(error);
    co_return;
  }
  net::HttpResponse response;
  response.m_status =
    result.m_httpStatus == 0 ? 200 : static_cast<int>(result.m_httpStatus);
  response.m_headers = Headers();
  response.m_headers.emplace_back("X-Chivefront-Cost-Micros",
                                  std::to_string(m_costMicros));
  response.m_body = sink.Take();
  const absl::Status sent = co_await m_exchange.Respond(std::move(response));
  m_parts.m_entry.m_events.Record(sent.ok() ? "answered" : "reader_lost",
                                  { { "team", m_caller.m_team },
                                    { "version", m_spec.m_version },
                                    { "upstream", result.m_upstream } },
                                  m_caller.m_requestId);
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
  m_parts.m_entry.m_events.Record("routed",
                                  { { "team", m_caller.m_team },
                                    { "model", m_spec.m_model },
                                    { "version", m_spec.m_version },
                                    { "session", m_spec.m_session } },
                                  m_caller.m_requestId);
  const auto view = m_parts.m_entry.m_watcher.LastView();
  base::Millis retryAfter;
  const catalog::Team* team = view->m_catalog->FindTeam(m_caller.m_team);
  if (team == nullptr) {
    const CallerError error(base::ErrorKind::UnknownTeam, "the team is gone");
    co_await RefuseWith(error);
    co_return;
  }
  auto ticket = m_parts.m_limits.Admit(*team, ExpectedTokens(), retryAfter);
  if (!ticket.ok()) {
    CallerError error(ticket.status());
    error.m_retryAfter = retryAfter;
    co_await RefuseWith(error);
    co_return;
  }
  co_await ServeAdmitted();
  ticket->Used(m_tokens);
}

net::Task<void>
ChatFlow::ServeAdmitted()
{
  if (m_chat.m_stream) {
    co_await ServeStream();
  } else {
    co_await ServeWhole();
  }
}

} // namespace detail

net::Task<void>
ServeChat(FlowParts& aParts, Caller aCaller, net::HttpExchange& aExchange)
{
  detail::ChatFlow flow(aParts, std::move(aCaller), aExchange);
  co_await flow.Serve();
}

} // namespace chivefront::entry
