// Time that all hosts agree on, although the wall clock of a host may step by
// seconds and back.
//
// A control process takes it from the wall clocks that entries state in their
// polls:
//
//   duty::TrueTime time;
//   time.Record("edge-1", wallTimeOfTheEntry, liveEntries, now);
//   if (const auto trueTime = time.At(now, base::WallClockMillis())) ...
//
// An entry takes it from the answers:
//
//   duty::ReceivedTime received;
//   received.Accept(trueTime, askedAt, now);
//   const int64_t trueTime = received.At(now, base::WallClockMillis());
//
// Wall times and true times are Unix milliseconds. Not thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "chivefront/base/clock.h"

namespace chivefront::duty {

// The median of the offsets of wall clocks to the steady clock of this process.
// Less than half of the clocks can't move it beyond the others.
class TrueTime
{
public:
  // Records that aProcess stated its wall clock now. aLiveEntries is the number
  // of live entries that it knows of, 0 if it does not know. A restarted
  // process replaces its former incarnation. Times before the epoch or too
  // large to be true, and processes beyond the bound, are ignored.
  void Record(const std::string& aProcess,
              int64_t aWallTime,
              uint32_t aLiveEntries,
              base::TimePoint aNow);

  // The true time, or nothing if it is not known: too few clocks have been read
  // and the last known time is old. aOwnWallTime is the wall clock of this
  // host. It counts only beside an even number of other clocks: an entry on the
  // same host has the same clock, which must not count twice where that could
  // make a minority of the hosts half of the clocks.
  std::optional<int64_t> At(base::TimePoint aNow, int64_t aOwnWallTime);

  // The number of live entries: the median of what they know, because a single
  // one may be wrong. 0 if none is known.
  uint32_t LiveEntries() const;

private:
  struct Reading
  {
    int64_t m_offset = 0; // of the wall clock to the steady clock
    uint32_t m_liveEntries = 0;
    base::TimePoint m_readAt;
  };

  void Expire(base::TimePoint aNow);
  bool HasQuorum(base::TimePoint aNow) const;
  int64_t MedianOffset(int64_t aOwnOffset) const;

  std::map<std::string, Reading> m_readings; // by process
  base::TimePoint m_readingSince; // since when m_readings is not empty
  base::TimePoint m_expiredAt;
  base::TimePoint m_updatedAt; // last attempt to take a median
  // The last median of a quorum, and when it was taken.
  std::optional<int64_t> m_offset;
  base::TimePoint m_offsetAt;
};

// True time at an entry: that of the last answer, advanced by the steady clock.
class ReceivedTime
{
public:
  // aTrueTime is from the answer to a poll that was sent at aAskedAt. An answer
  // that took long is less exact, so it replaces only a time that is old or was
  // no more exact.
  void Accept(int64_t aTrueTime,
              base::TimePoint aAskedAt,
              base::TimePoint aNow);

  bool IsKnown() const { return m_offset.has_value(); }
  // aWallTime, of this host, is used until an answer holds the true time.
  int64_t At(base::TimePoint aNow, int64_t aWallTime) const;

private:
  std::optional<int64_t> m_offset; // of the true time to the steady clock
  base::Millis m_roundTrip;        // of the answer
  base::TimePoint m_acceptedAt;
};

} // namespace chivefront::duty
