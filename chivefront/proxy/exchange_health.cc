// What an attempt tells about its upstream, and when it is left for silence.
#include <algorithm>

#include "chivefront/proxy/exchange.h"
#include "chivefront/proxy/retry_after.h"
#include "chivefront/routing/silence.h"

namespace chivefront::proxy {
namespace detail {

// The largest model of an upstream reads at least this fast when it is idle.
constexpr double kSlowestTokensPerMs = 30;

// An answer that takes this many times as long as usual counts against its
// version.
constexpr double kSlowAnswer = 3.5;
// Fixed part of the time to the head, as tokens that are read meanwhile.
constexpr double kFixedTokens = 3000;
// Pieces of a stream from which its pace can be told.
constexpr uint64_t kFewestPieces = 8;

// A timer that fires this late tells that the process stood still.
constexpr base::Millis kLateTimer{ 150 };

} // namespace detail

// How long the head of an answer is waited for before another upstream is
// asked. A request that can't be repeated, or has no attempt left, waits.
base::Millis
Exchange::HeadPatience(const Upstream& aUpstream) const
{
  const bool last = m_sends >= m_route->m_maxAttempts;
  const base::TimePoint now = m_parts.m_clock.Now();
  const bool busy = aUpstream.m_estimate.Load(now) >
                    static_cast<double>(aUpstream.m_instance.m_slots);
  if (!IsRepeatable() || last || busy || m_route->m_goal <= base::Millis(0)) {
    return Left() + detail::kRetryLater; // the deadline comes first
  }
  const auto reading =
    static_cast<int64_t>(m_facts.m_promptTokens / detail::kSlowestTokensPerMs);
  return m_route->m_goal / 2 + base::Millis(reading);
}

// Looks after aWait whether the running attempt gets an answer.
void
Exchange::WatchSilence(const UpstreamPointer& aUpstream, base::Millis aWait)
{
  const base::TimePoint due = m_parts.m_clock.Now() + aWait;
  m_silenceTimer.expires_after(aWait.ToChrono());
  m_silenceTimer.async_wait(
    [self = shared_from_this(), aUpstream, attempt = m_attempts, due](
      const boost::system::error_code& aError) {
      if (aError || self->m_attempts != attempt || !self->m_connection) {
        return;
      }
      // After a pause of the process itself, what has arrived is read first.
      if (self->m_parts.m_clock.Now() - due > detail::kLateTimer) {
        self->WatchSilence(aUpstream, routing::kSilenceTimeout);
        return;
      }
      self->OnSilence(aUpstream);
    });
}

// Leaves the upstream when another one is likely to answer sooner.
void
Exchange::OnSilence(const UpstreamPointer& aUpstream)
{
  const base::TimePoint now = m_parts.m_clock.Now();
  const routing::UpstreamEstimate& estimate = aUpstream->m_estimate;
  const bool headRead = m_headAt != base::TimePoint();
  const bool leaves =
    headRead
      ? routing::IsStreamStalled(estimate, m_route->m_pauseGoal, m_pieceAt, now)
      : routing::IsHeadOverdue(estimate, m_headPatience, m_sentAt, now);
  if (m_writing || !leaves || !MayGoElsewhere()) {
    WatchSilence(aUpstream, routing::kSilenceTimeout);
    return;
  }
  m_parts.m_log.Record(
    "silent_upstream_left",
    base::LogWeight::Failure,
    { { "request", m_facts.m_attemptId },
      { "upstream", m_lastUpstream },
      { "head", headRead ? "read" : "awaited" },
      { "waited_ms", (now - m_sentAt).Count() },
      { "silent_ms", (now - m_pieceAt).Count() },
      { "heard_ms", (now - estimate.LastReceivedAt()).Count() } });
  m_connection->Close();
}

// Whether a repeat was taken from the budget for an upstream that is there.
bool
Exchange::MayGoElsewhere()
{
  const bool resumable = !m_caller->Started() || m_events.LastId();
  if (!IsRepeatable() || !resumable || m_repeatGranted ||
      !m_parts.m_upstreams.AnyOpen(Need())) {
    return false;
  }
  m_repeatGranted = MayRepeat();
  return m_repeatGranted;
}

void
Exchange::NotePiece(Upstream& aUpstream)
{
  m_pieceAt = m_parts.m_clock.Now();
  aUpstream.m_estimate.OnBytesReceived(m_pieceAt);
}

void
Exchange::NoteHead(Upstream& aUpstream)
{
  if (m_awaitsHead) {
    m_awaitsHead = false;
    aUpstream.m_estimate.OnHead();
  }
}

void
Exchange::NoteHeadPace(Upstream& aUpstream)
{
  m_headAt = m_parts.m_clock.Now();
  m_pieceAt = m_headAt;
  m_pieces = 0;
  const auto waited = static_cast<double>((m_headAt - m_sentAt).Count());
  const double size = detail::kFixedTokens + m_facts.m_promptTokens;
  const double ratio = m_parts.m_baselines.Ratio(
    "head/" + m_route->m_name + "/" + Model(), (waited + 1) / size);
  m_slow = ratio > detail::kSlowAnswer;
  aUpstream.m_estimate.OnLatencyRatio(ratio, m_headAt);
}

// Time between the events of a stream.
void
Exchange::NoteEventPace(Upstream& aUpstream)
{
  if (m_pieces < detail::kFewestPieces) {
    return;
  }
  const base::TimePoint now = m_parts.m_clock.Now();
  const auto took = static_cast<double>((now - m_headAt).Count());
  const double ratio = m_parts.m_baselines.Ratio(
    "event/" + Model(), (took + 1) / static_cast<double>(m_pieces));
  m_slow = m_slow || ratio > detail::kSlowAnswer;
  aUpstream.m_estimate.OnLatencyRatio(ratio, now);
}

// How a whole answer counts for its upstream and its version. A slow one is no
// better for the version than a failed one.
void
Exchange::NoteOutcome(Upstream& aUpstream, bool aGood)
{
  m_parts.m_evidence.Note(
    m_service->m_name, aUpstream.m_instance.m_version, aGood && !m_slow);
  aUpstream.m_estimate.OnOutcome(aGood);
}

void
Exchange::NotePassed()
{
  const base::TimePoint now = m_parts.m_clock.Now();
  if (m_firstPassedAt == base::TimePoint()) {
    m_firstPassedAt = now;
  } else {
    m_longestPause = std::max(m_longestPause, now - m_lastPassedAt);
  }
  m_lastPassedAt = now;
}

void
Exchange::NotePromptParts(Upstream& aUpstream) const
{
  const std::string model = Model();
  for (const PromptPart& part : m_facts.m_promptParts) {
    aUpstream.m_estimate.OnPromptPartSent(model + "/" + part.m_id,
                                          m_parts.m_clock.Now());
  }
}

void
Exchange::LogAttempt(std::string_view aEnd, std::string_view aWhy) const
{
  m_parts.m_log.Record(
    "attempt_failed",
    base::LogWeight::Failure,
    { { "request", m_facts.m_attemptId },
      { "end", aEnd },
      { "why", aWhy },
      { "upstream", m_lastUpstream },
      { "model", Model() },
      { "send", static_cast<uint64_t>(m_sends) },
      { "took_ms", (m_parts.m_clock.Now() - m_sentAt).Count() },
      { "last_event", m_events.LastId().value_or(0) } });
}

} // namespace chivefront::proxy
