// What entries and control processes tell each other about request limits and
// permits, and its conversion to and from watch messages.
#pragma once

#include <memory>
#include <vector>

#include "chivefront/routing/request_limits.h"
#include "chivefront/routing/send_permits.h"
#include "chivefront/wire/protocol_generated.hpp"

namespace chivefront::site {

// Part of a poll.
struct RateReport
{
  std::vector<routing::LimitObservation> m_limits;
  std::vector<routing::PermitRequest> m_permits;
};

// Part of the answer to a poll.
struct RateAnswer
{
  std::vector<routing::LimitObservation> m_limits;
  std::vector<routing::PermitGrant> m_permits;
  base::TimePoint m_askedAt; // when the poll was sent
};

using RequestLimitRows = std::vector<std::unique_ptr<wire::RequestLimitT>>;
using PermitRequestRows = std::vector<std::unique_ptr<wire::PermitRequestT>>;
using PermitGrantRows = std::vector<std::unique_ptr<wire::PermitGrantT>>;

// Times are sent as ages. A limit or bound that is not a number of at least 0
// is left out.
RequestLimitRows
ToWire(const std::vector<routing::LimitObservation>& aLimits,
       base::TimePoint aNow);
std::vector<routing::LimitObservation>
FromWire(const RequestLimitRows& aRows, base::TimePoint aNow);

PermitRequestRows
ToWire(const std::vector<routing::PermitRequest>& aRequests);
std::vector<routing::PermitRequest>
FromWire(const PermitRequestRows& aRows);

PermitGrantRows
ToWire(const std::vector<routing::PermitGrant>& aGrants);
std::vector<routing::PermitGrant>
FromWire(const PermitGrantRows& aRows);

} // namespace chivefront::site
