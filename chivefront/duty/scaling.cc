// The rules for the number of upstreams.
#include "chivefront/duty/scaling.h"

#include <algorithm>
#include <cmath>

namespace chivefront::duty {
namespace detail {

// Time constants of the averages of the load and of its slope. The slope is
// averaged for longer because the noise of a difference is larger.
constexpr double kLevelMs = 1000;
constexpr double kSlopeMs = 2000;
// Most of the level that the extrapolation adds, because the slope of a sudden
// step ends with the step.
constexpr double kMaxRiseShare = 0.5;
// Start-up times for which the load must have been low before a reduction. A
// load that comes back sooner would find the upstreams still starting.
constexpr int kLowStartups = 3;
constexpr base::Millis kMinLowPeriod{ 5000 };
// Between an order and the next increase. Orders are charged, and the average
// takes as long to follow a step.
constexpr base::Millis kIncreasePause{ 1000 };
// Share of the slots in place up to which waiting requests are no queue: a few
// wait on any busy upstream.
constexpr double kQueueShare = 0.1;
// The load of a domain moves before its loss is known; the loads of so long ago
// are those from before.
constexpr base::Millis kLossKnownAfter{ 10000 };
// Time constant of the sums of answers.
constexpr double kAnswersMs = 4000;
// A domain where more of the answers than this miss their goals gets one more
// upstream, if there are enough answers to judge by and the upstreams are in
// use by at least kMinUseForMisses; below that, the cause is not their number.
constexpr double kMissedShare = 0.1;
constexpr double kMinAnswers = 20;
constexpr double kMinUseForMisses = 0.4;
// Time constant with which the use to aim at returns to kTargetUse.
constexpr double kTargetUseMs = 300000;
// A domain that is gone for longer than this is no longer part of the service.
constexpr base::Millis kForgetLostAfter{ 600000 };

double
Decay(base::Millis aElapsed, double aTimeConstantMs)
{
  return std::exp(-static_cast<double>(aElapsed.Count()) / aTimeConstantMs);
}

double
SlotsInPlace(const ServiceLoad& aLoad)
{
  return static_cast<double>(aLoad.m_slots) *
         std::max<uint32_t>(1, aLoad.m_ready);
}

bool
HasQueue(const ServiceLoad& aLoad)
{
  return aLoad.m_waiting > kQueueShare * SlotsInPlace(aLoad);
}

// The load in upstreams: of slots or of prompt memory, whichever is scarcer.
// The queue counts at most as much as the slots in place, so that a queue that
// grows while new upstreams start does not order ever more of them.
double
LoadOf(const ServiceLoad& aLoad)
{
  double upstreams = 0;
  if (aLoad.m_slots > 0) {
    const double queue = std::min(aLoad.m_waiting, SlotsInPlace(aLoad));
    upstreams = (aLoad.m_slotsInUse + queue) / aLoad.m_slots;
  }
  if (aLoad.m_tokens > 0) {
    upstreams = std::max(
      upstreams, aLoad.m_tokensInUse / static_cast<double>(aLoad.m_tokens));
  }
  return upstreams;
}

// An idle domain keeps one upstream, because its first request would wait for
// the start of one.
uint32_t
WithinBounds(double aNumber, const ScalingBounds& aBounds)
{
  const uint32_t least = std::min(std::max<uint32_t>(1, aBounds.m_minUpstreams),
                                  aBounds.m_maxUpstreams);
  return static_cast<uint32_t>(
    std::clamp<double>(aNumber, least, aBounds.m_maxUpstreams));
}

// Whether all upstreams of the number in force serve.
bool
IsComplete(const ScalingSubject& aSubject, const ServiceLoad& aLoad)
{
  return aLoad.m_starting == 0 && aLoad.m_ready >= aSubject.m_inForce;
}

// Lowers the use to aim at when goals are missed for lack of upstreams, so that
// one more is needed for the present load. It rises again in the long run,
// because the requests may have changed.
void
LearnTargetUse(const ServiceLoad& aLoad,
               base::Millis aElapsed,
               ScalingSubject& aSubject)
{
  aSubject.m_targetUse = kTargetUse + (aSubject.m_targetUse - kTargetUse) *
                                        Decay(aElapsed, kTargetUseMs);
  if (!IsComplete(aSubject, aLoad)) {
    // These answers say nothing about the number in force.
    aSubject.m_answers = 0;
    aSubject.m_goalsMissed = 0;
    return;
  }
  const double level = aSubject.m_load.Level();
  if (aSubject.m_answers >= kMinAnswers &&
      aSubject.m_goalsMissed > kMissedShare * aSubject.m_answers &&
      level >= kMinUseForMisses * aLoad.m_ready) {
    aSubject.m_targetUse =
      std::min(aSubject.m_targetUse, level / (aLoad.m_ready + 1));
  }
}

uint32_t
NeedOf(const ScalingSubject& aSubject, const ServiceLoad& aLoad)
{
  // A quotient that is whole but for rounding errors is not rounded up.
  constexpr double kRoundingError = 1e-6;
  // The step that follows the loss of a domain is no trend.
  const double expected =
    aSubject.m_takenOver > 0
      ? std::max(aSubject.m_load.Level(), aSubject.m_takenOver)
      : aSubject.m_load.Ahead(aLoad.m_bounds.m_startup);
  return WithinBounds(
    std::ceil(expected / aSubject.m_targetUse - kRoundingError),
    aLoad.m_bounds);
}

void
LoadTrend::Add(double aLoad, base::TimePoint aNow)
{
  if (!m_at) {
    m_level = aLoad;
  } else if (const base::Millis elapsed = aNow - *m_at;
             elapsed > base::Millis(0)) {
    const double before = m_level;
    m_level = aLoad + (m_level - aLoad) * Decay(elapsed, kLevelMs);
    const double slope =
      (m_level - before) / static_cast<double>(elapsed.Count());
    m_slope = slope + (m_slope - slope) * Decay(elapsed, kSlopeMs);
  }
  m_at = aNow;
}

double
LoadTrend::Ahead(base::Millis aAhead) const
{
  const double rise = m_slope * static_cast<double>(aAhead.Count());
  return m_level + std::clamp(rise, 0.0, m_level * kMaxRiseShare);
}

void
EarlierLoad::Add(double aLoad, base::TimePoint aNow)
{
  m_loads.emplace_back(aNow, aLoad);
  while (aNow - m_loads.front().first > kLossKnownAfter) {
    m_loads.pop_front();
  }
}

void
RecentMaximum::Add(uint32_t aValue, base::Millis aPeriod, base::TimePoint aNow)
{
  while (!m_values.empty() && m_values.back().second <= aValue) {
    m_values.pop_back();
  }
  m_values.emplace_back(aNow, aValue);
  while (aNow - m_values.front().first > aPeriod) {
    m_values.pop_front();
  }
}

} // namespace detail

void
Scaler::Observe(const ServiceLoad& aLoad, base::TimePoint aNow)
{
  const auto [item, isNew] =
    m_services[aLoad.m_service].m_subjects.try_emplace(aLoad.m_domain);
  Subject& subject = item->second;
  if (isNew) {
    subject.m_state = aLoad.m_state;
    subject.m_seenAt = aNow;
    subject.m_lowSince = aNow;
    subject.m_orderedAt = aNow - detail::kIncreasePause;
  }
  const base::Millis elapsed = aNow - subject.m_seenAt;
  const double decay = detail::Decay(elapsed, detail::kAnswersMs);
  subject.m_answers = subject.m_answers * decay + aLoad.m_answers;
  subject.m_goalsMissed = subject.m_goalsMissed * decay + aLoad.m_goalsMissed;
  subject.m_seenAt = aNow;
  if (aLoad.m_ordered) {
    subject.m_inForce = *aLoad.m_ordered;
    subject.m_isOrdered = true;
  } else if (!subject.m_isOrdered && (isNew || !aLoad.m_inRollout)) {
    subject.m_inForce =
      std::max(subject.m_inForce, aLoad.m_ready + aLoad.m_starting);
  }
  if (subject.m_state != aLoad.m_state) {
    subject.m_lowSince = aNow;
    subject.m_state = aLoad.m_state;
  }
  if (aLoad.m_state == DomainState::Serving) {
    subject.m_load.Add(detail::LoadOf(aLoad), aNow);
    subject.m_ready = aLoad.m_ready;
    detail::LearnTargetUse(aLoad, elapsed, subject);
  }
}

// When domains have stopped to serve, adds their loads to those of the others,
// in proportion to the upstreams there. The requests arrive before new
// upstreams that are ordered by the observed load would serve.
void
Scaler::MoveLostLoad(Service& aService, base::TimePoint aNow)
{
  std::set<std::string> away;
  double lost = 0;
  double ready = 0;
  for (auto& [domain, subject] : aService.m_subjects) {
    if (subject.m_seenAt < aNow) {
      subject.m_state = DomainState::Lost;
    }
    if (subject.m_state == DomainState::Serving) {
      ready += subject.m_ready;
    } else {
      lost += subject.m_loadBefore.Get();
      subject.m_load = detail::LoadTrend();
      subject.m_need = detail::RecentMaximum();
      away.insert(domain);
    }
  }
  const bool isChanged = away != aService.m_away;
  for (auto& [domain, subject] : aService.m_subjects) {
    if (away.empty()) {
      subject.m_takenOver = 0;
      subject.m_loadBefore.Add(subject.m_load.Level(), aNow);
    } else if (isChanged && ready > 0 &&
               subject.m_state == DomainState::Serving) {
      subject.m_takenOver =
        subject.m_loadBefore.Get() + lost * subject.m_ready / ready;
    }
  }
  aService.m_away = std::move(away);
}

// For how long the load must have been low before aFewer upstreams are removed:
// at least until what they cost reaches the cost of the order.
base::Millis
Scaler::LowPeriod(const ServiceLoad& aLoad, uint32_t aFewer) const
{
  const base::Millis period = std::max(
    detail::kMinLowPeriod, aLoad.m_bounds.m_startup * detail::kLowStartups);
  const double perSecond = m_costs.m_upstreamSecond * aFewer;
  if (perSecond <= 0) {
    return period;
  }
  constexpr double kMillisPerSecond = 1000;
  const auto paidBack = base::Millis(
    static_cast<int64_t>(kMillisPerSecond * m_costs.m_order / perSecond));
  return std::max(period, paidBack);
}

std::optional<uint32_t>
Scaler::NewNumber(const ServiceLoad& aLoad, base::TimePoint aNow)
{
  Service& service = m_services[aLoad.m_service];
  Subject& subject = service.m_subjects[aLoad.m_domain];
  const uint32_t need = detail::NeedOf(subject, aLoad);
  subject.m_need.Add(need, LowPeriod(aLoad, 1), aNow);
  if (need >= subject.m_inForce || detail::HasQueue(aLoad)) {
    subject.m_lowSince = aNow;
  }
  if (need > subject.m_inForce) {
    const bool mayIncrease =
      aNow - subject.m_orderedAt >= detail::kIncreasePause;
    return mayIncrease ? std::optional(need) : std::nullopt;
  }
  const uint32_t recent = subject.m_need.Get();
  if (recent >= subject.m_inForce || aLoad.m_inRollout ||
      !service.m_away.empty()) {
    return std::nullopt;
  }
  const base::Millis period = LowPeriod(aLoad, subject.m_inForce - recent);
  const base::Millis low = aNow - subject.m_lowSince;
  // After a sudden fall the highest need of the period is soon lower: waiting
  // for it saves an order. In a long fall it always is.
  const bool isSettled = aNow - subject.m_need.At() <= period / 2;
  if (low < period || (!isSettled && low < period * 2)) {
    return std::nullopt;
  }
  return recent;
}

std::vector<ScaleOrder>
Scaler::Decide(const std::vector<ServiceLoad>& aLoads, base::TimePoint aNow)
{
  for (const ServiceLoad& load : aLoads) {
    Observe(load, aNow);
  }
  for (auto& [name, service] : m_services) {
    std::erase_if(service.m_subjects, [aNow](const auto& aItem) {
      return aNow - aItem.second.m_seenAt > detail::kForgetLostAfter;
    });
    MoveLostLoad(service, aNow);
  }
  std::vector<ScaleOrder> orders;
  for (const ServiceLoad& load : aLoads) {
    if (load.m_state != DomainState::Serving) {
      continue;
    }
    if (const auto number = NewNumber(load, aNow)) {
      orders.push_back({ load.m_service, load.m_domain, *number });
    }
  }
  return orders;
}

void
Scaler::Confirm(const ScaleOrder& aOrder, base::TimePoint aNow)
{
  Subject& subject = m_services[aOrder.m_service].m_subjects[aOrder.m_domain];
  subject.m_inForce = aOrder.m_desired;
  subject.m_isOrdered = true;
  subject.m_lowSince = aNow;
  subject.m_orderedAt = aNow;
}

} // namespace chivefront::duty
