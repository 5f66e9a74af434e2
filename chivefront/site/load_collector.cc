// Totals of the loads that entries report.
#include "chivefront/site/load_collector.h"

#include "chivefront/control/watcher_table.h"

namespace chivefront::site {
namespace {

// What was added to a total since aBefore. A total that is lower than before
// is that of an entry that forgot it.
uint64_t
Added(uint64_t aTotal, uint64_t aBefore)
{
  return aTotal >= aBefore ? aTotal - aBefore : aTotal;
}

} // namespace

EntryLoadRows
ToWire(const std::vector<EntryLoad>& aLoads)
{
  EntryLoadRows rows;
  for (const EntryLoad& load : aLoads) {
    auto row = std::make_unique<wire::EntryLoadT>();
    row->service = load.m_subject.m_service;
    row->domain = load.m_subject.m_domain;
    row->under_way = load.m_underWay;
    row->waiting = load.m_waiting;
    row->answers = load.m_answers;
    row->goals_missed = load.m_goalsMissed;
    rows.push_back(std::move(row));
  }
  return rows;
}

void
LoadCollector::Record(const wire::WatchRequestT& aRequest, base::TimePoint aNow)
{
  if (aRequest.loads.empty()) {
    m_entries.erase(aRequest.holder);
    return;
  }
  Entry& entry = m_entries[aRequest.holder];
  entry.m_heardAt = aNow;
  std::map<ServiceDomain, EntryLoad> loads;
  for (const auto& row : aRequest.loads) {
    const ServiceDomain subject{ row->service, row->domain };
    // The totals of an entry that this process has not heard before cover an
    // unknown time.
    if (const auto before = entry.m_loads.find(subject);
        before != entry.m_loads.end()) {
      TotalLoad& answered = m_answered[subject];
      answered.m_answers += Added(row->answers, before->second.m_answers);
      answered.m_goalsMissed +=
        Added(row->goals_missed, before->second.m_goalsMissed);
    }
    loads[subject] = {
      subject, row->under_way, row->waiting, row->answers, row->goals_missed
    };
  }
  entry.m_loads = std::move(loads);
}

void
LoadCollector::Expire(base::TimePoint aNow)
{
  std::erase_if(m_entries, [aNow](const auto& aItem) {
    return aNow - aItem.second.m_heardAt >= control::kWatcherTimeout;
  });
}

std::map<ServiceDomain, TotalLoad>
LoadCollector::TakeTotals(base::TimePoint aNow)
{
  Expire(aNow);
  std::map<ServiceDomain, TotalLoad> totals = std::move(m_answered);
  m_answered.clear();
  for (const auto& [holder, entry] : m_entries) {
    for (const auto& [subject, load] : entry.m_loads) {
      TotalLoad& total = totals[subject];
      total.m_underWay += load.m_underWay;
      total.m_waiting += load.m_waiting;
    }
  }
  return totals;
}

} // namespace chivefront::site
