// Upstreams of one entry: its idle connections to each, its health and load
// estimate of each, and the choice among those that are available for a
// request.
#pragma once

#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "chivefront/proxy/upstream_connection.h"
#include "chivefront/routing/choice.h"
#include "chivefront/routing/permit_client.h"
#include "chivefront/routing/request_limits.h"
#include "chivefront/routing/rollout_share.h"
#include "chivefront/routing/round_trips.h"
#include "chivefront/routing/upstream_estimate.h"
#include "chivefront/routing/wait_queue.h"
#include "chivefront/site/watch.h"

namespace chivefront::proxy {

// State shared by the requests that run at one upstream. Requests keep it alive
// after the upstream has been removed from the registry.
struct Upstream
{
  routing::Instance m_instance; // its latest registration
  routing::UpstreamEstimate m_estimate;
  // Requests sent by this entry while the upstream states a request limit.
  uint64_t m_sentWhileLimited = 0;
  uint64_t m_retriesWhileLimited = 0; // those that were not first attempts
  // Requests sent by this entry in the rest that the upstream asked for last,
  // and how many of its answers arrived in that time.
  uint64_t m_sentWhileResting = 0;
  uint64_t m_answersWhileResting = 0;
  std::vector<std::unique_ptr<UpstreamConnection>> m_idleConnections;
  bool m_probing = false; // its load is being asked for
};

using UpstreamPointer = std::shared_ptr<Upstream>;

struct UpstreamCriteria
{
  const routing::Service* m_service = nullptr;
  routing::ChoiceCriteria m_choice;
  routing::RolloutKey m_rolloutKey; // decides between old and new version
  // The version that began the stream to resume: during a roll-out it decides
  // in place of m_rolloutKey.
  std::optional<std::string> m_streamVersion;
  // Ids that must not be chosen again.
  std::vector<std::string> m_triedUpstreams;
  // Place among the requests that wait for an upstream with a request limit.
  routing::WaitTicket m_ticket;
  // The request counts in what this entry asks of such upstreams.
  bool m_addsDemand = false;
};

// Why no upstream is available. A later value takes precedence.
enum class NoUpstreamReason
{
  None,      // no eligible upstream of the service is known
  Resting,   // at least one has asked this entry for a rest
  InBackoff, // at least one is in backoff after failures or overload
  Cold,      // at least one is cold and has used up its rate
  Limited,   // at least one states a request limit that is used up
};

inline constexpr base::NameTable<NoUpstreamReason, 5> kNoUpstreamReasonNames{ {
  { { NoUpstreamReason::None, "no_upstream" },
    { NoUpstreamReason::Resting, "upstreams_resting" },
    { NoUpstreamReason::InBackoff, "upstreams_closed" },
    { NoUpstreamReason::Cold, "upstreams_cold" },
    { NoUpstreamReason::Limited, "upstreams_limited" } },
} };

// The upstreams that are available for a request.
struct AvailableUpstreams
{
  std::vector<UpstreamPointer> m_upstreams;
  NoUpstreamReason m_reason = NoUpstreamReason::None; // if there are none
  // Requests per second that this entry can expect to send, if at least one
  // upstream states a request limit; else 0.
  double m_expectedRate = 0;
  // When the first rest ends, if m_reason is Resting.
  base::TimePoint m_restUntil;
};

class Upstreams
{
public:
  // aSeed: differs between the entries and between their incarnations.
  Upstreams(const site::Watch& aWatch,
            const base::Clock& aClock,
            uint64_t aSeed);

  // Chooses an upstream for a request, and takes a permit if it is cold or
  // states a request limit. Returns null if none is available now.
  UpstreamPointer Choose(const UpstreamCriteria& aCriteria,
                         AvailableUpstreams& aAvailable);

  // The upstream that Choose would return now, or null. Takes no permit.
  UpstreamPointer Preview(UpstreamCriteria aCriteria);
  // A value for ChoiceCriteria::m_random, with which Preview and Choose decide
  // alike.
  uint64_t DrawRandom() { return m_random(); }

  // Whether Choose would return an upstream now. Takes no permit.
  bool HasAvailable(const UpstreamCriteria& aCriteria);

  // Returns an idle connection that is still usable, or null.
  std::unique_ptr<UpstreamConnection> TakeIdleConnection(Upstream& aUpstream);
  // Keeps a connection for reuse if its last response was read to its end;
  // closes it otherwise.
  void ReturnConnection(Upstream& aUpstream,
                        std::unique_ptr<UpstreamConnection> aConnection);

  routing::RequestLimits& RequestLimits() { return m_requestLimits; }
  routing::WaitQueue& WaitQueueOf(const std::string& aService)
  {
    return m_waitQueues[aService];
  }

  // What this entry tells control about request limits, and control's answer.
  site::RateReport MakeRateReport();
  void AcceptRates(const site::RateAnswer& aAnswer);

  // Drops an upstream that is leaving, or whose address now belongs to another
  // one. It becomes eligible again after it has started anew, whatever becomes
  // of its registration. Returns false if this incarnation was dropped before.
  bool Forget(const routing::Instance& aInstance);

  // Closes connections that have been idle for too long and drops upstreams
  // that have left the registry and do not rest.
  void Sweep();

private:
  struct Bounds
  {
    std::optional<routing::RateBound> m_cold;  // while the upstream is cold
    std::optional<routing::RateBound> m_limit; // its own request limit
  };
  struct BoundedUpstream
  {
    UpstreamPointer m_upstream;
    Bounds m_bounds;
  };

  bool IsEligible(const routing::Instance& aInstance,
                  const UpstreamCriteria& aCriteria) const;
  bool MatchesRollout(const routing::Instance& aInstance,
                      const UpstreamCriteria& aCriteria) const;
  UpstreamPointer FindOrCreate(const routing::Instance& aInstance);
  AvailableUpstreams AvailableFor(const UpstreamCriteria& aCriteria);
  static void AddResting(base::TimePoint aUntil,
                         AvailableUpstreams& aAvailable);
  Bounds BoundsOf(const routing::Instance& aInstance,
                  const routing::Service& aService) const;
  uint32_t PermitsFor(const Bounds& aBounds, double aDemand);
  void AddBounded(const std::vector<BoundedUpstream>& aBounded,
                  const UpstreamCriteria& aCriteria,
                  AvailableUpstreams& aAvailable);
  UpstreamPointer BestOf(const AvailableUpstreams& aAvailable,
                         const UpstreamCriteria& aCriteria);
  const routing::DomainChoice* UpdateDomainChoice(
    const UpstreamCriteria& aCriteria,
    const std::vector<routing::Candidate>& aCandidates);
  size_t PaceUnlimited(AvailableUpstreams& aAvailable) const;
  void TakePermits(const Upstream& aUpstream, const routing::Service& aService);
  bool IsForgotten(const routing::Instance& aInstance) const;

  const site::Watch& m_watch;
  const base::Clock& m_clock;
  // By upstream id.
  std::unordered_map<std::string, UpstreamPointer> m_upstreams;
  routing::RequestLimits m_requestLimits;
  routing::PermitClient m_permits;
  std::mt19937_64 m_random; // decides between upstreams of about equal delay
  // Requests that wait for an upstream with a request limit, by service.
  std::unordered_map<std::string, routing::WaitQueue> m_waitQueues;
  routing::RoundTrips m_roundTrips; // to upstreams
  // By service, and by the side of a roll-out; of services with engines only.
  std::unordered_map<std::string, routing::DomainChoice> m_domainChoices;
  struct Forgotten
  {
    uint64_t m_born = 0; // of the youngest incarnation that was dropped
    base::TimePoint m_at;
  };
  std::unordered_map<std::string, Forgotten> m_forgotten; // by upstream id
};

} // namespace chivefront::proxy
