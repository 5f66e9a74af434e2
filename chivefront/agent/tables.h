// Thread-safe tables of upstreams and runs. Each upstream has a lock of its
// own; runs are spread over shards by their key.
#pragma once

#include <array>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "chivefront/agent/run.h"
#include "chivefront/agent/upstream_state.h"

namespace chivefront::agent {

struct UpstreamShard
{
  explicit UpstreamShard(const catalog::UpstreamRule& aRule)
    : m_state(aRule)
  {
  }

  std::mutex m_lock;
  UpstreamState m_state;  // guarded by m_lock
  bool m_probing = false; // guarded by m_lock; one probe at a time
};
using ShardPointer = std::shared_ptr<UpstreamShard>;

class UpstreamTable
{
public:
  // Null when aName never announced itself.
  ShardPointer Find(const std::string& aName) const;
  // Adds it if needed; null when the table is full.
  ShardPointer FindOrAdd(const std::string& aName,
                         const catalog::UpstreamRule& aRule);
  std::vector<ShardPointer> All() const;

private:
  mutable std::mutex m_lock;
  std::map<std::string, ShardPointer> m_shards;
};

class RunTable
{
public:
  // False when aRun's key is in the table already; aPresent then gets it.
  bool Insert(const RunPointer& aRun, RunPointer& aPresent);
  RunPointer Find(const RunKey& aKey) const;
  // All attempts of one request.
  std::vector<RunPointer> Attempts(const std::string& aRequestId) const;
  void Erase(const RunKey& aKey);
  std::vector<RunPointer> All() const;
  size_t Size() const;

private:
  static constexpr size_t kShards = 16;
  struct Shard
  {
    mutable std::mutex m_lock;
    std::map<RunKey, RunPointer> m_runs;
  };
  static size_t IndexOf(const std::string& aRequestId);

  std::array<Shard, kShards> m_shards;
};

} // namespace chivefront::agent
