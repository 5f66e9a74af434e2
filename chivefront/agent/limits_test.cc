// Tests limits, caller classes, losses and shutdown with fake engines.
// Promises: cold-start, not-run, leaving, graceful
#define BOOST_TEST_MODULE limits
#include <boost/test/unit_test.hpp>

#include "chivefront/agent/testing/agent_fixture.h"
#include "fakes/engine.h"

using namespace chivefront;
using agent::testing::AgentFixture;
using agent::testing::ReceivedAnswer;

namespace {

struct ColdEngineFixture
{
  AgentFixture m_fixture;
  fakes::FakeEngine& m_engine =
    m_fixture.AddFake<fakes::FakeEngine>(Options("CRASH"));

  static fakes::EngineOptions Options(const std::string& aCrashMarker)
  {
    fakes::EngineOptions options;
    options.m_limits.m_coldMaxHeld = 1;
    options.m_limits.m_coldRequests = 4;
    options.m_limits.m_maxHeld = 8;
    options.m_crashMarker = aCrashMarker;
    return options;
  }

  std::vector<wire::ReportLossT> Losses()
  {
    std::vector<wire::ReportLossT> losses;
    for (const auto& request : m_fixture.Control().LedgerRequests()) {
      if (const auto* loss = request.command.AsReportLoss()) {
        losses.push_back(*loss);
      }
    }
    return losses;
  }
};

bool
HasChunks(const ReceivedAnswer& aReceived)
{
  return aReceived.m_chunks > 0;
}

} // namespace

// Guards against more load on a cold engine than its limit, and against
// rejected requests that ran after all.
BOOST_FIXTURE_TEST_CASE(ColdEngineIsNeverOverloaded, ColdEngineFixture)
{
  constexpr int kRequests = 60;
  for (int i = 0; i < kRequests; ++i) {
    m_fixture.Send(
      AgentFixture::ChatDispatch("r" + std::to_string(i), "engine-1", 10));
  }
  int done = 0;
  for (int i = 0; i < kRequests; ++i) {
    const std::string id = "r" + std::to_string(i);
    const auto received = m_fixture.WaitEnd(id);
    const bool ran =
      m_engine.History().find("\"" + id + "\":1") != std::string::npos;
    BOOST_TEST(ran == !received.m_rejected.has_value(), id);
    done += received.m_end.has_value() ? 1 : 0;
  }
  BOOST_TEST(done >= 17); // at least one slot and a queue of 16
  BOOST_TEST(done < kRequests);
  BOOST_TEST(m_engine.History().find("\"exceeded\":false") !=
             std::string::npos);
}

// Guards against a slot that is given to the next request while the engine
// still works on one whose answer missed its deadline.
BOOST_FIXTURE_TEST_CASE(LateRequestLeavesTheEngineFirst, ColdEngineFixture)
{
  auto late = AgentFixture::ChatDispatch("late", "engine-1");
  late.stream = false;
  late.body = R"({"max_tokens":100000,"messages":[]})";
  late.deadline_ms = 300;
  m_fixture.Send(std::move(late));
  const auto received = m_fixture.WaitEnd("late");
  BOOST_REQUIRE(received.m_end.has_value());
  BOOST_TEST((received.m_end->outcome == wire::Outcome::Unknown));
  m_fixture.Send(AgentFixture::ChatDispatch("next", "engine-1", 1));
  BOOST_TEST(m_fixture.WaitEnd("next").m_end.has_value());
  BOOST_TEST(m_engine.History().find("\"exceeded\":false") !=
             std::string::npos);
  BOOST_TEST(m_engine.History().find("\"canceled\":1") != std::string::npos);
}

// Guards against requests of the free class that fill the queue and keep out
// paying ones, and against a team of the free class that claims to be paying in
// its dispatch.
BOOST_FIXTURE_TEST_CASE(PayingDisplacesFree, ColdEngineFixture)
{
  m_fixture.Send(AgentFixture::ChatDispatch("running", "engine-1", 100));
  m_fixture.WaitFor("running", HasChunks);
  for (int i = 0; i < 16; ++i) {
    auto dispatch =
      AgentFixture::ChatDispatch("f" + std::to_string(i), "engine-1", 1);
    dispatch.team = "guest";
    m_fixture.Send(std::move(dispatch));
  }
  m_fixture.Send(AgentFixture::ChatDispatch("paying", "engine-1", 1));
  const auto displaced = m_fixture.WaitEnd("f15");
  BOOST_REQUIRE(displaced.m_rejected.has_value());
  BOOST_TEST(displaced.m_rejected->kind == "overloaded");
  BOOST_TEST(m_fixture.WaitEnd("paying").m_end.has_value());
  BOOST_TEST(m_engine.History().find("[\"running\",\"paying\"") !=
             std::string::npos);
}

// Guards against a crash that is reported without its requests or more than
// once, and against new work for an upstream that is lost.
BOOST_FIXTURE_TEST_CASE(CrashIsReportedOnceWithItsSuspects, ColdEngineFixture)
{
  m_fixture.Send(
    AgentFixture::ChatDispatch("bad", "engine-1", 10, "please CRASH"));
  const auto received = m_fixture.WaitEnd("bad");
  BOOST_REQUIRE(received.m_end.has_value());
  BOOST_TEST((received.m_end->outcome == wire::Outcome::Unknown));
  BOOST_TEST(received.m_end->upstream_lost);
  BOOST_TEST(AgentFixture::Eventually([&] { return !Losses().empty(); }));
  const auto losses = Losses();
  BOOST_REQUIRE(losses.size() == 1U);
  BOOST_TEST(losses[0].fingerprints ==
             std::vector<uint64_t>{ base::StableHash("bad") });
  m_fixture.Send(AgentFixture::ChatDispatch("next", "engine-1", 1));
  const auto next = m_fixture.WaitEnd("next");
  BOOST_REQUIRE(next.m_rejected.has_value());
  BOOST_TEST(next.m_rejected->kind == "no_upstream");
}

// Guards against a frozen engine whose requests never end: the agent must probe
// it once its announcements stop, and report it lost.
BOOST_FIXTURE_TEST_CASE(FrozenEngineIsLost, ColdEngineFixture)
{
  m_fixture.Send(AgentFixture::ChatDispatch("r1", "engine-1", 100000));
  m_fixture.WaitFor("r1", HasChunks);
  m_fixture.Http(
    m_engine.BoundEndpoint(), "POST", "/fake/behave", R"({"frozen":true})");
  const auto received = m_fixture.WaitEnd("r1");
  BOOST_REQUIRE(received.m_end.has_value());
  BOOST_TEST(received.m_end->kind == "upstream_lost");
  BOOST_TEST(AgentFixture::Eventually([&] { return Losses().size() == 1; }));
}

// Guards against new work for an upstream that announced that it is leaving,
// and against its running work being cancelled.
BOOST_FIXTURE_TEST_CASE(LeavingUpstreamFinishesWhatRuns, ColdEngineFixture)
{
  m_fixture.Send(AgentFixture::ChatDispatch("r1", "engine-1", 100));
  m_fixture.WaitFor("r1", HasChunks);
  m_fixture.Http(m_fixture.AgentUnderTest().UpstreamEndpoint(),
                 "POST",
                 "/v1/end",
                 R"({"name":"engine-1"})");
  m_fixture.Send(AgentFixture::ChatDispatch("r2", "engine-1", 1));
  const auto refused = m_fixture.WaitEnd("r2");
  BOOST_REQUIRE(refused.m_rejected.has_value());
  BOOST_TEST(refused.m_rejected->kind == "shutting_down");
  const auto received = m_fixture.WaitEnd("r1");
  BOOST_REQUIRE(received.m_end.has_value());
  BOOST_TEST((received.m_end->outcome == wire::Outcome::Done));
  BOOST_TEST(AgentFixture::Eventually([&] {
    const auto announce = m_fixture.Control().LastAnnounce();
    return !announce.upstreams.empty() && announce.upstreams[0]->leaving;
  }));
}

// Guards against a shutdown that cancels a running answer or ends before its
// result is settled.
BOOST_FIXTURE_TEST_CASE(DrainWaitsForRunningAndUnsettledWork, ColdEngineFixture)
{
  m_fixture.SetAutoSettle(false);
  m_fixture.Send(AgentFixture::ChatDispatch("r1", "engine-1", 100));
  m_fixture.WaitFor("r1", HasChunks);
  std::atomic<bool> drained{ false };
  m_fixture.AgentUnderTest().Drain([&] { drained = true; });
  m_fixture.Send(AgentFixture::ChatDispatch("r2", "engine-1", 1));
  BOOST_TEST(m_fixture.WaitEnd("r2").m_rejected.has_value());
  const auto received = m_fixture.WaitEnd("r1");
  BOOST_REQUIRE(received.m_end.has_value());
  BOOST_TEST((received.m_end->outcome == wire::Outcome::Done));
  // Longer than the time between the last result and the end of the process.
  std::this_thread::sleep_for(std::chrono::milliseconds(1500));
  BOOST_TEST(!drained);
  wire::SettledT settled;
  settled.request_id = "r1";
  m_fixture.Send(settled);
  BOOST_TEST(AgentFixture::Eventually([&] { return drained.load(); }));
}
