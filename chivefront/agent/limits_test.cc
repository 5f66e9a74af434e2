// Tests of limits, classes, losses and shutdown against fake engines.
// Promises: cold-start, not-run, leaving, graceful
#define BOOST_TEST_MODULE limits
#include <boost/test/unit_test.hpp>

#include "chivefront/agent/testing/bench.h"
#include "fakes/engine.h"

using namespace chivefront;
using agent::testing::Bench;
using agent::testing::Received;

namespace {

struct WithColdEngine
{
  Bench m_bench;
  fakes::FakeEngine& m_engine =
    m_bench.Add<fakes::FakeEngine>(Options("CRASH"));

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
    for (const auto& request : m_bench.Control().LedgerRequests()) {
      if (const auto* loss = request.command.AsReportLoss()) {
        losses.push_back(*loss);
      }
    }
    return losses;
  }
};

bool
Runs(const Received& aReceived)
{
  return aReceived.m_chunks > 0;
}

} // namespace

// Guards against more load on a cold engine than it can handle, and against
// refusals that were run after all.
BOOST_FIXTURE_TEST_CASE(ColdEngineIsNeverOverloaded, WithColdEngine)
{
  constexpr int kRequests = 60;
  for (int i = 0; i < kRequests; ++i) {
    m_bench.Send(Bench::Chat("r" + std::to_string(i), "engine-1", 10));
  }
  int done = 0;
  for (int i = 0; i < kRequests; ++i) {
    const std::string id = "r" + std::to_string(i);
    const auto received = m_bench.WaitEnd(id);
    const bool ran =
      m_engine.History().find("\"" + id + "\":1") != std::string::npos;
    BOOST_TEST(ran == !received.m_rejected.has_value(), id);
    done += received.m_end.has_value() ? 1 : 0;
  }
  BOOST_TEST(done >= 17); // one slot and a queue of 16
  BOOST_TEST(done < kRequests);
  BOOST_TEST(m_engine.History().find("\"exceeded\":false") !=
             std::string::npos);
}

// Guards against a slot that is given away while the engine still works on a
// request whose answer came too late.
BOOST_FIXTURE_TEST_CASE(LateRequestLeavesTheEngineFirst, WithColdEngine)
{
  auto late = Bench::Chat("late", "engine-1");
  late.stream = false;
  late.body = R"({"max_tokens":100000,"messages":[]})";
  late.deadline_ms = 300;
  m_bench.Send(std::move(late));
  const auto received = m_bench.WaitEnd("late");
  BOOST_REQUIRE(received.m_end.has_value());
  BOOST_TEST((received.m_end->outcome == wire::Outcome::Unknown));
  m_bench.Send(Bench::Chat("next", "engine-1", 1));
  BOOST_TEST(m_bench.WaitEnd("next").m_end.has_value());
  BOOST_TEST(m_engine.History().find("\"exceeded\":false") !=
             std::string::npos);
  BOOST_TEST(m_engine.History().find("\"canceled\":1") != std::string::npos);
}

// Guards against free requests that hold the queue against paying ones, and
// against a team that calls itself paying.
BOOST_FIXTURE_TEST_CASE(PayingDisplacesFree, WithColdEngine)
{
  m_bench.Send(Bench::Chat("running", "engine-1", 100));
  m_bench.WaitFor("running", Runs);
  for (int i = 0; i < 16; ++i) {
    auto dispatch = Bench::Chat("f" + std::to_string(i), "engine-1", 1);
    dispatch.team = "guest";
    m_bench.Send(std::move(dispatch));
  }
  m_bench.Send(Bench::Chat("paying", "engine-1", 1));
  const auto displaced = m_bench.WaitEnd("f15");
  BOOST_REQUIRE(displaced.m_rejected.has_value());
  BOOST_TEST(displaced.m_rejected->kind == "overloaded");
  BOOST_TEST(m_bench.WaitEnd("paying").m_end.has_value());
  BOOST_TEST(m_engine.History().find("[\"running\",\"paying\"") !=
             std::string::npos);
}

// Guards against a crash that nobody is blamed for, or that is reported more
// than once, and against new work for an upstream that is gone.
BOOST_FIXTURE_TEST_CASE(CrashIsReportedOnceWithItsSuspects, WithColdEngine)
{
  m_bench.Send(Bench::Chat("bad", "engine-1", 10, "please CRASH"));
  const auto received = m_bench.WaitEnd("bad");
  BOOST_REQUIRE(received.m_end.has_value());
  BOOST_TEST((received.m_end->outcome == wire::Outcome::Unknown));
  BOOST_TEST(received.m_end->upstream_lost);
  BOOST_TEST(Bench::Eventually([&] { return !Losses().empty(); }));
  const auto losses = Losses();
  BOOST_REQUIRE(losses.size() == 1U);
  BOOST_TEST(losses[0].fingerprints ==
             std::vector<uint64_t>{ base::StableHash("bad") });
  m_bench.Send(Bench::Chat("next", "engine-1", 1));
  const auto next = m_bench.WaitEnd("next");
  BOOST_REQUIRE(next.m_rejected.has_value());
  BOOST_TEST(next.m_rejected->kind == "no_upstream");
}

// Guards against a frozen engine that holds its requests without an end.
BOOST_FIXTURE_TEST_CASE(FrozenEngineIsLost, WithColdEngine)
{
  m_bench.Send(Bench::Chat("r1", "engine-1", 100000));
  m_bench.WaitFor("r1", Runs);
  m_bench.Http(m_engine.Bound(), "POST", "/fake/behave", R"({"frozen":true})");
  const auto received = m_bench.WaitEnd("r1");
  BOOST_REQUIRE(received.m_end.has_value());
  BOOST_TEST(received.m_end->kind == "upstream_lost");
  BOOST_TEST(Bench::Eventually([&] { return Losses().size() == 1; }));
}

// Guards against new work for an upstream that said it is leaving, and
// against its running work being cut.
BOOST_FIXTURE_TEST_CASE(LeavingUpstreamFinishesWhatRuns, WithColdEngine)
{
  m_bench.Send(Bench::Chat("r1", "engine-1", 100));
  m_bench.WaitFor("r1", Runs);
  m_bench.Http(m_bench.Subject().UpstreamEndpoint(),
               "POST",
               "/v1/end",
               R"({"name":"engine-1"})");
  m_bench.Send(Bench::Chat("r2", "engine-1", 1));
  const auto refused = m_bench.WaitEnd("r2");
  BOOST_REQUIRE(refused.m_rejected.has_value());
  BOOST_TEST(refused.m_rejected->kind == "shutting_down");
  const auto received = m_bench.WaitEnd("r1");
  BOOST_REQUIRE(received.m_end.has_value());
  BOOST_TEST((received.m_end->outcome == wire::Outcome::Done));
  BOOST_TEST(Bench::Eventually([&] {
    const auto announce = m_bench.Control().LastAnnounce();
    return !announce.upstreams.empty() && announce.upstreams[0]->leaving;
  }));
}

// Guards against a shutdown that cuts a running answer or leaves before its
// result is settled.
BOOST_FIXTURE_TEST_CASE(DrainWaitsForRunningAndUnsettledWork, WithColdEngine)
{
  m_bench.AutoSettle(false);
  m_bench.Send(Bench::Chat("r1", "engine-1", 100));
  m_bench.WaitFor("r1", Runs);
  std::atomic<bool> drained{ false };
  m_bench.Subject().Drain([&] { drained = true; });
  m_bench.Send(Bench::Chat("r2", "engine-1", 1));
  BOOST_TEST(m_bench.WaitEnd("r2").m_rejected.has_value());
  const auto received = m_bench.WaitEnd("r1");
  BOOST_REQUIRE(received.m_end.has_value());
  BOOST_TEST((received.m_end->outcome == wire::Outcome::Done));
  // Longer than the pause between the last result and the end.
  std::this_thread::sleep_for(std::chrono::milliseconds(1500));
  BOOST_TEST(!drained);
  wire::SettledT settled;
  settled.request_id = "r1";
  m_bench.Send(settled);
  BOOST_TEST(Bench::Eventually([&] { return drained.load(); }));
}
