// Runs one request: route, deadline, attempts and retries.
#include "chivefront/proxy/exchange.h"

#include <algorithm>

#include "chivefront/proxy/retry_after.h"
#include "chivefront/proxy/text_view.h"
#include "chivefront/routing/model_choice.h"

namespace chivefront::proxy {
namespace http = boost::beast::http;

namespace detail {

constexpr base::Millis kDefaultTimeout{ 30000 };
// Interval at which a request that waits looks for a configuration.
constexpr base::Millis kConfigurationPollPeriod{ 15 };

} // namespace detail

Exchange::Exchange(SharedState& aShared,
                   std::shared_ptr<CallerConnection> aCaller)
  : m_shared(aShared)
  , m_caller(std::move(aCaller))
  , m_receivedAt(aShared.m_clock.Now())
  , m_metadata(aShared.m_headerCodec.ParseRequestHeaders(m_caller->Request()))
  , m_config(aShared.m_watch.View().m_config)
  , m_deadlineTimer(m_caller->Executor())
  , m_stallTimer(m_caller->Executor())
{
}

base::Millis
Exchange::TimeLeft() const
{
  return std::max(base::Millis(0), m_deadline - m_shared.m_clock.Now());
}

net::Task<void>
Exchange::Run()
{
  m_shared.m_metrics.m_received.Increment();
  m_deadline =
    m_receivedAt + m_metadata.m_timeout.value_or(detail::kDefaultTimeout);
  StartMonitoring();
  co_await WaitForConfiguration();
  bool accepted = false;
  if (m_abortReason == AbortReason::None) {
    accepted = co_await ResolveRoute();
  }
  if (accepted) {
    StartDeadlineTimer(); // the route may set an earlier deadline
    co_await RunAttempts();
  }
  StopMonitoring();
  co_await RespondToAbort();
}

// A new entry usually gets its configuration within a second. Waiting for it
// serves the caller sooner than a refusal with a later retry.
net::Task<void>
Exchange::WaitForConfiguration()
{
  const base::Millis maxWait = TimeLeft() / 2;
  while (!m_config && m_abortReason == AbortReason::None &&
         m_shared.m_clock.Now() - m_receivedAt < maxWait) {
    co_await net::Sleep(detail::kConfigurationPollPeriod);
    m_config = m_shared.m_watch.View().m_config;
  }
}

// Sets m_route, m_team, m_service and m_deadline. Responds to the request and
// returns false if it is refused.
net::Task<bool>
Exchange::ResolveRoute()
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
    m_team = m_config->FindTeam(m_metadata.m_teamKey);
    if (m_team == nullptr) {
      co_await Refuse(401, "unknown_key", base::Millis(0));
      co_return false;
    }
  }
  m_deadline = m_receivedAt + RequestTimeout(*m_route);
  if (MayOutliveDrain()) {
    // Another entry can take the request at once.
    co_await Refuse(503, "draining", detail::kRetryElsewhere);
    co_return false;
  }
  m_service = m_config->FindService(
    routing::ChooseService(*m_route, m_metadata.m_attemptId));
  for (size_t i = 0; i + 1 < m_metadata.m_promptParts.size(); ++i) {
    m_sharedParts.push_back(routing::MakePartKey(
      m_service->m_name, m_metadata.m_promptParts[i].m_id));
  }
  m_requestKey = MakeRequestKey();
  if (co_await RefuseQuarantined()) {
    co_return false;
  }
  m_shared.RetryBudgetOf(m_service->m_name).OnFirstAttempt(m_receivedAt);
  co_return true;
}

// Whether the request may still run when this process exits.
bool
Exchange::MayOutliveDrain() const
{
  return m_shared.m_draining &&
         (m_route->m_stream || m_deadline > m_shared.m_drainEnd);
}

bool
Exchange::HasQuarantinedPart() const
{
  const auto& quarantined = m_shared.m_watch.View().m_quarantinedCauses;
  return std::any_of(
    m_sharedParts.begin(), m_sharedParts.end(), [&](routing::CauseKey aPart) {
      return quarantined.count(aPart) > 0;
    });
}

routing::CauseKey
Exchange::MakeRequestKey() const
{
  const CallerRequest& request = m_caller->Request();
  return routing::MakeRequestKey({ m_metadata.m_teamKey,
                                   detail::ToView(request.method_string()),
                                   detail::ToView(request[http::field::host]),
                                   detail::ToView(request.target()),
                                   request.body() });
}

// Ends a request that crashes upstreams, or whose prompt has a part that does.
// Another attempt of the caller would be refused as well, so no retry is
// suggested.
net::Task<bool>
Exchange::RefuseQuarantined()
{
  const auto& quarantined = m_shared.m_watch.View().m_quarantinedCauses;
  std::string reason;
  if (HasQuarantinedPart()) {
    reason = "prompt_part_quarantined";
  } else if (quarantined.count(m_requestKey) > 0) {
    reason = "request_quarantined";
  } else {
    co_return false;
  }
  if (m_caller->ResponseStarted() || m_mayHaveRun) {
    co_await Fail(502, std::move(reason));
  } else {
    co_await Refuse(503, std::move(reason), base::Millis(0));
  }
  co_return true;
}

void
Exchange::StartMonitoring()
{
  StartDeadlineTimer();
  m_caller->WatchForDisconnect([self = shared_from_this()] {
    self->Abort(AbortReason::CallerDisconnected);
  });
}

void
Exchange::StartDeadlineTimer()
{
  m_deadlineTimer.expires_after(TimeLeft().ToChrono());
  m_deadlineTimer.async_wait(
    [self = shared_from_this()](const boost::system::error_code& aError) {
      if (!aError) {
        self->OnDeadline();
      }
    });
}

// A newer configuration may give the route a longer timeout. It then also
// applies to the requests that are already running.
void
Exchange::OnDeadline()
{
  const routing::ConfigPointer config = m_shared.m_watch.View().m_config;
  if (m_route != nullptr && config != nullptr && config != m_config) {
    const routing::Route* route =
      config->FindRoute(m_route->m_host, m_route->m_prefix);
    const base::TimePoint deadline =
      route != nullptr ? m_receivedAt + RequestTimeout(*route) : m_deadline;
    if (deadline > m_deadline) {
      m_deadline = deadline;
      StartDeadlineTimer();
      return;
    }
  }
  Abort(AbortReason::DeadlineExceeded);
}

base::Millis
Exchange::RequestTimeout(const routing::Route& aRoute) const
{
  return std::min(m_metadata.m_timeout.value_or(detail::kDefaultTimeout),
                  aRoute.m_timeout);
}

void
Exchange::StopMonitoring()
{
  m_deadlineTimer.cancel();
  m_caller->StopWatching();
}

void
Exchange::Abort(AbortReason aReason)
{
  if (m_abortReason != AbortReason::None) {
    return;
  }
  m_abortReason = aReason;
  if (m_connection) {
    m_connection->Close(); // tells the upstream to stop working
  }
  if (aReason == AbortReason::CallerDisconnected ||
      m_caller->ResponseStarted()) {
    m_caller->Close();
  }
}

bool
Exchange::EndForShutdown()
{
  if (m_caller->ResponseStarted()) {
    return false;
  }
  Abort(AbortReason::ShuttingDown);
  return true;
}

bool
Exchange::IsRetryable() const
{
  return m_route->m_idempotent || (m_route->m_stream && m_route->m_resumable);
}

bool
Exchange::TryTakeRetry()
{
  if (m_retryReserved) {
    m_retryReserved = false;
    return m_abortReason == AbortReason::None;
  }
  if (m_sendCount >= m_route->m_maxAttempts ||
      m_abortReason != AbortReason::None) {
    return false;
  }
  if (!m_shared.RetryBudgetOf(m_service->m_name)
         .Take(m_shared.RetryExtraShare(), m_shared.m_clock.Now())) {
    return false;
  }
  m_shared.m_metrics.m_retries.Increment();
  return true;
}

net::Task<void>
Exchange::RunAttempts()
{
  bool retry = true;
  while (retry && m_abortReason == AbortReason::None) {
    const UpstreamPointer upstream = co_await FindUpstream();
    if (!upstream) {
      break;
    }
    AttemptResult result = co_await RunAttempt(upstream);
    if (m_abortReason != AbortReason::None &&
        !std::holds_alternative<ResponseSent>(result)) {
      break;
    }
    retry = co_await HandleResult(std::move(result));
    if (retry && co_await RefuseQuarantined()) {
      break;
    }
  }
}

net::Task<bool>
Exchange::HandleResult(AttemptResult aResult)
{
  if (auto* notRun = std::get_if<NotRun>(&aResult)) {
    LogFailedAttempt("not_run", notRun->m_reason);
    co_return co_await HandleNotRun(std::move(notRun->m_reason));
  }
  if (std::holds_alternative<ChoiceExpired>(aResult)) {
    LogFailedAttempt("not_run", "choice_expired");
    co_return true;
  }
  if (auto* unknown = std::get_if<OutcomeUnknown>(&aResult)) {
    LogFailedAttempt("unknown", unknown->m_reason);
    m_mayHaveRun = true;
    co_return co_await HandleOutcomeUnknown(std::move(unknown->m_reason));
  }
  if (auto* truncated = std::get_if<StreamTruncated>(&aResult)) {
    LogFailedAttempt("cut_off", truncated->m_reason);
    m_mayHaveRun = true;
    m_shared.m_metrics.m_resumed.Increment();
    co_return co_await HandleOutcomeUnknown(std::move(truncated->m_reason));
  }
  if (auto* error = std::get_if<UpstreamError>(&aResult)) {
    LogFailedAttempt("failed_there", "upstream_failure");
    m_mayHaveRun = true;
    co_return co_await HandleUpstreamError(std::move(*error));
  }
  if (const auto* lowConfidence = std::get_if<LowConfidence>(&aResult)) {
    m_mayHaveRun = true;
    m_shared.m_metrics.m_escalated.Increment();
    m_modelIndex = routing::LargerModel(
      m_modelIndex, m_route->m_models.size(), lowConfidence->m_confidence);
    m_triedUpstreams.clear(); // every upstream may run the larger model
    co_return true;
  }
  if (std::holds_alternative<ResponseSent>(aResult)) {
    m_shared.m_metrics.m_answered.Increment();
    m_shared.m_metrics.LatencyOf(*m_route).m_toEnd.Observe(
      static_cast<double>((m_shared.m_clock.Now() - m_receivedAt).Count()));
    LogEnd(
      base::LogCategory::Success, "request_answered", m_responseStatus, "");
  } else {
    m_shared.m_metrics.m_callerLeft.Increment();
    LogEnd(base::LogCategory::Failure, "caller_lost", 0, "write failed");
    m_caller->Close();
  }
  co_return false;
}

net::Task<bool>
Exchange::HandleNotRun(std::string aReason)
{
  // Nothing ran, so another attempt is safe. It is free while no request has
  // been sent; a request that reached an upstream counts as load there, so the
  // next attempt is taken from the retry budget.
  if (m_sendCount == 0 || TryTakeRetry()) {
    co_return true;
  }
  if (m_caller->ResponseStarted() || m_mayHaveRun) {
    co_await Fail(502, std::move(aReason));
  } else {
    co_await Refuse(503, std::move(aReason), detail::kRetrySoon);
  }
  co_return false;
}

net::Task<bool>
Exchange::HandleOutcomeUnknown(std::string aReason)
{
  const bool resumable =
    !m_caller->ResponseStarted() || m_eventSplitter.LastId();
  if (IsRetryable() && resumable && TryTakeRetry()) {
    co_return true;
  }
  co_await Fail(502, std::move(aReason));
  co_return false;
}

net::Task<bool>
Exchange::HandleUpstreamError(UpstreamError aError)
{
  if (IsRetryable() && TryTakeRetry()) {
    m_upstreamError = std::move(aError);
    co_return true;
  }
  co_await ForwardUpstreamError(std::move(aError));
  co_return false;
}

} // namespace chivefront::proxy
