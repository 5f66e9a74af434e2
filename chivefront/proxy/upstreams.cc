// Selects the available upstreams of a request and keeps idle connections.
#include "chivefront/proxy/upstreams.h"

#include <algorithm>
#include <unordered_set>

namespace chivefront::proxy {
namespace detail {

// Shorter than the time after which upstreams close idle connections.
constexpr base::Millis kMaxIdleTime{ 4000 };
constexpr size_t kMaxIdleConnections = 16;
// With larger bursts the requests of many entries could reach one cold upstream
// at once.
constexpr double kColdBurstRequests = 1;
// Late observations of other processes arrive within this time.
constexpr base::Millis kLimitRetention{ 10000 };

} // namespace detail

Upstreams::Upstreams(const site::Watch& aWatch, const base::Clock& aClock)
  : m_watch(aWatch)
  , m_clock(aClock)
{
}

bool
Upstreams::MatchesRollout(const routing::Instance& aInstance,
                          const UpstreamCriteria& aCriteria) const
{
  const auto& rollouts = m_watch.View().m_rollouts;
  const auto found = rollouts.find(aInstance.m_service);
  if (found == rollouts.end()) {
    return true;
  }
  const site::Rollout& rollout = found->second;
  const bool isNew = aInstance.m_version == rollout.m_version;
  switch (rollout.m_stage) {
    case site::RolloutStage::Completed:
      return isNew;
    case site::RolloutStage::RolledBack:
      return !isNew;
    case site::RolloutStage::InProgress:
      break;
  }
  const base::Millis elapsed = m_clock.Now() - rollout.m_started;
  return isNew == routing::IsOnNewVersion(
                    aCriteria.m_rolloutKey, elapsed, rollout.m_span);
}

// Whether aInstance may run the request, apart from backoff, cold rate and
// roll-out.
bool
Upstreams::IsEligible(const routing::Instance& aInstance,
                      const UpstreamCriteria& aCriteria) const
{
  if (aInstance.m_service != aCriteria.m_service->m_name ||
      aInstance.m_state != routing::InstanceState::Ready ||
      m_clock.Now() - aInstance.m_reportedAt > routing::kInstanceTimeout) {
    return false;
  }
  const auto forgotten = m_forgotten.find(aInstance.m_id);
  if (forgotten != m_forgotten.end() && forgotten->second >= aInstance.m_born) {
    return false;
  }
  return m_watch.View().m_domainsOut.count(aInstance.m_domain) == 0 &&
         std::count(aCriteria.m_triedUpstreams.begin(),
                    aCriteria.m_triedUpstreams.end(),
                    aInstance.m_id) == 0;
}

UpstreamPointer
Upstreams::FindOrCreate(const routing::Instance& aInstance)
{
  UpstreamPointer& upstream = m_upstreams[aInstance.m_id];
  if (!upstream || upstream->m_instance.m_born != aInstance.m_born ||
      upstream->m_instance.m_address != aInstance.m_address) {
    upstream = std::make_shared<Upstream>();
  }
  upstream->m_instance = aInstance;
  return upstream;
}

// Requests per second that this entry may send to a cold upstream. All live
// entries share the rate evenly.
double
Upstreams::ColdRateShare(const routing::Service& aService) const
{
  return aService.m_warmupPerSecond / m_watch.View().m_liveEntries;
}

// Upstreams that may be sent the request now.
std::vector<UpstreamPointer>
Upstreams::AvailableFor(const UpstreamCriteria& aCriteria,
                        NoUpstreamReason& aReason)
{
  const base::TimePoint now = m_clock.Now();
  const double coldRateShare = ColdRateShare(*aCriteria.m_service);
  std::vector<UpstreamPointer> available;
  aReason = NoUpstreamReason::None;
  const auto consider = [&](const routing::Instance& aInstance) {
    if (!IsEligible(aInstance, aCriteria) ||
        !MatchesRollout(aInstance, aCriteria)) {
      return;
    }
    const UpstreamPointer upstream = FindOrCreate(aInstance);
    routing::UpstreamEstimate& estimate = upstream->m_estimate;
    if (estimate.BackoffUntil() > now) {
      aReason = std::max(aReason, NoUpstreamReason::InBackoff);
      return;
    }
    if (aInstance.m_coldUntil > now && coldRateShare > 0 &&
        !estimate.ColdBucket().Ready(
          coldRateShare, detail::kColdBurstRequests, now)) {
      aReason = NoUpstreamReason::Cold;
      return;
    }
    available.push_back(upstream);
  };
  m_watch.View().m_registry.ForEach(consider);
  return available;
}

bool
Upstreams::HasAvailable(const UpstreamCriteria& aCriteria)
{
  NoUpstreamReason reason = NoUpstreamReason::None;
  return !AvailableFor(aCriteria, reason).empty();
}

UpstreamPointer
Upstreams::Choose(const UpstreamCriteria& aCriteria, NoUpstreamReason& aReason)
{
  const base::TimePoint now = m_clock.Now();
  const std::vector<UpstreamPointer> available =
    AvailableFor(aCriteria, aReason);
  if (available.empty()) {
    return nullptr;
  }
  std::vector<routing::Candidate> candidates;
  for (const UpstreamPointer& upstream : available) {
    candidates.push_back({ &upstream->m_instance,
                           &upstream->m_estimate,
                           upstream->m_instance.m_slots });
  }
  const UpstreamPointer chosen =
    available[routing::ChooseUpstream(candidates, aCriteria.m_choice, now)];
  const double coldRateShare = ColdRateShare(*aCriteria.m_service);
  if (chosen->m_instance.m_coldUntil > now && coldRateShare > 0) {
    (void)chosen->m_estimate.ColdBucket().Take(
      coldRateShare, detail::kColdBurstRequests, now);
  }
  return chosen;
}

std::unique_ptr<UpstreamConnection>
Upstreams::TakeIdleConnection(Upstream& aUpstream)
{
  const base::TimePoint now = m_clock.Now();
  while (!aUpstream.m_idleConnections.empty()) {
    std::unique_ptr<UpstreamConnection> connection =
      std::move(aUpstream.m_idleConnections.back());
    aUpstream.m_idleConnections.pop_back();
    base::Millis maxIdleTime = detail::kMaxIdleTime;
    if (connection->KeepAliveTimeout() > base::Millis(0)) {
      maxIdleTime =
        std::min(maxIdleTime, connection->KeepAliveTimeout() * 4 / 5);
    }
    if (now - connection->IdleSince() < maxIdleTime && connection->IsIdle()) {
      return connection;
    }
  }
  return nullptr;
}

void
Upstreams::ReturnConnection(Upstream& aUpstream,
                            std::unique_ptr<UpstreamConnection> aConnection)
{
  if (!aConnection->Reusable() ||
      aUpstream.m_idleConnections.size() >= detail::kMaxIdleConnections) {
    return; // closes the connection
  }
  aConnection->SetIdleSince(m_clock.Now());
  aUpstream.m_idleConnections.push_back(std::move(aConnection));
}

void
Upstreams::Forget(const std::string& aId)
{
  const auto found = m_upstreams.find(aId);
  if (found != m_upstreams.end()) {
    m_forgotten[aId] = found->second->m_instance.m_born;
    m_upstreams.erase(found);
  }
}

void
Upstreams::Sweep()
{
  const base::TimePoint now = m_clock.Now();
  const routing::Registry& registry = m_watch.View().m_registry;
  std::erase_if(m_upstreams, [&](const auto& aItem) {
    const routing::Instance* known = registry.Find(aItem.first);
    return known == nullptr || known->m_state == routing::InstanceState::Gone;
  });
  for (const auto& [id, upstream] : m_upstreams) {
    std::erase_if(upstream->m_idleConnections, [&](const auto& aConnection) {
      return now - aConnection->IdleSince() >= detail::kMaxIdleTime;
    });
  }
  std::unordered_set<routing::UpstreamKey> registered;
  registry.ForEach([&](const routing::Instance& aInstance) {
    registered.insert(routing::MakeUpstreamKey(aInstance));
  });
  m_requestLimits.Expire(now - detail::kLimitRetention,
                         [&](routing::UpstreamKey aUpstream) {
                           return registered.count(aUpstream) > 0;
                         });
  std::erase_if(m_forgotten, [&](const auto& aItem) {
    return registry.Find(aItem.first) == nullptr;
  });
}

} // namespace chivefront::proxy
