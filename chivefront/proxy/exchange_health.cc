// Records what an attempt shows of its upstream's health, and closes the
// connection to an upstream that stalls.
#include <algorithm>

#include "chivefront/base/ids.h"
#include "chivefront/proxy/exchange.h"
#include "chivefront/proxy/retry_after.h"
#include "chivefront/routing/silence.h"

namespace chivefront::proxy {
namespace http = boost::beast::http;

namespace detail {

// Prompt tokens that the largest model of an idle upstream reads at least, per
// millisecond.
constexpr double kMinPromptTokensPerMs = 30;

// A response that takes this many times as long as usual counts as a failure of
// its version.
constexpr double kSlowResponseRatio = 3.5;
// Fixed part of the time to the head, in prompt tokens that are read in that
// time.
constexpr double kFixedCostTokens = 3000;
// A stream with fewer chunks gives no usable interval between events.
constexpr uint64_t kMinChunks = 8;

// A request of which the upstream acknowledges no byte for this long is given
// up, also when no other upstream can take it. Allows several retransmissions
// within a region.
constexpr base::Millis kUnacknowledgedTimeout{ 2000 };

// If a timer fires later than this, the process itself was stalled.
constexpr base::Millis kLateTimerThreshold{ 150 };

// If so many requests wait when an answer begins, its request is likely to have
// waited as well.
constexpr double kWaitingIfQueued = 2;

// Prompt tokens that an upstream certainly read: those of no other request.
// Returns 0 if the upstream may have had most of the prompt cached, because the
// time to the answer then shows nothing of its pace.
double
TokensCertainlyRead(const RequestMetadata& aMetadata)
{
  double shared = 0;
  for (size_t i = 0; i + 1 < aMetadata.m_promptParts.size(); ++i) {
    shared += aMetadata.m_promptParts[i].m_tokens;
  }
  const double unshared = aMetadata.m_promptTokens - shared;
  return unshared >= shared ? unshared : 0;
}

} // namespace detail

// How long to wait for the head of a response before another upstream is tried.
// Without a limit of its own if the request cannot be retried, this is its last
// attempt, the upstream is busy, or the route has no latency goal.
base::Millis
Exchange::HeadTimeout(const Upstream& aUpstream) const
{
  const bool lastAttempt = m_sendCount >= m_route->m_maxAttempts;
  const base::TimePoint now = m_shared.m_clock.Now();
  const bool busy = aUpstream.m_estimate.Load(now) >
                    static_cast<double>(aUpstream.m_instance.m_slots);
  if (!IsRetryable() || lastAttempt || busy ||
      m_route->m_goal <= base::Millis(0)) {
    return TimeLeft() + detail::kRetryLater; // later than the deadline
  }
  const auto promptReadMs = static_cast<int64_t>(m_metadata.m_promptTokens /
                                                 detail::kMinPromptTokensPerMs);
  return m_route->m_goal / 2 + base::Millis(promptReadMs);
}

// Calls OnStallTimer after aWait if the attempt is still running.
void
Exchange::StartStallTimer(const UpstreamPointer& aUpstream, base::Millis aWait)
{
  const base::TimePoint due = m_shared.m_clock.Now() + aWait;
  m_stallTimer.expires_after(aWait.ToChrono());
  m_stallTimer.async_wait(
    [self = shared_from_this(), aUpstream, attempt = m_attemptCount, due](
      const boost::system::error_code& aError) {
      if (aError || self->m_attemptCount != attempt || !self->m_connection) {
        return;
      }
      // The process itself was stalled: read the bytes that have arrived before
      // the upstream is judged.
      if (self->m_shared.m_clock.Now() - due > detail::kLateTimerThreshold) {
        self->StartStallTimer(aUpstream, routing::kSilenceTimeout);
        return;
      }
      self->OnStallTimer(aUpstream);
    });
}

// Whether the upstream has acknowledged no byte of the request for too long. A
// request that is still being written is left to the kernel's timeout.
bool
Exchange::IsUnacknowledged(base::TimePoint aNow)
{
  const size_t bytes =
    m_connection->IsRequestWritten() ? m_connection->UnacknowledgedBytes() : 0;
  if (bytes == 0 ||
      (m_unacknowledgedBytes > 0 && bytes < m_unacknowledgedBytes)) {
    m_unacknowledgedSince = aNow;
  }
  m_unacknowledgedBytes = bytes;
  return bytes > 0 &&
         aNow - m_unacknowledgedSince >= detail::kUnacknowledgedTimeout;
}

// Closes the connection to a stalled upstream if another one can continue, or
// to one that does not receive the request.
void
Exchange::OnStallTimer(const UpstreamPointer& aUpstream)
{
  const base::TimePoint now = m_shared.m_clock.Now();
  const routing::UpstreamEstimate& estimate = aUpstream->m_estimate;
  const bool headReceived = m_headReceivedAt != base::TimePoint();
  if (!headReceived && IsUnacknowledged(now)) {
    m_shared.m_log.Record(
      "request_unacknowledged",
      base::LogCategory::Failure,
      { { "request", m_metadata.m_attemptId },
        { "upstream", m_lastUpstream },
        { "bytes", static_cast<uint64_t>(m_unacknowledgedBytes) },
        { "waited_ms", (now - m_sentAt).Count() } });
    LeaveUpstream(*aUpstream);
    return;
  }
  const auto known = m_shared.m_eventTimeouts.find(CurrentModel());
  const base::Millis usualPause = known == m_shared.m_eventTimeouts.end()
                                    ? base::Millis(0)
                                    : known->second.Value();
  const bool stalled =
    headReceived
      ? routing::IsStreamStalled(
          estimate, m_route->m_pauseGoal, m_silentSince, now, usualPause)
      : routing::IsHeadOverdue(
          estimate, m_headTimeout, m_sentAt, now, usualPause);
  if (m_writingToCaller || !stalled || !TryReserveRetry()) {
    StartStallTimer(aUpstream, routing::kSilenceTimeout);
    return;
  }
  m_shared.m_log.Record(
    "silent_upstream_left",
    base::LogCategory::Failure,
    { { "request", m_metadata.m_attemptId },
      { "upstream", m_lastUpstream },
      { "head", headReceived ? "read" : "awaited" },
      { "waited_ms", (now - m_sentAt).Count() },
      { "silent_ms", (now - m_silentSince).Count() },
      { "heard_ms", (now - estimate.LastReceivedAt()).Count() } });
  m_leftUpstream = true;
  LeaveUpstream(*aUpstream);
}

// Closes the connection of the attempt. If the upstream does not acknowledge
// what was sent on it, the idle connections to it are in doubt as well.
void
Exchange::LeaveUpstream(Upstream& aUpstream)
{
  if (m_connection->UnacknowledgedBytes() > 0) {
    aUpstream.m_idleConnections.clear();
  }
  m_connection->Close();
}

// Takes a retry from the budget in advance. Returns false if the request cannot
// be continued or no other upstream is available.
bool
Exchange::TryReserveRetry()
{
  const bool resumable =
    !m_caller->ResponseStarted() || m_eventSplitter.LastId();
  if (!IsRetryable() || !resumable || m_retryReserved ||
      !m_shared.m_upstreams.HasAvailable(Criteria())) {
    return false;
  }
  m_retryReserved = TryTakeRetry();
  return m_retryReserved;
}

void
Exchange::RecordProgress(Upstream& aUpstream)
{
  m_silentSince = m_shared.m_clock.Now();
  aUpstream.m_estimate.OnBytesReceived(m_silentSince);
}

void
Exchange::EndHeadWait(Upstream& aUpstream)
{
  if (m_headPending) {
    m_headPending = false;
    aUpstream.m_estimate.OnHead(m_cost);
  }
}

void
Exchange::RecordHeadLatency(Upstream& aUpstream)
{
  m_headReceivedAt = m_shared.m_clock.Now();
  m_silentSince = m_headReceivedAt;
  m_chunkCount = 0;
  const auto waited =
    static_cast<double>((m_headReceivedAt - m_sentAt).Count());
  const double cost = detail::kFixedCostTokens + m_metadata.m_promptTokens;
  const double ratio = m_shared.m_baselines.Ratio(
    "head/" + m_route->m_name + "/" + CurrentModel(), (waited + 1) / cost);
  m_slowResponse = ratio > detail::kSlowResponseRatio;
  aUpstream.m_estimate.OnLatencyRatio(ratio, m_headReceivedAt);
  RecordReading(aUpstream);
}

// Records the time from the send to the head as a sample of the model's reading
// pace.
void
Exchange::RecordReading(const Upstream& aUpstream)
{
  const std::string model = CurrentModel();
  if (model.empty() || m_connection->Head().result() != http::status::ok) {
    return;
  }
  const auto waited =
    static_cast<double>((m_headReceivedAt - m_sentAt).Count());
  m_shared.m_readingPace.Record(
    { m_service->m_name, model },
    detail::TokensCertainlyRead(m_metadata),
    waited / aUpstream.m_estimate.HostSlowdown(m_headReceivedAt),
    aUpstream.m_estimate.Waiting(m_headReceivedAt) >= detail::kWaitingIfQueued);
}

// Records the mean time between the chunks of a stream.
void
Exchange::RecordEventInterval(Upstream& aUpstream)
{
  if (m_chunkCount < detail::kMinChunks) {
    return;
  }
  const base::TimePoint now = m_shared.m_clock.Now();
  const auto took = static_cast<double>((now - m_headReceivedAt).Count());
  const double ratio = m_shared.m_baselines.Ratio(
    "event/" + CurrentModel(), (took + 1) / static_cast<double>(m_chunkCount));
  m_slowResponse = m_slowResponse || ratio > detail::kSlowResponseRatio;
  aUpstream.m_estimate.OnLatencyRatio(ratio, now);
}

// Whether the running attempt took long to reach aMark of its response,
// compared with other requests of the route to the same model. An upstream that
// has just started is slow whatever its version, so it is not compared.
bool
Exchange::IsSlow(const Upstream& aUpstream, std::string_view aMark)
{
  const base::TimePoint now = m_shared.m_clock.Now();
  if (aUpstream.m_instance.m_coldUntil > m_sentAt) {
    return false;
  }
  const std::string key =
    std::string(aMark) + "/" + m_route->m_name + "/" + CurrentModel();
  const auto took = static_cast<double>((now - m_sentAt).Count());
  return m_shared.m_slowThreshold.Exceeds(key, took);
}

// Counts a stream for its version as soon as its pace is known. A slow version
// would otherwise be judged by its short answers alone, because its streams end
// after the judgement.
void
Exchange::RecordStartOfStream(const Upstream& aUpstream)
{
  if (m_chunkCount != detail::kMinChunks) {
    return;
  }
  m_slowResponse = IsSlow(aUpstream, "start") || m_slowResponse;
  CountForVersion(aUpstream, !m_slowResponse);
}

// Counts the running attempt for its upstream's version. An attempt that was
// counted before counts again only if it has become a failure since.
void
Exchange::CountForVersion(const Upstream& aUpstream, bool aSucceeded)
{
  if (m_countedSuccess && (!*m_countedSuccess || aSucceeded)) {
    return;
  }
  m_countedSuccess = aSucceeded;
  m_shared.m_rolloutEvidence.Record(
    m_service->m_name, aUpstream.m_instance.m_version, aSucceeded);
}

// Records a complete response for its upstream and its version. A slow response
// counts as a failure of the version, though not of the upstream.
void
Exchange::RecordOutcome(Upstream& aUpstream, bool aSucceeded)
{
  if (aSucceeded && !m_countedSuccess) {
    m_slowResponse = IsSlow(aUpstream, "end") || m_slowResponse;
  }
  CountForVersion(aUpstream, aSucceeded && !m_slowResponse);
  aUpstream.m_estimate.OnOutcome(aSucceeded);
}

void
Exchange::RecordBytesSent()
{
  const base::TimePoint now = m_shared.m_clock.Now();
  if (m_firstSentAt == base::TimePoint()) {
    m_firstSentAt = now;
    m_shared.m_loads.RecordAnswer(*m_service,
                                  m_upstreamDomain,
                                  m_route->m_goal > base::Millis(0) &&
                                    now - m_receivedAt > m_route->m_goal);
  } else {
    m_longestPause = std::max(m_longestPause, now - m_lastSentAt);
  }
  m_lastSentAt = now;
}

} // namespace chivefront::proxy
