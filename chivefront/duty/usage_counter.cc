// Windows of an entry: what is kept, and what is reported when.
#include "chivefront/duty/usage_counter.h"

#include <algorithm>
#include <cmath>

namespace chivefront::duty {
namespace detail {

// From the end of a window to its last count. True time may be corrected by the
// delay of an answer.
constexpr base::Millis kSettleTime{ 500 };
// An entry that ends loses the counts of this time.
constexpr base::Millis kReportPeriod{ 1000 };
// A window may be kept for later than now, because true time may step back by
// some milliseconds at the start of a window.
constexpr uint64_t kFutureWindows = 1;

} // namespace detail

void
UsageCounter::Expire(int64_t aTrueTime)
{
  const uint64_t current = WindowAt(aTrueTime, m_length);
  std::erase_if(m_windows, [current](const auto& aWindow) {
    return aWindow.first > current + detail::kFutureWindows ||
           aWindow.first + kMaxUsageWindows <= current + detail::kFutureWindows;
  });
}

void
UsageCounter::Record(const std::string& aTeam, int64_t aTrueTime)
{
  Expire(aTrueTime);
  Window& window = m_windows[WindowAt(aTrueTime, m_length)];
  if (window.m_counts.size() >= kMaxUsageTeams &&
      window.m_counts.count(aTeam) == 0) {
    ++m_dropped;
    return;
  }
  ++window.m_counts[aTeam];
  window.m_changedAt = ++m_sequence;
}

UsageReport
UsageCounter::MakeReport(int64_t aTrueTime, base::TimePoint aNow)
{
  Expire(aTrueTime);
  UsageReport report;
  report.m_closedBefore =
    WindowAt(aTrueTime - detail::kSettleTime.Count(), m_length);
  const auto isUnknown = [this](const auto& aWindow) {
    return aWindow.second.m_changedAt > m_acknowledged;
  };
  // The oldest window comes first, so it is the one that may be closed.
  const auto oldest =
    std::find_if(m_windows.begin(), m_windows.end(), isUnknown);
  if (oldest == m_windows.end() ||
      (oldest->first >= report.m_closedBefore &&
       aNow - m_reportedAt < detail::kReportPeriod)) {
    return report;
  }
  for (const auto& window : m_windows) {
    if (isUnknown(window)) {
      report.m_windows.push_back({ window.first, window.second.m_counts });
    }
  }
  report.m_sequence = m_sequence;
  m_reportedAt = aNow;
  return report;
}

void
UsageCounter::Acknowledge(uint64_t aReceiver, uint64_t aSequence)
{
  if (aReceiver != m_receiver) {
    // Its answer is to a report that held only what the former one lacked.
    m_receiver = aReceiver;
    m_acknowledged = 0;
    return;
  }
  if (aSequence <= m_sequence) {
    m_acknowledged = std::max(m_acknowledged, aSequence);
  }
}

void
UsageCounter::Shift(int64_t aMillis)
{
  const auto shift = static_cast<int64_t>(std::llround(
    static_cast<double>(aMillis) / static_cast<double>(m_length.Count())));
  std::map<uint64_t, Window> windows;
  for (auto& [number, window] : m_windows) {
    const int64_t shifted = static_cast<int64_t>(number) + shift;
    if (shifted >= 0) {
      windows.emplace(static_cast<uint64_t>(shifted), std::move(window));
    }
  }
  m_windows = std::move(windows);
}

} // namespace chivefront::duty
