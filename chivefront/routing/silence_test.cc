// Detection of stalled streams and overdue answer heads.
#define BOOST_TEST_MODULE routing_silence
#include <boost/test/unit_test.hpp>

#include "chivefront/routing/silence.h"

using namespace chivefront;
using namespace chivefront::routing;
using base::Millis;

namespace {

constexpr base::TimePoint kNow{ Millis(100000) };
constexpr Millis kGoal{ 1000 };

} // namespace

// Guards against streams that stall when upstreams lose their network; without
// the timeout they stalled for over three seconds (salins-booking scale-1).
BOOST_AUTO_TEST_CASE(StreamOfSilentUpstreamStallsWithinItsPauseGoal)
{
  UpstreamEstimate estimate;
  estimate.OnStreamBegun(kNow);
  BOOST_TEST(!IsStreamStalled(estimate, kGoal, kNow, kNow + Millis(499)));
  BOOST_TEST(IsStreamStalled(estimate, kGoal, kNow, kNow + Millis(500)));
}

// Guards against abandoning a stream that its upstream only postponed: when an
// engine is short of memory, it pauses the newest stream for about a second.
BOOST_AUTO_TEST_CASE(StreamOfActiveUpstreamStallsLater)
{
  UpstreamEstimate estimate;
  estimate.OnStreamBegun(kNow);
  estimate.OnBytesReceived(kNow + Millis(900));
  BOOST_TEST(!IsStreamStalled(estimate, kGoal, kNow, kNow + Millis(1000)));
  estimate.OnBytesReceived(kNow + Millis(1900));
  BOOST_TEST(IsStreamStalled(estimate, kGoal, kNow, kNow + Millis(2000)));
}

// Guards against requests that wait for answer heads from an upstream whose
// streams have stalled.
BOOST_AUTO_TEST_CASE(HeadsOfSilentUpstreamAreOverdueEarly)
{
  UpstreamEstimate estimate;
  const Millis headTimeout(1400);
  BOOST_TEST(!IsHeadOverdue(estimate, headTimeout, kNow, kNow + Millis(1000)));
  estimate.OnStreamBegun(kNow);
  BOOST_TEST(IsHeadOverdue(estimate, headTimeout, kNow, kNow + Millis(1000)));
  // The upstream reads long prompts, then sends again.
  estimate.OnBytesReceived(kNow + Millis(900));
  BOOST_TEST(!IsHeadOverdue(estimate, headTimeout, kNow, kNow + Millis(1000)));
  BOOST_TEST(IsHeadOverdue(estimate, headTimeout, kNow, kNow + Millis(1400)));
  estimate.OnStreamEnded();
  BOOST_TEST(!estimate.IsSilent(kNow + Millis(5000)));
}
