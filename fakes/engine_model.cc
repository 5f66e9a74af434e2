// Batching and overload limits of the fake engine.
#include "fakes/engine_model.h"

#include <algorithm>

namespace fakes {
namespace {

void
EraseFirst(std::deque<std::string>& aQueue, const std::string& aId)
{
  const auto found = std::find(aQueue.begin(), aQueue.end(), aId);
  if (found != aQueue.end()) {
    aQueue.erase(found);
  }
}

bool
Contains(const std::deque<std::string>& aQueue, const std::string& aId)
{
  return std::find(aQueue.begin(), aQueue.end(), aId) != aQueue.end();
}

} // namespace

EngineModel::EngineModel(EngineLimits aLimits, base::TimePoint aStartedAt)
  : m_limits(aLimits)
  , m_startedAt(aStartedAt)
{
}

uint32_t
EngineModel::Waiting() const
{
  return static_cast<uint32_t>(m_paying.size() + m_free.size());
}

uint32_t
EngineModel::MaxHeldAt(base::TimePoint aNow) const
{
  const bool cold = m_completed < m_limits.m_coldRequests ||
                    aNow - m_startedAt < m_limits.m_coldTime;
  return cold ? std::min(m_limits.m_coldMaxHeld, m_limits.m_maxHeld)
              : m_limits.m_maxHeld;
}

void
EngineModel::BecomeCold(base::TimePoint aNow)
{
  m_startedAt = aNow;
  m_completed = 0;
}

bool
EngineModel::Add(const std::string& aId, bool aPaying, base::TimePoint aNow)
{
  (aPaying ? m_paying : m_free).push_back(aId);
  const uint32_t held = Running() + Waiting();
  m_largestHeld = std::max(m_largestHeld, held);
  const bool tooMany = held > MaxHeldAt(aNow);
  m_exceeded = m_exceeded || tooMany;
  FillBatch();
  return !tooMany;
}

void
EngineModel::FillBatch()
{
  while (Running() < m_limits.m_batch && Waiting() > 0) {
    auto& queue = m_paying.empty() ? m_free : m_paying;
    const std::string id = queue.front();
    queue.pop_front();
    m_batch.insert(id);
    ++m_ran[id];
    m_startOrder.push_back(id);
  }
}

bool
EngineModel::InBatch(const std::string& aId) const
{
  return m_batch.count(aId) != 0;
}

bool
EngineModel::Holds(const std::string& aId) const
{
  return InBatch(aId) || Contains(m_paying, aId) || Contains(m_free, aId);
}

void
EngineModel::Remove(const std::string& aId, bool aCompleted)
{
  const auto found = m_batch.find(aId);
  if (found != m_batch.end()) {
    m_batch.erase(found);
  } else {
    EraseFirst(m_paying, aId);
    EraseFirst(m_free, aId);
  }
  m_canceled.erase(aId);
  m_completed += aCompleted ? 1 : 0;
  FillBatch();
}

void
EngineModel::Cancel(const std::string& aId)
{
  if (Holds(aId)) {
    m_canceled.insert(aId);
    ++m_canceledCount;
  }
}

bool
EngineModel::Canceled(const std::string& aId) const
{
  return m_canceled.count(aId) != 0;
}

base::Millis
EngineModel::TokenTime() const
{
  constexpr int64_t kMicrosPerMilli = 1000;
  const int64_t extra =
    static_cast<int64_t>(m_limits.m_tokenPerRequestUs) * Running();
  return m_limits.m_tokenBase + base::Millis(extra / kMicrosPerMilli);
}

} // namespace fakes
