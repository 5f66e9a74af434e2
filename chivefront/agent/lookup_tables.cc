// Implements the tables of upstreams and attempts.
#include "chivefront/agent/lookup_tables.h"

#include "chivefront/base/ids.h"

namespace chivefront::agent {
namespace detail {

// An agent serves the upstreams of one host; more names than this mean a fault
// in what announces them.
constexpr size_t kMaxUpstreams = 1024;

} // namespace detail

LockedUpstreamPointer
UpstreamTable::Find(const std::string& aName) const
{
  const std::lock_guard lock(m_lock);
  const auto found = m_upstreams.find(aName);
  return found == m_upstreams.end() ? nullptr : found->second;
}

LockedUpstreamPointer
UpstreamTable::FindOrAdd(const std::string& aName,
                         const catalog::UpstreamRule& aRule)
{
  const std::lock_guard lock(m_lock);
  auto& upstream = m_upstreams[aName];
  if (!upstream && m_upstreams.size() > detail::kMaxUpstreams) {
    m_upstreams.erase(aName);
    return nullptr;
  }
  if (!upstream) {
    upstream = std::make_shared<LockedUpstream>(aRule);
  }
  return upstream;
}

std::vector<LockedUpstreamPointer>
UpstreamTable::All() const
{
  const std::lock_guard lock(m_lock);
  std::vector<LockedUpstreamPointer> all;
  for (const auto& [name, upstream] : m_upstreams) {
    all.push_back(upstream);
  }
  return all;
}

size_t
AttemptTable::IndexOf(const std::string& aRequestId)
{
  return base::StableHash(aRequestId) % kShards;
}

bool
AttemptTable::Insert(const AttemptPointer& aAttempt, AttemptPointer& aExisting)
{
  Shard& shard = m_shards[IndexOf(aAttempt->Key().m_requestId)];
  const std::lock_guard lock(shard.m_lock);
  const auto [place, inserted] =
    shard.m_attempts.emplace(aAttempt->Key(), aAttempt);
  aExisting = place->second;
  return inserted;
}

AttemptPointer
AttemptTable::Find(const AttemptKey& aKey) const
{
  const Shard& shard = m_shards[IndexOf(aKey.m_requestId)];
  const std::lock_guard lock(shard.m_lock);
  const auto found = shard.m_attempts.find(aKey);
  return found == shard.m_attempts.end() ? nullptr : found->second;
}

std::vector<AttemptPointer>
AttemptTable::AttemptsOf(const std::string& aRequestId) const
{
  const Shard& shard = m_shards[IndexOf(aRequestId)];
  const std::lock_guard lock(shard.m_lock);
  std::vector<AttemptPointer> attempts;
  for (auto attempt = shard.m_attempts.lower_bound({ aRequestId, 0 });
       attempt != shard.m_attempts.end() &&
       attempt->first.m_requestId == aRequestId;
       ++attempt) {
    attempts.push_back(attempt->second);
  }
  return attempts;
}

void
AttemptTable::Erase(const AttemptKey& aKey)
{
  Shard& shard = m_shards[IndexOf(aKey.m_requestId)];
  const std::lock_guard lock(shard.m_lock);
  shard.m_attempts.erase(aKey);
}

std::vector<AttemptPointer>
AttemptTable::All() const
{
  std::vector<AttemptPointer> all;
  for (const Shard& shard : m_shards) {
    const std::lock_guard lock(shard.m_lock);
    for (const auto& [key, attempt] : shard.m_attempts) {
      all.push_back(attempt);
    }
  }
  return all;
}

size_t
AttemptTable::Size() const
{
  size_t size = 0;
  for (const Shard& shard : m_shards) {
    const std::lock_guard lock(shard.m_lock);
    size += shard.m_attempts.size();
  }
  return size;
}

} // namespace chivefront::agent
