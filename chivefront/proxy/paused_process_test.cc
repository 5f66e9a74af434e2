// Tests of a process that is paused between a decision and its use.
#define BOOST_TEST_MODULE proxy_paused_process
#include <thread>

#include <boost/test/unit_test.hpp>

#include "chivefront/proxy/testing/entry_fixture.h"

using namespace chivefront;
using namespace chivefront::proxy::testing;

namespace {

constexpr std::chrono::milliseconds kPause{ 700 };

} // namespace

// Guards against a request that is sent to an upstream which has left the
// deployment meanwhile: the entry chose it, was paused while it connected, and
// sent without another look.
BOOST_FIXTURE_TEST_CASE(ChoiceIsMadeAgainAfterAPause, RunningEntry)
{
  m_near.AddScript(kGoodResponse);
  m_far.AddScript(kGoodResponse);
  const auto received = StartCall(MakeRequest("once"));
  m_context.restart();
  for (int i = 0; i < 1000 && !m_near.IsConnectedTo(); ++i) {
    m_context.run_one_for(std::chrono::milliseconds(10));
  }
  BOOST_REQUIRE(m_near.IsConnectedTo());
  BOOST_REQUIRE(m_near.m_requests.empty());
  std::this_thread::sleep_for(kPause);
  Unregister("one", m_near);
  RunFor(500);
  BOOST_TEST(m_near.m_requests.empty());
  BOOST_TEST(m_far.m_requests.size() == 1U);
  BOOST_TEST(Contains(*received, "good"));
}

// Guards against giving up after a pause although the choice still stands.
BOOST_FIXTURE_TEST_CASE(ChoiceThatStillStandsIsUsedAfterAPause, RunningEntry)
{
  m_near.AddScript(kGoodResponse);
  const auto received = StartCall(MakeRequest("once"));
  m_context.restart();
  for (int i = 0; i < 1000 && !m_near.IsConnectedTo(); ++i) {
    m_context.run_one_for(std::chrono::milliseconds(10));
  }
  std::this_thread::sleep_for(kPause);
  RunFor(500);
  BOOST_TEST(m_near.m_requests.size() == 1U);
  BOOST_TEST(Contains(*received, "good"));
}
