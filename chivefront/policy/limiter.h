// The concurrency limit of one upstream, enforced by its agent.
//
//   UpstreamLimiter limiter(rule);
//   auto ticket = limiter.TryAdmit({ .m_stream = true }, now);
//   if (!ticket) ... queue or reject the request ...
//   limiter.OnFirstByte(*ticket, now);
//   limiter.Finish(*ticket, UpstreamLimiter::Result::Success, now);
//
// The limit starts at the rule's cold limit and rises by 1 for every
// m_rampSuccesses successes that were admitted while at least half the limit
// was in use. It drops at once when the upstream is lost, restarts (its
// incarnation changes), refuses work, or shows a step in latency. Not
// thread-safe.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "chivefront/base/clock.h"
#include "chivefront/catalog/catalog.h"

namespace chivefront::policy {

// Detects a lasting increase of a latency whose single samples vary widely. The
// samples are compared as logarithms, so that a step is a ratio.
class LatencyStepDetector
{
public:
  // True if the last kRunLength samples were all far above the mean.
  bool Add(base::Millis aLatency);
  // Whether a latency of aLatency is far above the mean. aLatency may also be
  // the time waited so far, a lower bound of the latency.
  bool IsHigh(base::Millis aLatency) const;
  // Number of consecutive samples so far that were far above the mean.
  uint32_t HighRun() const { return m_highRun; }
  void Reset() { *this = LatencyStepDetector(); }

private:
  // Mean and variance of the natural logarithm of the latency in ms.
  double m_mean = 0;
  double m_variance = 0;
  uint32_t m_samples = 0;
  uint32_t m_highRun = 0;
};

class UpstreamLimiter
{
public:
  enum class Result
  {
    Success,
    Neutral, // cancelled, or an error unrelated to load
    Refused, // the upstream itself refused the work, e.g. 429 or 503
  };

  struct Work
  {
    bool m_suspect = false; // was in flight when an upstream was lost
    bool m_stream = false;
  };

  // One admitted request. The caller passes it to Finish exactly once.
  struct Ticket
  {
    Work m_work;
    // The limiter's values at admission.
    uint64_t m_generation = 0;
    uint64_t m_epoch = 0;
    bool m_countsForRamp = false; // admitted while half the limit was in use
    bool m_latencyAdded = false;
    base::TimePoint m_admitted;
  };

  explicit UpstreamLimiter(const catalog::UpstreamRule& aRule);

  // Takes effect at once. A new rule can lower the limit, but raises it only
  // while the limit is still the cold limit.
  void SetRule(const catalog::UpstreamRule& aRule);

  // Nothing if the limit is reached, if aWork is a second suspect, or during
  // the pause after refused work.
  std::optional<Ticket> TryAdmit(const Work& aWork, base::TimePoint aNow);
  void OnFirstByte(Ticket& aTicket, base::TimePoint aNow);
  void Finish(const Ticket& aTicket, Result aResult, base::TimePoint aNow);

  // The upstream was lost with all the work that it ran. Earlier tickets are
  // void; finishing them has no effect.
  void OnLost(base::TimePoint aNow);
  // Called with each announcement of the upstream. A changed incarnation means
  // that the upstream is cold and runs none of the requests admitted before.
  void OnIncarnation(std::string_view aIncarnation, base::TimePoint aNow);

  // For load reports only: TryAdmit may drop the limit first if first bytes are
  // overdue.
  uint32_t Limit() const { return m_limit; }
  uint32_t Running() const { return m_running; }
  bool SuspectRunning() const { return m_suspectRunning; }
  // Number of drops of the limit, for metrics.
  uint64_t Drops() const { return m_epoch; }
  // The earliest time at which TryAdmit can succeed after refused work.
  base::TimePoint PausedUntil() const { return m_pausedUntil; }

private:
  // Lowers the limit to at most aLimit and restarts the ramp.
  void Drop(uint32_t aLimit);
  // Makes all tickets void.
  void VoidTickets();
  void AddLatency(const Ticket& aTicket, base::TimePoint aNow);
  void AddSuccess(const Ticket& aTicket);
  void RemoveAwaitedFirstByte(const Ticket& aTicket);
  bool AreFirstBytesOverdue(base::TimePoint aNow) const;

  catalog::UpstreamRule m_rule;
  std::string m_incarnation;
  uint32_t m_limit;
  uint32_t m_running = 0;
  uint32_t m_successes = 0;
  uint32_t m_refusals = 0; // since the last success
  bool m_suspectRunning = false;
  uint64_t m_generation = 0; // increases when tickets become void
  uint64_t m_epoch = 0;      // increases when the limit drops
  base::TimePoint m_pausedUntil;
  // Admission times of streams that have not had their first byte.
  std::multiset<base::TimePoint> m_awaitedFirstBytes;
  LatencyStepDetector m_streamLatency; // time to the first byte
  LatencyStepDetector m_unaryLatency;  // time to the whole answer
};

} // namespace chivefront::policy
