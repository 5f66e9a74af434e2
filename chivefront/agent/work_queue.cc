// Two lanes, one bound.
#include "chivefront/agent/work_queue.h"

#include <algorithm>

namespace chivefront::agent {
namespace detail {

template<typename Condition>
void
TakeIf(std::deque<WaitingRun>& aLane,
       std::vector<RunKey>& aTaken,
       Condition aCondition)
{
  for (auto run = aLane.begin(); run != aLane.end();) {
    if (aCondition(*run)) {
      aTaken.push_back(run->m_key);
      run = aLane.erase(run);
    } else {
      ++run;
    }
  }
}

} // namespace detail

WorkQueue::PushResult
WorkQueue::Push(WaitingRun aRun)
{
  PushResult result;
  if (Size() >= m_bound) {
    if (aRun.m_class != catalog::CallerClass::Paying || m_free.empty()) {
      return result;
    }
    result.m_displaced = m_free.back().m_key;
    m_free.pop_back();
  }
  result.m_accepted = true;
  Lane(aRun.m_class).push_back(std::move(aRun));
  return result;
}

const WaitingRun*
WorkQueue::Front(bool aSuspectAllowed) const
{
  for (const std::deque<WaitingRun>* lane : { &m_paying, &m_free }) {
    const auto found =
      std::find_if(lane->begin(), lane->end(), [&](const WaitingRun& aRun) {
        return aSuspectAllowed || !aRun.m_suspect;
      });
    if (found != lane->end()) {
      return &*found;
    }
  }
  return nullptr;
}

std::vector<RunKey>
WorkQueue::TakeExpired(base::TimePoint aNow)
{
  std::vector<RunKey> taken;
  for (std::deque<WaitingRun>* lane : { &m_paying, &m_free }) {
    detail::TakeIf(*lane, taken, [&](const WaitingRun& aRun) {
      return aRun.m_deadline <= aNow;
    });
  }
  return taken;
}

std::vector<RunKey>
WorkQueue::TakeAll()
{
  std::vector<RunKey> taken;
  for (std::deque<WaitingRun>* lane : { &m_paying, &m_free }) {
    detail::TakeIf(*lane, taken, [](const WaitingRun&) { return true; });
  }
  return taken;
}

bool
WorkQueue::Remove(const RunKey& aKey)
{
  std::vector<RunKey> taken;
  for (std::deque<WaitingRun>* lane : { &m_paying, &m_free }) {
    detail::TakeIf(
      *lane, taken, [&](const WaitingRun& aRun) { return aRun.m_key == aKey; });
  }
  return !taken.empty();
}

size_t
WorkQueue::AheadOf(catalog::CallerClass aClass) const
{
  return aClass == catalog::CallerClass::Paying ? m_paying.size() : Size();
}

} // namespace chivefront::agent
