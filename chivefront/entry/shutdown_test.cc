// Test of the graceful shutdown of an entry.
// Promises: graceful
#define BOOST_TEST_MODULE shutdown
#include <boost/test/unit_test.hpp>

#include "chivefront/entry/test_fixture.h"

using namespace chivefront;
using namespace chivefront::entry::testing;

// Guards against a shutdown that cuts off an answer or loses its bill, that
// refuses requests before the load balancer could notice it, or that a second
// signal shortens.
BOOST_AUTO_TEST_CASE(RunningRequestsAndBillsFinish)
{
  EntryFixture fixture;
  DelayedAnswers held;
  FakeAgent agent(fixture.m_loop.Context(),
                  "agent-1",
                  11,
                  [&](net::Link& aLink, wire::MessageT& aMessage) {
                    held.OnMessage(aLink, aMessage);
                  });
  fixture.m_control.Change([&](FakeControl& aControl) {
    aControl.m_upstreams = { agent.Upstream("e1", "small-1") };
    aControl.m_acceptsBills = false;
  });
  BOOST_REQUIRE(fixture.WaitReady(1));
  const auto call = [&](bool aStream) {
    return std::async(std::launch::async, [&fixture, aStream] {
      return fixture.Call(EntryFixture::Chat(aStream));
    });
  };
  auto running = call(true);
  held.WaitForDispatches(1);
  std::promise<void> done;
  std::atomic<int> finished{ 0 };
  const auto finish = [&] {
    if (finished++ == 0) {
      done.set_value();
    }
  };
  fixture.m_core.BeginShutdown(base::Millis(500), finish);
  fixture.m_core.BeginShutdown(base::Millis(0), finish);
  BOOST_TEST(!fixture.m_core.Ready());
  auto late = call(false); // still accepted
  held.WaitForDispatches(2);
  while (fixture.m_events.Dump().find("accepting_stopped") ==
         std::string::npos) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  held.ReleaseAll();
  while (fixture.m_core.Running().Size() > 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  BOOST_TEST(finished == 0); // the bills are not confirmed yet
  fixture.m_control.Change(
    [](FakeControl& aControl) { aControl.m_acceptsBills = true; });
  const auto streamed = running.get();
  const auto whole = late.get();
  BOOST_REQUIRE(streamed.ok());
  BOOST_TEST(streamed->m_body.find("[DONE]") != std::string::npos);
  BOOST_REQUIRE(whole.ok());
  BOOST_TEST(whole->m_status == 200);
  done.get_future().get();
  BOOST_TEST(finished == 1);
  BOOST_TEST(fixture.m_control.BillLines() == 2U);
  fixture.m_loop.Stop();
}
