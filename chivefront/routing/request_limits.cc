// Merging of observations from several processes.
#include "chivefront/routing/request_limits.h"

#include "chivefront/base/ids.h"

namespace chivefront::routing {
namespace detail {

// Times of other processes are ages in messages, so a message that returns to
// its sender makes the same observation look newer by its travel time.
constexpr base::Millis kClockTolerance{ 50 };

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
