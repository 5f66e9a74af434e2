// Usage in the polls of an entry.
#include "chivefront/site/usage_reporter.h"

#include "chivefront/site/usage_messages.h"

namespace chivefront::site {

UsageReporter::UsageReporter(base::Millis aWindow,
                             const base::Clock& aClock,
                             WallClock aWallClock)
  : m_window(aWindow)
  , m_clock(aClock)
  , m_wallClock(std::move(aWallClock))
  , m_counter(aWindow)
{
}

int64_t
UsageReporter::TrueTime() const
{
  return m_time.At(m_clock.Now(), m_wallClock());
}

void
UsageReporter::Record(const std::string& aTeam)
{
  m_counter.Record(aTeam, TrueTime());
}

void
UsageReporter::AddTo(wire::WatchRequestT& aRequest)
{
  aRequest.usage_window_ms = static_cast<uint32_t>(m_window.Count());
  aRequest.wall_ms = static_cast<uint64_t>(m_wallClock());
  if (m_time.IsKnown()) {
    AddUsageReport(m_counter.MakeReport(TrueTime(), m_clock.Now()), aRequest);
  }
}

void
UsageReporter::Accept(const wire::WatchReplyT& aReply, base::TimePoint aAskedAt)
{
  const bool wasKnown = m_time.IsKnown();
  m_time.Accept(
    static_cast<int64_t>(aReply.true_time_ms), aAskedAt, m_clock.Now());
  if (!wasKnown && m_time.IsKnown()) {
    m_counter.Shift(TrueTime() - m_wallClock());
  }
  m_counter.Acknowledge(aReply.registry_epoch, aReply.usage_sequence);
}

} // namespace chivefront::site
