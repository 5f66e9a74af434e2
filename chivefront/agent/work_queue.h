// Requests that wait for a free slot at one upstream. Pure; the owner locks.
//
// Order: paying before free, within a class by arrival. The bound is small on
// purpose: work that can't start soon is better sent elsewhere by the entry.
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
    std::optional<AttemptKey> m_displaced; // lost its place, was not run
  };
  // A full queue accepts a paying run in place of the last free one.
  PushResult Push(WaitingAttempt aAttempt);

  // The next run or null; suspects are passed over when aSuspectAllowed is
  // false. It stays in the queue until Remove.
  const WaitingAttempt* FirstStartable(bool aSuspectAllowed) const;

  // Removes and returns runs whose deadline is not after aNow.
  std::vector<AttemptKey> TakeExpired(base::TimePoint aNow);
  std::vector<AttemptKey> TakeAll();
  bool Remove(const AttemptKey& aKey);

  // Runs that would start before a new one of aClass.
  size_t CountAhead(catalog::CallerClass aClass) const;
  size_t Size() const { return m_paying.size() + m_free.size(); }

private:
  std::deque<WaitingAttempt>& Lane(catalog::CallerClass aClass)
  {
    return aClass == catalog::CallerClass::Paying ? m_paying : m_free;
  }

  size_t m_capacity; // over both lanes
  std::deque<WaitingAttempt> m_paying;
  std::deque<WaitingAttempt> m_free;
};

} // namespace chivefront::agent
