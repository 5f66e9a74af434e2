// Token buckets, and the division of team limits between entries.
#include "chivefront/policy/admission.h"

#include <algorithm>
#include <cmath>

namespace chivefront::policy {
namespace {

constexpr double kMillisPerSecond = 1000;
constexpr double kSecondsPerMinute = 60;
// Bucket sizes. Two seconds of the request rate absorb the uneven distribution
// by a load balancer; a quarter of a minute's tokens limits a single burst.
constexpr double kRateBurstSeconds = 2;
constexpr double kTokenBurstSeconds = 15;
// The freshness lease of 1500 ms plus one watch interval and a margin.
constexpr base::Millis kShareIncreaseDelay{ 2000 };
constexpr base::Millis kConcurrencyRetryAfter{ 250 };
constexpr base::Millis kFreeRetryAfter{ 1000 };
// Utilization of the entry's capacity from which free requests are refused. The
// rest is reserved, so that a paying request never waits for a free one to end.
constexpr double kMaxFreeUtilization = 0.65;
constexpr base::Millis kMaxRetryAfter{ 60000 };

} // namespace

void
Admission::Bucket::Refill(double aPerSecond,
                          double aCapacity,
                          base::TimePoint aNow)
{
  if (!m_started) {
    m_started = true;
    m_level = aCapacity;
  } else {
    const auto elapsed = static_cast<double>((aNow - m_refilled).Count());
    m_level += aPerSecond * elapsed / kMillisPerSecond;
  }
  m_level = std::min(m_level, aCapacity);
  m_refilled = aNow;
}

base::Millis
Admission::Bucket::TimeUntil(double aLevel, double aPerSecond) const
{
  if (aPerSecond <= 0) {
    return kMaxRetryAfter;
  }
  const double wait = (aLevel - m_level) / aPerSecond * kMillisPerSecond;
  return std::clamp(base::Millis(static_cast<int64_t>(std::ceil(wait))),
                    base::Millis(1),
                    kMaxRetryAfter);
}

void
Admission::SetLiveEntries(uint32_t aCount, base::TimePoint aNow)
{
  ApplyPendingEntries(aNow);
  const uint32_t count = std::max<uint32_t>(aCount, 1);
  if (count >= m_entries) {
    m_entries = count;
    m_pendingEntries = count;
  } else if (count != m_pendingEntries) {
    m_pendingEntries = count;
    m_pendingSince = aNow;
  }
}

void
Admission::ApplyPendingEntries(base::TimePoint aNow)
{
  if (m_pendingEntries != m_entries &&
      aNow - m_pendingSince >= kShareIncreaseDelay) {
    m_entries = m_pendingEntries;
  }
}

uint32_t
Admission::ShareOf(uint32_t aConcurrency) const
{
  return std::max<uint32_t>(aConcurrency / m_entries, 1);
}

uint32_t
Admission::Running(const std::string& aTeam) const
{
  const auto found = m_teams.find(aTeam);
  return found == m_teams.end() ? 0 : found->second.m_running;
}

void
Admission::Refill(const catalog::Team& aTeam,
                  TeamState& aState,
                  base::TimePoint aNow) const
{
  const double rate = aTeam.m_requestsPerSecond / m_entries;
  aState.m_requests.Refill(rate, std::max(1.0, rate * kRateBurstSeconds), aNow);
  const double tokens = static_cast<double>(aTeam.m_tokensPerMinute) /
                        kSecondsPerMinute / m_entries;
  aState.m_tokens.Refill(tokens, tokens * kTokenBurstSeconds, aNow);
}

AdmissionResult
Admission::TryAdmit(const catalog::Team& aTeam,
                    uint64_t aTokens,
                    const EntryLoad& aLoad,
                    base::TimePoint aNow)
{
  ApplyPendingEntries(aNow);
  TeamState& state = m_teams[aTeam.m_id];
  Refill(aTeam, state, aNow);
  if (aTeam.m_class == catalog::CallerClass::Free &&
      (aLoad.m_payingWaiting > 0 ||
       aLoad.m_running >= kMaxFreeUtilization * aLoad.m_capacity)) {
    return { false, RefusalReason::FreeCapacity, kFreeRetryAfter };
  }
  if (state.m_running >= ShareOf(aTeam.m_concurrency)) {
    return { false, RefusalReason::Concurrency, kConcurrencyRetryAfter };
  }
  const double rate = aTeam.m_requestsPerSecond / m_entries;
  if (state.m_requests.m_level < 1) {
    return { false, RefusalReason::Rate, state.m_requests.TimeUntil(1, rate) };
  }
  // A request larger than the bucket is admitted when the bucket is full, and
  // leaves the bucket in debt; otherwise such a request could never run.
  const double perSecond = static_cast<double>(aTeam.m_tokensPerMinute) /
                           kSecondsPerMinute / m_entries;
  const double needed =
    std::min(static_cast<double>(aTokens), perSecond * kTokenBurstSeconds);
  if (state.m_tokens.m_level < needed) {
    return { false,
             RefusalReason::Tokens,
             state.m_tokens.TimeUntil(needed, perSecond) };
  }
  state.m_requests.m_level -= 1;
  state.m_tokens.m_level -= static_cast<double>(aTokens);
  ++state.m_running;
  return { true, RefusalReason::None, {} };
}

void
Admission::Finish(const catalog::Team& aTeam,
                  uint64_t aTokens,
                  uint64_t aUsed,
                  base::TimePoint aNow)
{
  const auto found = m_teams.find(aTeam.m_id);
  if (found == m_teams.end()) {
    return;
  }
  TeamState& state = found->second;
  Refill(aTeam, state, aNow);
  state.m_running -= state.m_running > 0 ? 1 : 0;
  state.m_tokens.m_level +=
    static_cast<double>(aTokens) - static_cast<double>(aUsed);
}

} // namespace chivefront::policy
