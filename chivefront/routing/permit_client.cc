// Demand for permits, and the change to slots without control.
#include "chivefront/routing/permit_client.h"

#include <algorithm>
#include <cmath>

namespace chivefront::routing {
namespace detail {

constexpr double kMaxWanted = 256;
// Assumed before control has told the number of entries.
constexpr uint32_t kUnknownEntries = 64;

} // namespace detail

bool
PermitClient::HasControl(base::TimePoint aNow) const
{
  return m_group.m_leaderAnsweredAt != base::TimePoint() &&
         aNow - m_group.m_leaderAnsweredAt < kFallbackDelay;
}

uint32_t
PermitClient::FallbackEntries() const
{
  if (m_group.m_leaderAnsweredAt == base::TimePoint()) {
    return detail::kUnknownEntries;
  }
  return std::max<uint32_t>(1, m_group.m_liveEntries);
}

uint32_t
PermitClient::Available(const RateBound& aBound, base::TimePoint aNow)
{
  const uint32_t permits = m_permits.Count(aBound.m_key, aNow);
  if (permits > 0 || HasControl(aNow)) {
    return permits;
  }
  const bool ready =
    m_fallback.Ready(aBound.m_key, aBound.m_perSecond, FallbackEntries(), aNow);
  return ready ? 1 : 0;
}

bool
PermitClient::Take(const RateBound& aBound, base::TimePoint aNow)
{
  if (m_permits.Take(aBound.m_key, aNow)) {
    return true;
  }
  return !HasControl(aNow) &&
         m_fallback.Take(
           aBound.m_key, aBound.m_perSecond, FallbackEntries(), aNow);
}

void
PermitClient::AddDemand(const RateBound& aBound, double aRequests)
{
  Demand& demand = m_demand[aBound.m_key];
  demand.m_bound = aBound;
  demand.m_requests += aRequests;
}

std::vector<PermitRequest>
PermitClient::MakeRequests(base::TimePoint aNow)
{
  m_permits.Expire(aNow);
  std::vector<PermitRequest> requests;
  for (const auto& [key, demand] : m_demand) {
    const double wanted =
      std::min(std::ceil(demand.m_requests), detail::kMaxWanted);
    requests.push_back({ demand.m_bound,
                         m_permits.Count(key, aNow),
                         static_cast<uint32_t>(wanted) });
  }
  // Only the requests since the last poll count: a permit that an entry holds
  // for requests of long ago is missing at the others.
  m_demand.clear();
  return requests;
}

void
PermitClient::Accept(const std::vector<PermitGrant>& aGrants,
                     base::TimePoint aSentAt)
{
  for (const PermitGrant& grant : aGrants) {
    m_permits.Renew(grant, aSentAt + kPermitLifetime);
  }
}

void
PermitClient::Expire(base::TimePoint aNow)
{
  m_permits.Expire(aNow);
  m_fallback.Expire(aNow);
}

} // namespace chivefront::routing
