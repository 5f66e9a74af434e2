// Liveness and evidence of the watchers.
#include "chivefront/control/watcher_table.h"

#include <algorithm>
#include <memory>

namespace chivefront::control {
namespace detail {

// Each restart of an entry or agent is a new holder; 330 nodes and 4,000
// agents with 3,100 restarts a day stay below this for a day.
constexpr size_t kMaxHolders = 8192;
constexpr size_t kMaxRowsPerHolder = 256;

// Totals never fall; an older report that arrives late changes nothing.
void
Raise(wire::VersionEvidenceT& aTotal, const wire::VersionEvidenceT& aRow)
{
  aTotal.exposed = std::max(aTotal.exposed, aRow.exposed);
  aTotal.good = std::max(aTotal.good, aRow.good);
  aTotal.bad = std::max(aTotal.bad, aRow.bad);
  aTotal.errors = std::max(aTotal.errors, aRow.errors);
  aTotal.losses = std::max(aTotal.losses, aRow.losses);
  aTotal.latency_ms_sum = std::max(aTotal.latency_ms_sum, aRow.latency_ms_sum);
}

void
Add(wire::VersionEvidenceT& aTotal, const wire::VersionEvidenceT& aRow)
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
WatcherTable::Merge(Holder& aHolder, const Rows& aRows)
{
  for (const auto& row : aRows) {
    const RowKey key{ row->since, row->version };
    if (aHolder.m_evidence.size() >= detail::kMaxRowsPerHolder &&
        aHolder.m_evidence.count(key) == 0) {
      // Rows of the oldest roll-out make room, since it has ended.
      const auto oldest = aHolder.m_evidence.lower_bound({ 1, "" });
      if (oldest == aHolder.m_evidence.end() || key < oldest->first) {
        continue;
      }
      aHolder.m_evidence.erase(oldest);
    }
    wire::VersionEvidenceT& total = aHolder.m_evidence[key];
    total.version = row->version;
    total.since = row->since;
    detail::Raise(total, *row);
  }
}

void
WatcherTable::ForgetOldest()
{
  const auto oldest =
    std::min_element(m_watchers.begin(),
                     m_watchers.end(),
                     [](const auto& aLeft, const auto& aRight) {
                       return aLeft.second.m_seen < aRight.second.m_seen;
                     });
  for (const auto& [key, row] : oldest->second.m_evidence) {
    detail::Add(m_forgotten[key], row);
  }
  m_watchers.erase(oldest);
}

WatcherTable::Holder*
WatcherTable::Find(const std::string& aName, base::TimePoint aNow)
{
  if (m_watchers.size() >= detail::kMaxHolders &&
      m_watchers.count(aName) == 0) {
    ForgetOldest();
  }
  Holder& holder = m_watchers[aName];
  holder.m_seen = aNow;
  return &holder;
}

void
WatcherTable::RecordPoll(const wire::WatchRequestT& aRequest,
                         base::TimePoint aNow)
{
  Holder* holder = Find(aRequest.holder, aNow);
  holder->m_role = aRequest.role;
  holder->m_revision = aRequest.have_revision;
  holder->m_polled = aNow;
  holder->m_direct = true;
  Merge(*holder, aRequest.evidence);
}

void
WatcherTable::RecordRelayed(const wire::HolderReportT& aReport,
                            base::TimePoint aNow)
{
  Holder* holder = Find(aReport.holder, aNow);
  holder->m_role = aReport.role;
  holder->m_revision = std::max(holder->m_revision, aReport.have_revision);
  Merge(*holder, aReport.evidence);
}

std::vector<wire::HolderReportT>
WatcherTable::ReportsToRelay(base::TimePoint aNow) const
{
  // Shorter than the life of a holder at the leader, so that one that has
  // moved to another control process is not kept alive from here.
  constexpr base::Millis kRecent{ 1000 };
  std::vector<wire::HolderReportT> reports;
  for (const auto& [name, holder] : m_watchers) {
    if (!holder.m_direct || aNow - holder.m_polled > kRecent) {
      continue;
    }
    wire::HolderReportT report;
    report.holder = name;
    report.role = holder.m_role;
    report.have_revision = holder.m_revision;
    for (const auto& [key, row] : holder.m_evidence) {
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
             aNow - aRow.second.m_seen < kWatcherTimeout;
    }));
}

size_t
WatcherTable::Live(base::TimePoint aNow) const
{
  return static_cast<size_t>(std::count_if(
    m_watchers.begin(), m_watchers.end(), [aNow](const auto& aRow) {
      return aNow - aRow.second.m_seen < kWatcherTimeout;
    }));
}

std::vector<std::string>
WatcherTable::Behind(uint64_t aRevision, base::TimePoint aNow) const
{
  std::vector<std::string> names;
  for (const auto& [name, holder] : m_watchers) {
    if (aNow - holder.m_seen < kWatcherTimeout &&
        holder.m_revision < aRevision) {
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
  const auto forgotten = m_forgotten.find(key);
  if (forgotten != m_forgotten.end()) {
    total = forgotten->second;
  }
  total.version = aVersion;
  total.since = aSince;
  for (const auto& [name, holder] : m_watchers) {
    const auto row = holder.m_evidence.find(key);
    if (row != holder.m_evidence.end()) {
      detail::Add(total, row->second);
    }
  }
  return total;
}

} // namespace chivefront::control
