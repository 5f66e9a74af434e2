// Chooses an upstream for each request and queues requests while no upstream
// has a free credit. A credit is the right to run one request on an upstream.
// policy::Placement and policy::ClassQueue make the decisions; PlacementQueue
// feeds them from the registry, the load reports and the agent links, and
// suspends the callers that have to wait.
//
//   auto acquired = co_await placementQueue.Acquire(requirements);
//   ... dispatch; the request now holds one credit ...
//   placementQueue.OnFinished(acquired->m_name, latency); // or OnRejected
//
// Thread-safe.
#pragma once

#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include <boost/asio/steady_timer.hpp>

#include "chivefront/base/metrics.h"
#include "chivefront/client/watcher.h"
#include "chivefront/entry/agents.h"
#include "chivefront/policy/class_queue.h"
#include "chivefront/policy/placement.h"

namespace chivefront::entry {

// An upstream of which the request holds one credit.
struct AcquiredUpstream
{
  std::string m_name;
  std::string m_agentAddress;
  net::Link::Pointer m_link;
};

// What a request requires of its upstream, and its place in the queue.
struct UpstreamRequirements
{
  std::string m_route; // from PlacementRouteOf
  std::string m_team;
  catalog::CallerClass m_class = catalog::CallerClass::Free;
  uint64_t m_prefix = 0; // hash of the session for affinity; 0 without one
  // Upstreams that already failed this request; not owned, may be null.
  const std::set<std::string>* m_tried = nullptr;
  base::TimePoint m_deadline;
};

// The key of the upstreams that serve a version or a plain service; exactly
// one argument is non-empty. The key has a prefix because a version and a
// service may have the same id.
std::string
PlacementRouteOf(const std::string& aVersion, const std::string& aService);

class PlacementQueue
{
public:
  PlacementQueue(const AgentLinks& aAgents,
                 const client::Watcher& aWatcher,
                 const std::string& aOwnDomain,
                 size_t aQueueCapacity,
                 base::Metrics& aMetrics);

  // Applies a new view: adds, updates and removes upstreams.
  void Update(const client::View& aView);
  // Applies a load report that came over an agent's link. Such a report is
  // newer than the load in the registry.
  void UpdateLoad(const wire::UpstreamInfoT& aInfo);

  // Waits for a credit of an upstream. Errors, all before dispatch:
  //   NoUpstream        no untried upstream of the route is in service and
  //                     has an open link to its agent
  //   Overloaded        the queue is full or gave the place to a request that
  //                     goes first, or the expected wait exceeds the deadline
  //   DeadlineExceeded  the deadline passed while the request waited
  net::Task<absl::StatusOr<AcquiredUpstream>> Acquire(
    UpstreamRequirements aRequirements);

  // Returns the credit of a request that ended; aLatency only after a success.
  void OnFinished(const std::string& aUpstream,
                  std::optional<base::Millis> aLatency);
  // Returns the credit of a request that the agent rejected. The upstream is
  // then avoided for a short time.
  void OnRejected(const std::string& aUpstream);

  // Queued requests of the paying class; admission of the free class uses it.
  uint32_t PayingWaiting() const;
  // Free credits over all upstreams that this entry can use now.
  uint32_t FreeCredits() const;

private:
  struct Waiter
  {
    Waiter(const net::asio::any_io_executor& aExecutor,
           const UpstreamRequirements& aRequirements)
      : m_timer(aExecutor)
      , m_requirements(aRequirements)
    {
    }
    net::asio::steady_timer m_timer;
    const UpstreamRequirements& m_requirements;
    // Set under PlacementQueue::m_lock when the wait is over.
    std::optional<absl::StatusOr<AcquiredUpstream>> m_result;
  };
  using WaiterPointer = std::shared_ptr<Waiter>;

  void AddOrUpdate(const wire::UpstreamInfoT& aInfo, const client::View& aView);
  policy::Placement::Usable UsablePredicate(const client::View& aView) const;
  bool HasUsable(const UpstreamRequirements& aRequirements,
                 const client::View& aView) const;
  std::optional<AcquiredUpstream> TryAcquire(
    const UpstreamRequirements& aRequirements,
    const client::View& aView);
  absl::Status Enqueue(const WaiterPointer& aWaiter, uint64_t aId);
  void ServeQueue(const std::string& aRoute);
  void ServeAllQueues();
  void Complete(uint64_t aId, absl::StatusOr<AcquiredUpstream> aResult);
  policy::ClassQueue& QueueOf(const std::string& aRoute);

  const AgentLinks& m_agents;
  const client::Watcher& m_watcher;
  const base::Clock& m_clock;
  const size_t m_queueCapacity;
  base::Gauge& m_waitingGauge;
  base::Summary& m_waitMs;

  mutable std::mutex m_lock; // guards the members below
  policy::Placement m_placement;
  std::map<std::string, wire::UpstreamInfoT> m_upstreams; // as last taken over
  std::set<std::string, std::less<>> m_domainsOut;        // by the last view
  std::map<std::string, policy::ClassQueue> m_queues;     // by route
  std::unordered_map<uint64_t, WaiterPointer> m_waiters;
  uint64_t m_lastId = 0;
};

} // namespace chivefront::entry
