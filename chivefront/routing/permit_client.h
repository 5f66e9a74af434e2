// What one entry may send to upstreams whose request rate is bounded over all
// entries together: it asks control for permits by its recent demand, keeps
// those that it got, and falls back to slots of its own without control.
//
//   PermitClient permits(seed);
//   permits.SetGroup({ liveEntries, leaderAnsweredAt });
//   permits.AddDemand(bound, 0.5);
//   request.permits = permits.MakeRequests(now);   // with each poll
//   permits.Accept(reply.permits, sentAt);
//   if (permits.Take(bound, now)) ... send one request ...
//
// Does no I/O; not thread-safe.
#pragma once

#include <unordered_map>
#include <vector>

#include "chivefront/routing/send_permits.h"

namespace chivefront::routing {

// The entries that share each bound, as far as this entry knows.
struct EntryGroup
{
  uint32_t m_liveEntries = 1;
  // Last answer of a leading control process; unset if there was none.
  base::TimePoint m_leaderAnsweredAt;
};

class PermitClient
{
public:
  // aSeed: differs between the entries and between their incarnations.
  explicit PermitClient(uint64_t aSeed)
    : m_fallback(aSeed)
  {
  }

  void SetGroup(const EntryGroup& aGroup) { m_group = aGroup; }

  // How many requests may be sent within aBound now.
  uint32_t Available(const RateBound& aBound, base::TimePoint aNow);
  // Takes one of them. Returns false if there is none.
  bool Take(const RateBound& aBound, base::TimePoint aNow);

  // Counts requests that may go to the upstream of aBound; a request that may
  // go to any of n upstreams counts as 1/n at each.
  void AddDemand(const RateBound& aBound, double aRequests);
  // What to ask control for. Call it once for each poll.
  std::vector<PermitRequest> MakeRequests(base::TimePoint aNow);
  // Takes the answer to a poll that was sent at aSentAt.
  void Accept(const std::vector<PermitGrant>& aGrants, base::TimePoint aSentAt);

  // Drops what has expired.
  void Expire(base::TimePoint aNow);

private:
  struct Demand
  {
    RateBound m_bound;     // as stated last
    double m_requests = 0; // since the last poll
  };

  bool HasControl(base::TimePoint aNow) const;
  uint32_t FallbackEntries() const;

  EntryGroup m_group;
  SendPermits m_permits;
  FallbackSlots m_fallback;
  std::unordered_map<PermitKey, Demand> m_demand;
};

} // namespace chivefront::routing
