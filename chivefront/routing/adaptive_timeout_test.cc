// The timeout follows what answers take under load.
#define BOOST_TEST_MODULE routing_adaptive_timeout
#include <boost/test/unit_test.hpp>

#include "chivefront/routing/adaptive_timeout.h"
#include "chivefront/routing/silence.h"

using namespace chivefront;
using namespace chivefront::routing;
using base::Millis;

namespace {

constexpr base::TimePoint kNow{ Millis(100000) };

} // namespace

// Guards against a burst in which all answers take two seconds and each request
// is sent to three upstreams in turn, because it leaves each after half a
// second and waits in a new queue.
BOOST_AUTO_TEST_CASE(TimeoutGrowsWithTheLatencyOfABurst)
{
  AdaptiveTimeout timeout;
  BOOST_TEST(timeout.Value().Count() == 0);
  for (int i = 0; i < 100; ++i) {
    timeout.Record(Millis(100 + i % 10));
  }
  BOOST_TEST(timeout.Value().Count() < 200);
  // The requests that were left early teach that answers take longer.
  int left = 0;
  while (timeout.Value() < Millis(2000) && left < 100) {
    ++left;
    timeout.RecordAtLeast(std::max(Millis(500), timeout.Value()));
  }
  BOOST_TEST(left < 20);
}

// Guards against a timeout that stays long after a burst, so that requests at
// an upstream that hangs wait for it.
BOOST_AUTO_TEST_CASE(TimeoutShrinksAfterABurst)
{
  AdaptiveTimeout timeout;
  for (int i = 0; i < 100; ++i) {
    timeout.Record(Millis(2000));
  }
  for (int i = 0; i < 100; ++i) {
    timeout.Record(Millis(100));
  }
  BOOST_TEST(timeout.Value().Count() < 500);
}

// Guards against requests that are left soon at upstreams that hang and that
// would lower the timeout of all others.
BOOST_AUTO_TEST_CASE(EndedWaitsDoNotLowerTheTimeout)
{
  AdaptiveTimeout timeout;
  timeout.Record(Millis(1000));
  const Millis before = timeout.Value();
  timeout.RecordAtLeast(Millis(400));
  BOOST_TEST(timeout.Value().Count() == before.Count());
}

// Guards against streams that leave an upstream whose streams pause while it
// reads long prompts, as all upstreams do at the time.
BOOST_AUTO_TEST_CASE(UsualPausesAreNoStall)
{
  constexpr Millis kGoal{ 1000 };
  constexpr Millis kUsualPause{ 900 };
  UpstreamEstimate estimate;
  estimate.OnStreamBegun(kNow);
  const base::TimePoint later = kNow + Millis(800);
  BOOST_TEST(IsStreamStalled(estimate, kGoal, kNow, later));
  BOOST_TEST(!IsStreamStalled(estimate, kGoal, kNow, later, kUsualPause));
  BOOST_TEST(
    IsStreamStalled(estimate, kGoal, kNow, later + Millis(200), kUsualPause));
  BOOST_TEST(IsHeadOverdue(estimate, Millis(1400), kNow, later));
  BOOST_TEST(!IsHeadOverdue(estimate, Millis(1400), kNow, later, kUsualPause));
}
