// Tests of the graceful shutdown.
// Promises: graceful
#define BOOST_TEST_MODULE shutdown
#include <boost/test/unit_test.hpp>

#include "chivefront/entry/test_bench.h"

using namespace chivefront;
using namespace chivefront::entry::bench;

// Guards against a shutdown that cuts an answer or loses its bill, refuses
// requests before the balancer could notice, or is hurried by a second signal.
BOOST_AUTO_TEST_CASE(RunningRequestsAndBillsFinish)
{
  EntryBench bench;
  HeldAnswers held;
  AgentStandIn agent(bench.m_loop.Context(),
                     "agent-1",
                     11,
                     [&](net::Link& aLink, wire::MessageT& aMessage) {
                       held.Take(aLink, aMessage);
                     });
  bench.m_control.Change([&](ControlStandIn& aControl) {
    aControl.m_upstreams = { agent.Upstream("e1", "small-1") };
    aControl.m_billsUp = false;
  });
  BOOST_REQUIRE(bench.WaitReady(1));
  const auto call = [&](bool aStream) {
    return std::async(std::launch::async, [&bench, aStream] {
      return bench.Call(EntryBench::Chat(aStream));
    });
  };
  auto running = call(true);
  held.WaitFor(1);
  std::promise<void> done;
  std::atomic<int> finished{ 0 };
  const auto finish = [&] {
    if (finished++ == 0) {
      done.set_value();
    }
  };
  bench.m_core.BeginShutdown(base::Millis(500), finish);
  bench.m_core.BeginShutdown(base::Millis(0), finish);
  BOOST_TEST(!bench.m_core.Ready());
  auto late = call(false); // the balancer has not noticed yet
  held.WaitFor(2);
  while (bench.m_events.Dump().find("accepting_stopped") == std::string::npos) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  held.Release();
  while (bench.m_core.Running().Size() > 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  BOOST_TEST(finished == 0); // the bills are still open
  bench.m_control.Change(
    [](ControlStandIn& aControl) { aControl.m_billsUp = true; });
  const auto streamed = running.get();
  const auto whole = late.get();
  BOOST_REQUIRE(streamed.ok());
  BOOST_TEST(streamed->m_body.find("[DONE]") != std::string::npos);
  BOOST_REQUIRE(whole.ok());
  BOOST_TEST(whole->m_status == 200);
  done.get_future().get();
  BOOST_TEST(finished == 1);
  BOOST_TEST(bench.m_control.BillLines() == 2U);
  bench.m_loop.Stop();
}
