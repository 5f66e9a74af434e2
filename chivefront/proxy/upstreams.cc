// Candidates for a request, and idle connections.
#include "chivefront/proxy/upstreams.h"

#include <algorithm>

namespace chivefront::proxy {
namespace detail {

// Below the time for which upstreams keep idle connections.
constexpr base::Millis kMostIdle{ 4000 };
constexpr size_t kMostIdleConnections = 16;
// A burst of more than one request of each entry could meet at one upstream.
constexpr double kColdBurst = 1;

} // namespace detail

Upstreams::Upstreams(const site::Watch& aWatch, const base::Clock& aClock)
  : m_watch(aWatch)
  , m_clock(aClock)
{
}

bool
Upstreams::VersionFits(const routing::Instance& aInstance,
                       const UpstreamNeed& aNeed) const
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
  return isNew ==
         routing::IsOnNewVersion(aNeed.m_rolloutKey, elapsed, rollout.m_span);
}

// Whether aInstance may be given any request of aNeed now or soon.
bool
Upstreams::IsOpen(const routing::Instance& aInstance,
                  const UpstreamNeed& aNeed) const
{
  if (aInstance.m_service != aNeed.m_service->m_name ||
      aInstance.m_state != routing::InstanceState::Ready ||
      m_clock.Now() - aInstance.m_reportedAt > routing::kInstanceTimeout) {
    return false;
  }
  const auto forgotten = m_forgotten.find(aInstance.m_id);
  if (forgotten != m_forgotten.end() && forgotten->second >= aInstance.m_born) {
    return false;
  }
  return m_watch.View().m_domainsOut.count(aInstance.m_domain) == 0 &&
         std::count(
           aNeed.m_tried.begin(), aNeed.m_tried.end(), aInstance.m_id) == 0;
}

UpstreamPointer
Upstreams::Track(const routing::Instance& aInstance)
{
  UpstreamPointer& upstream = m_upstreams[aInstance.m_id];
  if (!upstream || upstream->m_instance.m_born != aInstance.m_born ||
      upstream->m_instance.m_address != aInstance.m_address) {
    upstream = std::make_shared<Upstream>();
  }
  upstream->m_instance = aInstance;
  return upstream;
}

// A cold upstream's rate is shared evenly by all entries.
double
Upstreams::ColdShare(const routing::Service& aService) const
{
  return aService.m_warmupPerSecond / m_watch.View().m_liveEntries;
}

// All that may be given the request of aNeed at this moment.
std::vector<UpstreamPointer>
Upstreams::OpenFor(const UpstreamNeed& aNeed, NoUpstream& aWhy)
{
  const base::TimePoint now = m_clock.Now();
  const double coldShare = ColdShare(*aNeed.m_service);
  std::vector<UpstreamPointer> open;
  aWhy = NoUpstream::None;
  const auto consider = [&](const routing::Instance& aInstance) {
    if (!IsOpen(aInstance, aNeed) || !VersionFits(aInstance, aNeed)) {
      return;
    }
    const UpstreamPointer upstream = Track(aInstance);
    routing::UpstreamEstimate& estimate = upstream->m_estimate;
    if (estimate.BackoffUntil() > now) {
      aWhy = std::max(aWhy, NoUpstream::Closed);
      return;
    }
    if (aInstance.m_coldUntil > now && coldShare > 0 &&
        !estimate.ColdBucket().Ready(coldShare, detail::kColdBurst, now)) {
      aWhy = NoUpstream::Cold;
      return;
    }
    open.push_back(upstream);
  };
  m_watch.View().m_registry.ForEach(consider);
  return open;
}

bool
Upstreams::AnyOpen(const UpstreamNeed& aNeed)
{
  NoUpstream why = NoUpstream::None;
  return !OpenFor(aNeed, why).empty();
}

UpstreamPointer
Upstreams::Choose(const UpstreamNeed& aNeed, NoUpstream& aWhy)
{
  const base::TimePoint now = m_clock.Now();
  const std::vector<UpstreamPointer> open = OpenFor(aNeed, aWhy);
  if (open.empty()) {
    return nullptr;
  }
  std::vector<routing::Candidate> candidates;
  for (const UpstreamPointer& upstream : open) {
    candidates.push_back({ &upstream->m_instance,
                           &upstream->m_estimate,
                           upstream->m_instance.m_slots });
  }
  const UpstreamPointer chosen =
    open[routing::ChooseUpstream(candidates, aNeed.m_choice, now)];
  const double coldShare = ColdShare(*aNeed.m_service);
  if (chosen->m_instance.m_coldUntil > now && coldShare > 0) {
    (void)chosen->m_estimate.ColdBucket().Take(
      coldShare, detail::kColdBurst, now);
  }
  return chosen;
}

std::unique_ptr<UpstreamConnection>
Upstreams::TakeIdle(Upstream& aUpstream)
{
  const base::TimePoint now = m_clock.Now();
  while (!aUpstream.m_idle.empty()) {
    std::unique_ptr<UpstreamConnection> connection =
      std::move(aUpstream.m_idle.back());
    aUpstream.m_idle.pop_back();
    base::Millis most = detail::kMostIdle;
    if (connection->KeepAlive() > base::Millis(0)) {
      most = std::min(most, connection->KeepAlive() * 4 / 5);
    }
    if (now - connection->IdleSince() < most && connection->Quiet()) {
      return connection;
    }
  }
  return nullptr;
}

void
Upstreams::GiveBack(Upstream& aUpstream,
                    std::unique_ptr<UpstreamConnection> aConnection)
{
  if (!aConnection->Reusable() ||
      aUpstream.m_idle.size() >= detail::kMostIdleConnections) {
    return; // closes it
  }
  aConnection->SetIdleSince(m_clock.Now());
  aUpstream.m_idle.push_back(std::move(aConnection));
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
    std::erase_if(upstream->m_idle, [&](const auto& aConnection) {
      return now - aConnection->IdleSince() >= detail::kMostIdle;
    });
  }
  std::erase_if(m_forgotten, [&](const auto& aItem) {
    return registry.Find(aItem.first) == nullptr;
  });
}

} // namespace chivefront::proxy
