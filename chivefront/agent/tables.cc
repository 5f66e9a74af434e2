// Look-ups.
#include "chivefront/agent/tables.h"

#include "chivefront/base/ids.h"

namespace chivefront::agent {
namespace detail {

// An agent serves the upstreams of one host; more names than this are a fault
// of the announcing side.
constexpr size_t kMaxUpstreams = 1024;

} // namespace detail

ShardPointer
UpstreamTable::Find(const std::string& aName) const
{
  const std::lock_guard lock(m_lock);
  const auto found = m_shards.find(aName);
  return found == m_shards.end() ? nullptr : found->second;
}

ShardPointer
UpstreamTable::FindOrAdd(const std::string& aName,
                         const catalog::UpstreamRule& aRule)
{
  const std::lock_guard lock(m_lock);
  auto& shard = m_shards[aName];
  if (!shard && m_shards.size() > detail::kMaxUpstreams) {
    m_shards.erase(aName);
    return nullptr;
  }
  if (!shard) {
    shard = std::make_shared<UpstreamShard>(aRule);
  }
  return shard;
}

std::vector<ShardPointer>
UpstreamTable::All() const
{
  const std::lock_guard lock(m_lock);
  std::vector<ShardPointer> all;
  for (const auto& [name, shard] : m_shards) {
    all.push_back(shard);
  }
  return all;
}

size_t
RunTable::IndexOf(const std::string& aRequestId)
{
  return base::StableHash(aRequestId) % kShards;
}

bool
RunTable::Insert(const RunPointer& aRun, RunPointer& aPresent)
{
  Shard& shard = m_shards[IndexOf(aRun->Key().m_requestId)];
  const std::lock_guard lock(shard.m_lock);
  const auto [place, inserted] = shard.m_runs.emplace(aRun->Key(), aRun);
  aPresent = place->second;
  return inserted;
}

RunPointer
RunTable::Find(const RunKey& aKey) const
{
  const Shard& shard = m_shards[IndexOf(aKey.m_requestId)];
  const std::lock_guard lock(shard.m_lock);
  const auto found = shard.m_runs.find(aKey);
  return found == shard.m_runs.end() ? nullptr : found->second;
}

std::vector<RunPointer>
RunTable::Attempts(const std::string& aRequestId) const
{
  const Shard& shard = m_shards[IndexOf(aRequestId)];
  const std::lock_guard lock(shard.m_lock);
  std::vector<RunPointer> attempts;
  for (auto run = shard.m_runs.lower_bound({ aRequestId, 0 });
       run != shard.m_runs.end() && run->first.m_requestId == aRequestId;
       ++run) {
    attempts.push_back(run->second);
  }
  return attempts;
}

void
RunTable::Erase(const RunKey& aKey)
{
  Shard& shard = m_shards[IndexOf(aKey.m_requestId)];
  const std::lock_guard lock(shard.m_lock);
  shard.m_runs.erase(aKey);
}

std::vector<RunPointer>
RunTable::All() const
{
  std::vector<RunPointer> all;
  for (const Shard& shard : m_shards) {
    const std::lock_guard lock(shard.m_lock);
    for (const auto& [key, run] : shard.m_runs) {
      all.push_back(run);
    }
  }
  return all;
}

size_t
RunTable::Size() const
{
  size_t size = 0;
  for (const Shard& shard : m_shards) {
    const std::lock_guard lock(shard.m_lock);
    size += shard.m_runs.size();
  }
  return size;
}

} // namespace chivefront::agent
