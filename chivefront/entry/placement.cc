// Candidates from the registry and the choice among them.
#include "chivefront/entry/placement.h"

#include <algorithm>
#include <tuple>

namespace chivefront::entry {
namespace detail {

struct Candidate
{
  PlacedUpstream m_upstream;
  size_t m_inFlight = 0;
  bool m_full = false;
  bool m_ownDomain = false;

  // Free capacity first, then the own failure domain, then the fewest
  // requests in flight.
  auto Rank() const
  {
    return std::tuple(m_full, !m_ownDomain, m_inFlight, m_upstream.m_name);
  }
};

} // namespace detail

std::optional<PlacedUpstream>
PlaceRequest(const EntryParts& aParts,
             const client::View& aView,
             const std::string& aVersion,
             const std::string& aService,
             const std::set<std::string>& aTried)
{
  std::optional<detail::Candidate> best;
  for (const auto& [name, info] : *aView.m_registry) {
    const bool serves =
      aService.empty()
        ? info.kind == wire::UpstreamKind::Model && info.version == aVersion
        : info.kind == wire::UpstreamKind::Plain && info.service == aService;
    if (!serves || info.leaving || aTried.count(name) != 0 ||
        !catalog::CheckInService(*aView.m_catalog, name, info.failure_domain)
           .ok()) {
      continue;
    }
    net::Link::Pointer link = aParts.m_agents.Current(info.agent_address);
    if (!link) {
      continue;
    }
    const UpstreamLoad load = aParts.m_agents.LoadOf(name).value_or(
      UpstreamLoad{ info.limit, info.running, info.queued });
    detail::Candidate candidate;
    candidate.m_upstream = {
      name, info.failure_domain, info.agent_address, std::move(link)
    };
    // The report lags behind what this entry has sent itself.
    candidate.m_inFlight = std::max<size_t>(load.m_running + load.m_queued,
                                            aParts.m_running.AtUpstream(name));
    candidate.m_full = candidate.m_inFlight >= load.m_limit;
    candidate.m_ownDomain = info.failure_domain == aParts.m_failureDomain;
    if (!best || candidate.Rank() < best->Rank()) {
      best = std::move(candidate);
    }
  }
  if (!best) {
    return std::nullopt;
  }
  return std::move(best->m_upstream);
}

} // namespace chivefront::entry
