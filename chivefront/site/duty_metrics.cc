// Names and help texts of the metrics, and when they change.
#include "chivefront/site/duty_metrics.h"

namespace chivefront::site {
namespace {

std::string
LabelOf(duty::Duty aDuty)
{
  return "duty=\"" + std::string(duty::kDutyNames.Name(aDuty)) + "\"";
}

} // namespace

DutyMetrics::DutyMetrics(base::Metrics& aMetrics)
  : m_metrics(aMetrics)
  , m_windowsWaiting(
      aMetrics.AddGauge("chivefront_duty_windows_waiting",
                        "Usage windows decided and not yet delivered."))
  , m_windowsGivenUp(aMetrics.AddGauge(
      "chivefront_duty_windows_given_up",
      "Usage windows dropped before their delivery, as too many waited."))
  , m_lastWindow(aMetrics.AddGauge(
      "chivefront_duty_last_window",
      "Number of the usage window that this process delivered last."))
  , m_ordersWaiting(aMetrics.AddGauge("chivefront_duty_orders_waiting",
                                      "Scaling orders not yet delivered."))
  , m_backoff(aMetrics.AddGauge(
      "chivefront_duty_backoff_ms",
      "Pause after the last call if it failed; 0: it did not."))
{
}

void
DutyMetrics::Report(const DutyState& aState,
                    const std::function<bool(duty::Duty)>& aMayCall)
{
  m_windowsWaiting.Set(static_cast<int64_t>(aState.Undelivered().size()));
  m_windowsGivenUp.Set(static_cast<int64_t>(aState.GivenUpCount()));
  for (const auto& [duty, holder] : aState.HoldersByDuty()) {
    m_metrics
      .AddGauge("chivefront_duty_holding",
                "1 while this process may make calls of the duty.",
                LabelOf(duty))
      .Set(aMayCall(duty) ? 1 : 0);
    ReportHolder(duty, holder);
  }
}

void
DutyMetrics::ReportHolder(duty::Duty aDuty, const duty::Holder& aHolder)
{
  duty::Holder& reported = m_reported[aDuty];
  if (reported == aHolder) {
    return;
  }
  const auto gaugeOf = [&](const std::string& aHost) -> base::Gauge& {
    return m_metrics.AddGauge("chivefront_duty_holder",
                              "1 for the host that holds the duty.",
                              LabelOf(aDuty) + ",host=\"" + aHost + "\"");
  };
  if (!reported.m_host.empty()) {
    gaugeOf(reported.m_host).Set(0);
  }
  gaugeOf(aHolder.m_host).Set(1);
  m_metrics
    .AddGauge("chivefront_duty_token",
              "Token of the duty's holder, as this process knows.",
              LabelOf(aDuty))
    .Set(static_cast<int64_t>(aHolder.m_token));
  reported = aHolder;
}

void
DutyMetrics::ReportOrders(size_t aWaiting)
{
  m_ordersWaiting.Set(static_cast<int64_t>(aWaiting));
}

void
DutyMetrics::ReportBackoff(base::Millis aBackoff)
{
  m_backoff.Set(aBackoff.Count());
}

void
DutyMetrics::ReportDelivered(uint64_t aWindow)
{
  m_lastWindow.Set(static_cast<int64_t>(aWindow));
}

void
DutyMetrics::CountCall(std::string_view aResult)
{
  m_metrics
    .AddCounter("chivefront_duty_calls_total",
                "Calls to the service of the duties, by result.",
                "result=\"" + std::string(aResult) + "\"")
    .Increment();
}

} // namespace chivefront::site
