// Responses that the entry itself creates, and the log record of the end of a
// request.
#include <algorithm>

#include "chivefront/base/errors.h"
#include "chivefront/proxy/exchange.h"
#include "chivefront/proxy/retry_after.h"

namespace chivefront::proxy {
namespace http = boost::beast::http;

net::Task<void>
Exchange::Refuse(int aStatus, std::string aReason, base::Millis aRetryAfter)
{
  m_shared.m_metrics.m_refused.Increment();
  std::string head =
    "HTTP/1.1 " + std::to_string(aStatus) + " " +
    std::string(http::obsolete_reason(static_cast<http::status>(aStatus))) +
    "\r\nContent-Type: application/json\r\n";
  if (aRetryAfter > base::Millis(0)) {
    std::string millis = std::to_string(aRetryAfter.Count() % 1000);
    millis.insert(0, 3 - millis.size(), '0');
    head += "Retry-After: " + std::to_string(aRetryAfter.Count() / 1000) + "." +
            millis + "\r\n";
  }
  std::string body =
    R"({"error":{"type":")" + aReason + R"(","run":"not_run"}})";
  LogEnd(base::LogCategory::Failure, "request_refused", aStatus, aReason);
  co_await WriteOwnResponse(std::move(head), std::move(body));
}

// Ends a request that may have run or whose response is truncated.
net::Task<void>
Exchange::Fail(int aStatus, std::string aReason)
{
  m_shared.m_metrics.m_failed.Increment();
  LogEnd(base::LogCategory::Failure, "request_failed", aStatus, aReason);
  if (m_caller->ResponseStarted()) {
    m_caller->Close(); // the caller sees that the response is truncated
    co_return;
  }
  std::string head = "HTTP/1.1 " + std::to_string(aStatus) +
                     (aStatus == 504 ? " Gateway Timeout" : " Bad Gateway") +
                     "\r\nContent-Type: application/json\r\n";
  std::string body = R"({"error":{"type":"upstream_failed","run":"unknown"}})";
  co_await WriteOwnResponse(std::move(head), std::move(body));
}

// Forwards the error response of the last upstream.
net::Task<void>
Exchange::ForwardUpstreamError(UpstreamError aError)
{
  if (m_caller->ResponseStarted() || aError.m_head.empty()) {
    co_await Fail(502, "upstream_failure");
    co_return;
  }
  m_shared.m_metrics.m_failed.Increment();
  LogEnd(base::LogCategory::Failure,
         "request_failed",
         aError.m_status,
         "upstream_failure");
  co_await WriteOwnResponse(std::move(aError.m_head), std::move(aError.m_body));
}

// Ends a request for which no upstream is available. A caller may return when
// those that wait have been served, or when the first upstream has rested.
net::Task<void>
Exchange::RespondNoUpstream(NoUpstreamReason aReason,
                            base::Millis aExpectedWait)
{
  std::string reason(kNoUpstreamReasonNames.Name(aReason));
  if (m_caller->ResponseStarted()) {
    co_await Fail(502, "stream_not_resumed");
  } else if (m_upstreamError) {
    co_await ForwardUpstreamError(std::move(*m_upstreamError));
  } else if (m_mayHaveRun) {
    co_await Fail(502, std::move(reason));
  } else {
    m_shared.m_loads.RecordAnswer(*m_service, m_shared.m_domain, true);
    const base::Millis retryAfter =
      std::clamp(aExpectedWait, detail::kRetrySoon, detail::kMaxRetryAfter);
    co_await Refuse(503, std::move(reason), retryAfter);
  }
}

// Writes a response after its log record. The caller may have disconnected.
net::Task<void>
Exchange::WriteOwnResponse(std::string aHead, std::string aBody)
{
  const absl::Status written = co_await m_caller->WriteResponse(
    std::move(aHead), std::move(aBody), m_shared.m_draining);
  if (!written.ok()) {
    m_shared.m_log.Record("answer_not_delivered",
                          base::LogCategory::Failure,
                          { { "request", m_metadata.m_attemptId },
                            { "why", base::MessageOf(written) } });
  }
}

net::Task<void>
Exchange::RespondDeadlineExceeded()
{
  if (!m_mayHaveRun && m_sendCount == 0) {
    co_await Refuse(503, "no_time_left", detail::kRetrySoon);
    co_return;
  }
  co_await Fail(504, "time_over");
}

net::Task<void>
Exchange::RespondShuttingDown()
{
  if (!m_mayHaveRun && m_sendCount == 0) {
    co_await Refuse(503, "draining", detail::kRetryElsewhere);
    co_return;
  }
  co_await Fail(502, "draining");
}

// Ends a request that was aborted.
net::Task<void>
Exchange::RespondToAbort()
{
  if (m_caller->ResponseEnded()) {
    co_return;
  }
  switch (m_abortReason) {
    case AbortReason::None:
      break;
    case AbortReason::CallerDisconnected:
      m_shared.m_metrics.m_callerLeft.Increment();
      LogEnd(base::LogCategory::Success, "caller_left", 0, "");
      break;
    case AbortReason::DeadlineExceeded:
      co_await RespondDeadlineExceeded();
      break;
    case AbortReason::ShuttingDown:
      co_await RespondShuttingDown();
      break;
  }
}

void
Exchange::LogEnd(base::LogCategory aCategory,
                 std::string_view aEvent,
                 int aStatus,
                 std::string_view aReason) const
{
  const site::WatchView& view = m_shared.m_watch.View();
  const base::TimePoint now = m_shared.m_clock.Now();
  const bool confirmed = view.m_leaderAnsweredAt != base::TimePoint();
  m_shared.m_log.Record(
    aEvent,
    aCategory,
    { { "request", m_metadata.m_attemptId },
      { "route", m_route != nullptr ? m_route->m_name : std::string() },
      { "team", m_team != nullptr ? m_team->m_name : std::string() },
      { "status", aStatus },
      { "reason", aReason },
      { "upstream", m_lastUpstream },
      { "model", m_route != nullptr ? CurrentModel() : std::string() },
      { "sends", static_cast<uint64_t>(m_sendCount) },
      { "may_have_run", m_mayHaveRun ? "yes" : "no" },
      { "took_ms", (now - m_receivedAt).Count() },
      { "first_ms",
        m_firstSentAt == base::TimePoint()
          ? int64_t(0)
          : (m_firstSentAt - m_receivedAt).Count() },
      { "longest_pause_ms", m_longestPause.Count() },
      { "number", m_config ? m_config->Number() : uint64_t(0) },
      { "control_age_ms",
        confirmed ? std::to_string((now - view.m_leaderAnsweredAt).Count())
                  : "never" } });
}

} // namespace chivefront::proxy
