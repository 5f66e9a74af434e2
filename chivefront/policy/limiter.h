// The concurrency limit of one upstream, held by its agent.
//
//   UpstreamLimiter limiter(rule);
//   auto ticket = limiter.TryAdmit({ .m_stream = true }, now);
//   if (!ticket) ... queue the request or reject it ...
//   limiter.OnFirstByte(*ticket, now);
//   limiter.Finish(*ticket, UpstreamLimiter::Result::Success, now);
//
// The limit starts at the rule's cold limit and rises by one for every
// m_rampSuccesses successes that ran while the limit was at least half used.
// It drops at once on a changed incarnation, refused work, a step in latency
// or a loss. Not thread-safe.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "chivefront/base/clock.h"
#include "chivefront/catalog/catalog.h"

namespace chivefront::policy {

// Notices a lasting rise of a latency whose single samples vary widely. Works
// on logarithms, so that a step is a ratio.
class LatencyStepDetector
{
public:
  // True when the last kRunLength samples were all far above the mean.
  bool Add(base::Millis aLatency);
  // True when a latency of at least aWaited would count as far above.
  bool IsHigh(base::Millis aWaited) const;
  // Samples far above the mean in a row so far.
  uint32_t HighRun() const { return m_highRun; }
  void Reset() { *this = LatencyStepDetector(); }

private:
  double m_mean = 0;     // of the natural logarithm
  double m_variance = 0; // likewise
  uint32_t m_samples = 0;
  uint32_t m_highRun = 0;
};

class UpstreamLimiter
{
public:
  enum class Result
  {
    Success,
    Neutral, // cancelled, or an error that says nothing about load
    Refused, // the upstream itself refused the work, e.g. 429 or 503
  };

  struct Work
  {
    bool m_suspect = false;
    bool m_stream = false;
  };

  // One admitted request; given back with Finish exactly once.
  struct Ticket
  {
    Work m_work;
    uint64_t m_generation = 0;
    uint64_t m_epoch = 0;
    bool m_countsForRamp = false; // admitted while the limit was half used
    bool m_timed = false;         // its latency has been counted
    base::TimePoint m_admitted;
  };

  explicit UpstreamLimiter(const catalog::UpstreamRule& aRule);

  // Takes effect at once; the limit is clipped, never raised, by a new rule.
  void SetRule(const catalog::UpstreamRule& aRule);

  // Nothing when the limit is reached, when aWork is a second suspect, or
  // during the pause after a refusal.
  std::optional<Ticket> TryAdmit(const Work& aWork, base::TimePoint aNow);
  void OnFirstByte(Ticket& aTicket, base::TimePoint aNow);
  void Finish(const Ticket& aTicket, Result aResult, base::TimePoint aNow);

  // The upstream is gone with all it ran. Tickets given before are void;
  // finishing them has no effect.
  void OnLost(base::TimePoint aNow);
  // Called with each announcement; a change means that the upstream is cold
  // and holds none of the requests admitted before.
  void OnIncarnation(std::string_view aIncarnation, base::TimePoint aNow);

  // For reports. Only TryAdmit decides: it may drop the limit itself, when
  // first bytes are overdue.
  uint32_t Limit() const { return m_limit; }
  uint32_t Running() const { return m_running; }
  bool SuspectRunning() const { return m_suspectRunning; }
  // How often the limit has dropped, for metrics.
  uint64_t Drops() const { return m_epoch; }
  // The earliest time at which TryAdmit can succeed again after a refusal.
  base::TimePoint PausedUntil() const { return m_pausedUntil; }

private:
  void Drop(uint32_t aLimit);
  void Forget();
  void AddLatency(const Ticket& aTicket, base::TimePoint aNow);
  void AddSuccess(const Ticket& aTicket);
  void NoteFirstByte(const Ticket& aTicket);
  bool Overdue(base::TimePoint aNow) const;

  catalog::UpstreamRule m_rule;
  std::string m_incarnation;
  uint32_t m_limit;
  uint32_t m_running = 0;
  uint32_t m_successes = 0;
  uint32_t m_refusals = 0; // in a row
  bool m_suspectRunning = false;
  uint64_t m_generation = 0; // rises when running work becomes void
  uint64_t m_epoch = 0;      // rises when the limit drops
  base::TimePoint m_pausedUntil;
  // Admission times of streams without a first byte.
  std::multiset<base::TimePoint> m_awaiting;
  LatencyStepDetector m_streamLatency; // to the first byte
  LatencyStepDetector m_unaryLatency;  // to the whole answer
};

} // namespace chivefront::policy
