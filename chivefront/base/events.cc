// Event records and the hybrid logical clock.
#include "chivefront/base/events.h"

#include <algorithm>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "chivefront/base/clock.h"

namespace chivefront::base {

uint64_t
HybridClock::AdvancePast(uint64_t aStamp)
{
  const std::lock_guard lock(m_lock);
  const uint64_t wall = static_cast<uint64_t>(WallClockMillis())
                        << kCounterBits;
  m_last = std::max({ wall, m_last + 1, aStamp + 1 });
  return m_last;
}

uint64_t
HybridClock::Tick()
{
  return AdvancePast(0);
}

void
HybridClock::Observe(uint64_t aStamp)
{
  AdvancePast(aStamp);
}

EventLog::EventLog(std::string aProcess,
                   const std::string& aPath,
                   size_t aCapacity)
  : m_process(std::move(aProcess))
  , m_capacity(aCapacity)
{
  if (!aPath.empty()) {
    m_file.open(aPath, std::ios::app);
  }
}

void
EventLog::Record(std::string_view aKind,
                 EventFields aFields,
                 std::string_view aRequestId)
{
  const uint64_t stamp = m_clock.Tick();
  boost::json::object record;
  record["hlc"] = stamp;
  record["ms"] = stamp >> HybridClock::kCounterBits;
  record["process"] = m_process;
  record["event"] = aKind;
  if (!aRequestId.empty()) {
    record["request"] = aRequestId;
  }
  for (const auto& [name, value] : aFields) {
    record[name] = value;
  }
  std::string line = boost::json::serialize(record);
  const std::lock_guard lock(m_lock);
  if (m_file.is_open()) {
    m_file << line << '\n' << std::flush;
  }
  m_lines.push_back(std::move(line));
  if (m_lines.size() > m_capacity) {
    m_lines.pop_front();
  }
}

std::string
EventLog::Dump() const
{
  const std::lock_guard lock(m_lock);
  std::string text;
  for (const std::string& line : m_lines) {
    text += line;
    text += '\n';
  }
  return text;
}

} // namespace chivefront::base
