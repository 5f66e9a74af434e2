// The part of an entry that counts usage and reports it with the polls of
// control processes.
//
//   site::UsageReporter reporter(window, clock, base::WallClockMillis);
//   watch.SetUsageReporter(&reporter);
//   reporter.Record(team);
#pragma once

#include <functional>
#include <string>

#include "chivefront/duty/true_time.h"
#include "chivefront/duty/usage_counter.h"
#include "chivefront/wire/protocol_generated.hpp"

namespace chivefront::site {

class UsageReporter
{
public:
  // Returns Unix milliseconds by the clock of this host.
  using WallClock = std::function<int64_t()>;

  // aWindow is the length of a usage window and must be positive.
  UsageReporter(base::Millis aWindow,
                const base::Clock& aClock,
                WallClock aWallClock);

  // Counts a request of aTeam that begins to run at an upstream now.
  void Record(const std::string& aTeam);

  // Adds the wall clock to a poll and, once the true time is known, the counts.
  void AddTo(wire::WatchRequestT& aRequest);
  // Takes the answer to a poll that was sent at aAskedAt.
  void Accept(const wire::WatchReplyT& aReply, base::TimePoint aAskedAt);

  uint64_t DroppedCount() const { return m_counter.DroppedCount(); }

private:
  int64_t TrueTime() const;

  const base::Millis m_window;
  const base::Clock& m_clock;
  const WallClock m_wallClock;
  duty::ReceivedTime m_time;
  duty::UsageCounter m_counter;
};

} // namespace chivefront::site
