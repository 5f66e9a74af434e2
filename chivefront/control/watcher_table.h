// The processes that poll for the configuration, and the roll-out evidence
// that they report: soft state of one control process.
//
// Followers pass on what their own pollers reported, so that the leader sees
// the whole cluster. Evidence rows are totals since the holder's start, so a
// lost, repeated or doubly relayed report changes nothing.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "chivefront/base/clock.h"
#include "chivefront/wire/protocol_generated.hpp"

namespace chivefront::control {

// Ten polls fit into it.
inline constexpr base::Millis kWatcherTimeout{ 2000 };

// Not thread-safe.
class WatcherTable
{
public:
  // A poll by the holder itself.
  void RecordPoll(const wire::WatchRequestT& aRequest, base::TimePoint aNow);
  // A report that another control process passed on.
  void RecordRelayed(const wire::HolderReportT& aReport, base::TimePoint aNow);

  // What is passed on to the leader: holders that polled this process lately.
  std::vector<wire::HolderReportT> ReportsToRelay(base::TimePoint aNow) const;

  uint32_t LiveEntries(base::TimePoint aNow) const;
  // Live holders whose revision is below aRevision.
  std::vector<std::string> BehindRevision(uint64_t aRevision,
                                          base::TimePoint aNow) const;
  size_t LiveCount(base::TimePoint aNow) const;

  // Evidence about aVersion over all holders, also those that are gone, since
  // the start of a roll-out, or of each holder for 0.
  wire::VersionEvidenceT PooledEvidence(const std::string& aVersion,
                                        uint64_t aSince) const;

private:
  using RowKey = std::pair<uint64_t, std::string>; // since, version
  struct Watcher
  {
    wire::Role m_role = wire::Role::Entry;
    uint64_t m_revision = 0;
    base::TimePoint m_lastHeardAt;
    base::TimePoint m_polledAt; // here, not relayed
    bool m_polledHere = false;
    std::map<RowKey, wire::VersionEvidenceT> m_evidence;
  };
  using Rows = std::vector<std::unique_ptr<wire::VersionEvidenceT>>;

  Watcher* FindOrAdd(const std::string& aName, base::TimePoint aNow);
  static void Merge(Watcher& aWatcher, const Rows& aRows);
  void EvictOldest();

  std::map<std::string, Watcher> m_watchers;
  // Totals of forgotten holders.
  std::map<RowKey, wire::VersionEvidenceT> m_evictedEvidence;
};

} // namespace chivefront::control
