// Liveness of the watchers and pooling of their evidence.
#include "chivefront/control/watcher_table.h"

#include <algorithm>
#include <memory>

namespace chivefront::control {
namespace detail {

// Each restart of an entry or agent adds a watcher. 330 nodes and 4,000 agents
// with 3,100 restarts a day stay below this limit for a day.
constexpr size_t kMaxWatchers = 8192;
constexpr size_t kMaxRowsPerWatcher = 256;

// Totals never decrease, so an older report that arrives late changes nothing.
void
RaiseTotals(wire::VersionEvidenceT& aTotal, const wire::VersionEvidenceT& aRow)
{
  aTotal.exposed = std::max(aTotal.exposed, aRow.exposed);
  aTotal.good = std::max(aTotal.good, aRow.good);
  aTotal.bad = std::max(aTotal.bad, aRow.bad);
  aTotal.errors = std::max(aTotal.errors, aRow.errors);
  aTotal.losses = std::max(aTotal.losses, aRow.losses);
  aTotal.latency_ms_sum = std::max(aTotal.latency_ms_sum, aRow.latency_ms_sum);
}

void
AddTotals(wire::VersionEvidenceT& aTotal, const wire::VersionEvidenceT& aRow)
{
  aTotal.exposed += aRow.exposed;
  aTotal.good += aRow.good;
  aTotal.bad += aRow.bad;
  aTotal.errors += aRow.errors;
  aTotal.losses += aRow.losses;
  aTotal.latency_ms_sum += aRow.latency_ms_sum;
}

} // namespace detail

void
WatcherTable::Merge(Watcher& aWatcher, const Rows& aRows)
{
  for (const auto& row : aRows) {
    const RowKey key{ row->since, row->version };
    if (aWatcher.m_evidence.size() >= detail::kMaxRowsPerWatcher &&
        aWatcher.m_evidence.count(key) == 0) {
      // Drops a row of the oldest roll-out, which has ended. Rows with since 0
      // stay.
      const auto oldest = aWatcher.m_evidence.lower_bound({ 1, "" });
      if (oldest == aWatcher.m_evidence.end() || key < oldest->first) {
        continue;
      }
      aWatcher.m_evidence.erase(oldest);
    }
    wire::VersionEvidenceT& total = aWatcher.m_evidence[key];
    total.version = row->version;
    total.since = row->since;
    detail::RaiseTotals(total, *row);
  }
}

void
WatcherTable::EvictOldest()
{
  const auto oldest = std::min_element(
    m_watchers.begin(),
    m_watchers.end(),
    [](const auto& aLeft, const auto& aRight) {
      return aLeft.second.m_lastHeardAt < aRight.second.m_lastHeardAt;
    });
  for (const auto& [key, row] : oldest->second.m_evidence) {
    detail::AddTotals(m_evictedEvidence[key], row);
  }
  m_watchers.erase(oldest);
}

WatcherTable::Watcher*
WatcherTable::FindOrAdd(const std::string& aName, base::TimePoint aNow)
{
  if (m_watchers.size() >= detail::kMaxWatchers &&
      m_watchers.count(aName) == 0) {
    EvictOldest();
  }
  Watcher& watcher = m_watchers[aName];
  watcher.m_lastHeardAt = aNow;
  return &watcher;
}

void
WatcherTable::RecordPoll(const wire::WatchRequestT& aRequest,
                         base::TimePoint aNow)
{
  Watcher* watcher = FindOrAdd(aRequest.holder, aNow);
  watcher->m_role = aRequest.role;
  watcher->m_revision = aRequest.have_revision;
  watcher->m_polledAt = aNow;
  watcher->m_polledHere = true;
  Merge(*watcher, aRequest.evidence);
}

void
WatcherTable::RecordRelayed(const wire::HolderReportT& aReport,
                            base::TimePoint aNow)
{
  Watcher* watcher = FindOrAdd(aReport.holder, aNow);
  watcher->m_role = aReport.role;
  watcher->m_revision = std::max(watcher->m_revision, aReport.have_revision);
  Merge(*watcher, aReport.evidence);
}

std::vector<wire::HolderReportT>
WatcherTable::ReportsToRelay(base::TimePoint aNow) const
{
  // Shorter than kWatcherTimeout, so that relayed reports of a watcher that has
  // moved to another control process don't keep it live at the leader.
  constexpr base::Millis kMaxPollAge{ 1000 };
  std::vector<wire::HolderReportT> reports;
  for (const auto& [name, watcher] : m_watchers) {
    if (!watcher.m_polledHere || aNow - watcher.m_polledAt > kMaxPollAge) {
      continue;
    }
    wire::HolderReportT report;
    report.holder = name;
    report.role = watcher.m_role;
    report.have_revision = watcher.m_revision;
    for (const auto& [key, row] : watcher.m_evidence) {
      report.evidence.push_back(std::make_unique<wire::VersionEvidenceT>(row));
    }
    reports.push_back(std::move(report));
  }
  return reports;
}

uint32_t
WatcherTable::LiveEntries(base::TimePoint aNow) const
{
  return static_cast<uint32_t>(std::count_if(
    m_watchers.begin(), m_watchers.end(), [aNow](const auto& aRow) {
      return aRow.second.m_role == wire::Role::Entry &&
             aNow - aRow.second.m_lastHeardAt < kWatcherTimeout;
    }));
}

std::vector<std::string>
WatcherTable::LiveEntryNames(base::TimePoint aNow) const
{
  std::vector<std::string> names;
  for (const auto& [name, watcher] : m_watchers) {
    if (watcher.m_role == wire::Role::Entry &&
        aNow - watcher.m_lastHeardAt < kWatcherTimeout) {
      names.push_back(name);
    }
  }
  return names;
}

size_t
WatcherTable::LiveCount(base::TimePoint aNow) const
{
  return static_cast<size_t>(std::count_if(
    m_watchers.begin(), m_watchers.end(), [aNow](const auto& aRow) {
      return aNow - aRow.second.m_lastHeardAt < kWatcherTimeout;
    }));
}

std::vector<std::string>
WatcherTable::BehindRevision(uint64_t aRevision, base::TimePoint aNow) const
{
  std::vector<std::string> names;
  for (const auto& [name, watcher] : m_watchers) {
    if (aNow - watcher.m_lastHeardAt < kWatcherTimeout &&
        watcher.m_revision < aRevision) {
      names.push_back(name);
    }
  }
  return names;
}

wire::VersionEvidenceT
WatcherTable::PooledEvidence(const std::string& aVersion, uint64_t aSince) const
{
  const RowKey key{ aSince, aVersion };
  wire::VersionEvidenceT total;
  const auto evicted = m_evictedEvidence.find(key);
  if (evicted != m_evictedEvidence.end()) {
    total = evicted->second;
  }
  total.version = aVersion;
  total.since = aSince;
  for (const auto& [name, watcher] : m_watchers) {
    const auto row = watcher.m_evidence.find(key);
    if (row != watcher.m_evidence.end()) {
      detail::AddTotals(total, row->second);
    }
  }
  return total;
}

} // namespace chivefront::control
