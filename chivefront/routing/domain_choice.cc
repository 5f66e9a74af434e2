// The share of requests that leave a failure domain.
#include "chivefront/routing/domain_choice.h"

#include <algorithm>

namespace chivefront::routing {
namespace detail {

// Round trip between domains until one is learned.
constexpr double kDefaultRoundTripMs = 2;
// Traffic between domains is charged: transferring this many bytes weighs as
// much as a millisecond of delay.
constexpr double kBytesPerMs = 1200;
// Added for a request that stays, so that small differences between single
// upstreams keep it in its domain; and taken off for one that leaves.
constexpr double kStayMs = 20;
constexpr double kLeaveMs = 5;
// A request does not leave to a domain that has become slower than its own by
// more than this, however fast the share falls.
constexpr double kMaxLossMs = 100;
// Gains below this are within the noise of the estimates.
constexpr double kMinGainMs = 5;
// Time that a request takes at an idle upstream, to which gains are related.
constexpr double kIdleMs = 50;
// The target of the share is this many times the relative gain: all may leave
// when a request takes a third of the time elsewhere. A larger factor makes the
// share oscillate, because its effect is seen about a second late.
constexpr double kShareOfGain = 2;
// A relative gain below this is not worth the charge while the own domain has
// room for as much again. With less room, smaller gains count.
constexpr double kLeastGainWithRoom = 0.2;
constexpr double kMuchRoom = 0.5;
// With less room than this, fewer requests leave to a domain.
constexpr double kEnoughRoom = 0.2;
// The share approaches its target with this time constant, several times the
// delay of load reports, and changes by at most so much per millisecond.
constexpr double kFollowMs = 4000;
constexpr double kMaxChangePerMs = 0.15 / 1000;
// A smaller share counts as none, so that the approach to 0 ends.
constexpr double kLeastShare = 0.005;
// After a longer pause between updates the share moves as after this one.
constexpr base::Millis kMaxStep{ 1000 };
constexpr base::Millis kUpdateTimeout{ 3000 };

double
RoundTripMs(double aLearnedMs)
{
  return aLearnedMs > 0 ? aLearnedMs : kDefaultRoundTripMs;
}

// The share that may leave from aOwn to aOther.
double
TargetShare(const DomainSummary& aOwn, const DomainSummary& aOther)
{
  const double gain =
    aOwn.m_delayMs - aOther.m_delayMs - RoundTripMs(aOther.m_roundTripMs);
  if (gain < kMinGainMs) {
    return 0;
  }
  const double ownRoom = std::clamp(aOwn.m_room / kMuchRoom, 0.0, 1.0);
  const double room = std::clamp(aOther.m_room / kEnoughRoom, 0.0, 1.0);
  const double relativeGain =
    gain / (aOwn.m_delayMs + aOther.m_delayMs + 2 * kIdleMs) -
    kLeastGainWithRoom * ownRoom;
  return std::clamp(kShareOfGain * relativeGain, 0.0, 1.0) * room;
}

// The share after aMillis on the way from aShare to aTarget.
double
Follow(double aShare, double aTarget, double aMillis)
{
  const double most = kMaxChangePerMs * aMillis;
  const double step = (aTarget - aShare) * std::min(1.0, aMillis / kFollowMs);
  const double share = aShare + std::clamp(step, -most, most);
  return share < kLeastShare && aTarget <= 0 ? 0 : share;
}

} // namespace detail

void
DomainChoice::Update(const std::vector<DomainSummary>& aSummaries,
                     base::TimePoint aNow)
{
  const auto own = std::find_if(
    aSummaries.begin(), aSummaries.end(), [this](const DomainSummary& aItem) {
      return aItem.m_domain == m_ownDomain;
    });
  m_hasOwn = own != aSummaries.end();
  m_updatedAt = aNow;
  for (const DomainSummary& summary : aSummaries) {
    if (summary.m_domain == m_ownDomain) {
      continue;
    }
    const auto [item, isNew] = m_others.try_emplace(summary.m_domain);
    Other& other = item->second;
    other.m_roundTripMs = detail::RoundTripMs(summary.m_roundTripMs);
    if (m_hasOwn) {
      const base::Millis elapsed =
        isNew ? base::Millis(0)
              : std::min(aNow - other.m_updatedAt, detail::kMaxStep);
      other.m_share = detail::Follow(other.m_share,
                                     detail::TargetShare(*own, summary),
                                     static_cast<double>(elapsed.Count()));
      other.m_extraDelayMs = own->m_delayMs - summary.m_delayMs;
    }
    other.m_updatedAt = aNow;
  }
  // A domain without upstreams begins anew.
  std::erase_if(m_others, [aNow](const auto& aItem) {
    return aNow - aItem.second.m_updatedAt > detail::kUpdateTimeout;
  });
}

bool
DomainChoice::KnowsOwn(base::TimePoint aNow) const
{
  return m_hasOwn && aNow - m_updatedAt <= detail::kUpdateTimeout;
}

double
DomainChoice::Share(const std::string& aDomain, base::TimePoint aNow) const
{
  if (!KnowsOwn(aNow)) {
    return 1;
  }
  const auto found = m_others.find(aDomain);
  return found == m_others.end() ? 0 : found->second.m_share;
}

// Whether the request's ticket is in the section of aDomain. The sections of
// the domains follow each other in the order of the names, so a request leaves
// to one domain at most, and two free domains do not get it in turns.
bool
DomainChoice::Leaves(const std::string& aDomain, double aTicket) const
{
  double all = 0;
  for (const auto& [domain, other] : m_others) {
    all += other.m_share;
  }
  const double ticket = aTicket * std::max(1.0, all);
  double begin = 0;
  for (const auto& [domain, other] : m_others) {
    if (domain == aDomain) {
      return ticket >= begin && ticket < begin + other.m_share;
    }
    begin += other.m_share;
  }
  return false;
}

double
DomainChoice::PenaltyMs(const std::string& aDomain,
                        const CrossingRequest& aRequest,
                        base::TimePoint aNow) const
{
  if (aDomain == m_ownDomain) {
    return 0;
  }
  const auto found = m_others.find(aDomain);
  const Other other = found == m_others.end() ? Other() : found->second;
  const double cost = detail::RoundTripMs(other.m_roundTripMs) +
                      aRequest.m_bytes / detail::kBytesPerMs;
  if (!KnowsOwn(aNow)) {
    return cost;
  }
  if (Leaves(aDomain, aRequest.m_ticket)) {
    const double atMost = other.m_extraDelayMs - detail::kLeaveMs;
    return std::min(cost, std::max(atMost, -detail::kMaxLossMs));
  }
  return cost + detail::kStayMs + std::max(0.0, other.m_extraDelayMs);
}

} // namespace chivefront::routing
