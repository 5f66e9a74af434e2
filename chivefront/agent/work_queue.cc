// Implements WorkQueue as one queue per caller class with a common capacity.
#include "chivefront/agent/work_queue.h"

#include <algorithm>

namespace chivefront::agent {
namespace detail {

template<typename Condition>
void
TakeIf(std::deque<WaitingAttempt>& aQueue,
       std::vector<AttemptKey>& aTaken,
       Condition aCondition)
{
  for (auto attempt = aQueue.begin(); attempt != aQueue.end();) {
    if (aCondition(*attempt)) {
      aTaken.push_back(attempt->m_key);
      attempt = aQueue.erase(attempt);
    } else {
      ++attempt;
    }
  }
}

} // namespace detail

WorkQueue::PushResult
WorkQueue::Push(WaitingAttempt aAttempt)
{
  PushResult result;
  if (Size() >= m_capacity) {
    if (aAttempt.m_class != catalog::CallerClass::Paying || m_free.empty()) {
      return result;
    }
    result.m_displaced = m_free.back().m_key;
    m_free.pop_back();
  }
  result.m_accepted = true;
  QueueOf(aAttempt.m_class).push_back(std::move(aAttempt));
  return result;
}

const WaitingAttempt*
WorkQueue::FirstStartable(bool aSuspectAllowed) const
{
  for (const std::deque<WaitingAttempt>* queue : { &m_paying, &m_free }) {
    const auto found = std::find_if(
      queue->begin(), queue->end(), [&](const WaitingAttempt& aAttempt) {
        return aSuspectAllowed || !aAttempt.m_suspect;
      });
    if (found != queue->end()) {
      return &*found;
    }
  }
  return nullptr;
}

std::vector<AttemptKey>
WorkQueue::TakeExpired(base::TimePoint aNow)
{
  std::vector<AttemptKey> taken;
  for (std::deque<WaitingAttempt>* queue : { &m_paying, &m_free }) {
    detail::TakeIf(*queue, taken, [&](const WaitingAttempt& aAttempt) {
      return aAttempt.m_deadline <= aNow;
    });
  }
  return taken;
}

std::vector<AttemptKey>
WorkQueue::TakeAll()
{
  std::vector<AttemptKey> taken;
  for (std::deque<WaitingAttempt>* queue : { &m_paying, &m_free }) {
    detail::TakeIf(*queue, taken, [](const WaitingAttempt&) { return true; });
  }
  return taken;
}

bool
WorkQueue::Remove(const AttemptKey& aKey)
{
  std::vector<AttemptKey> taken;
  for (std::deque<WaitingAttempt>* queue : { &m_paying, &m_free }) {
    detail::TakeIf(*queue, taken, [&](const WaitingAttempt& aAttempt) {
      return aAttempt.m_key == aKey;
    });
  }
  return !taken.empty();
}

size_t
WorkQueue::CountAhead(catalog::CallerClass aClass) const
{
  return aClass == catalog::CallerClass::Paying ? m_paying.size() : Size();
}

} // namespace chivefront::agent
