// Scores upstreams by their load reports and by this entry's own requests.
#include "chivefront/policy/placement.h"

#include <algorithm>
#include <cmath>

namespace chivefront::policy {
namespace {

constexpr double kServiceWeight = 0.1; // of the newest latency in the mean
// A refused attempt means that the load report is out of date. The next report
// arrives within about this time.
constexpr base::Millis kAvoidAfterReject{ 100 };

uint32_t
Outstanding(const Placement::Upstream& aUpstream)
{
  const UpstreamReport& report = aUpstream.m_report;
  return std::max(report.m_running + report.m_queued +
                    aUpstream.m_sentSinceReport,
                  aUpstream.m_inFlight);
}

uint32_t
CreditsOf(const Placement::Upstream& aUpstream, bool aMayQueue)
{
  const UpstreamReport& report = aUpstream.m_report;
  const uint32_t room = report.m_limit + (aMayQueue ? report.m_queueRoom : 0);
  const uint32_t used = Outstanding(aUpstream);
  return used < room ? room - used : 0;
}

} // namespace

Placement::Placement(PlacementSettings aSettings, uint64_t aSeed)
  : m_settings(std::move(aSettings))
  , m_random(aSeed)
{
}

double
Placement::Uniform()
{
  return std::uniform_real_distribution<double>(0, 1)(m_random);
}

void
Placement::Update(const UpstreamReport& aReport, base::TimePoint aNow)
{
  const auto found = m_upstreams.find(aReport.m_upstream);
  if (found != m_upstreams.end() &&
      found->second.m_report.m_route != aReport.m_route) {
    Remove(aReport.m_upstream);
  }
  Upstream& upstream = m_upstreams[aReport.m_upstream];
  if (upstream.m_report.m_route.empty()) {
    m_groups[aReport.m_route].push_back(&upstream);
  }
  upstream.m_report = aReport;
  upstream.m_reportedAt = aNow;
  upstream.m_sentSinceReport = 0;
}

void
Placement::Remove(std::string_view aUpstream)
{
  const auto found = m_upstreams.find(aUpstream);
  if (found == m_upstreams.end()) {
    return;
  }
  const auto group = m_groups.find(found->second.m_report.m_route);
  std::erase(group->second, &found->second);
  if (group->second.empty()) {
    m_groups.erase(group);
  }
  m_upstreams.erase(found);
}

void
Placement::OnDomainReturned(std::string_view aDomain, base::TimePoint aNow)
{
  m_returned.insert_or_assign(std::string(aDomain), aNow);
}

double
Placement::DomainShare(const std::string& aDomain, base::TimePoint aNow) const
{
  const auto found = m_returned.find(aDomain);
  if (found == m_returned.end()) {
    return 1;
  }
  const auto elapsed = static_cast<double>((aNow - found->second).Count());
  const auto ramp = static_cast<double>(m_settings.m_returnRamp.Count());
  return std::min(1.0, m_settings.m_returnInitialShare + elapsed / ramp);
}

const Placement::Upstream*
Placement::AffineTo(uint64_t aPrefix) const
{
  const auto found = m_prefixes.find(aPrefix);
  return aPrefix == 0 || found == m_prefixes.end() ? nullptr
                                                   : Find(found->second);
}

Placement::Group
Placement::Candidates(const PlacementRequest& aRequest,
                      const Usable& aUsable,
                      base::TimePoint aNow)
{
  Group chosen;
  Group beyondShare; // of returning domains
  const auto group = m_groups.find(aRequest.m_route);
  if (group == m_groups.end()) {
    return chosen;
  }
  const bool credits = m_settings.m_rule != PlacementRule::RoundRobin;
  const double draw = Uniform();
  for (Upstream* upstream : group->second) {
    const std::string& name = upstream->m_report.m_upstream;
    if (upstream->m_report.m_leaving || !aUsable(*upstream) ||
        (aRequest.m_tried != nullptr && aRequest.m_tried->count(name) > 0)) {
      continue;
    }
    if (credits && (aNow < upstream->m_avoidUntil ||
                    CreditsOf(*upstream, aRequest.m_mayQueue) == 0)) {
      continue;
    }
    const bool within = draw < DomainShare(upstream->m_report.m_domain, aNow);
    (within ? chosen : beyondShare).push_back(upstream);
  }
  // Exceeding a domain's share is better than refusing the request.
  return chosen.empty() ? beyondShare : chosen;
}

Placement::ScoredUpstream
Placement::Score(const Upstream& aUpstream,
                 const PlacementRequest& aRequest,
                 double aMeanMs) const
{
  ScoredUpstream scored;
  scored.m_upstream = &aUpstream;
  const uint32_t limit = std::max<uint32_t>(aUpstream.m_report.m_limit, 1);
  const uint32_t outstanding = Outstanding(aUpstream);
  const double load = static_cast<double>(outstanding) / limit;
  scored.m_queues = outstanding >= limit;
  scored.m_score = load;
  if (m_settings.m_rule == PlacementRule::ExpectedFinish) {
    const double service =
      aUpstream.m_serviceMs > 0 ? aUpstream.m_serviceMs / aMeanMs : 1;
    const double waiting =
      outstanding < limit
        ? 0
        : static_cast<double>(outstanding + 1 - limit) / limit;
    scored.m_score = service * (1 + waiting) + load;
  }
  if (aUpstream.m_report.m_domain != m_settings.m_ownDomain) {
    scored.m_score += m_settings.m_domainPenalty;
  }
  if (AffineTo(aRequest.m_prefix) == &aUpstream) {
    scored.m_affine = true;
    scored.m_score -= m_settings.m_affinitySaving;
  }
  return scored;
}

std::optional<PlacementChoice>
Placement::Choose(const PlacementRequest& aRequest,
                  const Usable& aUsable,
                  base::TimePoint aNow)
{
  Group candidates = Candidates(aRequest, aUsable, aNow);
  if (candidates.empty()) {
    return std::nullopt;
  }
  double meanMs = 0;
  size_t measured = 0;
  for (const Upstream* upstream : candidates) {
    meanMs += upstream->m_serviceMs;
    measured += upstream->m_serviceMs > 0 ? 1 : 0;
  }
  meanMs = measured == 0 ? 1 : meanMs / static_cast<double>(measured);
  if (m_settings.m_rule == PlacementRule::RoundRobin) {
    candidates = { candidates[m_roundRobin++ % candidates.size()] };
  } else if (m_settings.m_rule == PlacementRule::TwoChoices &&
             candidates.size() > 2) {
    std::swap(candidates[0], candidates[m_random() % candidates.size()]);
    std::swap(candidates[1],
              candidates[1 + m_random() % (candidates.size() - 1)]);
    candidates.resize(2);
  }
  ScoredUpstream best;
  size_t ties = 0;
  for (const Upstream* upstream : candidates) {
    const ScoredUpstream scored = Score(*upstream, aRequest, meanMs);
    if (best.m_upstream == nullptr || scored.m_score < best.m_score) {
      best = scored;
      ties = 1;
    } else if (scored.m_score == best.m_score && m_random() % ++ties == 0) {
      // Ties are broken at random; otherwise all entries would make the same
      // choice.
      best = scored;
    }
  }
  PlacementChoice choice;
  choice.m_upstream = best.m_upstream->m_report.m_upstream;
  choice.m_queues = best.m_queues;
  choice.m_affine = best.m_affine;
  choice.m_expectedFinish =
    base::Millis(static_cast<int64_t>(best.m_score * meanMs));
  return choice;
}

void
Placement::OnSent(std::string_view aUpstream, uint64_t aPrefix)
{
  const auto found = m_upstreams.find(aUpstream);
  if (found == m_upstreams.end()) {
    return;
  }
  ++found->second.m_inFlight;
  ++found->second.m_sentSinceReport;
  if (aPrefix != 0) {
    StorePrefix(aPrefix, found->first);
  }
}

void
Placement::StorePrefix(uint64_t aPrefix, const std::string& aUpstream)
{
  if (!m_prefixes.insert_or_assign(aPrefix, aUpstream).second) {
    return;
  }
  if (m_prefixOrder.size() < m_settings.m_maxPrefixes) {
    m_prefixOrder.push_back(aPrefix);
    return;
  }
  m_prefixes.erase(m_prefixOrder[m_oldestPrefix]);
  m_prefixOrder[m_oldestPrefix] = aPrefix;
  m_oldestPrefix = (m_oldestPrefix + 1) % m_prefixOrder.size();
}

void
Placement::OnFinished(std::string_view aUpstream,
                      std::optional<base::Millis> aLatency)
{
  const auto found = m_upstreams.find(aUpstream);
  if (found == m_upstreams.end()) {
    return;
  }
  Upstream& upstream = found->second;
  upstream.m_inFlight -= upstream.m_inFlight > 0 ? 1 : 0;
  upstream.m_sentSinceReport -= upstream.m_sentSinceReport > 0 ? 1 : 0;
  if (aLatency) {
    const auto latency =
      static_cast<double>(std::max<int64_t>(aLatency->Count(), 1));
    upstream.m_serviceMs =
      upstream.m_serviceMs == 0
        ? latency
        : upstream.m_serviceMs +
            kServiceWeight * (latency - upstream.m_serviceMs);
  }
}

void
Placement::OnRejected(std::string_view aUpstream, base::TimePoint aNow)
{
  const auto found = m_upstreams.find(aUpstream);
  if (found == m_upstreams.end()) {
    return;
  }
  OnFinished(aUpstream, std::nullopt);
  found->second.m_avoidUntil = aNow + kAvoidAfterReject;
}

const Placement::Upstream*
Placement::Find(std::string_view aUpstream) const
{
  const auto found = m_upstreams.find(aUpstream);
  return found == m_upstreams.end() ? nullptr : &found->second;
}

uint32_t
Placement::Credits(std::string_view aRoute,
                   const Usable& aUsable,
                   base::TimePoint aNow) const
{
  uint32_t credits = 0;
  const auto group = m_groups.find(aRoute);
  if (group == m_groups.end()) {
    return credits;
  }
  for (const Upstream* upstream : group->second) {
    if (!upstream->m_report.m_leaving && aNow >= upstream->m_avoidUntil &&
        aUsable(*upstream)) {
      credits += CreditsOf(*upstream, true);
    }
  }
  return credits;
}

} // namespace chivefront::policy
