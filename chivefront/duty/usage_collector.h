// Collects at a control process what entries have counted
// (duty/usage_counter.h), and says which windows may be decided.
//
// Soft state: each entry repeats its windows to a process that it has not
// reported to before. Not thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "chivefront/base/clock.h"
#include "chivefront/duty/duty.h"
#include "chivefront/duty/usage_counter.h"

namespace chivefront::duty {

// The live entries that a control process knows of.
struct LiveHolders
{
  std::vector<std::string> m_names;
  // How many there are by what the entries know; more than m_names at a process
  // that has just begun to lead.
  size_t m_expected = 0;
};

// Counts of one holder, for another control process.
struct HolderUsage
{
  std::string m_holder;
  std::vector<WindowUsage> m_windows;
};

class UsageCollector
{
public:
  // aDue is the time from the end of a window to its report's deadline.
  UsageCollector(base::Millis aWindow, base::Millis aDue)
    : m_length(aWindow)
    , m_due(aDue)
  {
  }

  // Takes a report of aHolder, one incarnation of an entry. It may be late or
  // repeated. aIsComplete: the entry knows this process, so that all counts of
  // the windows that it calls closed are here.
  // Returns false if there is no room for the holder.
  bool Record(const std::string& aHolder,
              const UsageReport& aReport,
              bool aIsComplete,
              base::TimePoint aNow);

  // Returns the windows that changed by Record since the last call, for the
  // other control processes.
  std::vector<HolderUsage> TakeChanges();
  // Takes what another control process has taken of a holder. It does not show
  // that the holder is live or has closed a window.
  void RecordRelayed(const HolderUsage& aUsage, base::TimePoint aNow);

  // Returns the counts of the windows that may be decided, oldest first: those
  // that all live holders have closed, and those whose decision can't wait any
  // longer. A window without counts is left out.
  std::vector<WindowUsage> Decidable(int64_t aTrueTime,
                                     const LiveHolders& aLiveHolders) const;

  // Drops the windows up to aWindow, which are decided, and takes no more
  // counts of them.
  void Forget(uint64_t aWindow);
  // Drops holders that were not heard for long.
  void Expire(base::TimePoint aNow);

  // Counts that were not taken, because a bound was reached or they make no
  // sense.
  uint64_t RefusedCount() const { return m_refused; }
  // Counts that are kept.
  size_t Size() const { return m_size; }

private:
  using Counts = std::map<std::string, uint64_t>; // by team
  struct Holder
  {
    uint64_t m_closedBefore = 0;
    base::TimePoint m_heardAt;
    std::map<uint64_t, Counts> m_windows;
    std::set<uint64_t> m_changed; // windows for TakeChanges
  };

  Holder* FindOrAdd(const std::string& aName, base::TimePoint aNow);
  bool Merge(Holder& aHolder, const WindowUsage& aWindow);
  void Drop(Holder& aHolder, std::map<uint64_t, Counts>::iterator aWindow);
  uint64_t ClosedByAll(const LiveHolders& aLiveHolders) const;
  uint64_t OverdueBefore(int64_t aTrueTime) const;

  const base::Millis m_length;
  const base::Millis m_due;
  std::map<std::string, Holder> m_holders;
  uint64_t m_forgottenBefore = 0; // windows below are decided
  size_t m_size = 0;              // counts in m_holders, at most kMaxCounts
  uint64_t m_refused = 0;
};

} // namespace chivefront::duty
