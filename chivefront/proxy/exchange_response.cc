// Answers of the entry itself, and the line that ends a request in the log.
#include "chivefront/base/errors.h"
#include "chivefront/proxy/exchange.h"
#include "chivefront/proxy/retry_after.h"

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
  LogEnd(base::LogWeight::Failure, "request_refused", aStatus, aReason);
  co_await WriteOwn(std::move(head), std::move(body));
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
  co_await WriteOwn(std::move(head), std::move(body));
}

// The caller gets the failure of the upstream that was asked last.
net::Task<void>
Exchange::PassFailure(FailedThere aFailure)
{
  if (m_caller->Started()) {
    co_await Fail(502, "upstream_failure");
    co_return;
  }
  m_parts.m_metrics.m_failed.Increment();
  LogEnd(base::LogWeight::Failure,
         "request_failed",
         aFailure.m_status,
         "upstream_failure");
  co_await WriteOwn(std::move(aFailure.m_head), std::move(aFailure.m_body));
}

// What a caller hears for whom no upstream is left.
net::Task<void>
Exchange::AnswerNoUpstream(NoUpstream aWhy)
{
  std::string reason(kNoUpstreamNames.Name(aWhy));
  if (m_caller->Started()) {
    co_await Fail(502, "stream_not_resumed");
  } else if (m_failure) {
    co_await PassFailure(std::move(*m_failure));
  } else if (m_mayHaveRun) {
    co_await Fail(502, std::move(reason));
  } else {
    co_await Refuse(503, std::move(reason), detail::kRetrySoon);
  }
}

// Writes an answer whose end is logged already; the caller may be gone.
net::Task<void>
Exchange::WriteOwn(std::string aHead, std::string aBody)
{
  const absl::Status written = co_await m_caller->WriteWhole(
    std::move(aHead), std::move(aBody), m_parts.m_draining);
  if (!written.ok()) {
    m_parts.m_log.Record("answer_not_delivered",
                         base::LogWeight::Failure,
                         { { "request", m_facts.m_attemptId },
                           { "why", base::MessageOf(written) } });
  }
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
  const bool heard = view.m_leaderAnsweredAt != base::TimePoint();
  m_parts.m_log.Record(
    aEvent,
    aWeight,
    { { "request", m_facts.m_attemptId },
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
        heard ? std::to_string((now - view.m_leaderAnsweredAt).Count())
              : "never" } });
}

} // namespace chivefront::proxy
