// Thread-safe tables of the upstreams and attempts of an agent. Each upstream
// has its own lock; attempts are spread over shards by request id.
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
  bool m_probing = false; // guarded by m_lock; at most one probe runs
};
using LockedUpstreamPointer = std::shared_ptr<LockedUpstream>;

class UpstreamTable
{
public:
  // Null when the upstream aName never announced itself.
  LockedUpstreamPointer Find(const std::string& aName) const;
  // Adds the upstream if needed. Null when the table is full.
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
  // False when the table already holds the key of aAttempt. aExisting gets the
  // attempt that the table then holds.
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
