// Rate-limited output of the decision log as JSON lines.
#include "chivefront/base/decision_log.h"

#include <algorithm>
#include <poll.h>
#include <unistd.h>

namespace chivefront::base {
namespace detail {

struct LineRate
{
  double m_linesPerSecond;
  double m_burstLines;
};

// Indexed by LogCategory. At 300 bytes a line the rates add up to 36 KB a
// second.
constexpr std::array<LineRate, 3> kRates{ {
  { 40, 200 },
  { 60, 300 },
  { 20, 40 },
} };

// A pipe that is ready for writing accepts at least this much (PIPE_BUF)
// without blocking.
constexpr size_t kMaxLineBytes = 4096;

void
AppendJsonString(std::string& aLine, std::string_view aText)
{
  constexpr char kHex[] = "0123456789abcdef";
  aLine += '"';
  for (const char c : aText) {
    const auto byte = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') {
      aLine += '\\';
      aLine += c;
    } else if (byte < 0x20) {
      aLine += "\\u00";
      aLine += kHex[byte >> 4];
      aLine += kHex[byte & 15];
    } else {
      aLine += c;
    }
  }
  aLine += '"';
}

} // namespace detail

DecisionLog::DecisionLog(std::string aProcess, const Clock& aClock)
  : m_process(std::move(aProcess))
  , m_clock(aClock)
{
  const TimePoint now = m_clock.Now();
  for (size_t i = 0; i < m_buckets.size(); ++i) {
    m_buckets[i] = { detail::kRates[i].m_burstLines, now };
  }
}

bool
DecisionLog::TryTakeToken(LogCategory aCategory)
{
  const auto index = static_cast<size_t>(aCategory);
  const detail::LineRate rate = detail::kRates[index];
  TokenBucket& bucket = m_buckets[index];
  const TimePoint now = m_clock.Now();
  constexpr double kMillisPerSecond = 1000;
  const double refill =
    rate.m_linesPerSecond *
    static_cast<double>((now - bucket.m_refilledAt).Count()) / kMillisPerSecond;
  bucket.m_tokens = std::min(rate.m_burstLines, bucket.m_tokens + refill);
  bucket.m_refilledAt = now;
  if (bucket.m_tokens < 1) {
    return false;
  }
  bucket.m_tokens -= 1;
  return true;
}

void
DecisionLog::Record(std::string_view aEvent,
                    LogCategory aCategory,
                    LogFields aFields)
{
  const std::lock_guard lock(m_lock);
  if (!TryTakeToken(aCategory)) {
    ++m_dropped;
    return;
  }
  std::string line = "{\"at\":" + std::to_string(WallClockMillis());
  line += ",\"process\":";
  detail::AppendJsonString(line, m_process);
  line += ",\"event\":";
  detail::AppendJsonString(line, aEvent);
  for (const LogField& field : aFields) {
    line += ',';
    detail::AppendJsonString(line, field.m_name);
    line += ':';
    detail::AppendJsonString(line, field.m_value);
  }
  if (m_dropped != m_reportedDropped) {
    line += ",\"dropped_lines\":" + std::to_string(m_dropped);
  }
  line += "}\n";
  Write(line);
}

void
DecisionLog::Write(const std::string& aLine)
{
  pollfd ready{ STDOUT_FILENO, POLLOUT, 0 };
  if (aLine.size() > detail::kMaxLineBytes || poll(&ready, 1, 0) != 1 ||
      (ready.revents & POLLOUT) == 0 ||
      write(STDOUT_FILENO, aLine.data(), aLine.size()) < 0) {
    ++m_dropped;
    return;
  }
  m_reportedDropped = m_dropped;
}

uint64_t
DecisionLog::Dropped() const
{
  const std::lock_guard lock(m_lock);
  return m_dropped;
}

} // namespace chivefront::base
