// Requests that this entry saw when their upstream was lost. They are
// dispatched as suspect, so that an agent runs one of them at a time per
// upstream. The ledger counts the losses; this is a bounded memory only.
// Thread-safe.
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
  // The request completed.
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
  std::deque<uint64_t> m_order; // of m_suspects, oldest first
};

} // namespace chivefront::entry
