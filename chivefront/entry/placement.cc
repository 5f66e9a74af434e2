// Choice of upstreams, the queues of waiting requests, and their wake-up.
#include "chivefront/entry/placement.h"

#include <algorithm>

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "chivefront/base/errors.h"
#include "chivefront/base/ids.h"

namespace chivefront::entry {
namespace detail {

// A waiting request checks for a credit at least this often, because no event
// announces that an upstream is no longer avoided after a rejection.
constexpr base::Millis kRecheckInterval{ 50 };

policy::PlacementSettings
MakeSettings(const std::string& aOwnDomain)
{
  policy::PlacementSettings settings;
  settings.m_ownDomain = aOwnDomain;
  return settings;
}

} // namespace detail

std::string
PlacementRouteOf(const std::string& aVersion, const std::string& aService)
{
  return aService.empty() ? "version/" + aVersion : "service/" + aService;
}

PlacementQueue::PlacementQueue(const AgentLinks& aAgents,
                               const client::Watcher& aWatcher,
                               const std::string& aOwnDomain,
                               size_t aQueueCapacity,
                               base::Metrics& aMetrics)
  : m_agents(aAgents)
  , m_watcher(aWatcher)
  , m_clock(base::SteadyClock::Instance())
  , m_queueCapacity(aQueueCapacity)
  , m_waitingGauge(
      aMetrics.AddGauge("chivefront_entry_waiting",
                        "Requests that wait for a credit of an upstream."))
  , m_waitMs(aMetrics.AddSummary("chivefront_entry_wait_ms",
                                 "Time that queued requests waited."))
  , m_placement(detail::MakeSettings(aOwnDomain), base::RandomBits())
{
}

void
PlacementQueue::AddOrUpdate(const wire::UpstreamInfoT& aInfo,
                            const client::View& aView)
{
  policy::UpstreamReport report;
  report.m_upstream = aInfo.name;
  report.m_domain = aInfo.failure_domain;
  report.m_route = PlacementRouteOf(aInfo.version, aInfo.service);
  report.m_limit = aInfo.limit;
  report.m_running = aInfo.running;
  report.m_queued = aInfo.queued;
  report.m_leaving = aInfo.leaving;
  const catalog::UpstreamRule* rule =
    aInfo.service.empty() ? aView.m_catalog->RuleForVersion(aInfo.version)
                          : aView.m_catalog->RuleForService(aInfo.service);
  report.m_queueRoom = rule == nullptr ? 0 : rule->m_queue;
  m_placement.Update(report, m_clock.Now());
  m_upstreams[aInfo.name] = aInfo;
}

void
PlacementQueue::Update(const client::View& aView)
{
  const std::lock_guard lock(m_lock);
  for (const std::string& domain : m_domainsOut) {
    if (aView.m_catalog->m_domainsOut.count(domain) == 0) {
      m_placement.OnDomainReturned(domain, m_clock.Now());
    }
  }
  m_domainsOut = aView.m_catalog->m_domainsOut;
  for (const auto& [name, info] : *aView.m_registry) {
    const auto found = m_upstreams.find(name);
    // The load of a known upstream comes over its agent's link. The figures in
    // the registry are older and miss the requests dispatched since.
    if (found == m_upstreams.end() || found->second.leaving != info.leaving ||
        found->second.agent_address != info.agent_address ||
        found->second.version != info.version ||
        found->second.service != info.service) {
      AddOrUpdate(info, aView);
    }
  }
  for (auto found = m_upstreams.begin(); found != m_upstreams.end();) {
    if (aView.m_registry->count(found->first) != 0) {
      ++found;
      continue;
    }
    m_placement.Remove(found->first);
    found = m_upstreams.erase(found);
  }
  ServeAllQueues();
}

void
PlacementQueue::UpdateLoad(const wire::UpstreamInfoT& aInfo)
{
  const auto view = m_watcher.LastView();
  const std::lock_guard lock(m_lock);
  const auto found = m_upstreams.find(aInfo.name);
  if (found == m_upstreams.end()) {
    return; // an upstream is used only once the registry lists it
  }
  // A load report may leave out the fields that do not change.
  wire::UpstreamInfoT merged = found->second;
  merged.limit = aInfo.limit;
  merged.running = aInfo.running;
  merged.queued = aInfo.queued;
  merged.leaving = aInfo.leaving || found->second.leaving;
  AddOrUpdate(merged, *view);
  ServeQueue(PlacementRouteOf(merged.version, merged.service));
}

policy::Placement::Usable
PlacementQueue::UsablePredicate(const client::View& aView) const
{
  return [this, &aView](const policy::Placement::Upstream& aUpstream) {
    const policy::UpstreamReport& report = aUpstream.m_report;
    const auto found = m_upstreams.find(report.m_upstream);
    return found != m_upstreams.end() &&
           catalog::CheckInService(
             *aView.m_catalog, report.m_upstream, report.m_domain)
             .ok() &&
           m_agents.Current(found->second.agent_address) != nullptr;
  };
}

bool
PlacementQueue::HasUsable(const UpstreamRequirements& aRequirements,
                          const client::View& aView) const
{
  const auto usable = UsablePredicate(aView);
  for (const auto& [name, info] : m_upstreams) {
    const policy::Placement::Upstream* upstream = m_placement.Find(name);
    const bool tried = aRequirements.m_tried != nullptr &&
                       aRequirements.m_tried->count(name) != 0;
    if (upstream != nullptr && !tried &&
        upstream->m_report.m_route == aRequirements.m_route &&
        !upstream->m_report.m_leaving && usable(*upstream)) {
      return true;
    }
  }
  return false;
}

std::optional<AcquiredUpstream>
PlacementQueue::TryAcquire(const UpstreamRequirements& aRequirements,
                           const client::View& aView)
{
  policy::PlacementRequest request;
  request.m_route = aRequirements.m_route;
  request.m_prefix = aRequirements.m_prefix;
  request.m_tried = aRequirements.m_tried;
  // Requests of the free class wait in the entry's queue, so that they never
  // fill the queue of an agent.
  request.m_mayQueue = aRequirements.m_class == catalog::CallerClass::Paying;
  const auto choice =
    m_placement.Choose(request, UsablePredicate(aView), m_clock.Now());
  if (!choice) {
    return std::nullopt;
  }
  AcquiredUpstream acquired;
  acquired.m_name = choice->m_upstream;
  acquired.m_agentAddress = m_upstreams.at(choice->m_upstream).agent_address;
  acquired.m_link = m_agents.Current(acquired.m_agentAddress);
  if (!acquired.m_link) {
    return std::nullopt; // the link closed after the upstream was chosen
  }
  m_placement.OnSent(acquired.m_name, aRequirements.m_prefix);
  return acquired;
}

policy::ClassQueue&
PlacementQueue::QueueOf(const std::string& aRoute)
{
  return m_queues.try_emplace(aRoute, m_queueCapacity).first->second;
}

void
PlacementQueue::Complete(uint64_t aId, absl::StatusOr<AcquiredUpstream> aResult)
{
  const auto found = m_waiters.find(aId);
  if (found == m_waiters.end()) {
    return;
  }
  const WaiterPointer waiter = found->second;
  m_waiters.erase(found);
  waiter->m_result = std::move(aResult);
  net::asio::post(waiter->m_timer.get_executor(),
                  [waiter] { waiter->m_timer.cancel(); });
}

// Gives free credits to waiting requests in the order of the queue.
void
PlacementQueue::ServeQueue(const std::string& aRoute)
{
  const auto found = m_queues.find(aRoute);
  if (found == m_queues.end()) {
    return;
  }
  policy::ClassQueue& queue = found->second;
  const base::TimePoint now = m_clock.Now();
  for (const uint64_t id : queue.TakeExpired(now)) {
    Complete(id,
             base::MakeError(base::ErrorKind::DeadlineExceeded,
                             "the deadline passed while the request waited"));
  }
  const auto view = m_watcher.LastView();
  while (const policy::QueueItem* next = queue.Peek(now)) {
    const auto waiter = m_waiters.find(next->m_id);
    auto acquired = TryAcquire(waiter->second->m_requirements, *view);
    if (!acquired) {
      return;
    }
    const auto item = queue.Pop(now);
    Complete(item->m_id, std::move(*acquired));
  }
}

void
PlacementQueue::ServeAllQueues()
{
  for (const auto& [route, queue] : m_queues) {
    ServeQueue(route);
  }
}

absl::Status
PlacementQueue::Enqueue(const WaiterPointer& aWaiter, uint64_t aId)
{
  const UpstreamRequirements& requirements = aWaiter->m_requirements;
  policy::ClassQueue& queue = QueueOf(requirements.m_route);
  policy::QueueItem item;
  item.m_id = aId;
  item.m_class = requirements.m_class;
  item.m_team = requirements.m_team;
  item.m_deadline = requirements.m_deadline;
  m_waiters.emplace(aId, aWaiter);
  const policy::PushResult pushed = queue.Push(item, m_clock.Now());
  for (const uint64_t displaced : pushed.m_displaced) {
    Complete(displaced,
             base::MakeError(base::ErrorKind::Overloaded,
                             "the queue is full of requests that go first"));
  }
  if (!pushed.m_queued) {
    m_waiters.erase(aId);
    return base::MakeError(base::ErrorKind::Overloaded,
                           "the wait would exceed the deadline or the queue");
  }
  return absl::OkStatus();
}

net::Task<absl::StatusOr<AcquiredUpstream>>
PlacementQueue::Acquire(UpstreamRequirements aRequirements)
{
  const auto executor = co_await net::asio::this_coro::executor;
  const auto waiter = std::make_shared<Waiter>(executor, aRequirements);
  const base::TimePoint startedAt = m_clock.Now();
  uint64_t id = 0;
  {
    const auto view = m_watcher.LastView();
    const std::lock_guard lock(m_lock);
    if (!HasUsable(aRequirements, *view)) {
      co_return base::MakeError(base::ErrorKind::NoUpstream,
                                "no upstream in service runs this");
    }
    if (QueueOf(aRequirements.m_route).Size() == 0) {
      if (auto acquired = TryAcquire(aRequirements, *view)) {
        co_return std::move(*acquired);
      }
    }
    id = ++m_lastId;
    if (const absl::Status queued = Enqueue(waiter, id); !queued.ok()) {
      co_return queued;
    }
    ServeQueue(aRequirements.m_route);
  }
  m_waitingGauge.Add(1);
  while (true) {
    waiter->m_timer.expires_after(detail::kRecheckInterval.ToChrono());
    {
      const std::lock_guard lock(m_lock);
      ServeQueue(aRequirements.m_route);
      if (waiter->m_result) {
        break;
      }
    }
    boost::system::error_code canceled;
    co_await waiter->m_timer.async_wait(
      net::asio::redirect_error(net::asio::use_awaitable, canceled));
  }
  m_waitingGauge.Add(-1);
  m_waitMs.Observe(static_cast<double>((m_clock.Now() - startedAt).Count()));
  co_return std::move(*waiter->m_result);
}

void
PlacementQueue::OnFinished(const std::string& aUpstream,
                           std::optional<base::Millis> aLatency)
{
  const std::lock_guard lock(m_lock);
  m_placement.OnFinished(aUpstream, aLatency);
  const auto found = m_upstreams.find(aUpstream);
  if (found != m_upstreams.end()) {
    ServeQueue(PlacementRouteOf(found->second.version, found->second.service));
  }
}

void
PlacementQueue::OnRejected(const std::string& aUpstream)
{
  const std::lock_guard lock(m_lock);
  m_placement.OnRejected(aUpstream, m_clock.Now());
}

uint32_t
PlacementQueue::PayingWaiting() const
{
  const std::lock_guard lock(m_lock);
  size_t waiting = 0;
  for (const auto& [route, queue] : m_queues) {
    waiting += queue.Size(catalog::CallerClass::Paying);
  }
  return static_cast<uint32_t>(waiting);
}

uint32_t
PlacementQueue::FreeCredits() const
{
  const auto view = m_watcher.LastView();
  const std::lock_guard lock(m_lock);
  std::set<std::string> routes;
  uint32_t credits = 0;
  for (const auto& [name, info] : m_upstreams) {
    const std::string route = PlacementRouteOf(info.version, info.service);
    if (routes.insert(route).second) {
      credits +=
        m_placement.Credits(route, UsablePredicate(*view), m_clock.Now());
    }
  }
  return credits;
}

} // namespace chivefront::entry
