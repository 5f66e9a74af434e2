// The timeout follows the pauses that are usual under load.
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

// Load: the upstreams begin to read long prompts beside their streams. Guards
// against a timeout that stays below the pauses which are usual by then.
BOOST_AUTO_TEST_CASE(TimeoutGrowsWithThePausesOfABurst)
{
  AdaptiveTimeout timeout;
  BOOST_TEST(timeout.Value().Count() == 0);
  for (int i = 0; i < 100; ++i) {
    timeout.Record(Millis(100 + i % 10));
  }
  BOOST_TEST(timeout.Value().Count() < 200);
  for (int i = 0; i < 20; ++i) {
    timeout.Record(Millis(800));
  }
  BOOST_TEST(timeout.Value().Count() > 800);
}

// Guards against a timeout that stays long after a burst, so that the streams
// of an upstream that hangs wait for it.
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
