// Decides how many upstreams a service has in each failure domain. Does no I/O
// and never reads a clock.
//
//   Scaler scaler;
//   for (const ScaleOrder& order : scaler.Decide(loads, now)) {
//     ... send the order; when the outside service has accepted it:
//     scaler.Confirm(order, now);
//   }
//
// An order that is not confirmed is returned again by the next Decide, with the
// number that is right by then. A domain gets enough upstreams for the load
// expected after the start-up time plus a reserve. The number rises at once and
// falls to the highest need of the last period only after the whole period was
// below it, so a load that flaps costs no orders.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "chivefront/base/clock.h"
#include "chivefront/duty/duty.h"
#include "chivefront/duty/scaling_bounds.h"

namespace chivefront::duty {

enum class DomainState
{
  Serving,
  Evacuated, // by an operator's order
  Lost,      // nothing is heard from its hosts
};

// What is known of one service in one failure domain. Capacities are those of
// one upstream; a capacity of 0 is unknown and does not count.
struct ServiceLoad
{
  std::string m_service;
  std::string m_domain;
  DomainState m_state = DomainState::Serving;
  bool m_inRollout = false; // of the service
  ScalingBounds m_bounds;
  uint32_t m_ready = 0;
  uint32_t m_starting = 0; // ordered and not ready, as far as known
  uint32_t m_slots = 0;
  uint64_t m_tokens = 0;
  double m_slotsInUse = 0;  // of all ready upstreams
  double m_tokensInUse = 0; // prompt memory, of all ready upstreams
  double m_waiting = 0;     // requests without a slot
  // Since the previous call of Decide:
  double m_answers = 0;
  double m_goalsMissed = 0; // those of m_answers that were late
  // The number ordered last by any holder, if it is known.
  std::optional<uint32_t> m_ordered;
};

// Zero if unknown.
struct ScalingCosts
{
  double m_upstreamSecond = 0; // of one upstream for one second
  double m_order = 0;          // of one order, in the same unit
};

namespace detail {

// Share of the capacity that the expected load uses; the rest is the reserve.
constexpr double kTargetUse = 0.75;

// Extrapolates a load, in upstreams, from its exponential averages.
class LoadTrend
{
public:
  void Add(double aLoad, base::TimePoint aNow);
  double Level() const { return m_level; }
  // The load after aAhead if it goes on to rise as it does; a fall is not
  // extrapolated.
  double Ahead(base::Millis aAhead) const;

private:
  std::optional<base::TimePoint> m_at; // of the last load
  double m_level = 0;
  double m_slope = 0; // per millisecond
};

// The largest number of the last period.
class RecentMaximum
{
public:
  void Add(uint32_t aValue, base::Millis aPeriod, base::TimePoint aNow);
  uint32_t Get() const
  {
    return m_values.empty() ? 0 : m_values.front().second;
  }
  // When it was added last; there must be one.
  base::TimePoint At() const { return m_values.front().first; }

private:
  // Times increase and values decrease from front to back.
  std::deque<std::pair<base::TimePoint, uint32_t>> m_values;
};

// The load as it was some time ago, in upstreams.
class EarlierLoad
{
public:
  void Add(double aLoad, base::TimePoint aNow);
  double Get() const { return m_loads.empty() ? 0 : m_loads.front().second; }

private:
  std::deque<std::pair<base::TimePoint, double>> m_loads; // oldest first
};

// One service in one failure domain.
struct ScalingSubject
{
  LoadTrend m_load;
  EarlierLoad m_loadBefore; // not changed while any domain is away
  RecentMaximum m_need;
  DomainState m_state = DomainState::Serving;
  base::TimePoint m_seenAt;    // last observation
  base::TimePoint m_lowSince;  // since then the need was below m_inForce
  base::TimePoint m_orderedAt; // of the last confirmed order
  double m_answers = 0;        // decaying sums
  double m_goalsMissed = 0;
  double m_targetUse = kTargetUse; // lower after goals were missed
  // Expected load after the loss of another domain; 0: all domains serve.
  double m_takenOver = 0;
  uint32_t m_ready = 0;
  // The number in force: ordered last or, before any order, the largest number
  // of upstreams seen.
  uint32_t m_inForce = 0;
  bool m_isOrdered = false;
};

} // namespace detail

class Scaler
{
public:
  explicit Scaler(ScalingCosts aCosts = {})
    : m_costs(aCosts)
  {
  }

  // Takes one load for each service and domain. A domain that had a load before
  // and has none in aLoads counts as lost.
  std::vector<ScaleOrder> Decide(const std::vector<ServiceLoad>& aLoads,
                                 base::TimePoint aNow);
  // The outside service accepted aOrder.
  void Confirm(const ScaleOrder& aOrder, base::TimePoint aNow);

private:
  using Subject = detail::ScalingSubject;

  struct Service
  {
    std::map<std::string, Subject> m_subjects; // by domain
    std::set<std::string> m_away; // domains that are evacuated or lost
  };

  void Observe(const ServiceLoad& aLoad, base::TimePoint aNow);
  static void MoveLostLoad(Service& aService, base::TimePoint aNow);
  base::Millis LowPeriod(const ServiceLoad& aLoad, uint32_t aFewer) const;
  std::optional<uint32_t> NewNumber(const ServiceLoad& aLoad,
                                    base::TimePoint aNow);

  const ScalingCosts m_costs;
  std::map<std::string, Service> m_services; // by name
};

} // namespace chivefront::duty
