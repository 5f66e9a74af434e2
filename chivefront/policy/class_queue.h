// A bounded queue of waiting requests with deadlines. Paying requests always
// leave before free ones. Within a class, start-time fair queueing divides the
// service between teams, so that a team with many requests does not delay a
// team with few.
//
//   auto pushed = queue.Push({ id, cls, "sales", cost, deadline }, now);
//   if (!pushed.m_queued) ... refuse with pushed.m_retryAfter ...
//   for (uint64_t id : pushed.m_displaced) ... refuse, after RetryAfter ...
//   for (uint64_t id : queue.TakeExpired(now)) ... DeadlineExceeded ...
//   while (has a free slot) if (auto item = queue.Pop(now)) ... start it ...
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
  uint64_t m_id = 0; // set by the caller, unique among waiting items
  catalog::CallerClass m_class = catalog::CallerClass::Free;
  std::string m_team;
  double m_cost = 1; // expected work, above 0, in the same unit for all items
  // The latest time at which the request is worth starting.
  base::TimePoint m_deadline;
};

struct PushResult
{
  bool m_queued = false;
  base::Millis m_expectedWait;
  base::Millis m_retryAfter; // set if not queued
  // Items removed to make room. The caller refuses them with RetryAfter of
  // their class.
  std::vector<uint64_t> m_displaced;
};

class ClassQueue
{
public:
  explicit ClassQueue(size_t aCapacity);

  // Refuses an item at once if its expected wait exceeds its deadline. If the
  // queue is full, a paying item displaces the last free item; if there is none
  // or the item is free, it displaces the last item of its class if that item
  // comes later in fair order.
  PushResult Push(const QueueItem& aItem, base::TimePoint aNow);
  // Removes and returns the next item whose deadline has not passed.
  std::optional<QueueItem> Pop(base::TimePoint aNow);
  // Like Pop, but leaves the item in the queue.
  const QueueItem* Peek(base::TimePoint aNow) const;
  // Removes the items whose deadline has passed and returns their ids.
  std::vector<uint64_t> TakeExpired(base::TimePoint aNow);
  // For cancelled requests; false if the item isn't waiting.
  bool Remove(uint64_t aId);

  size_t Size() const { return m_items.size(); }
  size_t Size(catalog::CallerClass aClass) const;
  // Expected time until the queue has room for a request of aClass.
  base::Millis RetryAfter(catalog::CallerClass aClass) const;
  // The earliest deadline of all items, for a timer.
  std::optional<base::TimePoint> NextDeadline() const;

private:
  struct WaitingItem
  {
    QueueItem m_item;
    uint64_t m_arrival = 0; // number of the Push, see m_arrivals
  };
  // The waiting items of one team in one class. Only service advances
  // m_start, so items that expire or are displaced cost the team nothing.
  struct TeamQueue
  {
    std::map<uint64_t, uint64_t> m_order; // arrival number to item id
    double m_cost = 0;                    // sum over all waiting items
    double m_start = 0; // virtual start time of the first item
  };
  // The waiting items of one class. Virtual time is in units of cost.
  struct Queue
  {
    std::map<std::string, TeamQueue> m_teams;
    size_t m_size = 0; // items of all teams
    double m_virtualTime = 0;
  };

  Queue& QueueOf(catalog::CallerClass aClass);
  const Queue& QueueOf(catalog::CallerClass aClass) const;
  // Virtual start time of the first item of aTeam.
  static double StartOf(const Queue& aQueue, const std::string& aTeam);
  base::Millis ExpectedWait(const QueueItem& aItem) const;
  // The item that aItem displaces from a full queue; nothing if there is none.
  std::optional<uint64_t> FindVictim(const QueueItem& aItem) const;
  // The first item whose deadline has not passed.
  const WaitingItem* FirstOf(const TeamQueue& aTeam,
                             base::TimePoint aNow) const;
  void Erase(uint64_t aId);
  // Advances virtual time by the service of aItem.
  void AdvanceVirtualTime(const QueueItem& aItem);
  void RecordDeparture(base::TimePoint aNow);

  const size_t m_capacity;
  Queue m_queues[2]; // paying, free
  std::unordered_map<uint64_t, WaitingItem> m_items;
  std::set<std::pair<base::TimePoint, uint64_t>> m_deadlines; // and item id
  uint64_t m_arrivals = 0;
  // Decayed mean time between departures while there was a backlog.
  double m_departureIntervalMs = 0;
  // The last departure, if it left a backlog.
  std::optional<base::TimePoint> m_lastBusyPop;
};

} // namespace chivefront::policy
