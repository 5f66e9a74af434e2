// Issue and use of permits, and the slots of entries without control.
#include "chivefront/routing/send_permits.h"

#include <algorithm>

namespace chivefront::routing {
namespace detail {

// Permits that may be issued at once because nobody asked before, as the time
// in which they accrue: one period between the polls of an entry.
constexpr double kPermitBurstSeconds = 0.2;
// An entry without control uses this part of its even share. The rest covers
// requests of several entries that fall together by chance.
constexpr double kFallbackShare = 0.3;
// How long a slot stays open. Requests arrive at any time, and a slot without
// one is lost.
constexpr base::Millis kSlotDuration{ 1000 };
constexpr double kMillisPerSecond = 1000;

// Time between two slots of one entry.
base::Millis
SlotPeriod(double aPerSecond, uint32_t aEntries)
{
  const double perSecond =
    kFallbackShare * aPerSecond / static_cast<double>(aEntries);
  return base::Millis(
    std::max<int64_t>(1, static_cast<int64_t>(kMillisPerSecond / perSecond)));
}

// Mixes seed and key, so that the slots of two entries at one upstream, and of
// one entry at two upstreams, are independent.
uint64_t
Mix(uint64_t aSeed, PermitKey aKey)
{
  uint64_t value = aSeed ^ (aKey * 0x9E3779B97F4A7C15ULL);
  value ^= value >> 31;
  value *= 0xBF58476D1CE4E5B9ULL;
  return value ^ (value >> 29);
}

} // namespace detail

uint32_t
PermitIssuer::HeldByOthers(Issued& aIssued,
                           const std::string& aHolder,
                           base::TimePoint aNow)
{
  std::erase_if(aIssued.m_holdings, [aNow](const auto& aItem) {
    return aItem.second.m_until <= aNow;
  });
  uint32_t held = 0;
  for (const auto& [holder, holding] : aIssued.m_holdings) {
    held += holder == aHolder ? 0 : holding.m_count;
  }
  return held;
}

uint32_t
PermitIssuer::Issue(const std::string& aHolder,
                    const PermitRequest& aRequest,
                    base::TimePoint aNow)
{
  const RateBound& bound = aRequest.m_bound;
  Issued& issued = m_issued[bound.m_key];
  issued.m_askedAt = aNow;
  const double perSecond =
    bound.m_perSecond *
    (1 - detail::kFallbackShare * m_census.AbsentShare(aNow));
  const double burst = 1 + perSecond * detail::kPermitBurstSeconds;
  const uint32_t others = HeldByOthers(issued, aHolder, aNow);
  uint32_t held = aRequest.m_held;
  while (held < aRequest.m_wanted && others + held < bound.m_maxHeld &&
         issued.m_bucket.Take(perSecond, burst, aNow)) {
    ++held;
  }
  issued.m_holdings[aHolder] = { held, aNow + kPermitLifetime };
  return held - aRequest.m_held;
}

void
PermitIssuer::Expire(base::TimePoint aBefore)
{
  std::erase_if(m_issued, [aBefore](const auto& aItem) {
    return aItem.second.m_askedAt < aBefore;
  });
}

void
SendPermits::Renew(const PermitGrant& aGrant, base::TimePoint aUntil)
{
  Held& held = m_held[aGrant.m_key];
  held.m_count += aGrant.m_count;
  held.m_until = aUntil;
}

uint32_t
SendPermits::Count(PermitKey aKey, base::TimePoint aNow) const
{
  const auto found = m_held.find(aKey);
  const bool valid = found != m_held.end() && aNow < found->second.m_until;
  return valid ? found->second.m_count : 0;
}

bool
SendPermits::Take(PermitKey aKey, base::TimePoint aNow)
{
  if (Count(aKey, aNow) == 0) {
    return false;
  }
  --m_held[aKey].m_count;
  return true;
}

void
SendPermits::Expire(base::TimePoint aNow)
{
  std::erase_if(
    m_held, [aNow](const auto& aItem) { return aItem.second.m_until <= aNow; });
}

bool
FallbackSlots::Ready(PermitKey aKey,
                     double aPerSecond,
                     uint32_t aEntries,
                     base::TimePoint aNow) const
{
  const auto used = m_usedUntil.find(aKey);
  if (used != m_usedUntil.end() && aNow < used->second) {
    return false;
  }
  const base::Millis period = detail::SlotPeriod(aPerSecond, aEntries);
  const auto phase = static_cast<int64_t>(
    detail::Mix(m_seed, aKey) % static_cast<uint64_t>(period.Count()));
  const int64_t sinceSlot = (aNow.SinceBoot().Count() + phase) % period.Count();
  return sinceSlot < detail::kSlotDuration.Count();
}

bool
FallbackSlots::Take(PermitKey aKey,
                    double aPerSecond,
                    uint32_t aEntries,
                    base::TimePoint aNow)
{
  if (!Ready(aKey, aPerSecond, aEntries, aNow)) {
    return false;
  }
  const base::Millis period = detail::SlotPeriod(aPerSecond, aEntries);
  m_usedUntil[aKey] = aNow + std::min(period, detail::kSlotDuration);
  return true;
}

void
FallbackSlots::Expire(base::TimePoint aNow)
{
  std::erase_if(m_usedUntil,
                [aNow](const auto& aItem) { return aItem.second <= aNow; });
}

} // namespace chivefront::routing
