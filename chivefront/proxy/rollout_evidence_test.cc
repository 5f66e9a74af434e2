// What an entry reports of a version that is being rolled out.
#define BOOST_TEST_MODULE rollout_evidence
#include <boost/test/unit_test.hpp>

#include "chivefront/proxy/testing/entry_fixture.h"

using namespace chivefront;
using namespace chivefront::proxy::testing;

namespace {

// Both upstreams run the new version, or only the near one.
struct RolloutFixture : EntryFixture
{
  explicit RolloutFixture(const std::string& aFarVersion = "v1",
                          base::Millis aTimeout = base::Millis(2000))
    : EntryFixture(aTimeout)
  {
    m_nearVersion = "v2";
    m_farVersion = aFarVersion;
    Start();
    Configure();
  }
};

} // namespace

// Guards against a slow version that is completed: an attempt that was left
// because its upstream was silent counted for neither version, so the slowest
// answers were missing when the version was judged.
BOOST_AUTO_TEST_CASE(AttemptLeftAsSilentCountsAgainstTheVersion)
{
  RolloutFixture entry("v2");
  entry.m_near.AddScript(kHoldConnection);
  entry.m_far.AddScript(kGoodResponse);
  (void)entry.Call(MakeRequest("plain"), 2500);
  BOOST_TEST(entry.NewVersionEvidence().bad == 1U);
  BOOST_TEST(entry.NewVersionEvidence().good == 1U);
}

// Guards against the same with a version that lets requests reach their
// deadline.
BOOST_FIXTURE_TEST_CASE(DeadlineCountsAgainstTheVersion, RolloutFixture)
{
  m_near.AddScript(kHoldConnection);
  const std::string answer = Call(MakeRequest("plain"), 2500);
  BOOST_TEST(Contains(answer, "HTTP/1.1 504 "));
  BOOST_TEST(NewVersionEvidence().bad == 1U);
}

// Guards against a version whose upstreams crash before they answer and that
// is completed all the same.
BOOST_FIXTURE_TEST_CASE(LostUpstreamCountsAgainstTheVersion, RolloutFixture)
{
  m_near.AddScript(kCloseConnection);
  m_far.AddScript(kGoodResponse);
  (void)Call(MakeRequest("plain"));
  BOOST_TEST(NewVersionEvidence().bad == 1U);
}

BOOST_FIXTURE_TEST_CASE(WholeAnswerCountsForTheVersion, RolloutFixture)
{
  m_near.AddScript(kGoodResponse);
  (void)Call(MakeRequest("plain"));
  BOOST_TEST(NewVersionEvidence().good == 1U);
  BOOST_TEST(NewVersionEvidence().bad == 0U);
}

// Guards against a slow version that is completed because its streams are still
// running when it is judged: only answers that had ended were counted.
BOOST_AUTO_TEST_CASE(StreamCountsBeforeItsEnd)
{
  RolloutFixture entry("v1", base::Millis(6000));
  const std::string pause = kPauseWriting;
  std::string events = kStreamHead;
  for (int i = 1; i <= 9; ++i) {
    const std::string event =
      Chunk("id: " + std::to_string(i) + "\ndata: a\n\n");
    events += event + pause;
  }
  entry.m_near.AddScript(events + kHoldConnection);
  (void)entry.Call(MakeRequest("stream", "Model: any\r\n"), 2400);
  BOOST_TEST(entry.NewVersionEvidence().good == 1U);
}
