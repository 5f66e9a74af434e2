// Choice of the upstream for one attempt.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "chivefront/entry/parts.h"
#include "chivefront/net/link.h"

namespace chivefront::entry {

struct PlacedUpstream
{
  std::string m_name;
  std::string m_failureDomain;
  std::string m_agentAddress;
  net::Link::Pointer m_link;
};

// The upstream for aVersion or aService (one is empty) that is in service by
// aView, not leaving, not in aTried, and reachable; nothing without one.
std::optional<PlacedUpstream>
PlaceRequest(const EntryParts& aParts,
             const client::View& aView,
             const std::string& aVersion,
             const std::string& aService,
             const std::set<std::string>& aTried);

} // namespace chivefront::entry
