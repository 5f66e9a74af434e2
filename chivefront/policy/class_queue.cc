// Start-time fair queueing per class with early refusal.
#include "chivefront/policy/class_queue.h"

#include <algorithm>
#include <cmath>

namespace chivefront::policy {
namespace {

using catalog::CallerClass;

// Weight of the newest interval between two departures.
constexpr double kIntervalWeight = 0.1;
constexpr base::Millis kMinRetryAfter{ 100 };
// Longer waits are guesses; callers should look again after this time.
constexpr base::Millis kMaxRetryAfter{ 30000 };

} // namespace

ClassQueue::ClassQueue(size_t aCapacity)
  : m_capacity(aCapacity)
{
}

ClassQueue::Lane&
ClassQueue::LaneOf(CallerClass aClass)
{
  return m_lanes[aClass == CallerClass::Paying ? 0 : 1];
}

const ClassQueue::Lane&
ClassQueue::LaneOf(CallerClass aClass) const
{
  return m_lanes[aClass == CallerClass::Paying ? 0 : 1];
}

size_t
ClassQueue::Size(CallerClass aClass) const
{
  return LaneOf(aClass).m_size;
}

double
ClassQueue::StartOf(const Lane& aLane, const std::string& aTeam)
{
  const auto found = aLane.m_teams.find(aTeam);
  return found == aLane.m_teams.end()
           ? aLane.m_virtualTime
           : std::max(aLane.m_virtualTime, found->second.m_start);
}

base::Millis
ClassQueue::ExpectedWait(const QueueItem& aItem) const
{
  const Lane& lane = LaneOf(aItem.m_class);
  const auto own = lane.m_teams.find(aItem.m_team);
  double start = StartOf(lane, aItem.m_team);
  double ahead = 0;
  if (own != lane.m_teams.end()) {
    start += own->second.m_cost;
    ahead += static_cast<double>(own->second.m_order.size());
  }
  for (const auto& [name, team] : lane.m_teams) {
    if (name == aItem.m_team || team.m_order.empty()) {
      continue;
    }
    // Items of the other team whose virtual start comes before this one's.
    const double before = start - StartOf(lane, name);
    const auto count = static_cast<double>(team.m_order.size());
    const double meanCost = team.m_cost / count;
    ahead += std::clamp(std::floor(before / meanCost) + 1, 0.0, count);
  }
  if (aItem.m_class == CallerClass::Free) {
    ahead += static_cast<double>(Size(CallerClass::Paying));
  }
  return base::Millis(static_cast<int64_t>(std::ceil(ahead * m_interval)));
}

base::Millis
ClassQueue::RetryAfter(CallerClass aClass) const
{
  size_t ahead = Size(CallerClass::Paying);
  if (aClass == CallerClass::Free) {
    ahead += Size(CallerClass::Free);
  }
  const base::Millis wait(
    static_cast<int64_t>(static_cast<double>(ahead) * m_interval));
  return std::clamp(wait, kMinRetryAfter, kMaxRetryAfter);
}

std::optional<uint64_t>
ClassQueue::FindVictim(const QueueItem& aItem) const
{
  const bool paying = aItem.m_class == CallerClass::Paying;
  const bool anyFree = Size(CallerClass::Free) > 0;
  const Lane& lane = paying && !anyFree ? LaneOf(CallerClass::Paying)
                                        : LaneOf(CallerClass::Free);
  const TeamLane* last = nullptr;
  double lastEnd = 0;
  for (const auto& [name, team] : lane.m_teams) {
    const double end = StartOf(lane, name) + team.m_cost;
    if (!team.m_order.empty() && (last == nullptr || end > lastEnd)) {
      last = &team;
      lastEnd = end;
    }
  }
  if (last == nullptr) {
    return std::nullopt;
  }
  if (!paying || !anyFree) {
    // Within a class, only a team with less waiting work may push out.
    const auto own = lane.m_teams.find(aItem.m_team);
    const double waiting = own == lane.m_teams.end() ? 0 : own->second.m_cost;
    if (StartOf(lane, aItem.m_team) + waiting + aItem.m_cost >= lastEnd) {
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
  Lane& lane = LaneOf(aItem.m_class);
  const double start = StartOf(lane, aItem.m_team);
  TeamLane& team = lane.m_teams[aItem.m_team];
  if (team.m_order.empty()) {
    team.m_start = start;
  }
  team.m_order.emplace(++m_arrivals, aItem.m_id);
  team.m_cost += aItem.m_cost;
  ++lane.m_size;
  m_deadlines.emplace(aItem.m_deadline, aItem.m_id);
  m_items.emplace(aItem.m_id, Waiting{ aItem, m_arrivals });
  return result;
}

const ClassQueue::Waiting*
ClassQueue::FirstOf(const TeamLane& aTeam, base::TimePoint aNow) const
{
  for (const auto& [arrival, id] : aTeam.m_order) {
    const Waiting& waiting = m_items.at(id);
    if (aNow <= waiting.m_item.m_deadline) {
      return &waiting;
    }
  }
  return nullptr;
}

const QueueItem*
ClassQueue::Peek(base::TimePoint aNow) const
{
  for (const Lane& lane : m_lanes) {
    const Waiting* best = nullptr;
    double bestStart = 0;
    for (const auto& [name, team] : lane.m_teams) {
      const Waiting* first = FirstOf(team, aNow);
      if (first == nullptr) {
        continue;
      }
      const double start = StartOf(lane, name);
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
  NoteDeparture(aNow);
  Advance(item);
  Erase(item.m_id);
  return item;
}

void
ClassQueue::Advance(const QueueItem& aItem)
{
  Lane& lane = LaneOf(aItem.m_class);
  const double start = StartOf(lane, aItem.m_team);
  lane.m_virtualTime = start;
  lane.m_teams.at(aItem.m_team).m_start = start + aItem.m_cost;
  // A team without waiting items keeps its entry only while it still owes
  // time; this bounds the map.
  std::erase_if(lane.m_teams, [&](const auto& aEntry) {
    return aEntry.second.m_order.empty() && aEntry.second.m_start <= start;
  });
}

void
ClassQueue::NoteDeparture(base::TimePoint aNow)
{
  if (m_lastBusyPop) {
    const auto interval = static_cast<double>((aNow - *m_lastBusyPop).Count());
    m_interval = m_interval == 0
                   ? interval
                   : m_interval + kIntervalWeight * (interval - m_interval);
  }
  // Without a backlog the gap to the next departure is idle time.
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
  const Waiting& waiting = found->second;
  Lane& lane = LaneOf(waiting.m_item.m_class);
  TeamLane& team = lane.m_teams.at(waiting.m_item.m_team);
  team.m_order.erase(waiting.m_arrival);
  // Rounding errors of sums must not survive an empty lane.
  team.m_cost = team.m_order.empty() ? 0 : team.m_cost - waiting.m_item.m_cost;
  if (--lane.m_size == 0) {
    lane.m_teams.clear();
    lane.m_virtualTime = 0;
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
