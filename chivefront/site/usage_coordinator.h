// The part of a control process that collects usage from the polls of entries,
// tells them the true time, and names the windows that may be decided while it
// leads.
//
// Soft state. Every control process takes counts and relays them to the others
// that vote, since a host may be lost with an entry and the leader; an entry
// that turns to another process repeats what it keeps.
#pragma once

#include <optional>
#include <vector>

#include "chivefront/base/metrics.h"
#include "chivefront/control/watcher_table.h"
#include "chivefront/duty/true_time.h"
#include "chivefront/duty/usage_collector.h"

namespace chivefront::site {

class UsageCoordinator
{
public:
  UsageCoordinator(const duty::DutySettings& aSettings,
                   base::Metrics& aMetrics);

  // Takes the usage of a poll and adds the true time to the answer, if it is
  // known. aReply.registry_epoch must be set. aWallTime is the wall clock of
  // this host in Unix milliseconds. An entry that counts no usage, or windows
  // of another length, gets no answer.
  void Answer(const wire::WatchRequestT& aRequest,
              base::TimePoint aNow,
              int64_t aWallTime,
              wire::WatchReplyT& aReply);

  // Returns what entries have reported here since the last call, for the other
  // control processes that vote. Nothing if there is nothing.
  std::optional<wire::UsageRelayT> TakeRelay();
  void AcceptRelay(const wire::UsageRelayT& aRelay, base::TimePoint aNow);

  // Follows whether this process leads, and drops what is out of date. Call it
  // several times a second.
  void OnTick(bool aIsLeader, base::TimePoint aNow);

  // Returns the windows that may be decided, oldest first. None while this
  // process has led for a short time only or was paused a short time ago, since
  // the entries have not all reported to it yet, or while it does not know the
  // true time.
  std::vector<duty::WindowUsage> Decidable(
    const control::WatcherTable& aWatchers,
    base::TimePoint aNow,
    int64_t aWallTime);

  // Drops the windows up to aWindow, which are decided.
  void Forget(uint64_t aWindow) { m_collector.Forget(aWindow); }

private:
  const base::Millis m_window;
  duty::TrueTime m_time;
  duty::UsageCollector m_collector;
  // Since when this process has led without a pause; unset: it does not lead.
  std::optional<base::TimePoint> m_leadingSince;
  base::TimePoint m_tickedAt;
  base::Gauge& m_countsGauge;
  base::Gauge& m_refusedGauge;
};

} // namespace chivefront::site
