// Answers of the entry itself, and the line that ends a request in the log.
#include "chivefront/proxy/exchange.h"
#include "chivefront/proxy/retry_times.h"

namespace chivefront::proxy {
namespace http = boost::beast::http;

net::Task<void>
Exchange::Refuse(int aStatus, std::string aReason, base::Millis aRetryAfter)
{
  m_parts.m_metrics.m_refused.Increment();
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
  (void)co_await m_caller->WriteWhole(
    std::move(head), std::move(body), m_parts.m_draining);
  LogEnd(base::LogWeight::Failure, "request_refused", aStatus, aReason);
}

// The effect of the request is not known, or the answer broke off.
net::Task<void>
Exchange::Fail(int aStatus, std::string aReason)
{
  m_parts.m_metrics.m_failed.Increment();
  LogEnd(base::LogWeight::Failure, "request_failed", aStatus, aReason);
  if (m_caller->Started()) {
    m_caller->Close(); // the caller sees that the answer is cut
    co_return;
  }
  std::string head = "HTTP/1.1 " + std::to_string(aStatus) +
                     (aStatus == 504 ? " Gateway Timeout" : " Bad Gateway") +
                     "\r\nContent-Type: application/json\r\n";
  std::string body = R"({"error":{"type":"upstream_failed","run":"unknown"}})";
  (void)co_await m_caller->WriteWhole(
    std::move(head), std::move(body), m_parts.m_draining);
}

net::Task<void>
Exchange::AnswerTimeOver()
{
  if (!m_mayHaveRun && m_sends == 0) {
    co_await Refuse(503, "no_time_left", detail::kRetrySoon);
    co_return;
  }
  co_await Fail(504, "time_over");
}

// What a caller hears whose request was ended from outside an attempt.
net::Task<void>
Exchange::AnswerStop()
{
  if (m_stop == Stop::TimeOver && !m_caller->Ended()) {
    co_await AnswerTimeOver();
  } else if (m_stop == Stop::CallerLeft && !m_caller->Ended()) {
    m_parts.m_metrics.m_callerLeft.Increment();
    LogEnd(base::LogWeight::Success, "caller_left", 0, "");
  }
}

void
Exchange::LogEnd(base::LogWeight aWeight,
                 std::string_view aEvent,
                 int aStatus,
                 std::string_view aReason) const
{
  const site::WatchView& view = m_parts.m_watch.View();
  const base::TimePoint now = m_parts.m_clock.Now();
  const bool heard = view.m_freshAt != base::TimePoint();
  m_parts.m_log.Record(
    aEvent,
    aWeight,
    { { "request", m_facts.m_attempt },
      { "route", m_route != nullptr ? m_route->m_name : std::string() },
      { "team", m_team != nullptr ? m_team->m_name : std::string() },
      { "status", aStatus },
      { "reason", aReason },
      { "upstream", m_lastUpstream },
      { "model", m_route != nullptr ? Model() : std::string() },
      { "sends", static_cast<uint64_t>(m_sends) },
      { "may_have_run", m_mayHaveRun ? "yes" : "no" },
      { "took_ms", (now - m_received).Count() },
      { "first_ms",
        m_firstPassedAt == base::TimePoint()
          ? int64_t(0)
          : (m_firstPassedAt - m_received).Count() },
      { "longest_pause_ms", m_longestPause.Count() },
      { "number", m_config ? m_config->Number() : uint64_t(0) },
      { "control_age_ms",
        heard ? std::to_string((now - view.m_freshAt).Count()) : "never" } });
}

} // namespace chivefront::proxy
