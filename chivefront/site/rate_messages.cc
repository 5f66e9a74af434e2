// Conversion of request limits and permits to and from watch messages.
#include "chivefront/site/rate_messages.h"

#include <algorithm>
#include <cmath>

namespace chivefront::site {
RequestLimitRows
ToWire(const std::vector<routing::LimitObservation>& aLimits,
       base::TimePoint aNow)
{
  RequestLimitRows rows;
  for (const routing::LimitObservation& limit : aLimits) {
    const int64_t age = (aNow - limit.m_heardAt).Count();
    auto row = std::make_unique<wire::RequestLimitT>();
    row->upstream = limit.m_upstream;
    row->stated = limit.m_perSecond.has_value();
    row->per_second = limit.m_perSecond.value_or(0);
    row->age_ms = static_cast<uint32_t>(std::max<int64_t>(0, age));
    rows.push_back(std::move(row));
  }
  return rows;
}

std::vector<routing::LimitObservation>
FromWire(const RequestLimitRows& aRows, base::TimePoint aNow)
{
  std::vector<routing::LimitObservation> limits;
  for (const auto& row : aRows) {
    if (!std::isfinite(row->per_second) || row->per_second < 0) {
      continue;
    }
    routing::LimitObservation limit;
    limit.m_upstream = row->upstream;
    if (row->stated) {
      limit.m_perSecond = row->per_second;
    }
    limit.m_heardAt = aNow - base::Millis(row->age_ms);
    limits.push_back(limit);
  }
  return limits;
}

PermitRequestRows
ToWire(const std::vector<routing::PermitRequest>& aRequests)
{
  PermitRequestRows rows;
  for (const routing::PermitRequest& request : aRequests) {
    auto row = std::make_unique<wire::PermitRequestT>();
    row->key = request.m_bound.m_key;
    row->per_second = request.m_bound.m_perSecond;
    row->max_held = request.m_bound.m_maxHeld;
    row->held = request.m_held;
    row->wanted = request.m_wanted;
    rows.push_back(std::move(row));
  }
  return rows;
}

std::vector<routing::PermitRequest>
FromWire(const PermitRequestRows& aRows)
{
  std::vector<routing::PermitRequest> requests;
  for (const auto& row : aRows) {
    if (!std::isfinite(row->per_second) || row->per_second <= 0) {
      continue;
    }
    const routing::RateBound bound{ row->key, row->per_second, row->max_held };
    requests.push_back({ bound, row->held, row->wanted });
  }
  return requests;
}

PermitGrantRows
ToWire(const std::vector<routing::PermitGrant>& aGrants)
{
  PermitGrantRows rows;
  for (const routing::PermitGrant& grant : aGrants) {
    auto row = std::make_unique<wire::PermitGrantT>();
    row->key = grant.m_key;
    row->count = grant.m_count;
    rows.push_back(std::move(row));
  }
  return rows;
}

std::vector<routing::PermitGrant>
FromWire(const PermitGrantRows& aRows)
{
  std::vector<routing::PermitGrant> grants;
  for (const auto& row : aRows) {
    grants.push_back({ row->key, row->count });
  }
  return grants;
}

} // namespace chivefront::site
