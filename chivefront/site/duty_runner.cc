// The lease, the decisions and the calls of the duties' holder.
#include "chivefront/site/duty_runner.h"

#include <algorithm>
#include <cmath>

#include "chivefront/base/errors.h"

namespace chivefront::site {
namespace detail {

constexpr base::Millis kFirstBackoff{ 250 };
constexpr base::Millis kLongestBackoff{ 4000 };
// Share of the service's rate that is used. The rest is a margin for calls that
// arrive faster than they were sent.
constexpr double kRateShare = 0.8;

base::Millis
CallInterval(double aCallsPerSecond)
{
  constexpr double kMillisPerSecond = 1000;
  return base::Millis(static_cast<int64_t>(
    std::ceil(kMillisPerSecond / (aCallsPerSecond * kRateShare))));
}

duty::Duty
DutyOf(const DutyReport& aReport)
{
  return std::holds_alternative<duty::WindowUsage>(aReport)
           ? duty::Duty::UsageReport
           : duty::Duty::Autoscaling;
}

} // namespace detail

DutyRunner::DutyRunner(net::asio::any_io_executor aExecutor,
                       DutyOptions aOptions,
                       DutyPorts aPorts,
                       const base::Clock& aClock,
                       const Store& aStore,
                       base::Metrics& aMetrics,
                       base::DecisionLog& aLog)
  : m_executor(std::move(aExecutor))
  , m_options(std::move(aOptions))
  , m_ports(std::move(aPorts))
  , m_clock(aClock)
  , m_store(aStore)
  , m_log(aLog)
  , m_metrics(aMetrics)
  , m_callInterval(detail::CallInterval(m_options.m_settings.m_callsPerSecond))
  , m_lease({ m_options.m_settings.m_lease },
            m_options.m_settings.m_duties,
            m_owner)
{
}

void
DutyRunner::Spawn(std::function<net::Task<void>()> aBody)
{
  net::Spawn(m_executor, "duty", std::move(aBody));
}

bool
DutyRunner::Has(duty::Duty aDuty) const
{
  return m_options.m_settings.m_duties.count(aDuty) > 0;
}

std::optional<uint64_t>
DutyRunner::LeadingTerm() const
{
  const consensus::GroupStatus status = m_ports.m_status();
  if (status.m_role != consensus::RaftRole::Leader) {
    return std::nullopt;
  }
  return status.m_term;
}

bool
DutyRunner::IsHolding() const
{
  return m_lease.Stage() == duty::LeaseStage::Holding;
}

void
DutyRunner::OnTick(base::TimePoint aNow)
{
  ObserveLeadership(aNow);
  const uint64_t term = m_lease.Term();
  const bool leads = m_lease.Stage() != duty::LeaseStage::NotLeading;
  if (leads && !m_confirming && !m_stopped) {
    m_confirming = true;
    Spawn([this, term, aNow] { return Confirm(term, aNow); });
  }
  if (m_lease.NextToAcquire() && !m_acquiring && !m_stopped) {
    m_acquiring = true;
    Spawn([this] { return Acquire(); });
  }
  if (term != m_ordersTerm) {
    // Another process may have changed what is in effect.
    m_orders.clear();
    m_lastDelivered.clear();
    m_ordersTerm = term;
  }
  if (IsHolding() && !m_stopped) {
    DecideWindows();
    TakeOrders();
  }
  ConfirmWindows();
  if (IsHolding() && !m_sending && !m_stopped && NextReport()) {
    m_sending = true;
    Spawn([this] { return SendAll(); });
  }
  ReportMetrics();
}

void
DutyRunner::ObserveLeadership(base::TimePoint aNow)
{
  const duty::LeaseStage before = m_lease.Stage();
  const uint64_t termBefore = m_lease.Term();
  m_lease.Observe(LeadingTerm(), aNow);
  if (m_lease.Stage() == before && m_lease.Term() == termBefore) {
    return;
  }
  m_log.Record(before == duty::LeaseStage::Holding ? "duty_lost" : "duty_stage",
               base::LogCategory::State,
               { { "stage", duty::kLeaseStageNames.Name(m_lease.Stage()) },
                 { "term", m_lease.Term() } });
}

net::Task<void>
DutyRunner::Confirm(uint64_t aTerm, base::TimePoint aBegan)
{
  using Result = absl::StatusOr<uint64_t>;
  std::function<void(std::function<void(Result)>)> confirm = m_ports.m_confirm;
  const Result index = co_await net::AwaitCallback<Result>(std::move(confirm));
  m_confirming = false;
  // Terms only grow, so the round was within aTerm if it has not ended by now.
  if (index.ok() && LeadingTerm() == aTerm) {
    m_lease.OnConfirmed(
      aTerm, aBegan, m_store.Current()->m_duties->HoldersByDuty());
  }
}

net::Task<void>
DutyRunner::Acquire()
{
  while (const auto duty = m_lease.NextToAcquire()) {
    const uint64_t term = m_lease.Term();
    Command command =
      AcquireDuty{ *duty, m_options.m_settings.m_host, m_owner };
    const absl::StatusOr<Outcome> outcome =
      co_await m_ports.m_commit(std::move(command));
    const bool committed = outcome.ok() && *outcome == Outcome::Accepted;
    if (!committed || LeadingTerm() != term) {
      break; // tried again at the next tick
    }
    const auto state = m_store.Current();
    const duty::Holder& holder = state->m_duties->HoldersByDuty().at(*duty);
    m_lease.OnAcquired(term, *duty, holder);
    m_log.Record("duty_acquired",
                 base::LogCategory::State,
                 { { "duty", duty::kDutyNames.Name(*duty) },
                   { "token", holder.m_token },
                   { "holder", holder.m_host },
                   { "term", term } });
  }
  m_acquiring = false;
}

void
DutyRunner::DecideWindows()
{
  if (!Has(duty::Duty::UsageReport) || !m_options.m_closedWindows) {
    return;
  }
  const auto state = m_store.Current();
  for (duty::WindowUsage& usage : m_options.m_closedWindows()) {
    if (!state->m_duties->IsDecided(usage.m_window) &&
        m_deciding.insert(usage.m_window).second) {
      Spawn([this, usage] { return Decide(usage); });
    }
  }
}

net::Task<void>
DutyRunner::Decide(duty::WindowUsage aUsage)
{
  const uint64_t window = aUsage.m_window;
  uint64_t requests = 0;
  for (const auto& [team, count] : aUsage.m_counts) {
    requests += count;
  }
  const size_t teams = aUsage.m_counts.size();
  Command command = DecideUsage{ std::move(aUsage) };
  const absl::StatusOr<Outcome> outcome =
    co_await m_ports.m_commit(std::move(command));
  m_deciding.erase(window);
  const bool committed = outcome.ok() && *outcome == Outcome::Accepted;
  m_log.Record("usage_decided",
               committed ? base::LogCategory::State
                         : base::LogCategory::Failure,
               { { "window", window },
                 { "teams", teams },
                 { "requests", requests },
                 { "result",
                   committed      ? std::string_view("committed")
                   : outcome.ok() ? std::string_view("not executed")
                                  : base::MessageOf(outcome.status()) } });
}

// Confirms the windows that need no call any more, until the state says so.
void
DutyRunner::ConfirmWindows()
{
  const auto undelivered = m_store.Current()->m_duties->Undelivered();
  std::erase_if(m_settled, [&](uint64_t aWindow) {
    return std::none_of(
      undelivered.begin(), undelivered.end(), [&](const auto& aUsage) {
        return aUsage.m_window == aWindow;
      });
  });
  if (m_lease.Stage() == duty::LeaseStage::NotLeading) {
    return;
  }
  for (const uint64_t window : m_settled) {
    if (m_confirmingWindows.insert(window).second) {
      Spawn([this, window] { return ConfirmWindow(window); });
    }
  }
}

net::Task<void>
DutyRunner::ConfirmWindow(uint64_t aWindow)
{
  Command command = ConfirmUsage{ aWindow };
  (void)co_await m_ports.m_commit(std::move(command));
  m_confirmingWindows.erase(aWindow);
}

void
DutyRunner::TakeOrders()
{
  if (!Has(duty::Duty::Autoscaling) || !m_options.m_scaleOrders) {
    return;
  }
  for (const duty::ScaleOrder& order : m_options.m_scaleOrders()) {
    const Subject subject{ order.m_service, order.m_domain };
    const auto delivered = m_lastDelivered.find(subject);
    if (delivered != m_lastDelivered.end() &&
        delivered->second == order.m_desired) {
      m_orders.erase(subject);
    } else {
      m_orders[subject] = order;
    }
  }
}

std::optional<DutyReport>
DutyRunner::NextWindow() const
{
  std::optional<DutyReport> first;
  for (duty::WindowUsage& usage : m_store.Current()->m_duties->Undelivered()) {
    if (m_settled.count(usage.m_window) > 0) {
      continue;
    }
    if (usage.m_window > m_lastWindow) {
      return DutyReport(std::move(usage));
    }
    if (!first) {
      first = std::move(usage);
    }
  }
  return first;
}

std::optional<DutyReport>
DutyRunner::NextOrder() const
{
  if (m_orders.empty()) {
    return std::nullopt;
  }
  const auto next = m_orders.upper_bound(m_lastSubject);
  return DutyReport((next == m_orders.end() ? m_orders.begin() : next)->second);
}

std::optional<DutyReport>
DutyRunner::NextReport() const
{
  std::optional<DutyReport> window;
  if (Has(duty::Duty::UsageReport)) {
    window = NextWindow();
  }
  std::optional<DutyReport> order = NextOrder();
  const bool orderFirst = !m_lastWasOrder || !window;
  return order && orderFirst ? std::move(order) : std::move(window);
}

net::Task<void>
DutyRunner::SendAll()
{
  while (!m_stopped) {
    const base::TimePoint now = m_clock.Now();
    if (now < m_nextCallAt) {
      co_await net::Sleep(m_nextCallAt - now);
      continue;
    }
    std::optional<DutyReport> report = NextReport();
    if (!report || !m_lease.MaySend(detail::DutyOf(*report), now)) {
      break;
    }
    const CallResult result = co_await Send(std::move(*report));
    Schedule(result, now);
    if (result == CallResult::NotSent) {
      break;
    }
  }
  m_sending = false;
}

net::Task<CallResult>
DutyRunner::Send(DutyReport aReport)
{
  const duty::Duty duty = detail::DutyOf(aReport);
  const auto token = m_lease.MaySend(duty, m_clock.Now());
  if (!token) {
    co_return CallResult::NotSent;
  }
  m_lastWasOrder = duty == duty::Duty::Autoscaling;
  if (const auto* order = std::get_if<duty::ScaleOrder>(&aReport)) {
    m_lastSubject = { order->m_service, order->m_domain };
    m_lastDelivered.erase(m_lastSubject);
  } else {
    m_lastWindow = std::get<duty::WindowUsage>(aReport).m_window;
  }
  std::function<bool()> maySend = [this, duty, token] {
    return !m_stopped && m_lease.MaySend(duty, m_clock.Now()) == token;
  };
  const CallResult result =
    co_await m_options.m_caller->Call(*token, aReport, std::move(maySend));
  const std::string_view name = kCallResultNames.Name(result);
  m_metrics.CountCall(name);
  if (result != CallResult::Delivered) {
    m_log.Record("duty_call_failed",
                 base::LogCategory::Failure,
                 { { "duty", duty::kDutyNames.Name(duty) },
                   { "token", *token },
                   { "result", name } });
  }
  std::visit([&](const auto& aKind) { Finish(aKind, result); }, aReport);
  co_return result;
}

void
DutyRunner::Finish(const duty::WindowUsage& aUsage, CallResult aResult)
{
  if (aResult != CallResult::Delivered && aResult != CallResult::Invalid) {
    return;
  }
  const bool delivered = aResult == CallResult::Delivered;
  m_settled.insert(aUsage.m_window);
  if (delivered) {
    m_metrics.ReportDelivered(aUsage.m_window);
  }
  m_log.Record(delivered ? "usage_delivered" : "usage_given_up",
               delivered ? base::LogCategory::State
                         : base::LogCategory::Failure,
               { { "window", aUsage.m_window } });
  ConfirmWindows();
}

void
DutyRunner::Finish(const duty::ScaleOrder& aOrder, CallResult aResult)
{
  if (aResult != CallResult::Delivered && aResult != CallResult::Invalid) {
    return;
  }
  const Subject subject{ aOrder.m_service, aOrder.m_domain };
  // An invalid order counts as delivered, so that it is not sent again.
  if (m_lease.Term() == m_ordersTerm) {
    m_lastDelivered[subject] = aOrder.m_desired;
  }
  const auto waiting = m_orders.find(subject);
  if (waiting != m_orders.end() &&
      waiting->second.m_desired == aOrder.m_desired) {
    m_orders.erase(waiting);
  }
  if (aResult == CallResult::Delivered && m_options.m_onScaled) {
    m_options.m_onScaled(aOrder);
  }
  m_log.Record("scale_ordered",
               base::LogCategory::State,
               { { "service", aOrder.m_service },
                 { "domain", aOrder.m_domain },
                 { "desired", uint64_t{ aOrder.m_desired } },
                 { "result", kCallResultNames.Name(aResult) } });
}

void
DutyRunner::Schedule(CallResult aResult, base::TimePoint aBegan)
{
  const base::TimePoint now = m_clock.Now();
  const bool failed =
    aResult == CallResult::Failed || aResult == CallResult::RateLimited;
  m_backoff = failed ? std::clamp(m_backoff * 2,
                                  detail::kFirstBackoff,
                                  detail::kLongestBackoff)
                     : base::Millis(0);
  m_nextCallAt = std::max(aBegan + m_callInterval, now + m_backoff);
  m_metrics.ReportBackoff(m_backoff);
}

void
DutyRunner::ReportMetrics()
{
  const auto state = m_store.Current();
  m_metrics.Report(*state->m_duties, [this](duty::Duty aDuty) {
    return m_lease.MaySend(aDuty, m_clock.Now()).has_value();
  });
  m_metrics.ReportOrders(m_orders.size());
  const uint64_t givenUp = state->m_duties->GivenUpCount();
  if (givenUp > m_reportedGivenUp && IsHolding()) {
    m_log.Record(
      "usage_windows_dropped",
      base::LogCategory::Failure,
      { { "dropped", givenUp - m_reportedGivenUp }, { "total", givenUp } });
  }
  m_reportedGivenUp = givenUp;
}

} // namespace chivefront::site
