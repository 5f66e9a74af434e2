// How many of the known entries have lost contact with the leading control
// process. Such an entry may still run and use its fallback share of each
// bound, so the leader leaves that share to it.
//
//   EntryCensus census;
//   census.RecordPoll(process, liveEntriesThatItKnows, now);
//   if (census.AbsentShare(now) > 0) ...
//
// Does no I/O; not thread-safe.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include "chivefront/base/clock.h"

namespace chivefront::routing {

// An entry that has had no answer of a leading control process for this long
// uses its fallback share. An election takes less.
inline constexpr base::Millis kFallbackDelay{ 1000 };

class EntryCensus
{
public:
  // Records a poll of the entry process aProcess, which stays the same when the
  // process restarts. aLiveEntries: how many live entries it knows of, so that
  // a new leader learns of entries that never polled it; 0 if it does not say.
  void RecordPoll(const std::string& aProcess,
                  uint32_t aLiveEntries,
                  base::TimePoint aNow);

  // The share, 0 to 1, of the known entries that have not polled for
  // kFallbackDelay.
  double AbsentShare(base::TimePoint aNow);

private:
  std::unordered_map<std::string, base::TimePoint> m_polledAt; // by process
  // The largest number of live entries that a poll has named recently.
  uint32_t m_named = 0;
  base::TimePoint m_namedAt;
};

} // namespace chivefront::routing
