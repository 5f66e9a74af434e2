// The life of one request, and what follows each attempt.
#include "chivefront/proxy/exchange.h"

#include <algorithm>

#include "chivefront/proxy/retry_after.h"
#include "chivefront/proxy/text_view.h"
#include "chivefront/routing/model_choice.h"
#include "chivefront/routing/silence.h"

namespace chivefront::proxy {
namespace http = boost::beast::http;

namespace detail {

constexpr base::Millis kDefaultPatience{ 30000 };
// Attempts to find an upstream while all are briefly closed.
constexpr base::Millis kFindPeriod{ 15 };
// Registrations come about once a second; a new entry has heard of all
// upstreams after this.
constexpr base::Millis kRegistrationTime{ 3000 };

} // namespace detail

Exchange::Exchange(EntryParts& aParts,
                   std::shared_ptr<CallerConnection> aCaller)
  : m_parts(aParts)
  , m_caller(std::move(aCaller))
  , m_received(aParts.m_clock.Now())
  , m_facts(aParts.m_headerCodec.ParseRequestHeaders(m_caller->Request()))
  , m_config(aParts.m_watch.View().m_config)
  , m_timer(m_caller->Executor())
  , m_silenceTimer(m_caller->Executor())
{
}

base::Millis
Exchange::Left() const
{
  return std::max(base::Millis(0), m_deadline - m_parts.m_clock.Now());
}

net::Task<void>
Exchange::Run()
{
  m_parts.m_metrics.m_received.Increment();
  m_deadline =
    m_received + m_facts.m_timeout.value_or(detail::kDefaultPatience);
  Arm();
  co_await AwaitConfiguration();
  bool accepted = false;
  if (m_stop == Stop::No) {
    accepted = co_await Accept();
  }
  if (accepted) {
    ArmTimer(); // the route may allow less time
    co_await Serve();
  }
  Disarm();
  co_await AnswerStop();
}

// An entry that has just started learns its configuration within a second as a
// rule; a caller that waits for it is served sooner than one that is refused.
net::Task<void>
Exchange::AwaitConfiguration()
{
  const base::Millis most = Left() / 2;
  while (!m_config && m_stop == Stop::No &&
         m_parts.m_clock.Now() - m_received < most) {
    co_await net::Sleep(detail::kFindPeriod);
    m_config = m_parts.m_watch.View().m_config;
  }
}

// Finds route, key and service; answers the request when there is none.
net::Task<bool>
Exchange::Accept()
{
  if (!m_config) {
    co_await Refuse(503, "no_configuration", detail::kRetryLater);
    co_return false;
  }
  const CallerRequest& request = m_caller->Request();
  std::string_view host = detail::ToView(request[http::field::host]);
  host = host.substr(0, host.find(':'));
  m_route = m_config->FindRoute(host, detail::ToView(request.target()));
  if (m_route == nullptr) {
    co_await Refuse(404, "no_route", base::Millis(0));
    co_return false;
  }
  if (m_config->HasTeams() && !m_route->m_public) {
    m_team = m_config->FindTeam(m_facts.m_teamKey);
    if (m_team == nullptr) {
      co_await Refuse(401, "unknown_key", base::Millis(0));
      co_return false;
    }
  }
  // No bound on a stream's time is sure to end before this process does, and
  // another entry takes it at once.
  if (m_parts.m_draining && m_route->m_stream) {
    co_await Refuse(503, "draining", detail::kRetryElsewhere);
    co_return false;
  }
  m_deadline = m_received + Patience(*m_route);
  m_service = m_config->FindService(
    routing::ChooseService(*m_route, m_facts.m_attemptId));
  m_parts.RepeatsOf(m_service->m_name).OnFirstAttempt(m_received);
  co_return true;
}

void
Exchange::Arm()
{
  ArmTimer();
  m_caller->WatchForLeave(
    [self = shared_from_this()] { self->OnStop(Stop::CallerLeft); });
}

void
Exchange::ArmTimer()
{
  m_timer.expires_after(Left().ToChrono());
  m_timer.async_wait(
    [self = shared_from_this()](const boost::system::error_code& aError) {
      if (!aError) {
        self->OnTime();
      }
    });
}

// A configuration that came meanwhile may allow the route more time; its
// operator then expects that the request is not cut by the older one.
void
Exchange::OnTime()
{
  const routing::ConfigPointer config = m_parts.m_watch.View().m_config;
  if (m_route != nullptr && config != nullptr && config != m_config) {
    const routing::Route* route =
      config->FindRoute(m_route->m_host, m_route->m_prefix);
    const base::TimePoint deadline =
      route != nullptr ? m_received + Patience(*route) : m_deadline;
    if (deadline > m_deadline) {
      m_deadline = deadline;
      ArmTimer();
      return;
    }
  }
  OnStop(Stop::TimeOver);
}

base::Millis
Exchange::Patience(const routing::Route& aRoute) const
{
  return std::min(m_facts.m_timeout.value_or(detail::kDefaultPatience),
                  aRoute.m_timeout);
}

void
Exchange::Disarm()
{
  m_timer.cancel();
  m_caller->StopWatching();
}

void
Exchange::OnStop(Stop aWhy)
{
  if (m_stop != Stop::No) {
    return;
  }
  m_stop = aWhy;
  if (m_connection) {
    m_connection->Close(); // the upstream stops its work
  }
  if (aWhy == Stop::CallerLeft || m_caller->Started()) {
    m_caller->Close();
  }
}

bool
Exchange::IsRepeatable() const
{
  return m_route->m_idempotent || (m_route->m_stream && m_route->m_resumable);
}

bool
Exchange::MayRepeat()
{
  if (m_repeatGranted) {
    m_repeatGranted = false;
    return m_stop == Stop::No;
  }
  if (m_sends >= m_route->m_maxAttempts || m_stop != Stop::No) {
    return false;
  }
  if (!m_parts.RepeatsOf(m_service->m_name)
         .Take(m_parts.RepeatExtra(), m_parts.m_clock.Now())) {
    return false;
  }
  m_parts.m_metrics.m_repeats.Increment();
  return true;
}

std::string
Exchange::Model() const
{
  if (m_facts.m_anyModel && !m_route->m_models.empty()) {
    return m_route->m_models[m_model];
  }
  return m_facts.m_model;
}

bool
Exchange::LargerModelLeft() const
{
  return m_facts.m_anyModel && m_model + 1 < m_route->m_models.size();
}

UpstreamNeed
Exchange::Need() const
{
  UpstreamNeed need;
  need.m_service = m_service;
  need.m_choice.m_ownDomain = m_parts.m_domain;
  need.m_tried = m_tried;
  const std::string& session =
    m_facts.m_sessionId.empty() ? m_facts.m_attemptId : m_facts.m_sessionId;
  need.m_rolloutKey = { routing::StableHash(session),
                        !m_facts.m_sessionId.empty() };
  const std::string model = Model();
  for (size_t i = 0; i + 1 < m_facts.m_promptParts.size(); ++i) {
    const PromptPart& part = m_facts.m_promptParts[i];
    need.m_choice.m_sharedParts.push_back(
      { model + "/" + part.m_id, part.m_tokens });
  }
  return need;
}

// While an entry is new, upstreams that it has not heard of may be there: they
// register about once a second. Later only short closures are waited for: for
// the rest of a quarter of the goal, or in the middle of a stream as long as a
// pause is tolerated.
bool
Exchange::MayWaitFor(NoUpstream aWhy, base::TimePoint aSince) const
{
  const base::TimePoint now = m_parts.m_clock.Now();
  if (now - m_parts.m_watch.View().m_configuredAt < detail::kRegistrationTime) {
    return Left() > (m_deadline - m_received) / 2;
  }
  if (aWhy == NoUpstream::None) {
    return false;
  }
  if (m_caller->Started()) {
    return now - aSince < routing::StallTimeout(m_route->m_pauseGoal);
  }
  return (now - m_received) * 4 < m_route->m_goal;
}

// Waits for a short while when all upstreams are closed for the moment.
net::Task<UpstreamPointer>
Exchange::FindUpstream()
{
  const base::TimePoint since = m_parts.m_clock.Now();
  NoUpstream why = NoUpstream::None;
  while (m_stop == Stop::No) {
    UpstreamPointer upstream = m_parts.m_upstreams.Choose(Need(), why);
    if (upstream) {
      co_return upstream;
    }
    if (!MayWaitFor(why, since)) {
      co_await AnswerNoUpstream(why);
      break;
    }
    co_await net::Sleep(detail::kFindPeriod);
  }
  co_return nullptr;
}

net::Task<void>
Exchange::Serve()
{
  bool again = true;
  while (again && m_stop == Stop::No) {
    const UpstreamPointer upstream = co_await FindUpstream();
    if (!upstream) {
      break;
    }
    AttemptEnd end = co_await Attempt(upstream);
    if (m_stop != Stop::No && !std::holds_alternative<Delivered>(end)) {
      break;
    }
    again = co_await Settle(std::move(end));
  }
}

net::Task<bool>
Exchange::Settle(AttemptEnd aEnd)
{
  if (auto* notRun = std::get_if<NotRun>(&aEnd)) {
    LogAttempt("not_run", notRun->m_why);
    co_return co_await AfterNotRun(std::move(notRun->m_why));
  }
  if (auto* lost = std::get_if<Lost>(&aEnd)) {
    LogAttempt("unknown", lost->m_why);
    m_mayHaveRun = true;
    co_return co_await AfterLoss(std::move(lost->m_why));
  }
  if (auto* cut = std::get_if<CutOff>(&aEnd)) {
    LogAttempt("cut_off", cut->m_why);
    m_mayHaveRun = true;
    m_parts.m_metrics.m_resumed.Increment();
    co_return co_await AfterLoss(std::move(cut->m_why));
  }
  if (auto* failed = std::get_if<FailedThere>(&aEnd)) {
    LogAttempt("failed_there", "upstream_failure");
    m_mayHaveRun = true;
    co_return co_await AfterFailure(std::move(*failed));
  }
  if (const auto* doubtful = std::get_if<Doubtful>(&aEnd)) {
    m_mayHaveRun = true;
    m_parts.m_metrics.m_escalated.Increment();
    m_model = routing::LargerModel(
      m_model, m_route->m_models.size(), doubtful->m_confidence);
    m_tried.clear(); // any upstream runs the larger model
    co_return true;
  }
  if (std::holds_alternative<Delivered>(aEnd)) {
    m_parts.m_metrics.m_answered.Increment();
    m_parts.m_metrics.TimesOf(*m_route).m_toEnd.Observe(
      static_cast<double>((m_parts.m_clock.Now() - m_received).Count()));
    LogEnd(base::LogWeight::Success, "request_answered", m_answerStatus, "");
  } else {
    m_parts.m_metrics.m_callerLeft.Increment();
    LogEnd(base::LogWeight::Failure, "caller_lost", 0, "write failed");
    m_caller->Close();
  }
  co_return false;
}

net::Task<bool>
Exchange::AfterNotRun(std::string aWhy)
{
  // Nothing ran, so another upstream may take it without being a repeat; but
  // what reached an upstream counts as one of its arrivals.
  if (m_sends == 0 || MayRepeat()) {
    co_return true;
  }
  if (m_caller->Started() || m_mayHaveRun) {
    co_await Fail(502, std::move(aWhy));
  } else {
    co_await Refuse(503, std::move(aWhy), detail::kRetrySoon);
  }
  co_return false;
}

net::Task<bool>
Exchange::AfterLoss(std::string aWhy)
{
  const bool resumable = !m_caller->Started() || m_events.LastId();
  if (IsRepeatable() && resumable && MayRepeat()) {
    co_return true;
  }
  co_await Fail(502, std::move(aWhy));
  co_return false;
}

net::Task<bool>
Exchange::AfterFailure(FailedThere aFailure)
{
  if (IsRepeatable() && MayRepeat()) {
    m_failure = std::move(aFailure);
    co_return true;
  }
  co_await PassFailure(std::move(aFailure));
  co_return false;
}

} // namespace chivefront::proxy
