// Replays of loads and failures through the rules of scaling, against a small
// model of the platform: upstreams serve a start-up time after they were
// ordered, and what has no slot waits.
#define BOOST_TEST_MODULE scaling
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <functional>

#include "chivefront/duty/scaling.h"

using namespace chivefront;
using namespace chivefront::duty;

namespace {

constexpr base::Millis kTick{ 200 };
constexpr uint32_t kSlots = 8;
constexpr ScalingBounds kBounds{ 2, 12, base::Millis(4000) };
constexpr double kAnswersPerTick = 10;

struct DomainModel
{
  std::string m_name;
  std::function<double(double aSecond)> m_requests; // under way or waiting
  uint32_t m_ready = 2;
  std::vector<base::TimePoint> m_startsDone;
  DomainState m_state = DomainState::Serving;
  bool m_isReported = true;
  bool m_inRollout = false;
  double m_missedShare = 0;
  std::vector<uint32_t> m_orders;
};

class Replay
{
public:
  explicit Replay(std::vector<DomainModel> aDomains)
    : m_domains(std::move(aDomains))
  {
  }

  void RunTo(double aSecond)
  {
    for (; Second() < aSecond; m_now = m_now + kTick) {
      std::vector<ServiceLoad> loads;
      for (DomainModel& domain : m_domains) {
        std::erase_if(domain.m_startsDone, [&](base::TimePoint aDone) {
          domain.m_ready += aDone <= m_now ? 1 : 0;
          return aDone <= m_now;
        });
        if (domain.m_isReported) {
          loads.push_back(LoadOf(domain));
        }
      }
      for (const ScaleOrder& order : m_scaler.Decide(loads, m_now)) {
        if (m_accepts) {
          m_scaler.Confirm(order, m_now);
          Carry(order);
        } else {
          ++m_refused;
        }
      }
    }
  }

  DomainModel& operator[](size_t aIndex) { return m_domains[aIndex]; }
  double Second() const
  {
    return static_cast<double>(m_now.SinceBoot().Count()) / 1000;
  }

  bool m_accepts = true;
  int m_refused = 0;
  base::Millis m_startup = kBounds.m_startup; // what it takes in fact

private:
  ServiceLoad LoadOf(const DomainModel& aDomain) const
  {
    ServiceLoad load;
    load.m_service = "sorter";
    load.m_domain = aDomain.m_name;
    load.m_state = aDomain.m_state;
    load.m_inRollout = aDomain.m_inRollout;
    load.m_bounds = kBounds;
    load.m_ready = aDomain.m_ready;
    load.m_starting = static_cast<uint32_t>(aDomain.m_startsDone.size());
    load.m_slots = kSlots;
    const double requests = aDomain.m_requests(Second());
    load.m_slotsInUse =
      std::min(requests, static_cast<double>(kSlots * aDomain.m_ready));
    load.m_waiting = requests - load.m_slotsInUse;
    load.m_answers = kAnswersPerTick;
    load.m_goalsMissed = kAnswersPerTick * aDomain.m_missedShare;
    return load;
  }

  void Carry(const ScaleOrder& aOrder)
  {
    for (DomainModel& domain : m_domains) {
      if (domain.m_name != aOrder.m_domain) {
        continue;
      }
      domain.m_orders.push_back(aOrder.m_desired);
      auto count =
        static_cast<uint32_t>(domain.m_ready + domain.m_startsDone.size());
      for (; count < aOrder.m_desired; ++count) {
        domain.m_startsDone.push_back(m_now + m_startup);
      }
      domain.m_ready = std::min(domain.m_ready, aOrder.m_desired);
    }
  }

  std::vector<DomainModel> m_domains;
  Scaler m_scaler;
  base::TimePoint m_now{ base::Millis(0) };
};

std::function<double(double)>
Steady(double aRequests)
{
  return [aRequests](double) { return aRequests; };
}

// From aBefore to aAfter between two seconds, linearly.
std::function<double(double)>
Ramp(double aBefore, double aAfter, double aFrom, double aTo)
{
  return [=](double aSecond) {
    const double done = std::clamp((aSecond - aFrom) / (aTo - aFrom), 0.0, 1.0);
    return aBefore + (aAfter - aBefore) * done;
  };
}

} // namespace

// Guards against upstreams that are ordered only when the load has arrived, so
// that requests wait for a whole start-up time.
BOOST_AUTO_TEST_CASE(RiseIsServedWithoutAQueue)
{
  Replay replay({ { "a", Ramp(8, 56, 10, 50) } });
  for (double second = 1; second < 60; second += 1) {
    replay.RunTo(second);
    const double requests = replay[0].m_requests(second);
    BOOST_TEST(requests <= kSlots * replay[0].m_ready, "at " << second);
  }
  BOOST_TEST(
    std::is_sorted(replay[0].m_orders.begin(), replay[0].m_orders.end()));
  BOOST_TEST(replay[0].m_ready >= 10U);
}

// Guards against upstreams that are paid for after the load has gone, and
// against one order for each of them.
BOOST_AUTO_TEST_CASE(FallGivesUpstreamsBackInFewOrders)
{
  Replay replay({ { "a", Ramp(48, 6, 10, 40), 8 } });
  replay.RunTo(15);
  BOOST_TEST(replay[0].m_ready == 8U); // not at once
  replay.RunTo(70);
  BOOST_TEST(replay[0].m_ready == 2U);
  BOOST_TEST(replay[0].m_orders.size() <= 4U);
}

// Guards against orders, which are charged, that follow a load that changes
// faster than upstreams start.
BOOST_AUTO_TEST_CASE(FlapCausesNoOrdersAfterItsFirstPeak)
{
  Replay replay({ { "a", [](double aSecond) {
                     return static_cast<int>(aSecond / 5) % 2 == 0 ? 10 : 30;
                   } } });
  replay.RunTo(20);
  const size_t orders = replay[0].m_orders.size();
  replay.RunTo(200);
  BOOST_TEST(replay[0].m_orders.size() == orders);
  BOOST_TEST(replay[0].m_ready >= 5U);
}

// Guards against a short burst that is answered with the largest number or that
// keeps its upstreams for good.
BOOST_AUTO_TEST_CASE(BurstIsBoundedAndGivenBack)
{
  Replay replay({ { "a", [](double aSecond) {
                     return aSecond >= 10 && aSecond < 12 ? 40.0 : 8.0;
                   } } });
  replay.RunTo(14);
  BOOST_TEST(replay[0].m_orders.size() >= 1U);
  const auto most =
    *std::max_element(replay[0].m_orders.begin(), replay[0].m_orders.end());
  BOOST_TEST(most < kBounds.m_maxUpstreams);
  replay.RunTo(60);
  BOOST_TEST(replay[0].m_ready == 2U);
}

// Guards against the loss of a domain whose load reaches the others before they
// have the upstreams for it, and against reductions while it is away.
BOOST_AUTO_TEST_CASE(DomainLostMovesItsLoadAtOnce)
{
  for (const bool isNamed : { true, false }) {
    Replay replay({ { "a", Steady(24), 4 },
                    { "b", Steady(24), 4 },
                    { "c", Steady(24), 4 } });
    replay.RunTo(30);
    BOOST_TEST(replay[0].m_orders.empty());
    replay[2].m_state = isNamed ? DomainState::Lost : DomainState::Serving;
    replay[2].m_isReported = isNamed; // or it is merely absent
    replay.RunTo(replay.Second() + 0.4);
    BOOST_TEST(replay[0].m_orders == std::vector<uint32_t>{ 6 },
               boost::test_tools::per_element());
    BOOST_TEST(replay[1].m_orders == std::vector<uint32_t>{ 6 },
               boost::test_tools::per_element());
    replay[0].m_requests = Steady(36);
    replay[1].m_requests = Steady(4);
    replay.RunTo(90);
    BOOST_TEST(replay[0].m_orders.size() == 1U); // the load is counted once
    BOOST_TEST(replay[1].m_orders.size() == 1U); // no reduction yet
    BOOST_TEST(replay[2].m_orders.empty());
    replay[2].m_state = DomainState::Serving;
    replay[2].m_isReported = true;
    replay.RunTo(120);
    BOOST_TEST(replay[1].m_ready == 2U);
  }
}

// Guards against orders for a domain that is evacuated, where no load is seen,
// so that it comes back with too few upstreams.
BOOST_AUTO_TEST_CASE(DomainEvacuatedKeepsItsNumber)
{
  Replay replay({ { "a", Steady(24), 4 }, { "b", Steady(24), 4 } });
  replay.RunTo(30);
  replay[1].m_state = DomainState::Evacuated;
  replay[1].m_requests = Steady(0);
  replay[0].m_requests = Steady(48);
  replay.RunTo(90);
  BOOST_TEST(replay[1].m_orders.empty());
  BOOST_TEST(replay[0].m_ready == 8U);
  replay[1].m_state = DomainState::Serving;
  replay.RunTo(95);
  BOOST_TEST(replay[1].m_orders.empty());
}

// Guards against a reduction that stops upstreams of the version that a
// roll-out moves the requests to, while a rise is still served.
BOOST_AUTO_TEST_CASE(RolloutAllowsIncreasesOnly)
{
  Replay replay({ { "a", Steady(8), 6 } });
  replay[0].m_inRollout = true;
  replay.RunTo(60);
  BOOST_TEST(replay[0].m_orders.empty());
  replay[0].m_requests = Steady(60);
  replay.RunTo(70);
  BOOST_TEST(replay[0].m_ready >= 10U);
  replay[0].m_requests = Steady(8);
  replay[0].m_inRollout = false;
  replay.RunTo(90);
  BOOST_TEST(replay[0].m_ready == 2U);
}

// Guards against ever more orders while upstreams that were ordered take far
// longer than configured and the queue grows.
BOOST_AUTO_TEST_CASE(SlowStartIsNotOrderedTwice)
{
  Replay replay({ { "a", Ramp(10, 150, 10, 40) } });
  replay.m_startup = base::Millis(30000);
  replay.RunTo(40);
  BOOST_TEST(!replay[0].m_orders.empty());
  // Two upstreams and a queue as long as their slots, with the reserve.
  BOOST_TEST(replay[0].m_orders.back() <= 8U);
  const size_t orders = replay[0].m_orders.size();
  replay[0].m_requests = Steady(30);
  replay.RunTo(45);
  BOOST_TEST(replay[0].m_orders.size() == orders);
}

// Guards against goals that are missed for good because slots are free, against
// an oscillation around the number that meets them, and against scaling that
// answers a fault of idle upstreams.
BOOST_AUTO_TEST_CASE(MissedGoalsAddUpstreamsUnderLoadOnly)
{
  Replay replay({ { "a", Steady(20), 4 }, { "b", Steady(4), 4 } });
  replay[0].m_missedShare = 0.3;
  replay[1].m_missedShare = 0.3;
  replay.RunTo(3); // less than the start-up time
  replay[0].m_missedShare = 0;
  replay.RunTo(60);
  BOOST_TEST(replay[0].m_orders == std::vector<uint32_t>{ 5 },
             boost::test_tools::per_element());
  BOOST_TEST(replay[1].m_ready == 2U);
}

// Guards against an order that is lost because the outside service is down, and
// against an outdated number that is sent afterwards.
BOOST_AUTO_TEST_CASE(UnconfirmedOrderIsReturnedAgain)
{
  Replay replay({ { "a", Steady(40), 2 } });
  replay.m_accepts = false;
  replay.RunTo(10);
  BOOST_TEST(replay.m_refused > 10);
  replay.m_accepts = true;
  replay[0].m_requests = Steady(8);
  replay.RunTo(12);
  BOOST_TEST(replay[0].m_orders.size() <= 1U);
  replay.RunTo(40);
  BOOST_TEST(replay[0].m_ready == 2U);
}

// Guards against a first order of a new holder that changes nothing, and
// against one that reduces before it has seen the load for long enough.
BOOST_AUTO_TEST_CASE(NewHolderChangesNothingAtFirst)
{
  ServiceLoad load;
  load.m_service = "sorter";
  load.m_domain = "a";
  load.m_bounds = kBounds;
  load.m_slots = kSlots;
  load.m_ready = 3;
  load.m_slotsInUse = 24;
  load.m_ordered = 4; // the fourth has not registered yet
  Scaler scaler;
  BOOST_TEST(scaler.Decide({ load }, base::TimePoint()).empty());
  load.m_slotsInUse = 0;
  BOOST_TEST(
    scaler.Decide({ load }, base::TimePoint(base::Millis(11000))).empty());
}

// Guards against orders outside the bounds, also where they were narrowed.
BOOST_AUTO_TEST_CASE(OrdersStayWithinBounds)
{
  Replay replay({ { "a", Steady(1000), 2 }, { "b", Steady(0), 4 } });
  replay.RunTo(120);
  BOOST_TEST(replay[0].m_ready == kBounds.m_maxUpstreams);
  BOOST_TEST(replay[1].m_ready == kBounds.m_minUpstreams);
}

// Guards against reductions that cost more in orders than they save.
BOOST_AUTO_TEST_CASE(ExpensiveOrdersWaitUntilTheyPay)
{
  ServiceLoad load;
  load.m_service = "sorter";
  load.m_domain = "a";
  load.m_bounds = kBounds;
  load.m_slots = kSlots;
  load.m_ready = 3; // one more than needed
  Scaler scaler(ScalingCosts{ 1, 60 });
  base::TimePoint now;
  for (; now < base::TimePoint(base::Millis(60000)); now = now + kTick) {
    BOOST_REQUIRE(scaler.Decide({ load }, now).empty());
  }
  BOOST_TEST(scaler.Decide({ load }, now + base::Millis(1000)).size() == 1U);
}
