// Fields of usage in messages.
#include "chivefront/site/usage_messages.h"

#include <memory>

namespace chivefront::site {
namespace detail {

using UsageRows = std::vector<std::unique_ptr<wire::UsageWindowT>>;

UsageRows
ToRows(const std::vector<duty::WindowUsage>& aWindows)
{
  UsageRows rows;
  for (const duty::WindowUsage& window : aWindows) {
    auto row = std::make_unique<wire::UsageWindowT>();
    row->number = window.m_window;
    for (const auto& [team, requests] : window.m_counts) {
      auto count = std::make_unique<wire::UsageCountT>();
      count->team = team;
      count->requests = requests;
      row->counts.push_back(std::move(count));
    }
    rows.push_back(std::move(row));
  }
  return rows;
}

std::vector<duty::WindowUsage>
FromRows(const UsageRows& aRows)
{
  std::vector<duty::WindowUsage> windows;
  for (const auto& row : aRows) {
    duty::WindowUsage window;
    window.m_window = row->number;
    for (const auto& count : row->counts) {
      window.m_counts[count->team] = count->requests;
    }
    windows.push_back(std::move(window));
  }
  return windows;
}

} // namespace detail

void
AddUsageReport(const duty::UsageReport& aReport, wire::WatchRequestT& aRequest)
{
  aRequest.usage_sequence = aReport.m_sequence;
  aRequest.usage_closed_before = aReport.m_closedBefore;
  aRequest.usage = detail::ToRows(aReport.m_windows);
}

duty::UsageReport
ReadUsageReport(const wire::WatchRequestT& aRequest)
{
  duty::UsageReport report;
  report.m_sequence = aRequest.usage_sequence;
  report.m_closedBefore = aRequest.usage_closed_before;
  report.m_windows = detail::FromRows(aRequest.usage);
  return report;
}

wire::UsageRelayT
MakeUsageRelay(base::Millis aWindow,
               const std::vector<duty::HolderUsage>& aHolders)
{
  wire::UsageRelayT relay;
  relay.usage_window_ms = static_cast<uint32_t>(aWindow.Count());
  for (const duty::HolderUsage& holder : aHolders) {
    auto row = std::make_unique<wire::UsageHolderT>();
    row->holder = holder.m_holder;
    row->windows = detail::ToRows(holder.m_windows);
    relay.holders.push_back(std::move(row));
  }
  return relay;
}

std::vector<duty::HolderUsage>
ReadUsageRelay(const wire::UsageRelayT& aRelay)
{
  std::vector<duty::HolderUsage> holders;
  for (const auto& row : aRelay.holders) {
    holders.push_back({ row->holder, detail::FromRows(row->windows) });
  }
  return holders;
}

} // namespace chivefront::site
