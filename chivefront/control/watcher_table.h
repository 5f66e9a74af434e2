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
  std::vector<std::string> Behind(uint64_t aRevision,
                                  base::TimePoint aNow) const;
  size_t Live(base::TimePoint aNow) const;

  // Evidence about aVersion over all holders, also those that are gone, since
  // the start of a roll-out, or of each holder for 0.
  wire::VersionEvidenceT PooledEvidence(const std::string& aVersion,
                                        uint64_t aSince) const;

private:
  using RowKey = std::pair<uint64_t, std::string>; // since, version
  struct Holder
  {
    wire::Role m_role = wire::Role::Entry;
    uint64_t m_revision = 0;
    base::TimePoint m_seen;
    base::TimePoint m_polled; // here, not relayed
    bool m_direct = false;
    std::map<RowKey, wire::VersionEvidenceT> m_evidence;
  };
  using Rows = std::vector<std::unique_ptr<wire::VersionEvidenceT>>;

  Holder* Find(const std::string& aName, base::TimePoint aNow);
  static void Merge(Holder& aHolder, const Rows& aRows);
  void ForgetOldest();

  std::map<std::string, Holder> m_watchers;
  // Totals of forgotten holders.
  std::map<RowKey, wire::VersionEvidenceT> m_forgotten;
};

} // namespace chivefront::control
