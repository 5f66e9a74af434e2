// Usage in the answers of a control process.
#include "chivefront/site/usage_coordinator.h"

#include "chivefront/site/usage_messages.h"

namespace chivefront::site {
namespace detail {

// An entry reports all its windows with the second poll that reaches a new
// leader. Two polls that time out fit in besides.
constexpr base::Millis kGatherTime{ 1500 };

// A process without a tick for this long was paused.
constexpr base::Millis kPauseThreshold{ 1000 };

// The name of a poller without the number of its incarnation.
std::string
ProcessOfHolder(const std::string& aHolder)
{
  return aHolder.substr(0, aHolder.find('#'));
}

} // namespace detail

UsageCoordinator::UsageCoordinator(const duty::DutySettings& aSettings,
                                   base::Metrics& aMetrics)
  : m_window(aSettings.m_window)
  , m_collector(aSettings.m_window, aSettings.m_usageDue)
  , m_countsGauge(aMetrics.AddGauge(
      "chivefront_duty_usage_counts",
      "Counts of usage that wait for the decision of their window."))
  , m_refusedGauge(
      aMetrics.AddGauge("chivefront_duty_usage_refused",
                        "Counts of usage that were refused since the start."))
{
}

void
UsageCoordinator::Answer(const wire::WatchRequestT& aRequest,
                         base::TimePoint aNow,
                         int64_t aWallTime,
                         wire::WatchReplyT& aReply)
{
  if (aRequest.usage_window_ms != m_window.Count()) {
    return;
  }
  m_time.Record(detail::ProcessOfHolder(aRequest.holder),
                static_cast<int64_t>(aRequest.wall_ms),
                aRequest.live_entries,
                aNow);
  if (const auto trueTime = m_time.At(aNow, aWallTime)) {
    aReply.true_time_ms = static_cast<uint64_t>(*trueTime);
  }
  const bool isComplete = aRequest.registry_epoch == aReply.registry_epoch;
  if (m_collector.Record(
        aRequest.holder, ReadUsageReport(aRequest), isComplete, aNow)) {
    aReply.usage_sequence = aRequest.usage_sequence;
  }
}

std::optional<wire::UsageRelayT>
UsageCoordinator::TakeRelay()
{
  const auto changes = m_collector.TakeChanges();
  if (changes.empty()) {
    return std::nullopt;
  }
  return MakeUsageRelay(m_window, changes);
}

void
UsageCoordinator::AcceptRelay(const wire::UsageRelayT& aRelay,
                              base::TimePoint aNow)
{
  if (aRelay.usage_window_ms != m_window.Count()) {
    return;
  }
  for (const duty::HolderUsage& holder : ReadUsageRelay(aRelay)) {
    m_collector.RecordRelayed(holder, aNow);
  }
}

void
UsageCoordinator::OnTick(bool aIsLeader, base::TimePoint aNow)
{
  if (!aIsLeader) {
    m_leadingSince.reset();
  } else if (!m_leadingSince || aNow - m_tickedAt > detail::kPauseThreshold) {
    m_leadingSince = aNow;
  }
  m_tickedAt = aNow;
  m_collector.Expire(aNow);
  m_countsGauge.Set(static_cast<int64_t>(m_collector.Size()));
  m_refusedGauge.Set(static_cast<int64_t>(m_collector.RefusedCount()));
}

std::vector<duty::WindowUsage>
UsageCoordinator::Decidable(const control::WatcherTable& aWatchers,
                            base::TimePoint aNow,
                            int64_t aWallTime)
{
  const auto trueTime = m_time.At(aNow, aWallTime);
  if (!trueTime || !m_leadingSince ||
      aNow - m_tickedAt > detail::kPauseThreshold ||
      aNow - *m_leadingSince < detail::kGatherTime) {
    return {};
  }
  const duty::LiveHolders live{ aWatchers.LiveEntryNames(aNow),
                                m_time.LiveEntries() };
  return m_collector.Decidable(*trueTime, live);
}

} // namespace chivefront::site
