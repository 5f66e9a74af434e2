// State of the fake model engine: continuous batching, the limit on held
// requests, cold start, and the history that tests check. It does no I/O and
// isn't thread-safe; the owner locks.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "chivefront/base/clock.h"

namespace fakes {

using namespace chivefront;

struct EngineLimits
{
  uint32_t m_batch = 8;    // requests that generate at once
  uint32_t m_maxHeld = 32; // requests held at once; more overload it
  // The lower limit while cold. The engine is cold until it has completed
  // m_coldRequests and m_coldTime has passed since its start.
  uint32_t m_coldMaxHeld = 2;
  uint32_t m_coldRequests = 0;
  base::Millis m_coldTime;
  base::Millis m_tokenBase{ 2 };      // time per token with an empty batch
  uint32_t m_tokenPerRequestUs = 500; // added per request in the batch
};

class EngineModel
{
public:
  EngineModel(EngineLimits aLimits, base::TimePoint aStartedAt);

  // Adds a request. Returns false when the engine now holds more requests than
  // its limit; the owner then has to act as overloaded.
  bool Add(const std::string& aId, bool aPaying, base::TimePoint aNow);
  // Whether the request is in the batch, which means that it generates.
  bool InBatch(const std::string& aId) const;
  void Remove(const std::string& aId, bool aCompleted);
  void Cancel(const std::string& aId);
  bool Canceled(const std::string& aId) const;
  bool Holds(const std::string& aId) const;

  base::Millis TokenTime() const;
  uint32_t MaxHeldAt(base::TimePoint aNow) const;
  void BecomeCold(base::TimePoint aNow);
  EngineLimits& Limits() { return m_limits; }

  uint32_t Running() const { return static_cast<uint32_t>(m_batch.size()); }
  uint32_t Waiting() const;

  // --- History ---------------------------------------------------------------

  // Executions by request id.
  const std::map<std::string, uint32_t>& Ran() const { return m_ran; }
  const std::vector<std::string>& StartOrder() const { return m_startOrder; }
  uint32_t LargestHeld() const { return m_largestHeld; }
  bool Exceeded() const { return m_exceeded; }
  uint32_t CanceledCount() const { return m_canceledCount; }

private:
  void FillBatch();

  EngineLimits m_limits;
  base::TimePoint m_startedAt;
  uint32_t m_completed = 0; // since the engine became cold
  std::deque<std::string> m_paying;
  std::deque<std::string> m_free;
  std::multiset<std::string> m_batch;
  std::set<std::string> m_canceled; // held requests that were cancelled
  std::map<std::string, uint32_t> m_ran;
  std::vector<std::string> m_startOrder;
  uint32_t m_largestHeld = 0;
  uint32_t m_canceledCount = 0;
  bool m_exceeded = false;
};

} // namespace fakes
