// Fields of usage reports in watch messages.
#include "chivefront/site/usage_messages.h"

#include <memory>

namespace chivefront::site {

void
AddUsageReport(const duty::UsageReport& aReport, wire::WatchRequestT& aRequest)
{
  aRequest.usage_sequence = aReport.m_sequence;
  aRequest.usage_closed_before = aReport.m_closedBefore;
  for (const duty::WindowUsage& window : aReport.m_windows) {
    auto row = std::make_unique<wire::UsageWindowT>();
    row->number = window.m_window;
    for (const auto& [team, requests] : window.m_counts) {
      auto count = std::make_unique<wire::UsageCountT>();
      count->team = team;
      count->requests = requests;
      row->counts.push_back(std::move(count));
    }
    aRequest.usage.push_back(std::move(row));
  }
}

duty::UsageReport
ReadUsageReport(const wire::WatchRequestT& aRequest)
{
  duty::UsageReport report;
  report.m_sequence = aRequest.usage_sequence;
  report.m_closedBefore = aRequest.usage_closed_before;
  for (const auto& row : aRequest.usage) {
    duty::WindowUsage window;
    window.m_window = row->number;
    for (const auto& count : row->counts) {
      window.m_counts[count->team] = count->requests;
    }
    report.m_windows.push_back(std::move(window));
  }
  return report;
}

} // namespace chivefront::site
