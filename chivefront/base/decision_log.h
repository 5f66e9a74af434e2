// Structured log lines on standard output: one JSON object per decision.
//
//   base::DecisionLog log("entry-1", base::SteadyClock::Instance());
//   log.Record("request_refused", base::LogCategory::Failure,
//              { { "request", id }, { "reason", "no_capacity" } });
//
// prints {"at":...,"process":"entry-1","event":"request_refused",...}.
//
// The volume is bounded: each weight has its own token bucket, so that many
// successes never displace a failure. A line that the reader of standard
// output does not take at once is dropped; dropped lines are counted and the
// count is written with the next line. Recording never blocks.
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
  State,   // start, stop, reload, dependencies, beliefs
  Failure, // a request that was refused or failed
  Success, // sampled first when there are many
};

class DecisionLog
{
public:
  DecisionLog(std::string aProcess, const Clock& aClock);

  // Thread-safe.
  void Record(std::string_view aEvent,
              LogCategory aCategory,
              LogFields aFields);

  uint64_t Dropped() const;

private:
  struct Bucket
  {
    double m_tokens = 0;
    TimePoint m_at;
  };

  bool Take(LogCategory aCategory);
  void Write(const std::string& aLine);

  const std::string m_process;
  const Clock& m_clock;
  mutable std::mutex m_lock; // guards what follows
  std::array<Bucket, 3> m_buckets;
  uint64_t m_dropped = 0;
  uint64_t m_reported = 0; // of m_dropped
};

} // namespace chivefront::base
