// Merging of observations from several processes.
#include "chivefront/routing/request_limits.h"

#include <algorithm>
#include <unordered_set>

#include "chivefront/base/ids.h"

namespace chivefront::routing {
namespace detail {

// Times of other processes are ages in messages, so a message that returns to
// its sender makes the same observation look newer by its travel time.
constexpr base::Millis kClockTolerance{ 50 };
// Late observations of other processes arrive within this time.
constexpr base::Millis kWithdrawnRetention{ 10000 };
// An upstream that cannot reach control may come back within this time and
// still has its limit.
constexpr base::Millis kUnregisteredRetention{ 60000 };
// Permits that the entries may hold unused: a fixed number, so that several
// entries can use a small limit, and those of some time. Together with the
// requests of any 4 s they stay within 1.5 times the limit and 5 requests.
constexpr double kMaxHeld = 3;
constexpr double kMaxHeldSeconds = 1;

} // namespace detail

UpstreamKey
MakeUpstreamKey(const Instance& aInstance)
{
  return base::StableHash(aInstance.m_id, aInstance.m_born);
}

LimitChange
RequestLimits::Record(const LimitObservation& aObservation)
{
  const auto found = m_latest.find(aObservation.m_upstream);
  if (found == m_latest.end()) {
    if (!aObservation.m_perSecond) {
      return LimitChange::None;
    }
    m_latest.emplace(aObservation.m_upstream, aObservation);
    return LimitChange::Stated;
  }
  LimitObservation& latest = found->second;
  if (latest.m_perSecond == aObservation.m_perSecond) {
    if (aObservation.m_heardAt > latest.m_heardAt + detail::kClockTolerance) {
      latest.m_heardAt = aObservation.m_heardAt;
    }
    return LimitChange::None;
  }
  if (aObservation.m_heardAt < latest.m_heardAt) {
    return LimitChange::None;
  }
  latest = aObservation;
  return latest.m_perSecond ? LimitChange::Stated : LimitChange::Withdrawn;
}

std::optional<double>
RequestLimits::Find(UpstreamKey aUpstream) const
{
  const auto found = m_latest.find(aUpstream);
  return found == m_latest.end() ? std::nullopt : found->second.m_perSecond;
}

std::optional<RateBound>
RequestLimits::FindBound(UpstreamKey aUpstream) const
{
  const auto limit = Find(aUpstream);
  if (!limit) {
    return std::nullopt;
  }
  const double perSecond = std::max(*limit, kMinRequestRate);
  const auto maxHeld = static_cast<uint32_t>(
    detail::kMaxHeld + perSecond * detail::kMaxHeldSeconds);
  return RateBound{ aUpstream, perSecond, maxHeld };
}

void
RequestLimits::ExpireUnregistered(const Registry& aRegistry,
                                  base::TimePoint aNow)
{
  std::unordered_set<UpstreamKey> registered;
  aRegistry.ForEach([&](const Instance& aInstance) {
    registered.insert(MakeUpstreamKey(aInstance));
  });
  Expire(
    aNow - detail::kWithdrawnRetention,
    aNow - detail::kUnregisteredRetention,
    [&](UpstreamKey aUpstream) { return registered.count(aUpstream) > 0; });
}

std::vector<LimitObservation>
RequestLimits::All() const
{
  std::vector<LimitObservation> all;
  for (const auto& [key, observation] : m_latest) {
    all.push_back(observation);
  }
  return all;
}

} // namespace chivefront::routing
