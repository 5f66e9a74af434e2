// Places requests on upstreams, and queues those for which no upstream has a
// credit. The decisions are made by policy::Placement and policy::ClassQueue;
// this class gives them the registry, load reports, links and waiting.
//
//   auto placed = co_await placer.Acquire(wanted);   // holds one credit
//   ... dispatch ...
//   placer.Finish(placed->m_name, latency);          // or Reject
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

struct AcquiredUpstream
{
  std::string m_name;
  std::string m_agentAddress;
  net::Link::Pointer m_link;
};

// What a request needs of its upstream.
struct UpstreamRequirements
{
  std::string m_route; // see PlacementRouteOf
  std::string m_team;
  catalog::CallerClass m_class = catalog::CallerClass::Free;
  uint64_t m_prefix = 0; // hash of the session; 0 without one
  const std::set<std::string>* m_tried = nullptr;
  base::TimePoint m_deadline;
};

// The placement route of a version or of a service (one is empty). Their ids
// are separate name spaces.
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

  // Takes over upstreams that are new, changed their state or went away.
  void Update(const client::View& aView);
  // A report over the link, fresher than the registry.
  void UpdateLoad(const wire::UpstreamInfoT& aInfo);

  // Errors, all before dispatch: NoUpstream when no upstream of the route is
  // in service and linked apart from those tried, Overloaded when the queue
  // has no room or the wait would exceed the deadline, DeadlineExceeded.
  net::Task<absl::StatusOr<AcquiredUpstream>> Acquire(
    UpstreamRequirements aRequirements);

  void OnFinished(const std::string& aUpstream,
                  std::optional<base::Millis> aLatency);
  // The agent refused; the upstream is avoided for a moment.
  void OnRejected(const std::string& aUpstream);

  // For the admission of the free class.
  uint32_t PayingWaiting() const;
  // Credits of all upstreams that this entry could use now.
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
    // Set under m_lock when the wait is over.
    std::optional<absl::StatusOr<AcquiredUpstream>> m_result;
  };
  using WaiterPointer = std::shared_ptr<Waiter>;

  void AddOrUpdate(const wire::UpstreamInfoT& aInfo, const client::View& aView);
  policy::Placement::Usable UsablePredicate(const client::View& aView) const;
  bool HasUsable(const UpstreamRequirements& aRequirements,
                 const client::View& aView) const;
  std::optional<AcquiredUpstream> TryPlace(
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

  mutable std::mutex m_lock; // guards what follows
  policy::Placement m_placement;
  std::map<std::string, wire::UpstreamInfoT> m_upstreams; // as last taken over
  std::set<std::string, std::less<>> m_domainsOutOfService; // by the last view
  std::map<std::string, policy::ClassQueue> m_queues;       // by route
  std::unordered_map<uint64_t, WaiterPointer> m_waiters;
  uint64_t m_lastId = 0;
};

} // namespace chivefront::entry
