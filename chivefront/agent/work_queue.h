// Requests that wait for a free slot at one upstream. Pure; the owner locks.
//
// Order: paying before free, within a class by arrival. The bound is small on
// purpose: work that can't start soon is better sent elsewhere by the entry.
#pragma once

#include <deque>
#include <optional>
#include <vector>

#include "chivefront/agent/run_key.h"
#include "chivefront/base/clock.h"
#include "chivefront/catalog/catalog.h"

namespace chivefront::agent {

struct WaitingRun
{
  RunKey m_key;
  catalog::CallerClass m_class = catalog::CallerClass::Free;
  bool m_suspect = false;
  bool m_stream = false;
  uint64_t m_fingerprint = 0;
  base::TimePoint m_deadline;
};

class WorkQueue
{
public:
  explicit WorkQueue(size_t aBound)
    : m_bound(aBound)
  {
  }

  void SetBound(size_t aBound) { m_bound = aBound; }

  struct PushResult
  {
    bool m_accepted = false;
    std::optional<RunKey> m_displaced; // lost its place, was not run
  };
  // A full queue accepts a paying run in place of the last free one.
  PushResult Push(WaitingRun aRun);

  // The next run or null; suspects are passed over when aSuspectAllowed is
  // false. It stays in the queue until Remove.
  const WaitingRun* Front(bool aSuspectAllowed) const;

  // Removes and returns runs whose deadline is not after aNow.
  std::vector<RunKey> TakeExpired(base::TimePoint aNow);
  std::vector<RunKey> TakeAll();
  bool Remove(const RunKey& aKey);

  // Runs that would start before a new one of aClass.
  size_t AheadOf(catalog::CallerClass aClass) const;
  size_t Size() const { return m_paying.size() + m_free.size(); }

private:
  std::deque<WaitingRun>& Lane(catalog::CallerClass aClass)
  {
    return aClass == catalog::CallerClass::Paying ? m_paying : m_free;
  }

  size_t m_bound; // over both lanes
  std::deque<WaitingRun> m_paying;
  std::deque<WaitingRun> m_free;
};

} // namespace chivefront::agent
