// When requests leave an upstream that sends nothing.
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

// Pattern: upstreams lose their network in the middle of streams; without this
// the streams stood for over three seconds (salins-booking scale-1).
BOOST_AUTO_TEST_CASE(StreamLeavesASilentUpstreamWithinItsPauseGoal)
{
  UpstreamEstimate estimate;
  estimate.OnStreamBegun(kNow);
  BOOST_TEST(!IsStreamStalled(estimate, kGoal, kNow, kNow + Millis(499)));
  BOOST_TEST(IsStreamStalled(estimate, kGoal, kNow, kNow + Millis(500)));
}

// Pattern: memory is short and the newest stream is put back for a second.
BOOST_AUTO_TEST_CASE(StreamWaitsForAnUpstreamThatSendsToOthers)
{
  UpstreamEstimate estimate;
  estimate.OnStreamBegun(kNow);
  estimate.OnBytesReceived(kNow + Millis(900));
  BOOST_TEST(!IsStreamStalled(estimate, kGoal, kNow, kNow + Millis(1000)));
  estimate.OnBytesReceived(kNow + Millis(1900));
  BOOST_TEST(IsStreamStalled(estimate, kGoal, kNow, kNow + Millis(2000)));
}

// Pattern: requests wait for heads at an upstream whose streams have stopped.
BOOST_AUTO_TEST_CASE(HeadsAreNotAwaitedFromASilentUpstream)
{
  UpstreamEstimate estimate;
  const Millis patience(1400);
  BOOST_TEST(!IsHeadOverdue(estimate, patience, kNow, kNow + Millis(1000)));
  estimate.OnStreamBegun(kNow);
  BOOST_TEST(IsHeadOverdue(estimate, patience, kNow, kNow + Millis(1000)));
  estimate.OnBytesReceived(kNow +
                           Millis(900)); // it reads long prompts and goes on
  BOOST_TEST(!IsHeadOverdue(estimate, patience, kNow, kNow + Millis(1000)));
  BOOST_TEST(IsHeadOverdue(estimate, patience, kNow, kNow + Millis(1400)));
  estimate.OnStreamEnded();
  BOOST_TEST(!estimate.IsSilent(kNow + Millis(5000)));
}
