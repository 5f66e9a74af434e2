// Counts at an entry, per window, the requests of each team that began to run.
//
//   duty::UsageCounter counter(window);
//   counter.Record("fida11", trueTime);
//   const duty::UsageReport report = counter.MakeReport(trueTime, now);
//   ... send it to a control process, which answers ...
//   counter.Acknowledge(numberOfTheProcess, report.m_sequence);
//
// Counts are totals of this process, so a report may be lost or repeated. True
// times are Unix milliseconds (duty/true_time.h). Not thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "chivefront/base/clock.h"
#include "chivefront/duty/duty.h"

namespace chivefront::duty {

inline constexpr size_t kMaxUsageWindows = 6;
inline constexpr size_t kMaxUsageTeams = 256; // in a window

// Part of a poll.
struct UsageReport
{
  // The windows below are closed: no more requests will be counted in them,
  // unless the true time is corrected. All their counts are in this report or
  // in one that was acknowledged by the same control process.
  uint64_t m_closedBefore = 0;
  uint64_t m_sequence = 0; // echoed by the answer
  std::vector<WindowUsage> m_windows;
};

class UsageCounter
{
public:
  explicit UsageCounter(base::Millis aWindow)
    : m_length(aWindow)
  {
  }

  // Counts one request that begins to run at aTrueTime.
  void Record(const std::string& aTeam, int64_t aTrueTime);

  // Returns the windows that changed since they were acknowledged: once a
  // second, and with each call while one of them is closed.
  UsageReport MakeReport(int64_t aTrueTime, base::TimePoint aNow);

  // The control process with the number aReceiver has taken the report
  // aSequence. All windows are reported again when it is not the process that
  // answered before: it may have no counts of this one.
  void Acknowledge(uint64_t aReceiver, uint64_t aSequence);

  // Moves all counts by aMillis, because they were counted with a clock that
  // was off by so much. Nothing must have been reported.
  void Shift(int64_t aMillis);

  // Requests that were not counted, because their window had too many teams.
  uint64_t DroppedCount() const { return m_dropped; }

private:
  struct Window
  {
    std::map<std::string, uint64_t> m_counts; // by team
    uint64_t m_changedAt = 0;                 // value of m_sequence
  };

  void Expire(int64_t aTrueTime);

  const base::Millis m_length;
  std::map<uint64_t, Window> m_windows; // at most kMaxUsageWindows
  uint64_t m_sequence = 0;              // of the last change
  // Changes up to this one are known to m_receiver.
  uint64_t m_acknowledged = 0;
  uint64_t m_receiver = 0;
  base::TimePoint m_reportedAt; // last report with windows
  uint64_t m_dropped = 0;
};

} // namespace chivefront::duty
