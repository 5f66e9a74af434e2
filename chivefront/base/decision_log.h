// The decision log: one JSON object a line on standard output for each event.
//
//   base::DecisionLog log("entry-1", base::SteadyClock::Instance());
//   log.Record("request_refused", base::LogCategory::Failure,
//              { { "request", id }, { "reason", "no_capacity" } });
//
// prints {"at":...,"process":"entry-1","event":"request_refused",...}.
//
// The volume is limited: each category has its own token bucket, so that many
// lines about successes never displace a line about a failure. A line is also
// dropped when standard output does not accept it immediately. The log counts
// dropped lines and writes the total with the next line. Record never blocks
// on output.
#pragma once

#include <array>
#include <cstdint>
#include <mutex>
#include <string>

#include "chivefront/base/clock.h"
#include "chivefront/base/log.h"

namespace chivefront::base {

enum class LogCategory
{
  State,   // start, stop, reload, dependencies, upstream estimates
  Failure, // a request that was rejected or failed
  Success, // has the lowest rate, so it is the first category to be sampled
};

class DecisionLog
{
public:
  DecisionLog(std::string aProcess, const Clock& aClock);

  // Writes one line, or counts it as dropped. Thread-safe.
  void Record(std::string_view aEvent,
              LogCategory aCategory,
              LogFields aFields);

  // The number of dropped lines since the start.
  uint64_t Dropped() const;

private:
  struct TokenBucket
  {
    double m_tokens = 0;
    TimePoint m_refilledAt;
  };

  // Takes a token from the bucket of aCategory; false when there is none.
  bool TryTakeToken(LogCategory aCategory);
  void Write(const std::string& aLine);

  const std::string m_process;
  const Clock& m_clock;
  mutable std::mutex m_lock;            // guards the members below
  std::array<TokenBucket, 3> m_buckets; // indexed by LogCategory
  uint64_t m_dropped = 0;
  uint64_t m_reportedDropped = 0; // m_dropped as last written to a line
};

} // namespace chivefront::base
