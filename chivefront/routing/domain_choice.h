// What it costs a request to leave the failure domain of its entry, and which
// share of the requests may leave. Does no I/O; not thread-safe.
//
//   DomainChoice choice("riga-a");
//   choice.Update(summaries, now); // several times a second
//   delay += choice.PenaltyMs(upstream.m_domain, request, now);
//
// Each request has a ticket from 0 to 1. One whose ticket is below the share of
// a domain leaves; any other stays. The penalties say so by cancelling the
// difference of the domains' mean delays, so that a request of either kind acts
// otherwise only for what is special about one upstream, such as cached prompt
// parts, a failure or a queue. The share follows a target that depends on the
// latest summaries only, at a bounded rate. Entries with the same summaries
// thus come to the same share whatever they had before, and never leave or
// return all at once.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "chivefront/base/clock.h"

namespace chivefront::routing {

// The upstreams of one service in one failure domain that may be chosen.
struct DomainSummary
{
  std::string m_domain;
  double m_delayMs = 0;     // mean of what load and slowness add to a request
  double m_room = 1;        // share of the slots that are free, 0 to 1
  double m_roundTripMs = 0; // beyond that within a domain; 0: unknown
};

struct CrossingRequest
{
  double m_bytes = 0;
  double m_ticket = 0; // from 0 to below 1, uniform over the requests
};

// The ticket of a request or session with a StableHash.
constexpr double
TicketOf(uint64_t aHash)
{
  return static_cast<double>(aHash >> 11) * 0x1p-53; // bits of a double
}

class DomainChoice
{
public:
  explicit DomainChoice(std::string aOwnDomain)
    : m_ownDomain(std::move(aOwnDomain))
  {
  }

  // Takes the summaries of all domains with an upstream. Without one of the own
  // domain, or without an update for some seconds, all requests may leave.
  void Update(const std::vector<DomainSummary>& aSummaries,
              base::TimePoint aNow);

  base::TimePoint UpdatedAt() const { return m_updatedAt; }

  // Added to the expected delay of an upstream in aDomain; 0 in the own domain.
  // Negative for a request that leaves though the own domain is a little faster
  // by now.
  double PenaltyMs(const std::string& aDomain,
                   const CrossingRequest& aRequest,
                   base::TimePoint aNow) const;

  // The share of requests that may leave to aDomain, 0 to 1.
  double Share(const std::string& aDomain, base::TimePoint aNow) const;

private:
  struct Other
  {
    double m_share = 0;
    double m_roundTripMs = 0;
    double m_extraDelayMs = 0; // of the own domain; may be negative
    base::TimePoint m_updatedAt;
  };

  bool KnowsOwn(base::TimePoint aNow) const;
  bool Leaves(const std::string& aDomain, double aTicket) const;

  const std::string m_ownDomain;
  bool m_hasOwn = false; // the last update had a summary of the own domain
  base::TimePoint m_updatedAt;
  std::map<std::string, Other> m_others; // by domain
};

} // namespace chivefront::routing
