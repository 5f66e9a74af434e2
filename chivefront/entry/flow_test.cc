// Tests of whole requests against stand-ins for control and agents.
// Promises: whole-answer, not-run, at-most-once, billed-once, session
#define BOOST_TEST_MODULE flow
#include <boost/test/unit_test.hpp>

#include "chivefront/entry/test_bench.h"

using namespace chivefront;
using namespace chivefront::entry::bench;

namespace {

bool
Contains(const std::string& aText, std::string_view aPart)
{
  return aText.find(aPart) != std::string::npos;
}

// One agent with a model upstream and a booking upstream.
struct OneAgent
{
  explicit OneAgent(AgentStandIn::Behaviour aBehaviour,
                    const entry::EntryLimits& aLimits = {})
    : m_bench(aLimits)
    , m_agent(m_bench.m_loop.Context(), "agent-1", 11, std::move(aBehaviour))
  {
    m_bench.m_control.Change([&](ControlStandIn& aControl) {
      aControl.m_upstreams = { m_agent.Upstream("e1", "small-1"),
                               m_agent.Upstream("b1", "", "booking") };
    });
    BOOST_REQUIRE(m_bench.WaitReady(1));
  }
  ~OneAgent() { m_bench.m_loop.Stop(); }

  EntryBench m_bench;
  AgentStandIn m_agent;
};

void
AnswerDispatch(net::Link& aLink, wire::MessageT& aMessage)
{
  if (const auto* dispatch = aMessage.body.AsDispatch()) {
    AnswerWhole(aLink, *dispatch);
  }
}

} // namespace

// Guards against an end marker before the bill is durable.
BOOST_AUTO_TEST_CASE(StreamedAnswerIsWholeAndBilled)
{
  OneAgent world(AnswerDispatch);
  const auto answer = world.m_bench.Call(EntryBench::Chat(true));
  BOOST_REQUIRE(answer.ok());
  BOOST_TEST(answer->m_status == 200);
  BOOST_TEST(
    answer->m_body.find("data: {\"part\":1}\n\ndata: {\"part\":2}\n\n") == 0U);
  BOOST_TEST(Contains(answer->m_body, "\"cost_micros\":5"));
  BOOST_TEST(Contains(answer->m_body, "data: [DONE]\n\n"));
  BOOST_TEST(world.m_bench.m_control.BillLines() == 1U);
}

BOOST_AUTO_TEST_CASE(WholeAnswerCarriesItsCost)
{
  OneAgent world(AnswerDispatch);
  const auto answer = world.m_bench.Call(EntryBench::Chat(false));
  BOOST_REQUIRE(answer.ok());
  BOOST_TEST(answer->m_status == 200);
  BOOST_TEST(net::FindHeader(answer->m_headers, "X-Chivefront-Version") ==
             "small-1");
  BOOST_TEST(net::FindHeader(answer->m_headers, "X-Chivefront-Cost-Micros") ==
             "5");
  BOOST_TEST(Contains(answer->m_body, "\"part\":2"));
}

// Guards against a second execution of a call that must not be repeated.
BOOST_AUTO_TEST_CASE(RepeatedKeyGetsTheStoredResult)
{
  OneAgent world(AnswerDispatch);
  const auto first = world.m_bench.Call(EntryBench::Booking("key-1"));
  const auto second = world.m_bench.Call(EntryBench::Booking("key-1"));
  BOOST_REQUIRE(first.ok());
  BOOST_REQUIRE(second.ok());
  BOOST_TEST(first->m_status == 200);
  BOOST_TEST(first->m_body == second->m_body);
  BOOST_TEST(world.m_agent.Count(wire::Body::Dispatch) == 1U);
}
