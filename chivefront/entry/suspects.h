// Remembers the requests whose upstream was lost while it ran them. They are
// dispatched as suspect, so that an agent runs at most one of them at a time on
// an upstream. The ledger counts the losses; this cache is bounded and drops
// the oldest entry. Thread-safe.
#pragma once

#include <deque>
#include <mutex>
#include <unordered_set>

namespace chivefront::entry {

class SuspectCache
{
public:
  void Add(uint64_t aFingerprint)
  {
    const std::lock_guard lock(m_lock);
    if (!m_suspects.insert(aFingerprint).second) {
      return;
    }
    m_order.push_back(aFingerprint);
    if (m_order.size() > kMaxSuspects) {
      m_suspects.erase(m_order.front());
      m_order.pop_front();
    }
  }
  // Called when the request completed.
  void Remove(uint64_t aFingerprint)
  {
    const std::lock_guard lock(m_lock);
    if (m_suspects.erase(aFingerprint) != 0) {
      std::erase(m_order, aFingerprint);
    }
  }
  bool Contains(uint64_t aFingerprint) const
  {
    const std::lock_guard lock(m_lock);
    return m_suspects.count(aFingerprint) != 0;
  }

private:
  static constexpr size_t kMaxSuspects = 10000;

  mutable std::mutex m_lock;
  std::unordered_set<uint64_t> m_suspects;
  std::deque<uint64_t> m_order; // the elements of m_suspects, oldest first
};

} // namespace chivefront::entry
