// The watchers, which are the processes that poll for the configuration, and
// the roll-out evidence that they report. Soft state of one control process,
// not replicated.
//
// A follower relays the reports of its own watchers to the leader, so that the
// leader sees the whole cluster. Evidence rows are totals since the watcher's
// start, so a lost, repeated or doubly relayed report changes nothing.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "chivefront/base/clock.h"
#include "chivefront/wire/protocol_generated.hpp"

namespace chivefront::control {

// A watcher that has not been heard of for this long is not live. Ten polls fit
// into it.
inline constexpr base::Millis kWatcherTimeout{ 2000 };

// Not thread-safe.
class WatcherTable
{
public:
  // Records a poll that the watcher named aRequest.holder sent to this process.
  void RecordPoll(const wire::WatchRequestT& aRequest, base::TimePoint aNow);
  // Records a report that another control process relayed.
  void RecordRelayed(const wire::HolderReportT& aReport, base::TimePoint aNow);

  // Reports for the leader, about the watchers that polled this process within
  // the last second.
  std::vector<wire::HolderReportT> ReportsToRelay(base::TimePoint aNow) const;

  // The number of live entry processes.
  uint32_t LiveEntries(base::TimePoint aNow) const;
  std::vector<std::string> LiveEntryNames(base::TimePoint aNow) const;
  // The names of live watchers whose revision is below aRevision.
  std::vector<std::string> BehindRevision(uint64_t aRevision,
                                          base::TimePoint aNow) const;
  size_t LiveCount(base::TimePoint aNow) const;

  // Evidence about aVersion over all watchers, also those that have gone, since
  // the revision at which a roll-out started; since the start of each watcher
  // when aSince is 0.
  wire::VersionEvidenceT PooledEvidence(const std::string& aVersion,
                                        uint64_t aSince) const;

private:
  using RowKey = std::pair<uint64_t, std::string>; // since, version
  struct Watcher
  {
    wire::Role m_role = wire::Role::Entry;
    uint64_t m_revision = 0;
    base::TimePoint m_lastHeardAt; // by a poll or a relayed report
    base::TimePoint m_polledAt;    // last poll at this process
    bool m_polledHere = false;     // false while only relayed reports came
    std::map<RowKey, wire::VersionEvidenceT> m_evidence;
  };
  using Rows = std::vector<std::unique_ptr<wire::VersionEvidenceT>>;

  Watcher* FindOrAdd(const std::string& aName, base::TimePoint aNow);
  static void Merge(Watcher& aWatcher, const Rows& aRows);
  void EvictOldest();

  std::map<std::string, Watcher> m_watchers; // by name
  // Sums over the watchers that were evicted from m_watchers.
  std::map<RowKey, wire::VersionEvidenceT> m_evictedEvidence;
};

} // namespace chivefront::control
