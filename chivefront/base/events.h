// The time line of one process: typed events stamped with a hybrid logical
// clock, so that the records of all processes merge into one causal order.
//
//   events.Record("dispatch", { { "upstream", name } }, requestId);
//
// Events are kept in a bounded ring for the admin port and, if a path was
// set, appended to a file as JSON lines. `chivefrontctl timeline` merges them.
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
  // A new stamp, greater than all given or observed before.
  uint64_t Tick();
  // Takes over a stamp received from another process.
  void Observe(uint64_t aStamp);

  // A stamp holds wall milliseconds in its upper 48 bits.
  static constexpr int kCounterBits = 16;

private:
  uint64_t Advance(uint64_t aAtLeast);

  std::mutex m_lock;
  uint64_t m_last = 0; // never decreases
};

using EventFields =
  std::initializer_list<std::pair<std::string_view, std::string>>;

// Thread-safe.
class EventLog
{
public:
  // aProcess names the process in each record. An empty aPath keeps events in
  // memory only. At most aCapacity records are kept for the admin port.
  EventLog(std::string aProcess, const std::string& aPath, size_t aCapacity);

  void Record(std::string_view aKind,
              EventFields aFields = {},
              std::string_view aRequestId = {});

  // JSON lines of all kept records, oldest first.
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
