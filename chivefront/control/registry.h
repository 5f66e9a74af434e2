// The registry of announced upstreams: soft state of one control process.
//
// Agents announce all their upstreams to every control process every 500 ms. An
// upstream that is not announced again within kAnnouncementTimeout is removed.
// Watchers get deltas by (epoch, sequence). Each start of this process has
// another epoch.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "chivefront/base/clock.h"
#include "chivefront/wire/protocol_generated.hpp"

namespace chivefront::control {

// Four announcements fit into it, so that three lost announcements remove
// nothing.
inline constexpr base::Millis kAnnouncementTimeout{ 2000 };

struct RegistryDelta
{
  uint64_t m_epoch = 0;
  uint64_t m_sequence = 0;
  bool m_snapshot = false; // replaces everything the receiver holds
  std::vector<wire::UpstreamInfoT> m_upstreams;
};

// Not thread-safe.
class UpstreamRegistry
{
public:
  explicit UpstreamRegistry(uint64_t aEpoch)
    : m_epoch(aEpoch)
  {
  }

  // Replaces the upstreams of one agent by those in aRequest. Rejects an
  // upstream that another live agent has announced, and new upstreams when the
  // registry is full. Returns the number of rejected upstreams.
  size_t Announce(const wire::AnnounceRequestT& aRequest, base::TimePoint aNow);
  void Expire(base::TimePoint aNow);
  RegistryDelta Since(uint64_t aEpoch, uint64_t aSequence) const;
  // All upstreams announced so far, for use while this process has just started
  // and may not have heard of every upstream. The delta removes nothing and
  // keeps the watcher's position, so that a later Since() sends the whole
  // registry.
  RegistryDelta Additions(uint64_t aEpoch, uint64_t aSequence) const;

  size_t Size() const { return m_upstreams.size(); }
  std::vector<wire::UpstreamInfoT> All() const;

private:
  struct Row
  {
    wire::UpstreamInfoT m_info;
    uint64_t m_sequence = 0;
  };
  struct Agent
  {
    uint64_t m_incarnation = 0;
    base::TimePoint m_expires;
    std::set<std::string> m_upstreams;
  };

  // False when the upstream is rejected.
  bool Put(const std::string& aAgent, wire::UpstreamInfoT aInfo);
  void Remove(const std::string& aName);

  const uint64_t m_epoch;
  uint64_t m_sequence = 0;
  std::map<std::string, Row> m_upstreams;
  // Names in m_upstreams by the sequence of their last change.
  std::map<uint64_t, std::string> m_bySequence;
  // Removals, oldest first, as (sequence, name).
  std::deque<std::pair<uint64_t, std::string>> m_removed;
  // Deltas are complete for watchers at this sequence or later.
  uint64_t m_historyStart = 0;
  std::map<std::string, Agent> m_agents;
  base::TimePoint m_nextExpiry; // no agent expires before this time
};

} // namespace chivefront::control
