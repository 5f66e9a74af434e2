// Request limits and permits between entries and control processes.
#define BOOST_TEST_MODULE site_rate_coordinator
#include <boost/test/unit_test.hpp>

#include "chivefront/site/rate_coordinator.h"

using namespace chivefront;
using namespace chivefront::site;

namespace {

constexpr routing::PermitKey kUpstream = 7;

base::TimePoint
At(int64_t aMillis)
{
  return base::TimePoint(base::Millis(aMillis));
}

wire::WatchRequestT
MakeRequest(const std::string& aHolder, double aPerSecond, uint32_t aWanted)
{
  wire::WatchRequestT request;
  request.holder = aHolder;
  const routing::RateBound bound{ kUpstream, aPerSecond, 100 };
  request.permits = ToWire({ { bound, 0, aWanted } });
  return request;
}

uint32_t
GrantedCount(const wire::WatchReplyT& aReply)
{
  return aReply.permits.empty() ? 0 : aReply.permits.front()->count;
}

} // namespace

// Guards against two control processes that both issue permits: only the leader
// does.
BOOST_AUTO_TEST_CASE(OnlyTheLeaderIssuesPermits)
{
  RateCoordinator coordinator;
  wire::WatchReplyT follower;
  coordinator.Answer(MakeRequest("a", 10, 1), false, At(1000), follower);
  BOOST_TEST(GrantedCount(follower) == 0U);
  wire::WatchReplyT leader;
  coordinator.Answer(MakeRequest("a", 10, 1), true, At(1000), leader);
  BOOST_TEST(GrantedCount(leader) == 1U);
}

// Guards against permits at the rate of an outdated limit, and against entries
// that do not learn of a limit until they hear it themselves.
BOOST_AUTO_TEST_CASE(NewestLimitIsPassedOnAndBounds)
{
  RateCoordinator coordinator;
  wire::WatchRequestT request = MakeRequest("a", 1, 1);
  request.request_limits = ToWire({ { kUpstream, 2.0, At(900) } }, At(1000));
  wire::WatchReplyT ignored;
  coordinator.Answer(request, true, At(1000), ignored);
  wire::WatchReplyT reply;
  coordinator.Answer(MakeRequest("b", 1000, 100), true, At(2000), reply);
  const auto limits = FromWire(reply.request_limits, At(2000));
  BOOST_REQUIRE(limits.size() == 1U);
  BOOST_TEST(limits.front().m_perSecond.value() == 2.0);
  BOOST_TEST(limits.front().m_heardAt.SinceBoot().Count() == 900);
  BOOST_TEST(GrantedCount(reply) <= 3U);
}

// Guards against a leader that issues permits for a whole bound while entries
// without control use their fallback share of it.
BOOST_AUTO_TEST_CASE(ShareOfAbsentEntriesIsNotIssued)
{
  constexpr int kSeconds = 20;
  constexpr double kPerSecond = 10;
  const auto countGranted = [](uint32_t aLiveEntries) {
    RateCoordinator coordinator;
    uint32_t granted = 0;
    for (int64_t at = 0; at < kSeconds * 1000; at += 100) {
      wire::WatchRequestT request = MakeRequest("a#1", kPerSecond, 10);
      request.live_entries = aLiveEntries;
      wire::WatchReplyT reply;
      coordinator.Answer(request, true, At(at), reply);
      granted += GrantedCount(reply);
    }
    return granted;
  };
  BOOST_TEST(countGranted(1) > 0.95 * kPerSecond * kSeconds);
  BOOST_TEST(countGranted(30) < 0.8 * kPerSecond * kSeconds);
}

// Guards against a restarted entry that counts twice, once as absent.
BOOST_AUTO_TEST_CASE(RestartedEntryIsNotAbsent)
{
  RateCoordinator coordinator;
  uint32_t granted = 0;
  for (int64_t at = 0; at < 20000; at += 100) {
    wire::WatchReplyT reply;
    const std::string holder = "a#" + std::to_string(at / 2000);
    coordinator.Answer(MakeRequest(holder, 10, 10), true, At(at), reply);
    granted += GrantedCount(reply);
  }
  BOOST_TEST(granted > 190U);
}

// Guards against bounds and limits from another release that are no numbers.
BOOST_AUTO_TEST_CASE(UnusableRowsAreLeftOut)
{
  const double infinity = std::numeric_limits<double>::infinity();
  const double nan = std::numeric_limits<double>::quiet_NaN();
  for (const double value : { -1.0, infinity, nan }) {
    wire::WatchRequestT request = MakeRequest("a", value, 1);
    request.request_limits = ToWire({ { kUpstream, value, At(1) } }, At(2));
    BOOST_TEST(FromWire(request.permits).empty());
    BOOST_TEST(FromWire(request.request_limits, At(2)).empty());
  }
}
