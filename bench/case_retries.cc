// Case retries: attempts per new request in a full outage and its recovery.
// During the recovery the upstreams can run only kRecoveryCapacity times the
// rate of new requests.
#include "bench/cases.h"

#include <queue>
#include <random>

#include "chivefront/policy/retry_budget.h"

namespace chivefront::bench {
namespace {

constexpr int kMaxAttempts = 4;
constexpr double kOutageStartMs = 60000;
constexpr double kOutageEndMs = 120000;
constexpr double kEndMs = 300000;
constexpr double kFaultShare = 0.002; // of attempts outside the outage
constexpr double kRetryDelayMs = 100;
constexpr double kRecoveryCapacity = 1.2; // attempts relative to new requests
constexpr double kRecoveryMs = 30000;

struct Attempt
{
  double m_at;
  int m_attempt;
  bool operator<(const Attempt& aOther) const { return m_at > aOther.m_at; }
};

struct Outcome
{
  double m_amplification = 0;
  double m_refusedInRecovery = 0; // attempts over capacity after the outage
};

Outcome
RunOutage(double aPerSecond, bool aBudget, uint64_t aSeed)
{
  std::mt19937_64 random(aSeed);
  std::uniform_real_distribution<double> uniform(0, 1);
  std::exponential_distribution<double> gap(aPerSecond / 1000);
  policy::RetryBudget budget;
  std::priority_queue<Attempt> events;
  events.push({ gap(random), 0 });
  double newRequests = 0;
  double attempts = 0;
  double overload = 0;
  // Token bucket of the attempts that the recovering upstreams can run.
  double capacityTokens = 0;
  double refilledAtMs = kOutageEndMs;
  while (!events.empty() && events.top().m_at < kEndMs) {
    Attempt event = events.top();
    events.pop();
    const double now = event.m_at;
    const base::TimePoint at{ base::Millis(static_cast<int64_t>(now)) };
    if (event.m_attempt == 0) {
      events.push({ now + gap(random), 0 });
      budget.OnNewRequest(at);
    }
    const bool counted =
      now >= kOutageStartMs && now < kOutageEndMs + kRecoveryMs;
    newRequests += counted && event.m_attempt == 0 ? 1 : 0;
    attempts += counted ? 1 : 0;
    bool failed = uniform(random) < kFaultShare;
    if (now >= kOutageStartMs && now < kOutageEndMs) {
      failed = true;
    } else if (now >= kOutageEndMs && now < kOutageEndMs + kRecoveryMs) {
      capacityTokens +=
        (now - refilledAtMs) * aPerSecond / 1000 * kRecoveryCapacity;
      capacityTokens = std::min(capacityTokens, 1 + aPerSecond);
      refilledAtMs = now;
      if (capacityTokens < 1) {
        failed = true;
        ++overload;
      } else {
        capacityTokens -= 1;
      }
    }
    const bool retries =
      failed && event.m_attempt + 1 < kMaxAttempts &&
      (!aBudget || budget.TryRetry(catalog::CallerClass::Paying, at));
    if (retries) {
      events.push({ now + kRetryDelayMs, event.m_attempt + 1 });
    }
  }
  return { newRequests > 0 ? attempts / newRequests : 1, overload };
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
                  Goal{ GoalKind::AtMost, 1.1 });
      aReport.Add("retries",
                  "budget" + at,
                  "refused in recovery",
                  bounded.m_refusedInRecovery);
      aReport.Add("retries",
                  "unlimited" + at,
                  "attempts per request",
                  free.m_amplification);
      aReport.Add("retries",
                  "unlimited" + at,
                  "refused in recovery",
                  free.m_refusedInRecovery);
    }
  }
}

} // namespace chivefront::bench
