// The registry of announced upstreams: soft state of one control process.
//
// Agents announce all their upstreams every 500 ms to every control process;
// what is not announced again in time is removed. Watchers get deltas by
// (epoch, sequence): the epoch differs after each start of this process.
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

// Four announcements fit into it, so that three lost ones remove nothing.
inline constexpr base::Millis kAnnouncementTimeout{ 2000 };

struct RegistryDelta
{
  uint64_t m_epoch = 0;
  uint64_t m_sequence = 0;
  bool m_snapshot = false;
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

  // Takes in the whole list of one agent. An upstream that another live agent
  // holds is left to that agent; returns how many were left for this reason or
  // because the registry is full.
  size_t Announce(const wire::AnnounceRequestT& aRequest, base::TimePoint aNow);
  void Expire(base::TimePoint aNow);
  RegistryDelta Since(uint64_t aEpoch, uint64_t aSequence) const;
  // What has been heard so far, for a process too young to have heard of every
  // upstream: it removes nothing, and the asker's position stays as it was, so
  // that a later Since() sends the whole registry.
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

  bool Put(const std::string& aAgent, wire::UpstreamInfoT aInfo);
  void Remove(const std::string& aName);

  const uint64_t m_epoch;
  uint64_t m_sequence = 0;
  std::map<std::string, Row> m_upstreams;
  std::map<uint64_t, std::string> m_bySequence;           // of m_upstreams
  std::deque<std::pair<uint64_t, std::string>> m_removed; // oldest first
  uint64_t m_historyStart = 0; // deltas are complete from here
  std::map<std::string, Agent> m_agents;
  base::TimePoint m_nextExpiry; // no agent expires before
};

} // namespace chivefront::control
