// Case limiter: a fully loaded engine becomes cold without a new incarnation.
// Counts the work that is admitted beyond what it can then handle, until the
// limiter lowers its limit because of latency or refused work.
#include "bench/cases.h"

#include <algorithm>
#include <cmath>
#include <queue>
#include <random>

#include "chivefront/policy/limiter.h"

namespace chivefront::bench {
namespace {

using policy::UpstreamLimiter;

constexpr uint32_t kFullLimit = 8;
constexpr uint32_t kColdLimit = 2;
// Completions after which the engine's true capacity grows by one.
constexpr uint32_t kCompletionsPerWarmStep = 3;
constexpr double kColdAtMs = 60000;
constexpr double kEndMs = 120000;
constexpr double kLoad = 0.9; // share of the time in which work is waiting

enum class Reaction
{
  Slows,   // latency grows with the square of running work / capacity
  Refuses, // refuses work beyond its capacity
};

struct Event
{
  double m_at;
  bool m_first; // true: first byte; false: end of the answer
  UpstreamLimiter::Ticket m_ticket;
  bool m_refused = false;
  bool operator<(const Event& aOther) const { return m_at > aOther.m_at; }
};

struct Outcome
{
  // Requests admitted beyond the capacity after the engine became cold.
  double m_admittedBeyondCapacity = 0;
  double m_firstDropMs = 0; // from the change to the first drop of the limit
  double m_falseDrops = 0;  // drops of the limit before the change
  double m_recoveredMs = 0; // from the change to the full limit
};

Outcome
RunLimiter(Reaction aReaction, uint64_t aSeed)
{
  std::mt19937_64 random(aSeed);
  std::lognormal_distribution<double> firstMs(std::log(200), 0.3);
  std::lognormal_distribution<double> restMs(std::log(800), 0.5);
  std::bernoulli_distribution waiting(kLoad);
  catalog::UpstreamRule rule;
  rule.m_coldLimit = kColdLimit;
  rule.m_fullLimit = kFullLimit;
  UpstreamLimiter limiter(rule);
  std::priority_queue<Event> events;
  uint32_t capacity = kColdLimit;
  uint32_t done = 0;
  bool becameCold = false;
  Outcome outcome;
  uint64_t dropsBefore = 0;
  for (double now = 0; now < kEndMs; now += 10) {
    const base::TimePoint at{ base::Millis(static_cast<int64_t>(now)) };
    if (!becameCold && now >= kColdAtMs) {
      becameCold = true;
      capacity = kColdLimit;
      done = 0;
      dropsBefore = limiter.Drops();
      outcome.m_falseDrops = static_cast<double>(dropsBefore);
    }
    while (!events.empty() && events.top().m_at <= now) {
      Event event = events.top();
      events.pop();
      if (event.m_first) {
        limiter.OnFirstByte(event.m_ticket, at);
        event.m_first = false;
        event.m_at = now + restMs(random);
        events.push(event);
        continue;
      }
      limiter.Finish(event.m_ticket,
                     event.m_refused ? UpstreamLimiter::Result::Refused
                                     : UpstreamLimiter::Result::Success,
                     at);
      done += event.m_refused ? 0 : 1;
      capacity =
        std::min(kFullLimit, kColdLimit + done / kCompletionsPerWarmStep);
    }
    while (waiting(random)) {
      const auto ticket = limiter.TryAdmit({ .m_stream = true }, at);
      if (!ticket) {
        break;
      }
      const double excess =
        std::max(1.0, static_cast<double>(limiter.Running()) / capacity);
      outcome.m_admittedBeyondCapacity += becameCold && excess > 1 ? 1 : 0;
      if (aReaction == Reaction::Refuses && excess > 1) {
        events.push({ now + 5, false, *ticket, true });
      } else {
        events.push({ now + firstMs(random) * excess * excess, true, *ticket });
      }
    }
    if (becameCold && limiter.Drops() > dropsBefore &&
        outcome.m_firstDropMs == 0) {
      outcome.m_firstDropMs = now - kColdAtMs;
    }
    if (outcome.m_firstDropMs > 0 && outcome.m_recoveredMs == 0 &&
        limiter.Limit() == kFullLimit) {
      outcome.m_recoveredMs = now - kColdAtMs;
    }
  }
  return outcome;
}

} // namespace

void
RunLimiterCase(const Seeds& aSeeds, Report& aReport)
{
  for (uint64_t i = 0; i < aSeeds.m_count; ++i) {
    for (const Reaction reaction : { Reaction::Slows, Reaction::Refuses }) {
      const Outcome outcome = RunLimiter(reaction, aSeeds.m_first + i);
      const char* name =
        reaction == Reaction::Slows ? "cold engine slows" : "it refuses";
      aReport.Add("limiter",
                  name,
                  "admitted beyond capacity",
                  outcome.m_admittedBeyondCapacity);
      aReport.Add("limiter", name, "noticed after, ms", outcome.m_firstDropMs);
      aReport.Add(
        "limiter", name, "full again after, ms", outcome.m_recoveredMs);
      aReport.Add(
        "limiter", name, "drops in 60 s of good times", outcome.m_falseDrops);
    }
  }
}

} // namespace chivefront::bench
