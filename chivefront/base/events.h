// The event log of one process. Each event carries a stamp of a hybrid logical
// clock, so that the records of all processes merge into one causal order.
//
//   events.Record("dispatch", { { "upstream", name } }, requestId);
//
// The newest events stay in a bounded buffer in memory, which the admin port
// serves. If a path is set, every event is also appended to a file as a JSON
// line. `chivefrontctl timeline` merges the events of several processes.
#pragma once

#include <cstdint>
#include <deque>
#include <fstream>
#include <initializer_list>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>

namespace chivefront::base {

// Hybrid logical clock: wall milliseconds plus a counter that orders events
// within one millisecond and after a message from a host whose clock is ahead.
class HybridClock
{
public:
  // Returns a new stamp, greater than all stamps returned or observed before.
  uint64_t Tick();
  // Advances the clock past a stamp that was received from another process.
  void Observe(uint64_t aStamp);

  // A stamp holds wall milliseconds in its upper 48 bits.
  static constexpr int kCounterBits = 16;

private:
  // Sets m_last to a stamp above aStamp and above the former m_last, at least
  // to the wall-clock time, and returns it.
  uint64_t AdvancePast(uint64_t aStamp);

  std::mutex m_lock;
  uint64_t m_last = 0; // never decreases
};

using EventFields =
  std::initializer_list<std::pair<std::string_view, std::string>>;

// Thread-safe.
class EventLog
{
public:
  // aProcess names the process in each record. With an empty aPath, events
  // stay in memory only. aCapacity is the number of records in memory.
  EventLog(std::string aProcess, const std::string& aPath, size_t aCapacity);

  void Record(std::string_view aKind,
              EventFields aFields = {},
              std::string_view aRequestId = {});

  // JSON lines of all records in memory, oldest first.
  std::string Dump() const;

  HybridClock& Clock() { return m_clock; }

private:
  const std::string m_process;
  const size_t m_capacity;
  HybridClock m_clock;
  mutable std::mutex m_lock;
  std::deque<std::string> m_lines; // at most m_capacity
  std::ofstream m_file;
};

} // namespace chivefront::base
