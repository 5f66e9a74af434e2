// Tests streams with lost links, slow readers and lost entries.
// Promises: whole-answer, at-most-once, billed-once
#define BOOST_TEST_MODULE stream
#include <boost/test/unit_test.hpp>

#include "chivefront/agent/testing/agent_fixture.h"
#include "fakes/engine.h"
#include "fakes/service.h"

using namespace chivefront;
using agent::testing::AgentFixture;
using agent::testing::ReceivedAnswer;

namespace {

struct EngineFixture
{
  AgentFixture m_fixture;
  fakes::FakeEngine& m_engine =
    m_fixture.AddFake<fakes::FakeEngine>(fakes::EngineOptions());

  size_t PostedBills()
  {
    size_t bills = 0;
    for (const auto& request : m_fixture.Control().LedgerRequests()) {
      const auto* bill = request.command.AsPostBill();
      bills += bill != nullptr ? bill->lines.size() : 0;
    }
    return bills;
  }

  // Waits until the engine holds no request. False when it still holds one
  // after 20 s.
  bool EngineIsIdle()
  {
    return AgentFixture::Eventually([&] {
      return m_engine.History().find("\"held\":0") != std::string::npos;
    });
  }

  void Resume(const std::string& aId, uint32_t aNext)
  {
    wire::ResumeT resume;
    resume.request_id = aId;
    resume.next_sequence = aNext;
    resume.credit_bytes = agent::kDefaultWindowBytes;
    m_fixture.Send(std::move(resume));
  }
};

bool
HasSeveralChunks(const ReceivedAnswer& aReceived)
{
  return aReceived.m_chunks >= 5;
}

} // namespace

// Guards against an answer that is truncated, doubled or run again when its
// link is replaced.
BOOST_FIXTURE_TEST_CASE(StreamGoesOnOverANewLink, EngineFixture)
{
  m_fixture.Send(AgentFixture::ChatDispatch("r1", "engine-1", 300));
  m_fixture.WaitFor("r1", HasSeveralChunks);
  m_fixture.CloseLink();
  m_fixture.Link();
  const auto before = m_fixture.WaitFor("r1", HasSeveralChunks);
  Resume("r1", before.m_chunks);
  const auto received = m_fixture.WaitEnd("r1");
  BOOST_REQUIRE(received.m_end.has_value());
  BOOST_TEST((received.m_end->outcome == wire::Outcome::Done));
  BOOST_TEST(received.m_end->chunks == received.m_chunks);
  BOOST_TEST(!received.m_outOfOrder);
  BOOST_TEST(m_engine.History().find("\"r1\":1") != std::string::npos);
}

// Guards against an End message that is lost with its link and never sent
// again.
BOOST_FIXTURE_TEST_CASE(EndIsSentAgainOverANewLink, EngineFixture)
{
  m_fixture.SetAutoSettle(false);
  m_fixture.Send(AgentFixture::ChatDispatch("r1", "engine-1", 5));
  const auto first = m_fixture.WaitEnd("r1");
  BOOST_REQUIRE(first.m_end.has_value());
  m_fixture.CloseLink();
  m_fixture.Link();
  m_fixture.ClearReceived("r1");
  Resume("r1", first.m_chunks);
  const auto again = m_fixture.WaitEnd("r1");
  BOOST_REQUIRE(again.m_end.has_value());
  BOOST_TEST(again.m_end->chunks == first.m_chunks);
  BOOST_TEST(again.m_chunks == 0U);
}

// Guards against an agent that keeps reading from the upstream, and holds the
// data, while the caller does not read.
BOOST_FIXTURE_TEST_CASE(ResumeOfAnUnknownRequestIsUnknown, EngineFixture)
{
  Resume("r9", 0);
  const auto received = m_fixture.WaitEnd("r9");
  BOOST_REQUIRE(received.m_end.has_value());
  BOOST_TEST((received.m_end->outcome == wire::Outcome::Unknown));
}

// Guards against a request that runs twice because its dispatch was sent twice.
BOOST_FIXTURE_TEST_CASE(SecondDispatchOfAnAttemptDoesNotRun, EngineFixture)
{
  m_fixture.Send(AgentFixture::ChatDispatch("r1", "engine-1", 50));
  m_fixture.Send(AgentFixture::ChatDispatch("r1", "engine-1", 50));
  BOOST_TEST(m_fixture.WaitEnd("r1").m_end.has_value());
  BOOST_TEST(m_engine.History().find("\"r1\":1") != std::string::npos);
}

// Guards against an agent that reads on, and holds the data, for a caller
// that does not.
BOOST_FIXTURE_TEST_CASE(NoCreditStopsTheStream, EngineFixture)
{
  constexpr uint32_t kWindow = 1000;
  constexpr uint32_t kTokens = 2000; // some 200 KiB
  m_fixture.SetAutoCredit(false);
  auto dispatch = AgentFixture::ChatDispatch("r1", "engine-1", kTokens);
  dispatch.credit_bytes = kWindow;
  m_fixture.Send(std::move(dispatch));
  const auto full =
    m_fixture.WaitFor("r1", [](const ReceivedAnswer& aReceived) {
      return aReceived.m_bytes.size() >= kWindow;
    });
  BOOST_TEST(full.m_bytes.size() == kWindow);
  // The engine can still write into the kernel's socket buffers; the agent must
  // not read on.
  AgentFixture::Eventually(
    [&] { return m_engine.History().find("\"held\":0") != std::string::npos; });
  base::Gauge& held =
    m_fixture.Metrics().AddGauge("chivefront_agent_buffered_bytes", "");
  BOOST_TEST(AgentFixture::Eventually([&] { return held.Value() > 0; }));
  BOOST_TEST(held.Value() <= kWindow + 16 * 1024);
  BOOST_TEST(!m_fixture.WaitFor("r1", HasSeveralChunks).m_end.has_value());
  m_fixture.SetAutoCredit(true);
  wire::CreditT credit;
  credit.request_id = "r1";
  credit.bytes = kWindow;
  m_fixture.Send(credit);
  const auto received = m_fixture.WaitEnd("r1");
  BOOST_REQUIRE(received.m_end.has_value());
  BOOST_TEST(received.m_end->chunks == received.m_chunks);
  BOOST_TEST(received.m_end->answer_tokens == kTokens);
}

// Guards against a cancelled request that keeps running at the engine. The
// answer is not streamed, so that only the cancellation can end it, not a
// failed write.
BOOST_FIXTURE_TEST_CASE(CancelReachesTheEngine, EngineFixture)
{
  auto dispatch = AgentFixture::ChatDispatch("r1", "engine-1");
  dispatch.stream = false;
  dispatch.body = R"({"max_tokens":100000,"messages":[]})";
  m_fixture.Send(std::move(dispatch));
  BOOST_REQUIRE(AgentFixture::Eventually([&] {
    return m_engine.History().find("\"held\":1") != std::string::npos;
  }));
  wire::CancelT cancel;
  cancel.request_id = "r1";
  m_fixture.Send(cancel);
  const auto received = m_fixture.WaitEnd("r1");
  BOOST_REQUIRE(received.m_end.has_value());
  BOOST_TEST((received.m_end->outcome == wire::Outcome::Unknown));
  BOOST_TEST(EngineIsIdle());
}

// Guards against usage that is lost or billed twice when the entry is lost
// after the answer, and against an engine that keeps working on a request whose
// entry is lost.
BOOST_FIXTURE_TEST_CASE(AgentBillsForALostEntry, EngineFixture)
{
  m_fixture.SetAutoSettle(false);
  m_fixture.Send(AgentFixture::ChatDispatch("r1", "engine-1", 5));
  m_fixture.WaitEnd("r1");
  m_fixture.Send(AgentFixture::ChatDispatch("r2", "engine-1", 100000));
  m_fixture.WaitFor("r2", HasSeveralChunks);
  m_fixture.StopEntry();
  BOOST_REQUIRE(AgentFixture::Eventually([&] { return PostedBills() == 2; }));
  BOOST_TEST(EngineIsIdle());
  const auto ledger = m_fixture.Control().LedgerRequests();
  const auto* bill = ledger.front().command.AsPostBill();
  BOOST_REQUIRE(bill != nullptr);
  BOOST_TEST(bill->lines.front()->request_id == "r1");
  BOOST_TEST(bill->lines.front()->answer_tokens == 5U);
  // 3 prompt tokens at 1 and 5 answer tokens at 2 millionths.
  BOOST_TEST(bill->lines.front()->cost_micros == 12U);
}

// Guards against a claim that stays in progress for ever, and against a booking
// that ran but is reported as unknown, when the entry is lost.
BOOST_AUTO_TEST_CASE(AgentFinishesTheClaimForALostEntry)
{
  AgentFixture fixture;
  fakes::ServiceOptions options;
  // Longer than the time after which the agent cancels a stream without its
  // entry.
  options.m_slow = agent::kResumeGrace + base::Millis(1500);
  auto& service = fixture.AddFake<fakes::FakeService>(options);
  fixture.SetAutoSettle(false);
  fixture.Send(AgentFixture::BookingDispatch("r1", "service-1"));
  fixture.WaitFor(
    "r1", [](const ReceivedAnswer& aReceived) { return aReceived.m_started; });
  fixture.StopEntry();
  std::optional<wire::FinishClaimT> claim;
  BOOST_TEST(AgentFixture::Eventually([&] {
    for (const auto& request : fixture.Control().LedgerRequests()) {
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
