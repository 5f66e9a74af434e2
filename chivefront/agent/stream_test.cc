// Tests of streams over lost links, slow readers and lost entries.
// Promises: whole-answer, at-most-once, billed-once
#define BOOST_TEST_MODULE stream
#include <boost/test/unit_test.hpp>

#include "chivefront/agent/testing/bench.h"
#include "fakes/engine.h"
#include "fakes/service.h"

using namespace chivefront;
using agent::testing::Bench;
using agent::testing::Received;

namespace {

struct WithEngine
{
  Bench m_bench;
  fakes::FakeEngine& m_engine =
    m_bench.Add<fakes::FakeEngine>(fakes::EngineOptions());

  size_t PostedBills()
  {
    size_t bills = 0;
    for (const auto& request : m_bench.Control().LedgerRequests()) {
      const auto* bill = request.command.AsPostBill();
      bills += bill != nullptr ? bill->lines.size() : 0;
    }
    return bills;
  }

  // Waits until the engine holds no request.
  bool EngineIsIdle()
  {
    return Bench::Eventually([&] {
      return m_engine.History().find("\"held\":0") != std::string::npos;
    });
  }

  void Resume(const std::string& aId, uint32_t aNext)
  {
    wire::ResumeT resume;
    resume.request_id = aId;
    resume.next_sequence = aNext;
    resume.credit_bytes = agent::kDefaultWindow;
    m_bench.Send(std::move(resume));
  }
};

bool
HasSome(const Received& aReceived)
{
  return aReceived.m_chunks >= 5;
}

} // namespace

// Guards against an answer that is cut, doubled or run again when the link
// under it is replaced.
BOOST_FIXTURE_TEST_CASE(StreamGoesOnOverANewLink, WithEngine)
{
  m_bench.Send(Bench::Chat("r1", "engine-1", 300));
  m_bench.WaitFor("r1", HasSome);
  m_bench.CutLink();
  m_bench.Link();
  const auto before = m_bench.WaitFor("r1", HasSome);
  Resume("r1", before.m_chunks);
  const auto received = m_bench.WaitEnd("r1");
  BOOST_REQUIRE(received.m_end.has_value());
  BOOST_TEST((received.m_end->outcome == wire::Outcome::Done));
  BOOST_TEST(received.m_end->chunks == received.m_chunks);
  BOOST_TEST(!received.m_outOfOrder);
  BOOST_TEST(m_engine.History().find("\"r1\":1") != std::string::npos);
}

// Guards against an end that is lost with its link and never sent again.
BOOST_FIXTURE_TEST_CASE(EndIsSentAgainOverANewLink, WithEngine)
{
  m_bench.AutoSettle(false);
  m_bench.Send(Bench::Chat("r1", "engine-1", 5));
  const auto first = m_bench.WaitEnd("r1");
  BOOST_REQUIRE(first.m_end.has_value());
  m_bench.CutLink();
  m_bench.Link();
  m_bench.Forget("r1");
  Resume("r1", first.m_chunks);
  const auto again = m_bench.WaitEnd("r1");
  BOOST_REQUIRE(again.m_end.has_value());
  BOOST_TEST(again.m_end->chunks == first.m_chunks);
  BOOST_TEST(again.m_chunks == 0U);
}

// Guards against an agent without knowledge of a request that calls it "not
// run": it may have restarted.
BOOST_FIXTURE_TEST_CASE(ResumeOfAnUnknownRequestProvesNothing, WithEngine)
{
  Resume("r9", 0);
  const auto received = m_bench.WaitEnd("r9");
  BOOST_REQUIRE(received.m_end.has_value());
  BOOST_TEST((received.m_end->outcome == wire::Outcome::Unknown));
}

// Guards against a dispatch that runs twice because it was sent twice.
BOOST_FIXTURE_TEST_CASE(SecondDispatchOfAnAttemptDoesNotRun, WithEngine)
{
  m_bench.Send(Bench::Chat("r1", "engine-1", 50));
  m_bench.Send(Bench::Chat("r1", "engine-1", 50));
  BOOST_TEST(m_bench.WaitEnd("r1").m_end.has_value());
  BOOST_TEST(m_engine.History().find("\"r1\":1") != std::string::npos);
}

// Guards against an agent that reads on, and holds the data, for a caller
// that does not.
BOOST_FIXTURE_TEST_CASE(NoCreditStopsTheStream, WithEngine)
{
  constexpr uint32_t kWindow = 1000;
  constexpr uint32_t kTokens = 2000; // some 200 KiB
  m_bench.AutoCredit(false);
  auto dispatch = Bench::Chat("r1", "engine-1", kTokens);
  dispatch.credit_bytes = kWindow;
  m_bench.Send(std::move(dispatch));
  const auto full = m_bench.WaitFor("r1", [](const Received& aReceived) {
    return aReceived.m_bytes.size() >= kWindow;
  });
  BOOST_TEST(full.m_bytes.size() == kWindow);
  // The engine goes on into the kernel's buffers; the agent must not.
  Bench::Eventually(
    [&] { return m_engine.History().find("\"held\":0") != std::string::npos; });
  base::Gauge& held =
    m_bench.Metrics().AddGauge("chivefront_agent_buffered_bytes", "");
  BOOST_TEST(Bench::Eventually([&] { return held.Value() > 0; }));
  BOOST_TEST(held.Value() <= kWindow + 16 * 1024);
  BOOST_TEST(!m_bench.WaitFor("r1", HasSome).m_end.has_value());
  m_bench.AutoCredit(true);
  wire::CreditT credit;
  credit.request_id = "r1";
  credit.bytes = kWindow;
  m_bench.Send(credit);
  const auto received = m_bench.WaitEnd("r1");
  BOOST_REQUIRE(received.m_end.has_value());
  BOOST_TEST(received.m_end->chunks == received.m_chunks);
  BOOST_TEST(received.m_end->answer_tokens == kTokens);
}

// Guards against a cancelled request that keeps running at the engine. The
// answer is not streamed, so that no failed write can end it instead.
BOOST_FIXTURE_TEST_CASE(CancelReachesTheEngine, WithEngine)
{
  auto dispatch = Bench::Chat("r1", "engine-1");
  dispatch.stream = false;
  dispatch.body = R"({"max_tokens":100000,"messages":[]})";
  m_bench.Send(std::move(dispatch));
  BOOST_REQUIRE(Bench::Eventually([&] {
    return m_engine.History().find("\"held\":1") != std::string::npos;
  }));
  wire::CancelT cancel;
  cancel.request_id = "r1";
  m_bench.Send(cancel);
  const auto received = m_bench.WaitEnd("r1");
  BOOST_REQUIRE(received.m_end.has_value());
  BOOST_TEST((received.m_end->outcome == wire::Outcome::Unknown));
  BOOST_TEST(EngineIsIdle());
}

// Guards against usage that is lost, or billed twice, when the entry is lost
// after the answer; and against an engine that works for nobody.
BOOST_FIXTURE_TEST_CASE(AgentBillsForALostEntry, WithEngine)
{
  m_bench.AutoSettle(false);
  m_bench.Send(Bench::Chat("r1", "engine-1", 5));
  m_bench.WaitEnd("r1");
  m_bench.Send(Bench::Chat("r2", "engine-1", 100000));
  m_bench.WaitFor("r2", HasSome);
  m_bench.StopEntry();
  BOOST_REQUIRE(Bench::Eventually([&] { return PostedBills() == 2; }));
  BOOST_TEST(EngineIsIdle());
  const auto ledger = m_bench.Control().LedgerRequests();
  const auto* bill = ledger.front().command.AsPostBill();
  BOOST_REQUIRE(bill != nullptr);
  BOOST_TEST(bill->lines.front()->request_id == "r1");
  BOOST_TEST(bill->lines.front()->answer_tokens == 5U);
  // 3 prompt tokens at 1 and 5 answer tokens at 2 millionths.
  BOOST_TEST(bill->lines.front()->cost_micros == 12U);
}

// Guards against a claim that stays in progress for ever, and against a
// booking that ran but is reported as unknown, when the entry is lost.
BOOST_AUTO_TEST_CASE(AgentFinishesTheClaimForALostEntry)
{
  Bench bench;
  fakes::ServiceOptions options;
  // Longer than the time after which a stream without its entry is cancelled.
  options.m_slow = agent::kResumeGrace + base::Millis(1500);
  auto& service = bench.Add<fakes::FakeService>(options);
  bench.AutoSettle(false);
  bench.Send(Bench::Booking("r1", "service-1"));
  bench.WaitFor("r1",
                [](const Received& aReceived) { return aReceived.m_started; });
  bench.StopEntry();
  std::optional<wire::FinishClaimT> claim;
  BOOST_TEST(Bench::Eventually([&] {
    for (const auto& request : bench.Control().LedgerRequests()) {
      if (const auto* found = request.command.AsFinishClaim()) {
        claim = *found;
      }
    }
    return claim.has_value();
  }));
  BOOST_REQUIRE(claim.has_value());
  BOOST_TEST((claim->state == wire::ClaimState::Done));
  BOOST_TEST(claim->http_status == 200U);
  BOOST_TEST(claim->body.find("\"executions\":1") != std::string::npos);
  BOOST_TEST(service.History().find("\"most_executions\":1") !=
             std::string::npos);
}
