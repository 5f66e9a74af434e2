// Attempts that wait for a free slot at one upstream. Pure; the owner locks.
//
// Order: the paying class before the free class, within a class by arrival. The
// capacity is small on purpose: the entry should send work that can't start
// soon to another upstream.
#pragma once

#include <deque>
#include <optional>
#include <vector>

#include "chivefront/agent/attempt_key.h"
#include "chivefront/base/clock.h"
#include "chivefront/catalog/catalog.h"

namespace chivefront::agent {

struct WaitingAttempt
{
  AttemptKey m_key;
  catalog::CallerClass m_class = catalog::CallerClass::Free;
  bool m_suspect = false;
  bool m_stream = false;
  uint64_t m_fingerprint = 0;
  base::TimePoint m_deadline;
};

class WorkQueue
{
public:
  explicit WorkQueue(size_t aCapacity)
    : m_capacity(aCapacity)
  {
  }

  void SetCapacity(size_t aCapacity) { m_capacity = aCapacity; }

  struct PushResult
  {
    bool m_accepted = false;
    // Removed from the queue to make room; it did not run.
    std::optional<AttemptKey> m_displaced;
  };
  // A full queue accepts an attempt of the paying class in place of the last
  // one of the free class.
  PushResult Push(WaitingAttempt aAttempt);

  // The next attempt that may start, or null. Skips suspects when
  // aSuspectAllowed is false. The attempt stays in the queue until Remove().
  const WaitingAttempt* FirstStartable(bool aSuspectAllowed) const;

  // Removes and returns the attempts whose deadline is not after aNow.
  std::vector<AttemptKey> TakeExpired(base::TimePoint aNow);
  std::vector<AttemptKey> TakeAll();
  bool Remove(const AttemptKey& aKey);

  // Number of attempts that would start before a new one of aClass.
  size_t CountAhead(catalog::CallerClass aClass) const;
  size_t Size() const { return m_paying.size() + m_free.size(); }

private:
  std::deque<WaitingAttempt>& QueueOf(catalog::CallerClass aClass)
  {
    return aClass == catalog::CallerClass::Paying ? m_paying : m_free;
  }

  size_t m_capacity; // of both queues together
  std::deque<WaitingAttempt> m_paying;
  std::deque<WaitingAttempt> m_free;
};

} // namespace chivefront::agent
