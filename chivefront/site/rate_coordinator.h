// The part of a control process that keeps bounds on the request rate of an
// upstream over all entries: it passes on the limits that upstreams state, and
// issues permits while it leads.
//
// Soft state. The entries repeat the limits with each poll, so that a new
// leader knows them; its first permits come at the rate of the bound.
#pragma once

#include "chivefront/routing/registry.h"
#include "chivefront/site/rate_messages.h"

namespace chivefront::site {

class RateCoordinator
{
public:
  // Reads limits and wanted permits from aRequest and adds the newest limits
  // and the issued permits to aReply. Only the leader may issue permits, since
  // two issuers together would exceed the bound.
  void Answer(const wire::WatchRequestT& aRequest,
              bool aIsLeader,
              base::TimePoint aNow,
              wire::WatchReplyT& aReply);

  // Drops limits of upstreams that have left and bounds without demand.
  void Expire(const routing::Registry& aRegistry, base::TimePoint aNow);

private:
  routing::RequestLimits m_limits;
  routing::PermitIssuer m_issuer;
};

} // namespace chivefront::site
