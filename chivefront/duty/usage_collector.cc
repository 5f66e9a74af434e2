// Bounded merging of reports, and the rule by which windows are decided.
#include "chivefront/duty/usage_collector.h"

#include <algorithm>

namespace chivefront::duty {
namespace detail {

// Several times the number of entries, because a restarted one is a new holder.
constexpr size_t kMaxHolders = 2048;
// 300 entries with 6 windows of 36 teams. A count takes about 100 bytes.
constexpr size_t kMaxCounts = 65536;
constexpr size_t kMaxTeamBytes = 128;
// More requests than all hosts begin in a window.
constexpr uint64_t kMaxCount = uint64_t(1) << 32;
// Part of the time until a report is due in which late counts are awaited. The
// rest is for the decision, the calls and a change of the leader.
constexpr int64_t kWaitDivisor = 3;
// A window is decided long before.
constexpr base::Millis kHolderLifetime{ 60 * 1000 };

} // namespace detail

UsageCollector::Holder*
UsageCollector::FindOrAdd(const std::string& aName, base::TimePoint aNow)
{
  if (m_holders.size() >= detail::kMaxHolders && m_holders.count(aName) == 0) {
    return nullptr;
  }
  Holder& holder = m_holders[aName];
  holder.m_heardAt = aNow;
  return &holder;
}

bool
UsageCollector::Record(const std::string& aHolder,
                       const UsageReport& aReport,
                       bool aIsComplete,
                       base::TimePoint aNow)
{
  Holder* holder = FindOrAdd(aHolder, aNow);
  if (holder == nullptr) {
    for (const WindowUsage& window : aReport.m_windows) {
      m_refused += window.m_counts.size();
    }
    return false;
  }
  for (const WindowUsage& window : aReport.m_windows) {
    if (Merge(*holder, window)) {
      holder->m_changed.insert(window.m_window);
    }
  }
  // An entry that has just turned to this process repeats its windows with its
  // next report.
  holder->m_closedBefore = aIsComplete ? aReport.m_closedBefore : 0;
  return true;
}

void
UsageCollector::RecordRelayed(const HolderUsage& aUsage, base::TimePoint aNow)
{
  Holder* holder = FindOrAdd(aUsage.m_holder, aNow);
  if (holder == nullptr) {
    for (const WindowUsage& window : aUsage.m_windows) {
      m_refused += window.m_counts.size();
    }
    return;
  }
  for (const WindowUsage& window : aUsage.m_windows) {
    (void)Merge(*holder, window);
  }
}

std::vector<HolderUsage>
UsageCollector::TakeChanges()
{
  std::vector<HolderUsage> changes;
  for (auto& [name, holder] : m_holders) {
    HolderUsage usage{ name, {} };
    for (const uint64_t number : holder.m_changed) {
      const auto window = holder.m_windows.find(number);
      if (window != holder.m_windows.end()) {
        usage.m_windows.push_back({ number, window->second });
      }
    }
    holder.m_changed.clear();
    if (!usage.m_windows.empty()) {
      changes.push_back(std::move(usage));
    }
  }
  return changes;
}

// Totals never decrease, so an older report that arrives late changes nothing.
// Returns whether a count has changed.
bool
UsageCollector::Merge(Holder& aHolder, const WindowUsage& aWindow)
{
  if (aWindow.m_window < m_forgottenBefore) {
    return false;
  }
  if (aHolder.m_windows.size() >= kMaxUsageWindows &&
      aHolder.m_windows.count(aWindow.m_window) == 0) {
    const auto oldest = aHolder.m_windows.begin();
    if (aWindow.m_window < oldest->first) {
      m_refused += aWindow.m_counts.size();
      return false;
    }
    Drop(aHolder, oldest);
  }
  bool hasChanged = false;
  Counts& counts = aHolder.m_windows[aWindow.m_window];
  for (const auto& [team, count] : aWindow.m_counts) {
    const auto known = counts.find(team);
    const bool isUsable = !team.empty() &&
                          team.size() <= detail::kMaxTeamBytes &&
                          count <= detail::kMaxCount;
    const bool isFull =
      known == counts.end() &&
      (counts.size() >= kMaxUsageTeams || m_size >= detail::kMaxCounts);
    if (!isUsable || isFull) {
      ++m_refused;
    } else if (known == counts.end()) {
      counts.emplace(team, count);
      ++m_size;
      hasChanged = true;
    } else if (known->second < count) {
      known->second = count;
      hasChanged = true;
    }
  }
  return hasChanged;
}

void
UsageCollector::Drop(Holder& aHolder,
                     std::map<uint64_t, Counts>::iterator aWindow)
{
  m_size -= aWindow->second.size();
  aHolder.m_changed.erase(aWindow->first);
  aHolder.m_windows.erase(aWindow);
}

// All live entries have closed the windows below. 0 if one of them is not known
// here.
uint64_t
UsageCollector::ClosedByAll(const LiveHolders& aLiveHolders) const
{
  if (aLiveHolders.m_names.empty() ||
      aLiveHolders.m_names.size() < aLiveHolders.m_expected) {
    return 0;
  }
  uint64_t closedBefore = UINT64_MAX;
  for (const std::string& name : aLiveHolders.m_names) {
    const auto holder = m_holders.find(name);
    closedBefore =
      std::min(closedBefore,
               holder != m_holders.end() ? holder->second.m_closedBefore : 0);
  }
  return closedBefore;
}

// The decision of the windows below can't wait any longer.
uint64_t
UsageCollector::OverdueBefore(int64_t aTrueTime) const
{
  const base::Millis wait = m_due / detail::kWaitDivisor;
  return WindowAt(aTrueTime - wait.Count(), m_length);
}

std::vector<WindowUsage>
UsageCollector::Decidable(int64_t aTrueTime,
                          const LiveHolders& aLiveHolders) const
{
  // A holder can't close a window that has not ended.
  const uint64_t before = std::max(
    OverdueBefore(aTrueTime),
    std::min(ClosedByAll(aLiveHolders), WindowAt(aTrueTime, m_length)));
  std::map<uint64_t, Counts> totals;
  for (const auto& [name, holder] : m_holders) {
    for (auto window = holder.m_windows.begin();
         window != holder.m_windows.end() && window->first < before;
         ++window) {
      for (const auto& [team, count] : window->second) {
        totals[window->first][team] += count;
      }
    }
  }
  std::vector<WindowUsage> decidable;
  for (auto& [number, counts] : totals) {
    decidable.push_back({ number, std::move(counts) });
  }
  return decidable;
}

void
UsageCollector::Forget(uint64_t aWindow)
{
  m_forgottenBefore = std::max(m_forgottenBefore, aWindow + 1);
  for (auto& [name, holder] : m_holders) {
    while (!holder.m_windows.empty() &&
           holder.m_windows.begin()->first < m_forgottenBefore) {
      Drop(holder, holder.m_windows.begin());
    }
  }
}

void
UsageCollector::Expire(base::TimePoint aNow)
{
  for (auto holder = m_holders.begin(); holder != m_holders.end();) {
    // A holder without windows is kept while it may be live, for what it has
    // closed.
    if (aNow - holder->second.m_heardAt < detail::kHolderLifetime) {
      ++holder;
      continue;
    }
    while (!holder->second.m_windows.empty()) {
      Drop(holder->second, holder->second.m_windows.begin());
    }
    holder = m_holders.erase(holder);
  }
}

} // namespace chivefront::duty
