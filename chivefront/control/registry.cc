// Announcements, expiry and deltas of the upstream registry.
#include "chivefront/control/registry.h"

#include <algorithm>

namespace chivefront::control {
namespace detail {

// Above the 12,000 engines of the largest planned cluster.
constexpr size_t kMaxUpstreams = 20000;
// Removals kept for deltas; a watcher that missed more gets a snapshot.
constexpr size_t kMaxRememberedRemovals = 4096;

// Load changes with every request, and the agents report it to the entries
// directly. If changes of load counted here, every watcher would get the load
// of all upstreams.
bool
DiffersBesidesLoad(const wire::UpstreamInfoT& aLeft,
                   const wire::UpstreamInfoT& aRight)
{
  return aLeft.agent != aRight.agent ||
         aLeft.agent_address != aRight.agent_address ||
         aLeft.failure_domain != aRight.failure_domain ||
         aLeft.kind != aRight.kind || aLeft.model != aRight.model ||
         aLeft.version != aRight.version || aLeft.service != aRight.service ||
         aLeft.limit != aRight.limit || aLeft.leaving != aRight.leaving;
}

} // namespace detail

bool
UpstreamRegistry::Put(const std::string& aAgent, wire::UpstreamInfoT aInfo)
{
  const auto found = m_upstreams.find(aInfo.name);
  if (found == m_upstreams.end()) {
    if (m_upstreams.size() >= detail::kMaxUpstreams) {
      return false;
    }
  } else if (found->second.m_info.agent != aAgent) {
    return false;
  } else if (!detail::DiffersBesidesLoad(found->second.m_info, aInfo)) {
    found->second.m_info = std::move(aInfo);
    return true;
  } else {
    m_bySequence.erase(found->second.m_sequence);
  }
  Row& row = m_upstreams[aInfo.name];
  row.m_sequence = ++m_sequence;
  m_bySequence[row.m_sequence] = aInfo.name;
  row.m_info = std::move(aInfo);
  return true;
}

void
UpstreamRegistry::Remove(const std::string& aName)
{
  const auto found = m_upstreams.find(aName);
  m_bySequence.erase(found->second.m_sequence);
  m_upstreams.erase(found);
  m_removed.emplace_back(++m_sequence, aName);
  if (m_removed.size() > detail::kMaxRememberedRemovals) {
    m_historyStart = m_removed.front().first;
    m_removed.pop_front();
  }
}

size_t
UpstreamRegistry::Announce(const wire::AnnounceRequestT& aRequest,
                           base::TimePoint aNow)
{
  Expire(aNow);
  Agent& agent = m_agents[aRequest.agent];
  agent.m_incarnation = aRequest.incarnation;
  agent.m_expires = aNow + kAnnouncementTimeout;
  std::set<std::string> accepted;
  size_t rejected = 0;
  for (const auto& upstream : aRequest.upstreams) {
    wire::UpstreamInfoT info = *upstream;
    info.agent = aRequest.agent;
    info.agent_address = aRequest.agent_address;
    info.failure_domain = aRequest.failure_domain;
    info.removed = false;
    const std::string name = info.name;
    if (Put(aRequest.agent, std::move(info))) {
      accepted.insert(name);
    } else {
      ++rejected;
    }
  }
  for (const std::string& name : agent.m_upstreams) {
    if (accepted.count(name) == 0) {
      Remove(name);
    }
  }
  agent.m_upstreams = std::move(accepted);
  return rejected;
}

void
UpstreamRegistry::Expire(base::TimePoint aNow)
{
  // No agent expires before m_nextExpiry. Without this check each announcement
  // would iterate over all agents.
  if (aNow < m_nextExpiry) {
    return;
  }
  m_nextExpiry = aNow + kAnnouncementTimeout;
  for (auto agent = m_agents.begin(); agent != m_agents.end();) {
    if (aNow < agent->second.m_expires) {
      m_nextExpiry = std::min(m_nextExpiry, agent->second.m_expires);
      ++agent;
      continue;
    }
    for (const std::string& name : agent->second.m_upstreams) {
      Remove(name);
    }
    agent = m_agents.erase(agent);
  }
}

RegistryDelta
UpstreamRegistry::Since(uint64_t aEpoch, uint64_t aSequence) const
{
  RegistryDelta delta;
  delta.m_epoch = m_epoch;
  delta.m_sequence = m_sequence;
  delta.m_snapshot =
    aEpoch != m_epoch || aSequence < m_historyStart || aSequence > m_sequence;
  const uint64_t after = delta.m_snapshot ? 0 : aSequence;
  if (!delta.m_snapshot) {
    for (auto row = m_removed.rbegin();
         row != m_removed.rend() && row->first > after;
         ++row) {
      if (m_upstreams.count(row->second) == 0) {
        wire::UpstreamInfoT info;
        info.name = row->second;
        info.removed = true;
        delta.m_upstreams.push_back(std::move(info));
      }
    }
  }
  for (auto row = m_bySequence.upper_bound(after); row != m_bySequence.end();
       ++row) {
    delta.m_upstreams.push_back(m_upstreams.at(row->second).m_info);
  }
  return delta;
}

RegistryDelta
UpstreamRegistry::Additions(uint64_t aEpoch, uint64_t aSequence) const
{
  RegistryDelta delta;
  delta.m_epoch = aEpoch;
  delta.m_sequence = aSequence;
  delta.m_upstreams = All();
  return delta;
}

std::vector<wire::UpstreamInfoT>
UpstreamRegistry::All() const
{
  std::vector<wire::UpstreamInfoT> all;
  for (const auto& [name, row] : m_upstreams) {
    all.push_back(row.m_info);
  }
  return all;
}

} // namespace chivefront::control
