// Selects the available upstreams of a request and keeps idle connections.
#include "chivefront/proxy/upstreams.h"

#include <algorithm>
#include <limits>

#include "chivefront/routing/cold_bound.h"

namespace chivefront::proxy {
namespace detail {

// Shorter than the time after which upstreams close idle connections.
constexpr base::Millis kMaxIdleTime{ 4000 };
constexpr size_t kMaxIdleConnections = 16;
constexpr base::Millis kDomainUpdatePeriod{ 200 };
// A leaving upstream may register again after this entry has lost control and
// the registration has expired. It has ended long before this time.
constexpr base::Millis kForgottenRetention{ 600000 };

} // namespace detail

Upstreams::Upstreams(const site::Watch& aWatch,
                     const base::Clock& aClock,
                     uint64_t aSeed)
  : m_watch(aWatch)
  , m_clock(aClock)
  , m_permits(aSeed)
  , m_random(aSeed)
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
  if (aCriteria.m_streamVersion) {
    return isNew == (*aCriteria.m_streamVersion == rollout.m_version);
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
  if (IsForgotten(aInstance)) {
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

// The bounds on the requests of all entries to aInstance.
Upstreams::Bounds
Upstreams::BoundsOf(const routing::Instance& aInstance,
                    const routing::Service& aService) const
{
  Bounds bounds;
  if (aInstance.m_coldUntil > m_clock.Now() && aService.m_warmupPerSecond > 0) {
    bounds.m_cold =
      routing::MakeColdBound(aInstance, aService.m_warmupPerSecond);
  }
  bounds.m_limit =
    m_requestLimits.FindBound(routing::MakeUpstreamKey(aInstance));
  return bounds;
}

// How many requests this entry may send within aBounds. Counts the demand for
// them.
uint32_t
Upstreams::PermitsFor(const Bounds& aBounds, double aDemand)
{
  uint32_t permits = std::numeric_limits<uint32_t>::max();
  for (const auto& bound : { aBounds.m_cold, aBounds.m_limit }) {
    if (!bound) {
      continue;
    }
    if (aDemand > 0) {
      m_permits.AddDemand(*bound, aDemand);
    }
    permits = std::min(permits, m_permits.Available(*bound, m_clock.Now()));
  }
  return permits;
}

// Adds the bounded upstreams for which this entry holds permits. If at least
// one states a request limit, requests are sent by priority and age: no
// upstream is available if the requests that wait before this one use up what
// may be sent.
void
Upstreams::AddBounded(const std::vector<BoundedUpstream>& aBounded,
                      const UpstreamCriteria& aCriteria,
                      AvailableUpstreams& aAvailable)
{
  const bool isLimited = std::any_of(
    aBounded.begin(), aBounded.end(), [](const BoundedUpstream& aUpstream) {
      return aUpstream.m_bounds.m_limit.has_value();
    });
  const size_t usable = aBounded.size() + aAvailable.m_upstreams.size();
  const double demand =
    aCriteria.m_addsDemand ? 1 / static_cast<double>(usable) : 0;
  size_t allowed = isLimited ? PaceUnlimited(aAvailable) : 0;
  for (const BoundedUpstream& bounded : aBounded) {
    const uint32_t permits = PermitsFor(bounded.m_bounds, demand);
    allowed += permits;
    if (permits > 0) {
      aAvailable.m_upstreams.push_back(bounded.m_upstream);
    }
    if (const auto& limit = bounded.m_bounds.m_limit) {
      aAvailable.m_expectedRate +=
        limit->m_perSecond / m_watch.View().m_liveEntries;
    } else if (permits == 0) {
      aAvailable.m_reason =
        std::max(aAvailable.m_reason, NoUpstreamReason::Cold);
    }
  }
  const routing::WaitQueue& queue = m_waitQueues[aCriteria.m_service->m_name];
  if (isLimited && !queue.IsAmongFirst(aCriteria.m_ticket, allowed)) {
    aAvailable.m_upstreams.clear();
    aAvailable.m_reason = NoUpstreamReason::Limited;
  }
}

// While some upstreams state a request limit, the others get what is beyond it
// from all entries at once, and one of them may be about to state its own.
// Removes those that answer more slowly than this entry would send. Returns how
// many requests may be sent to the others now.
size_t
Upstreams::PaceUnlimited(AvailableUpstreams& aAvailable) const
{
  const base::TimePoint now = m_clock.Now();
  size_t allowed = 0;
  std::erase_if(aAvailable.m_upstreams, [&](const UpstreamPointer& aUpstream) {
    const routing::UpstreamEstimate& estimate = aUpstream->m_estimate;
    aAvailable.m_expectedRate += estimate.RecentAnswers(now);
    const uint32_t allowance = estimate.PacedAllowance(now);
    allowed += allowance;
    return allowance == 0;
  });
  return allowed;
}

void
Upstreams::AddResting(base::TimePoint aUntil, AvailableUpstreams& aAvailable)
{
  const bool isFirst = aAvailable.m_restUntil == base::TimePoint();
  aAvailable.m_restUntil =
    isFirst ? aUntil : std::min(aAvailable.m_restUntil, aUntil);
  aAvailable.m_reason =
    std::max(aAvailable.m_reason, NoUpstreamReason::Resting);
}

AvailableUpstreams
Upstreams::AvailableFor(const UpstreamCriteria& aCriteria)
{
  const base::TimePoint now = m_clock.Now();
  AvailableUpstreams available;
  std::vector<BoundedUpstream> bounded;
  const auto consider = [&](const routing::Instance& aInstance) {
    if (!IsEligible(aInstance, aCriteria) ||
        !MatchesRollout(aInstance, aCriteria)) {
      return;
    }
    const UpstreamPointer upstream = FindOrCreate(aInstance);
    if (upstream->m_estimate.RestUntil() > now) {
      AddResting(upstream->m_estimate.RestUntil(), available);
    } else if (upstream->m_estimate.BackoffUntil() > now) {
      available.m_reason =
        std::max(available.m_reason, NoUpstreamReason::InBackoff);
    } else if (const Bounds bounds = BoundsOf(aInstance, *aCriteria.m_service);
               bounds.m_cold || bounds.m_limit) {
      bounded.push_back({ upstream, bounds });
    } else {
      available.m_upstreams.push_back(upstream);
    }
  };
  m_watch.View().m_registry.ForEach(consider);
  m_permits.SetGroup(
    { m_watch.View().m_liveEntries, m_watch.View().m_leaderAnsweredAt });
  AddBounded(bounded, aCriteria, available);
  return available;
}

bool
Upstreams::HasAvailable(const UpstreamCriteria& aCriteria)
{
  return !AvailableFor(aCriteria).m_upstreams.empty();
}

// Takes the permits that a request to aUpstream uses up.
void
Upstreams::TakePermits(const Upstream& aUpstream,
                       const routing::Service& aService)
{
  const Bounds bounds = BoundsOf(aUpstream.m_instance, aService);
  for (const auto& bound : { bounds.m_cold, bounds.m_limit }) {
    if (bound) {
      (void)m_permits.Take(*bound, m_clock.Now());
    }
  }
}

// Null for services without engines. The candidates of a retry lack the
// upstreams that were tried, so they say nothing about the domains.
const routing::DomainChoice*
Upstreams::UpdateDomainChoice(
  const UpstreamCriteria& aCriteria,
  const std::vector<routing::Candidate>& aCandidates)
{
  if (!aCriteria.m_service->m_engine) {
    return nullptr;
  }
  const base::TimePoint now = m_clock.Now();
  // During a roll-out the candidates are of one side only.
  std::string key = aCriteria.m_service->m_name;
  const auto& rollouts = m_watch.View().m_rollouts;
  const auto rollout = rollouts.find(key);
  if (rollout != rollouts.end() &&
      aCandidates.front().m_instance->m_version == rollout->second.m_version) {
    key += "/new";
  }
  const auto [item, isNew] =
    m_domainChoices.try_emplace(key, aCriteria.m_choice.m_ownDomain);
  routing::DomainChoice& choice = item->second;
  const bool isDue =
    isNew || now - choice.UpdatedAt() >= detail::kDomainUpdatePeriod;
  if (isDue && aCriteria.m_triedUpstreams.empty()) {
    std::vector<routing::DomainSummary> summaries =
      routing::SummarizeDomains(aCandidates, now);
    for (routing::DomainSummary& summary : summaries) {
      summary.m_roundTripMs = m_roundTrips.BeyondOwnMs(
        aCriteria.m_choice.m_ownDomain, summary.m_domain, now);
    }
    choice.Update(summaries, now);
  }
  return &choice;
}

UpstreamPointer
Upstreams::Choose(const UpstreamCriteria& aCriteria,
                  AvailableUpstreams& aAvailable)
{
  aAvailable = AvailableFor(aCriteria);
  UpstreamPointer chosen = BestOf(aAvailable, aCriteria);
  if (chosen) {
    TakePermits(*chosen, *aCriteria.m_service);
  }
  return chosen;
}

UpstreamPointer
Upstreams::Preview(UpstreamCriteria aCriteria)
{
  aCriteria.m_addsDemand = false;
  return BestOf(AvailableFor(aCriteria), aCriteria);
}

UpstreamPointer
Upstreams::BestOf(const AvailableUpstreams& aAvailable,
                  const UpstreamCriteria& aCriteria)
{
  const std::vector<UpstreamPointer>& available = aAvailable.m_upstreams;
  if (available.empty()) {
    return nullptr;
  }
  std::vector<routing::Candidate> candidates;
  for (const UpstreamPointer& upstream : available) {
    candidates.push_back({ &upstream->m_instance,
                           &upstream->m_estimate,
                           upstream->m_instance.m_slots });
  }
  routing::ChoiceCriteria choice = aCriteria.m_choice;
  choice.m_domainChoice = UpdateDomainChoice(aCriteria, candidates);
  if (!choice.m_random) {
    choice.m_random = m_random();
  }
  return available[routing::ChooseUpstream(candidates, choice, m_clock.Now())];
}

site::RateReport
Upstreams::MakeRateReport()
{
  return { m_requestLimits.All(), m_permits.MakeRequests(m_clock.Now()) };
}

void
Upstreams::AcceptRates(const site::RateAnswer& aAnswer)
{
  for (const routing::LimitObservation& limit : aAnswer.m_limits) {
    (void)m_requestLimits.Record(limit);
  }
  m_permits.Accept(aAnswer.m_permits, aAnswer.m_askedAt);
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
  if (const std::optional<double> roundTrip = aConnection->RoundTripMs()) {
    m_roundTrips.Record(
      aUpstream.m_instance.m_domain, *roundTrip, m_clock.Now());
  }
  if (!aConnection->Reusable() ||
      aUpstream.m_idleConnections.size() >= detail::kMaxIdleConnections) {
    return; // closes the connection
  }
  aConnection->SetIdleSince(m_clock.Now());
  aUpstream.m_idleConnections.push_back(std::move(aConnection));
}

bool
Upstreams::IsForgotten(const routing::Instance& aInstance) const
{
  const auto found = m_forgotten.find(aInstance.m_id);
  return found != m_forgotten.end() && found->second.m_born >= aInstance.m_born;
}

bool
Upstreams::Forget(const routing::Instance& aInstance)
{
  if (IsForgotten(aInstance)) {
    return false;
  }
  m_forgotten[aInstance.m_id] = { aInstance.m_born, m_clock.Now() };
  const auto found = m_upstreams.find(aInstance.m_id);
  if (found != m_upstreams.end() &&
      found->second->m_instance.m_born <= aInstance.m_born) {
    m_upstreams.erase(found);
  }
  return true;
}

void
Upstreams::Sweep()
{
  const base::TimePoint now = m_clock.Now();
  const routing::Registry& registry = m_watch.View().m_registry;
  std::erase_if(m_upstreams, [&](const auto& aItem) {
    const routing::Instance* known = registry.Find(aItem.first);
    const bool isResting = aItem.second->m_estimate.RestUntil() > now;
    return known == nullptr ? !isResting
                            : known->m_state == routing::InstanceState::Gone;
  });
  for (const auto& [id, upstream] : m_upstreams) {
    std::erase_if(upstream->m_idleConnections, [&](const auto& aConnection) {
      return now - aConnection->IdleSince() >= detail::kMaxIdleTime;
    });
  }
  m_requestLimits.ExpireUnregistered(registry, now);
  m_permits.Expire(now);
  std::erase_if(m_forgotten, [&](const auto& aItem) {
    return registry.Find(aItem.first) == nullptr &&
           now - aItem.second.m_at > detail::kForgottenRetention;
  });
}

} // namespace chivefront::proxy
