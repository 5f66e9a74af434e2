// Case retries: attempts per new request in a full outage and its recovery,
// where the returning upstreams can run little more than the new requests.
#include "bench/cases.h"

#include <queue>
#include <random>

#include "chivefront/policy/retry_budget.h"

namespace chivefront::bench {
namespace {

constexpr int kMostAttempts = 4;
constexpr double kOutMs = 60000;
constexpr double kBackMs = 120000;
constexpr double kEndMs = 300000;
constexpr double kFaultShare = 0.002; // of attempts in good times
constexpr double kRetryDelayMs = 100;
constexpr double kRecoveryCapacity = 1.2; // attempts relative to new requests
constexpr double kRecoveryMs = 30000;

struct Waiting
{
  double m_at;
  int m_attempt;
  bool operator<(const Waiting& aOther) const { return m_at > aOther.m_at; }
};

struct Outcome
{
  double m_amplification = 0;
  double m_recoveryFailed = 0; // attempts over capacity after the outage
};

Outcome
RunOutage(double aPerSecond, bool aBudget, uint64_t aSeed)
{
  std::mt19937_64 random(aSeed);
  std::uniform_real_distribution<double> uniform(0, 1);
  std::exponential_distribution<double> gap(aPerSecond / 1000);
  policy::RetryBudget budget;
  std::priority_queue<Waiting> events;
  events.push({ gap(random), 0 });
  double fresh = 0;
  double attempts = 0;
  double overload = 0;
  double room = 0; // attempts that the recovering upstreams can take now
  double filled = kBackMs;
  while (!events.empty() && events.top().m_at < kEndMs) {
    Waiting event = events.top();
    events.pop();
    const double now = event.m_at;
    const base::TimePoint at{ base::Millis(static_cast<int64_t>(now)) };
    if (event.m_attempt == 0) {
      events.push({ now + gap(random), 0 });
      budget.OnNewRequest(at);
    }
    const bool counted = now >= kOutMs && now < kBackMs + kRecoveryMs;
    fresh += counted && event.m_attempt == 0 ? 1 : 0;
    attempts += counted ? 1 : 0;
    bool failed = uniform(random) < kFaultShare;
    if (now >= kOutMs && now < kBackMs) {
      failed = true;
    } else if (now >= kBackMs && now < kBackMs + kRecoveryMs) {
      room += (now - filled) * aPerSecond / 1000 * kRecoveryCapacity;
      room = std::min(room, 1 + aPerSecond);
      filled = now;
      if (room < 1) {
        failed = true;
        ++overload;
      } else {
        room -= 1;
      }
    }
    const bool again =
      failed && event.m_attempt + 1 < kMostAttempts &&
      (!aBudget || budget.TryRetry(catalog::CallerClass::Paying, at));
    if (again) {
      events.push({ now + kRetryDelayMs, event.m_attempt + 1 });
    }
  }
  return { fresh > 0 ? attempts / fresh : 1, overload };
}

} // namespace

void
RunRetries(const Seeds& aSeeds, Report& aReport)
{
  for (uint64_t i = 0; i < aSeeds.m_count; ++i) {
    const uint64_t seed = aSeeds.m_first + i;
    for (const double perSecond : { 2.0, 20.0, 200.0 }) {
      const std::string at =
        ", " + std::to_string(static_cast<int>(perSecond)) + "/s";
      const Outcome bounded = RunOutage(perSecond, true, seed);
      const Outcome free = RunOutage(perSecond, false, seed);
      aReport.Add("retries",
                  "budget" + at,
                  "attempts per request",
                  bounded.m_amplification,
                  Goal{ Better::AtMost, 1.1 });
      aReport.Add("retries",
                  "budget" + at,
                  "refused in recovery",
                  bounded.m_recoveryFailed);
      aReport.Add("retries",
                  "unlimited" + at,
                  "attempts per request",
                  free.m_amplification);
      aReport.Add("retries",
                  "unlimited" + at,
                  "refused in recovery",
                  free.m_recoveryFailed);
    }
  }
}

} // namespace chivefront::bench
