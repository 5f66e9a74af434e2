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

struct PlacedUpstream
{
  std::string m_name;
  std::string m_agentAddress;
  net::Link::Pointer m_link;
};

// What a request needs of its upstream.
struct Placing
{
  std::string m_route; // see RouteOf
  std::string m_team;
  catalog::CallerClass m_class = catalog::CallerClass::Free;
  uint64_t m_prefix = 0; // hash of the session; 0 without one
  const std::set<std::string>* m_tried = nullptr;
  base::TimePoint m_deadline;
};

// The placement route of a version or of a service (one is empty). Their ids
// are separate name spaces.
std::string
RouteOf(const std::string& aVersion, const std::string& aService);

class Placer
{
public:
  Placer(const AgentLinks& aAgents,
         const client::Watcher& aWatcher,
         const std::string& aOwnDomain,
         size_t aQueueCapacity,
         base::Metrics& aMetrics);

  // Takes over upstreams that are new, changed their state or went away.
  void Update(const client::View& aView);
  // A report over the link, fresher than the registry.
  void TakeLoad(const wire::UpstreamInfoT& aInfo);

  // Errors, all before dispatch: NoUpstream when no upstream of the route is
  // in service and linked apart from those tried, Overloaded when the queue
  // has no room or the wait would exceed the deadline, DeadlineExceeded.
  net::Task<absl::StatusOr<PlacedUpstream>> Acquire(Placing aWanted);

  void Finish(const std::string& aUpstream,
              std::optional<base::Millis> aLatency);
  // The agent refused; the upstream is avoided for a moment.
  void Reject(const std::string& aUpstream);

  // For the admission of the free class.
  uint32_t PayingWaiting() const;
  // Credits of all upstreams that this entry could use now.
  uint32_t FreeCredits() const;

private:
  struct Waiter
  {
    Waiter(const net::asio::any_io_executor& aExecutor, const Placing& aWanted)
      : m_timer(aExecutor)
      , m_wanted(aWanted)
    {
    }
    net::asio::steady_timer m_timer;
    const Placing& m_wanted;
    // Set under m_lock when the wait is over.
    std::optional<absl::StatusOr<PlacedUpstream>> m_result;
  };
  using WaiterPointer = std::shared_ptr<Waiter>;

  void Add(const wire::UpstreamInfoT& aInfo, const client::View& aView);
  policy::Placement::Usable UsableBy(const client::View& aView) const;
  bool AnyUsable(const Placing& aWanted, const client::View& aView) const;
  std::optional<PlacedUpstream> TryPlace(const Placing& aWanted,
                                         const client::View& aView);
  absl::Status Enqueue(const WaiterPointer& aWaiter, uint64_t aId);
  void Pump(const std::string& aRoute);
  void PumpAll();
  void Complete(uint64_t aId, absl::StatusOr<PlacedUpstream> aResult);
  policy::ClassQueue& QueueOf(const std::string& aRoute);

  const AgentLinks& m_agents;
  const client::Watcher& m_watcher;
  const base::Clock& m_clock;
  const size_t m_queueCapacity;
  base::Gauge& m_waitingGauge;
  base::Summary& m_waitMs;

  mutable std::mutex m_lock; // guards what follows
  policy::Placement m_placement;
  std::map<std::string, wire::UpstreamInfoT> m_known; // as last taken over
  std::set<std::string, std::less<>> m_domainsOut;    // by the last view
  std::map<std::string, policy::ClassQueue> m_queues; // by route
  std::unordered_map<uint64_t, WaiterPointer> m_waiters;
  uint64_t m_lastId = 0;
};

} // namespace chivefront::entry
