// Metrics of the duties, chivefront_duty_*.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "chivefront/base/metrics.h"
#include "chivefront/site/duty_state.h"

namespace chivefront::site {

class DutyMetrics
{
public:
  explicit DutyMetrics(base::Metrics& aMetrics);

  // Reports aState. aMayCall tells whether this process may make calls of a
  // duty now.
  void Report(const DutyState& aState,
              const std::function<bool(duty::Duty)>& aMayCall);
  void ReportOrders(size_t aWaiting);
  void ReportBackoff(base::Millis aBackoff);
  void ReportDelivered(uint64_t aWindow);
  void CountCall(std::string_view aResult);

private:
  void ReportHolder(duty::Duty aDuty, const duty::Holder& aHolder);

  base::Metrics& m_metrics;
  base::Gauge& m_windowsWaiting;
  base::Gauge& m_windowsGivenUp;
  base::Gauge& m_lastWindow;
  base::Gauge& m_ordersWaiting;
  base::Gauge& m_backoff;
  duty::Holders m_reported;
};

} // namespace chivefront::site
