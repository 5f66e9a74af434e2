// Runs the duties of a control process: keeps its lease, decides usage windows,
// and makes the calls to the outside service.
//
//   DutyRunner runner(executor, options, ports, clock, store, metrics, log);
//   runner.OnTick(now);  // at each tick, whether this process leads or not
//   runner.Stop();       // before the leadership is handed over
//
// One call is made at a time. A failed call is repeated with exponential
// backoff; usage windows from the replicated state, so that each holder sends
// the same counts, and scaling orders until a newer one replaces them. Use it
// on a single thread.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "chivefront/base/decision_log.h"
#include "chivefront/base/ids.h"
#include "chivefront/consensus/group.h"
#include "chivefront/duty/lease.h"
#include "chivefront/net/task.h"
#include "chivefront/site/duty_caller.h"
#include "chivefront/site/duty_metrics.h"
#include "chivefront/site/store.h"

namespace chivefront::site {

struct DutyOptions
{
  duty::DutySettings m_settings;
  std::shared_ptr<DutyCaller> m_caller; // not null
  // Windows whose counts may be decided now; each may be returned repeatedly.
  // Null: none. Asked while this process holds the duty.
  std::function<std::vector<duty::WindowUsage>()> m_closedWindows;
  // Orders in force or new ones. One that repeats what was delivered last for
  // its service and domain is not sent. Null: none. Asked like the windows.
  std::function<std::vector<duty::ScaleOrder>()> m_scaleOrders;
  // Called when the service has accepted an order. May be null.
  std::function<void(const duty::ScaleOrder&)> m_onScaled;
};

// The control group, as the duties use it.
struct DutyPorts
{
  std::function<consensus::GroupStatus()> m_status;
  std::function<void(consensus::Group::ConfirmCallback)> m_confirm;
  std::function<net::Task<absl::StatusOr<Outcome>>(Command)> m_commit;
};

class DutyRunner
{
public:
  DutyRunner(net::asio::any_io_executor aExecutor,
             DutyOptions aOptions,
             DutyPorts aPorts,
             const base::Clock& aClock,
             const Store& aStore,
             base::Metrics& aMetrics,
             base::DecisionLog& aLog);

  void OnTick(base::TimePoint aNow);
  // Begins no further call.
  void Stop() { m_stopped = true; }

  duty::LeaseStage Stage() const { return m_lease.Stage(); }

private:
  using Subject = std::pair<std::string, std::string>; // service and domain

  bool Has(duty::Duty aDuty) const;
  std::optional<uint64_t> LeadingTerm() const;
  bool IsHolding() const;

  void ObserveLeadership(base::TimePoint aNow);
  net::Task<void> Confirm(uint64_t aTerm, base::TimePoint aBegan);
  net::Task<void> Acquire();

  void DecideWindows();
  net::Task<void> Decide(duty::WindowUsage aUsage);
  void ConfirmWindows();
  net::Task<void> ConfirmWindow(uint64_t aWindow);

  void TakeOrders();

  // The next report to send; none when there is no work.
  std::optional<DutyReport> NextReport() const;
  std::optional<DutyReport> NextWindow() const;
  std::optional<DutyReport> NextOrder() const;
  // Makes calls until there is no work or no permission.
  net::Task<void> SendAll();
  net::Task<CallResult> Send(DutyReport aReport);
  void Finish(const duty::WindowUsage& aUsage, CallResult aResult);
  void Finish(const duty::ScaleOrder& aOrder, CallResult aResult);
  // Sets when the next call may be made.
  void Schedule(CallResult aResult, base::TimePoint aBegan);

  void ReportMetrics();
  void Spawn(std::function<net::Task<void>()> aBody);

  const net::asio::any_io_executor m_executor;
  const DutyOptions m_options;
  const DutyPorts m_ports;
  const base::Clock& m_clock;
  const Store& m_store;
  base::DecisionLog& m_log;
  DutyMetrics m_metrics;
  const uint64_t m_owner = base::RandomBits(); // of this incarnation
  const base::Millis m_callInterval;           // shortest time between calls
  duty::Lease m_lease;
  bool m_stopped = false;
  bool m_confirming = false; // a quorum round is in flight
  bool m_acquiring = false;
  bool m_sending = false; // SendAll runs

  std::set<uint64_t> m_deciding; // windows whose decision is in flight
  std::set<uint64_t> m_confirmingWindows;
  std::set<uint64_t> m_settled; // need no call, but are not confirmed yet
  std::map<Subject, duty::ScaleOrder> m_orders; // to be sent
  std::map<Subject, uint32_t> m_lastDelivered;  // known to be in effect
  uint64_t m_ordersTerm = 0; // in which the two maps above were filled
  // What was tried last. The next of each kind follows it, so that one that
  // fails always does not hold up the others.
  uint64_t m_lastWindow = 0;
  Subject m_lastSubject;
  bool m_lastWasOrder = false;
  base::TimePoint m_nextCallAt;
  base::Millis m_backoff{ 0 };    // after the last call; 0: it succeeded
  uint64_t m_reportedGivenUp = 0; // windows, as logged
};

} // namespace chivefront::site
