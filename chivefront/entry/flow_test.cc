// Tests of whole requests through an entry with a fake control process and fake
// agents.
// Promises: whole-answer, not-run, at-most-once, billed-once, session
#define BOOST_TEST_MODULE flow
#include <boost/test/unit_test.hpp>

#include "chivefront/entry/test_fixture.h"

using namespace chivefront;
using namespace chivefront::entry::testing;

namespace {

bool
Contains(const std::string& aText, std::string_view aPart)
{
  return aText.find(aPart) != std::string::npos;
}

// An entry and one agent with an upstream for small-1 and one for booking.
struct SingleAgentFixture
{
  explicit SingleAgentFixture(FakeAgent::MessageHandler aHandler,
                              const entry::EntryLimits& aLimits = {})
    : m_entry(aLimits)
    , m_agent(m_entry.m_loop.Context(), "agent-1", 11, std::move(aHandler))
  {
    m_entry.m_control.Change([&](FakeControl& aControl) {
      aControl.m_upstreams = { m_agent.Upstream("e1", "small-1"),
                               m_agent.Upstream("b1", "", "booking") };
    });
    BOOST_REQUIRE(m_entry.WaitReady(1));
  }
  ~SingleAgentFixture() { m_entry.m_loop.Stop(); }

  EntryFixture m_entry;
  FakeAgent m_agent;
};

void
AnswerDispatch(net::Link& aLink, wire::MessageT& aMessage)
{
  if (const auto* dispatch = aMessage.body.AsDispatch()) {
    SendWholeAnswer(aLink, *dispatch);
  }
}

} // namespace

// Guards against an end marker that is sent before the bill is durable.
BOOST_AUTO_TEST_CASE(StreamedAnswerIsWholeAndBilled)
{
  SingleAgentFixture fixture(AnswerDispatch);
  const auto answer = fixture.m_entry.Call(EntryFixture::Chat(true));
  BOOST_REQUIRE(answer.ok());
  BOOST_TEST(answer->m_status == 200);
  BOOST_TEST(
    answer->m_body.find("data: {\"part\":1}\n\ndata: {\"part\":2}\n\n") == 0U);
  BOOST_TEST(Contains(answer->m_body, "\"cost_micros\":5"));
  BOOST_TEST(Contains(answer->m_body, "data: [DONE]\n\n"));
  BOOST_TEST(fixture.m_entry.m_control.BillLines() == 1U);
}

// Guards against an answer that is not streamed and lacks its version or cost.
BOOST_AUTO_TEST_CASE(WholeAnswerCarriesItsCost)
{
  SingleAgentFixture fixture(AnswerDispatch);
  const auto answer = fixture.m_entry.Call(EntryFixture::Chat(false));
  BOOST_REQUIRE(answer.ok());
  BOOST_TEST(answer->m_status == 200);
  BOOST_TEST(net::FindHeader(answer->m_headers, "X-Chivefront-Version") ==
             "small-1");
  BOOST_TEST(net::FindHeader(answer->m_headers, "X-Chivefront-Cost-Micros") ==
             "5");
  BOOST_TEST(Contains(answer->m_body, "\"part\":2"));
}

// Guards against a second execution of a non-idempotent call that is sent twice
// with the same Idempotency-Key.
BOOST_AUTO_TEST_CASE(RepeatedKeyGetsTheStoredResult)
{
  SingleAgentFixture fixture(AnswerDispatch);
  const auto first = fixture.m_entry.Call(EntryFixture::Booking("key-1"));
  const auto second = fixture.m_entry.Call(EntryFixture::Booking("key-1"));
  BOOST_REQUIRE(first.ok());
  BOOST_REQUIRE(second.ok());
  BOOST_TEST(first->m_status == 200);
  BOOST_TEST(first->m_body == second->m_body);
  BOOST_TEST(fixture.m_agent.Count(wire::Body::Dispatch) == 1U);
}

// Guards against a complete answer whose bill may be lost, because the ledger
// did not confirm it.
BOOST_AUTO_TEST_CASE(EndIsWithheldWithoutABill)
{
  entry::EntryLimits limits;
  limits.m_ledgerTimeout = base::Millis(300);
  SingleAgentFixture fixture(AnswerDispatch, limits);
  fixture.m_entry.m_control.Change(
    [](FakeControl& aControl) { aControl.m_acceptsBills = false; });
  const auto streamed = fixture.m_entry.Call(EntryFixture::Chat(true));
  // The streamed response ends without its end marker.
  BOOST_TEST(
    (base::KindOf(streamed.status()) == base::ErrorKind::AnswerIncomplete));
  const auto whole = fixture.m_entry.Call(EntryFixture::Chat(false));
  BOOST_REQUIRE(whole.ok());
  BOOST_TEST(whole->m_status == 503);
  BOOST_TEST(Contains(whole->m_body, "billing_unavailable"), whole->m_body);
  BOOST_TEST(!Contains(whole->m_body, "part"));
  // Messages of a link arrive in order, so after the one of a billed answer no
  // earlier one is on its way.
  fixture.m_entry.m_control.Change(
    [](FakeControl& aControl) { aControl.m_acceptsBills = true; });
  const auto billed = fixture.m_entry.Call(EntryFixture::Chat(false));
  BOOST_REQUIRE(billed.ok());
  BOOST_TEST(billed->m_status == 200, billed->m_body);
  BOOST_TEST(fixture.m_agent.WaitForCount(
               wire::Body::Settled, 1, kSettlementBound) == 1U);
}

// Guards against the outcome "not_run" for a request that may have run, and
// against a retry of a non-idempotent call that may have run.
BOOST_AUTO_TEST_CASE(RejectionIsNotRunAndUnknownIsNotRetriedForServices)
{
  SingleAgentFixture fixture([](net::Link& aLink, wire::MessageT& aMessage) {
    if (const auto* dispatch = aMessage.body.AsDispatch()) {
      if (dispatch->service.empty()) {
        SendRejected(aLink, *dispatch);
      } else {
        SendEnd(aLink,
                dispatch->request_id,
                dispatch->attempt,
                0,
                wire::Outcome::Unknown);
      }
    }
  });
  const auto chat = fixture.m_entry.Call(EntryFixture::Chat(true));
  BOOST_REQUIRE(chat.ok());
  BOOST_TEST(chat->m_status == 503);
  BOOST_TEST(Contains(chat->m_body, R"("type":"overloaded")"));
  BOOST_TEST(Contains(chat->m_body, R"("run":"not_run")"));
  BOOST_TEST(fixture.m_agent.Count(wire::Body::Dispatch) == 1U);
  for (int i = 0; i < 2; ++i) {
    const auto call = fixture.m_entry.Call(EntryFixture::Booking("key-2"));
    BOOST_REQUIRE(call.ok());
    BOOST_TEST(Contains(call->m_body, R"("run":"unknown")"));
  }
  BOOST_TEST(fixture.m_agent.Count(wire::Body::Dispatch) == 2U);
}

// Guards against a retry that sends the caller parts of two answers, and
// against an error for a request that could run on another upstream.
BOOST_AUTO_TEST_CASE(FailureBeforeTheFirstDataIsRetriedElsewhere)
{
  std::atomic<bool> first{ true };
  SingleAgentFixture fixture([&](net::Link& aLink, wire::MessageT& aMessage) {
    if (const auto* dispatch = aMessage.body.AsDispatch()) {
      if (first.exchange(false)) {
        SendEnd(aLink,
                dispatch->request_id,
                dispatch->attempt,
                0,
                wire::Outcome::Unknown);
      } else {
        // A late chunk of the failed attempt must be dropped.
        SendChunk(aLink, dispatch->request_id, dispatch->attempt - 1, 0, "old");
        SendWholeAnswer(aLink, *dispatch);
      }
    }
  });
  fixture.m_entry.m_control.Change([&](FakeControl& aControl) {
    aControl.m_upstreams.push_back(fixture.m_agent.Upstream("e2", "small-1"));
  });
  while (fixture.m_entry.m_core.Watcher().LastView()->m_registry->count("e2") ==
         0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  const auto answer = fixture.m_entry.Call(EntryFixture::Chat(true));
  BOOST_REQUIRE(answer.ok());
  BOOST_TEST(answer->m_body.find("data: {\"part\":1}") == 0U);
  BOOST_TEST(Contains(answer->m_body, "[DONE]"));
  BOOST_TEST(fixture.m_agent.Count(wire::Body::Dispatch) == 2U);
  BOOST_TEST(fixture.m_entry.m_control.BillLines() == 1U);
}

// Guards against an answer that is lost together with its link although the
// agent still runs the request. A chunk is missing, and the agent closes the
// link at the first Resume.
BOOST_AUTO_TEST_CASE(StreamGoesOnOverANewLink)
{
  std::atomic<uint32_t> resumedFrom{ 99 };
  SingleAgentFixture fixture([&](net::Link& aLink, wire::MessageT& aMessage) {
    if (const auto* dispatch = aMessage.body.AsDispatch()) {
      const std::string& id = dispatch->request_id;
      SendChunk(aLink, id, dispatch->attempt, 0, "data: 1\n\n");
      SendChunk(aLink, id, dispatch->attempt, 2, "data: 3\n\n"); // 1 is missing
    } else if (const auto* resume = aMessage.body.AsResume()) {
      if (resumedFrom.exchange(resume->next_sequence) == 99) {
        aLink.Close(base::MakeError(base::ErrorKind::LinkClosed, "test"));
        return;
      }
      const std::string& id = resume->request_id;
      SendChunk(aLink, id, resume->attempt, 1, "data: 2\n\n");
      SendChunk(aLink, id, resume->attempt, 2, "data: 3\n\n");
      SendEnd(aLink, id, resume->attempt, 3);
    }
  });
  const auto answer = fixture.m_entry.Call(EntryFixture::Chat(true));
  BOOST_REQUIRE(answer.ok());
  BOOST_TEST(answer->m_body.find("data: 1\n\ndata: 2\n\ndata: 3\n\n") == 0U);
  BOOST_TEST(Contains(answer->m_body, "[DONE]"));
  BOOST_TEST(resumedFrom == 1U);
}

// Guards against a partial answer that looks complete after its agent was
// replaced by another incarnation.
BOOST_AUTO_TEST_CASE(RestartedAgentEndsTheAnswerVisibly)
{
  SingleAgentFixture fixture([&](net::Link& aLink, wire::MessageT& aMessage) {
    if (const auto* dispatch = aMessage.body.AsDispatch()) {
      SendChunk(
        aLink, dispatch->request_id, dispatch->attempt, 0, "data: 1\n\n");
      fixture.m_agent.Stop();
      aLink.Close(base::MakeError(base::ErrorKind::LinkClosed, "test"));
    }
  });
  const base::Endpoint endpoint = fixture.m_agent.BoundEndpoint();
  auto pending = std::async(std::launch::async, [&] {
    return fixture.m_entry.Call(EntryFixture::Chat(true));
  });
  std::unique_ptr<FakeAgent> second;
  while (!second || !second->Listening()) {
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    second = std::make_unique<FakeAgent>(
      fixture.m_entry.m_loop.Context(),
      "agent-1",
      12,
      [](net::Link&, wire::MessageT&) {},
      endpoint);
  }
  BOOST_TEST((base::KindOf(pending.get().status()) ==
              base::ErrorKind::AnswerIncomplete));
  BOOST_TEST(Contains(fixture.m_entry.m_events.Dump(), "agent_restarted"));
  fixture.m_entry.m_loop.Stop();
}

// Guards against a request that crashes upstreams and is dispatched without the
// suspect mark, because only other entries saw the losses.
BOOST_AUTO_TEST_CASE(SuspectsOfOtherEntriesAreMarked)
{
  std::atomic<uint64_t> fingerprint{ 0 };
  std::atomic<bool> marked{ false };
  SingleAgentFixture fixture([&](net::Link& aLink, wire::MessageT& aMessage) {
    if (const auto* dispatch = aMessage.body.AsDispatch()) {
      fingerprint = dispatch->fingerprint;
      marked = dispatch->suspect;
      SendWholeAnswer(aLink, *dispatch);
    }
  });
  BOOST_REQUIRE(fixture.m_entry.Call(EntryFixture::Chat(false)).ok());
  BOOST_TEST(!marked);
  for (const bool suspected : { true, false }) {
    fixture.m_entry.m_control.Change([&](FakeControl& aControl) {
      aControl.m_suspects.clear();
      if (suspected) {
        aControl.m_suspects.push_back(fingerprint);
      }
    });
    while (fixture.m_entry.m_core.Watcher().LastView()->m_suspects.empty() ==
           suspected) {
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    BOOST_REQUIRE(fixture.m_entry.Call(EntryFixture::Chat(false)).ok());
    BOOST_TEST(marked == suspected);
  }
  fixture.m_entry.m_loop.Stop();
}

// Guards against a dispatch by a stale view, and against a wrong "run" in the
// error.
BOOST_AUTO_TEST_CASE(NoDispatchWithoutAFreshView)
{
  SingleAgentFixture fixture(AnswerDispatch);
  fixture.m_entry.m_control.Change(
    [](FakeControl& aControl) { aControl.m_fresh = false; });
  while (fixture.m_entry.m_core.Watcher().Fresh()) {
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  const auto chat = fixture.m_entry.Call(EntryFixture::Chat(false));
  BOOST_REQUIRE(chat.ok());
  BOOST_TEST(Contains(chat->m_body, R"("type":"not_fresh")"));
  BOOST_TEST(Contains(chat->m_body, R"("run":"not_run")"));
  BOOST_TEST(fixture.m_agent.Count(wire::Body::Dispatch) == 0U);
}

// Guards against a dispatch by a view that became stale while the request
// waited for a credit, as it happens in a process that was frozen.
BOOST_AUTO_TEST_CASE(ViewIsCheckedAgainAfterWaiting)
{
  DelayedAnswers held;
  SingleAgentFixture fixture([&](net::Link& aLink, wire::MessageT& aMessage) {
    held.OnMessage(aLink, aMessage);
  });
  fixture.m_entry.m_control.Change([](FakeControl& aControl) {
    aControl.m_upstreams.resize(1);
    aControl.m_upstreams[0].limit = 1;
    aControl.m_upstreams[0].version = "small-2";
    aControl.m_entries["model/small"] =
      R"({"owner":"ops","class":"free","version":"small-2",)"
      R"("limits":{"concurrency":1}})";
  });
  const auto call = [&] {
    return std::async(std::launch::async, [&] {
      return fixture.m_entry.Call(EntryFixture::Chat(false));
    });
  };
  while (fixture.m_entry.m_core.Watcher().LastView()->m_registry->size() > 1) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  auto first = call();
  held.WaitForDispatches(1);
  auto second = call();
  const auto isWaiting = [&] {
    return Contains(fixture.m_entry.m_metrics.Render(),
                    "chivefront_entry_waiting 1");
  };
  while (!isWaiting()) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  fixture.m_entry.m_control.Change(
    [](FakeControl& aControl) { aControl.m_fresh = false; });
  while (fixture.m_entry.m_core.Watcher().Fresh()) {
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  held.ReleaseAll();
  BOOST_TEST(first.get()->m_status == 200); // a running request goes on
  const auto refused = second.get();
  BOOST_REQUIRE(refused.ok());
  BOOST_TEST(Contains(refused->m_body, R"("type":"not_fresh")"));
  BOOST_TEST(held.Count() == 1U);
}
