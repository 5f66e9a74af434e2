// Start-time fair queueing per class, with refusal of items that would expire.
#include "chivefront/policy/class_queue.h"

#include <algorithm>
#include <cmath>

namespace chivefront::policy {
namespace {

using catalog::CallerClass;

// Weight of the newest interval between two departures.
constexpr double kIntervalWeight = 0.1;
constexpr base::Millis kMinRetryAfter{ 100 };
// Estimates of longer waits are unreliable, so callers retry after this time.
constexpr base::Millis kMaxRetryAfter{ 30000 };

} // namespace

ClassQueue::ClassQueue(size_t aCapacity)
  : m_capacity(aCapacity)
{
}

ClassQueue::Queue&
ClassQueue::QueueOf(CallerClass aClass)
{
  return m_queues[aClass == CallerClass::Paying ? 0 : 1];
}

const ClassQueue::Queue&
ClassQueue::QueueOf(CallerClass aClass) const
{
  return m_queues[aClass == CallerClass::Paying ? 0 : 1];
}

size_t
ClassQueue::Size(CallerClass aClass) const
{
  return QueueOf(aClass).m_size;
}

double
ClassQueue::StartOf(const Queue& aQueue, const std::string& aTeam)
{
  const auto found = aQueue.m_teams.find(aTeam);
  return found == aQueue.m_teams.end()
           ? aQueue.m_virtualTime
           : std::max(aQueue.m_virtualTime, found->second.m_start);
}

base::Millis
ClassQueue::ExpectedWait(const QueueItem& aItem) const
{
  const Queue& queue = QueueOf(aItem.m_class);
  const auto own = queue.m_teams.find(aItem.m_team);
  double start = StartOf(queue, aItem.m_team);
  double ahead = 0;
  if (own != queue.m_teams.end()) {
    start += own->second.m_cost;
    ahead += static_cast<double>(own->second.m_order.size());
  }
  for (const auto& [name, team] : queue.m_teams) {
    if (name == aItem.m_team || team.m_order.empty()) {
      continue;
    }
    // Items of the other team whose virtual start time is before the new
    // item's.
    const double before = start - StartOf(queue, name);
    const auto count = static_cast<double>(team.m_order.size());
    const double meanCost = team.m_cost / count;
    ahead += std::clamp(std::floor(before / meanCost) + 1, 0.0, count);
  }
  if (aItem.m_class == CallerClass::Free) {
    ahead += static_cast<double>(Size(CallerClass::Paying));
  }
  return base::Millis(
    static_cast<int64_t>(std::ceil(ahead * m_departureIntervalMs)));
}

base::Millis
ClassQueue::RetryAfter(CallerClass aClass) const
{
  size_t ahead = Size(CallerClass::Paying);
  if (aClass == CallerClass::Free) {
    ahead += Size(CallerClass::Free);
  }
  const base::Millis wait(
    static_cast<int64_t>(static_cast<double>(ahead) * m_departureIntervalMs));
  return std::clamp(wait, kMinRetryAfter, kMaxRetryAfter);
}

std::optional<uint64_t>
ClassQueue::FindVictim(const QueueItem& aItem) const
{
  const bool paying = aItem.m_class == CallerClass::Paying;
  const bool anyFree = Size(CallerClass::Free) > 0;
  const Queue& queue = paying && !anyFree ? QueueOf(CallerClass::Paying)
                                          : QueueOf(CallerClass::Free);
  const TeamQueue* last = nullptr;
  double lastEnd = 0;
  for (const auto& [name, team] : queue.m_teams) {
    const double end = StartOf(queue, name) + team.m_cost;
    if (!team.m_order.empty() && (last == nullptr || end > lastEnd)) {
      last = &team;
      lastEnd = end;
    }
  }
  if (last == nullptr) {
    return std::nullopt;
  }
  if (!paying || !anyFree) {
    // Within a class, only a team with less waiting work may displace an item.
    const auto own = queue.m_teams.find(aItem.m_team);
    const double waiting = own == queue.m_teams.end() ? 0 : own->second.m_cost;
    if (StartOf(queue, aItem.m_team) + waiting + aItem.m_cost >= lastEnd) {
      return std::nullopt;
    }
  }
  return last->m_order.rbegin()->second;
}

PushResult
ClassQueue::Push(const QueueItem& aItem, base::TimePoint aNow)
{
  PushResult result;
  result.m_expectedWait = ExpectedWait(aItem);
  const bool late = aNow + result.m_expectedWait > aItem.m_deadline;
  if (!late && m_items.size() >= m_capacity) {
    if (const auto victim = FindVictim(aItem)) {
      Erase(*victim);
      result.m_displaced.push_back(*victim);
    }
  }
  if (late || m_items.size() >= m_capacity) {
    result.m_retryAfter = RetryAfter(aItem.m_class);
    return result;
  }
  result.m_queued = true;
  Queue& queue = QueueOf(aItem.m_class);
  const double start = StartOf(queue, aItem.m_team);
  TeamQueue& team = queue.m_teams[aItem.m_team];
  if (team.m_order.empty()) {
    team.m_start = start;
  }
  team.m_order.emplace(++m_arrivals, aItem.m_id);
  team.m_cost += aItem.m_cost;
  ++queue.m_size;
  m_deadlines.emplace(aItem.m_deadline, aItem.m_id);
  m_items.emplace(aItem.m_id, WaitingItem{ aItem, m_arrivals });
  return result;
}

const ClassQueue::WaitingItem*
ClassQueue::FirstOf(const TeamQueue& aTeam, base::TimePoint aNow) const
{
  for (const auto& [arrival, id] : aTeam.m_order) {
    const WaitingItem& waiting = m_items.at(id);
    if (aNow <= waiting.m_item.m_deadline) {
      return &waiting;
    }
  }
  return nullptr;
}

const QueueItem*
ClassQueue::Peek(base::TimePoint aNow) const
{
  for (const Queue& queue : m_queues) {
    const WaitingItem* best = nullptr;
    double bestStart = 0;
    for (const auto& [name, team] : queue.m_teams) {
      const WaitingItem* first = FirstOf(team, aNow);
      if (first == nullptr) {
        continue;
      }
      const double start = StartOf(queue, name);
      if (best == nullptr || start < bestStart ||
          (start == bestStart && first->m_arrival < best->m_arrival)) {
        best = first;
        bestStart = start;
      }
    }
    if (best != nullptr) {
      return &best->m_item;
    }
  }
  return nullptr;
}

std::optional<QueueItem>
ClassQueue::Pop(base::TimePoint aNow)
{
  const QueueItem* next = Peek(aNow);
  if (next == nullptr) {
    m_lastBusyPop.reset();
    return std::nullopt;
  }
  QueueItem item = *next;
  RecordDeparture(aNow);
  AdvanceVirtualTime(item);
  Erase(item.m_id);
  return item;
}

void
ClassQueue::AdvanceVirtualTime(const QueueItem& aItem)
{
  Queue& queue = QueueOf(aItem.m_class);
  const double start = StartOf(queue, aItem.m_team);
  queue.m_virtualTime = start;
  queue.m_teams.at(aItem.m_team).m_start = start + aItem.m_cost;
  // A team without waiting items keeps its entry only while its virtual start
  // time is ahead of virtual time, so that the map is bounded.
  std::erase_if(queue.m_teams, [&](const auto& aEntry) {
    return aEntry.second.m_order.empty() && aEntry.second.m_start <= start;
  });
}

void
ClassQueue::RecordDeparture(base::TimePoint aNow)
{
  if (m_lastBusyPop) {
    const auto interval = static_cast<double>((aNow - *m_lastBusyPop).Count());
    m_departureIntervalMs =
      m_departureIntervalMs == 0
        ? interval
        : m_departureIntervalMs +
            kIntervalWeight * (interval - m_departureIntervalMs);
  }
  // Without a backlog, the time to the next departure includes idle time.
  if (m_items.size() > 1) {
    m_lastBusyPop = aNow;
  } else {
    m_lastBusyPop.reset();
  }
}

std::vector<uint64_t>
ClassQueue::TakeExpired(base::TimePoint aNow)
{
  std::vector<uint64_t> expired;
  while (!m_deadlines.empty() && m_deadlines.begin()->first < aNow) {
    expired.push_back(m_deadlines.begin()->second);
    Erase(expired.back());
  }
  return expired;
}

bool
ClassQueue::Remove(uint64_t aId)
{
  if (m_items.count(aId) == 0) {
    return false;
  }
  Erase(aId);
  return true;
}

void
ClassQueue::Erase(uint64_t aId)
{
  const auto found = m_items.find(aId);
  const WaitingItem& waiting = found->second;
  Queue& queue = QueueOf(waiting.m_item.m_class);
  TeamQueue& team = queue.m_teams.at(waiting.m_item.m_team);
  team.m_order.erase(waiting.m_arrival);
  // The sum restarts at exactly 0, so that rounding errors do not accumulate.
  team.m_cost = team.m_order.empty() ? 0 : team.m_cost - waiting.m_item.m_cost;
  if (--queue.m_size == 0) {
    queue.m_teams.clear();
    queue.m_virtualTime = 0;
  }
  m_deadlines.erase({ waiting.m_item.m_deadline, aId });
  m_items.erase(found);
}

std::optional<base::TimePoint>
ClassQueue::NextDeadline() const
{
  if (m_deadlines.empty()) {
    return std::nullopt;
  }
  return m_deadlines.begin()->first;
}

} // namespace chivefront::policy
