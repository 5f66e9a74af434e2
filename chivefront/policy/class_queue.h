// A bounded queue of waiting requests with deadlines. Paying requests always
// leave before free ones; within a class, teams share by start-time fair
// queueing, so a team with many requests does not delay one with few.
//
//   auto pushed = queue.Push({ id, cls, "sales", cost, deadline }, now);
//   if (!pushed.m_queued) ... refuse with pushed.m_retryAfter ...
//   for (uint64_t id : pushed.m_displaced) ... refuse these as well ...
//   for (uint64_t id : queue.TakeExpired(now)) ... DeadlineExceeded ...
//   while (has a free slot) if (auto item = queue.Pop(now)) ... start ...
//
// Not thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "chivefront/base/clock.h"
#include "chivefront/catalog/catalog.h"

namespace chivefront::policy {

struct QueueItem
{
  uint64_t m_id = 0; // chosen by the caller, unique among waiting items
  catalog::CallerClass m_class = catalog::CallerClass::Free;
  std::string m_team;
  double m_cost = 1; // expected work in any one unit, above 0
  // The latest time at which it is worth starting.
  base::TimePoint m_deadline;
};

struct PushResult
{
  bool m_queued = false;
  base::Millis m_expectedWait;
  base::Millis m_retryAfter; // set when not queued
  // Items pushed out to make room; they are refused with m_retryAfter of the
  // queue (see RetryAfter).
  std::vector<uint64_t> m_displaced;
};

class ClassQueue
{
public:
  explicit ClassQueue(size_t aCapacity);

  // Refuses at once when the expected wait exceeds the deadline. When full, a
  // paying item displaces the last free item, and an item displaces the last
  // one of its class when that one comes later in fair order.
  PushResult Push(const QueueItem& aItem, base::TimePoint aNow);
  // The next item whose deadline has not passed.
  std::optional<QueueItem> Pop(base::TimePoint aNow);
  // Like Pop, but leaves the item in the queue.
  const QueueItem* Peek(base::TimePoint aNow) const;
  // Removes and returns items whose deadline has passed.
  std::vector<uint64_t> TakeExpired(base::TimePoint aNow);
  // For cancelled requests; false when not waiting.
  bool Remove(uint64_t aId);

  size_t Size() const { return m_items.size(); }
  size_t Size(catalog::CallerClass aClass) const;
  // When a refused request of aClass can expect room again.
  base::Millis RetryAfter(catalog::CallerClass aClass) const;
  // The earliest deadline of any item, to set a timer by.
  std::optional<base::TimePoint> NextDeadline() const;

private:
  struct Waiting
  {
    QueueItem m_item;
    uint64_t m_arrival = 0;
  };
  // The waiting items of one team in one class. Only service advances
  // m_start, so items that expire or are displaced cost the team nothing.
  struct TeamLane
  {
    std::map<uint64_t, uint64_t> m_order; // arrival to item id
    double m_cost = 0;                    // of all waiting items
    double m_start = 0;                   // virtual start of the first item
  };
  struct Lane
  {
    std::map<std::string, TeamLane> m_teams;
    size_t m_size = 0;
    double m_virtualTime = 0;
  };

  Lane& LaneOf(catalog::CallerClass aClass);
  const Lane& LaneOf(catalog::CallerClass aClass) const;
  static double StartOf(const Lane& aLane, const std::string& aTeam);
  base::Millis ExpectedWait(const QueueItem& aItem) const;
  std::optional<uint64_t> FindVictim(const QueueItem& aItem) const;
  const Waiting* FirstOf(const TeamLane& aTeam, base::TimePoint aNow) const;
  void Erase(uint64_t aId);
  void Advance(const QueueItem& aItem);
  void NoteDeparture(base::TimePoint aNow);

  const size_t m_capacity;
  Lane m_lanes[2]; // by CallerClass
  std::unordered_map<uint64_t, Waiting> m_items;
  std::set<std::pair<base::TimePoint, uint64_t>> m_deadlines;
  uint64_t m_arrivals = 0;
  // Mean time in ms between departures while there was a backlog.
  double m_interval = 0;
  std::optional<base::TimePoint> m_lastBusyPop;
};

} // namespace chivefront::policy
