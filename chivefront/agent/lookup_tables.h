// Thread-safe tables of upstreams and runs. Each upstream has a lock of its
// own; runs are spread over shards by their key.
#pragma once

#include <array>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "chivefront/agent/attempt.h"
#include "chivefront/agent/upstream_state.h"

namespace chivefront::agent {

struct LockedUpstream
{
  explicit LockedUpstream(const catalog::UpstreamRule& aRule)
    : m_state(aRule)
  {
  }

  std::mutex m_lock;
  UpstreamState m_state;  // guarded by m_lock
  bool m_probing = false; // guarded by m_lock; one probe at a time
};
using LockedUpstreamPointer = std::shared_ptr<LockedUpstream>;

class UpstreamTable
{
public:
  // Null when aName never announced itself.
  LockedUpstreamPointer Find(const std::string& aName) const;
  // Adds it if needed; null when the table is full.
  LockedUpstreamPointer FindOrAdd(const std::string& aName,
                                  const catalog::UpstreamRule& aRule);
  std::vector<LockedUpstreamPointer> All() const;

private:
  mutable std::mutex m_lock;
  std::map<std::string, LockedUpstreamPointer> m_upstreams;
};

class AttemptTable
{
public:
  // False when aRun's key is in the table already; aPresent then gets it.
  bool Insert(const AttemptPointer& aAttempt, AttemptPointer& aExisting);
  AttemptPointer Find(const AttemptKey& aKey) const;
  // All attempts of one request.
  std::vector<AttemptPointer> AttemptsOf(const std::string& aRequestId) const;
  void Erase(const AttemptKey& aKey);
  std::vector<AttemptPointer> All() const;
  size_t Size() const;

private:
  static constexpr size_t kShards = 16;
  struct Shard
  {
    mutable std::mutex m_lock;
    std::map<AttemptKey, AttemptPointer> m_attempts;
  };
  static size_t IndexOf(const std::string& aRequestId);

  std::array<Shard, kShards> m_shards;
};

} // namespace chivefront::agent
