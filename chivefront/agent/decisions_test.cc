// Unit tests of the agent's pure decisions.
// Promises: allowed, withdrawn, domain-out, leaving, whole-answer, billed-once
#define BOOST_TEST_MODULE decisions
#include <boost/test/unit_test.hpp>

#include "chivefront/agent/answer_scanner.h"
#include "chivefront/agent/fencing.h"
#include "chivefront/agent/settlement.h"
#include "chivefront/agent/stream_buffer.h"
#include "chivefront/agent/upstream_state.h"
#include "chivefront/base/errors.h"

using namespace chivefront;
using namespace chivefront::agent;
using base::ErrorKind;
using catalog::CallerClass;

namespace {

base::TimePoint
At(int64_t aMs)
{
  return base::TimePoint(base::Millis(aMs));
}

UpstreamDescription
MakeDescription(const std::string& aIncarnation = "a")
{
  UpstreamDescription description;
  description.m_name = "engine-1";
  description.m_version = "small-1";
  description.m_address = "127.0.0.1:1";
  description.m_incarnation = aIncarnation;
  return description;
}

WaitingAttempt
MakeWaiting(const std::string& aId,
            CallerClass aClass = CallerClass::Paying,
            bool aSuspect = false)
{
  WaitingAttempt attempt;
  attempt.m_key = { aId, 0 };
  attempt.m_class = aClass;
  attempt.m_suspect = aSuspect;
  attempt.m_fingerprint = static_cast<unsigned char>(aId[0]);
  attempt.m_deadline = At(100000);
  return attempt;
}

catalog::UpstreamRule
MakeRule(uint32_t aLimit)
{
  catalog::UpstreamRule rule;
  rule.m_coldLimit = aLimit;
  rule.m_queue = 2;
  return rule;
}

std::string
Send(StreamBuffer& aBuffer)
{
  std::string sent;
  while (auto chunk = aBuffer.TakeChunk()) {
    sent += chunk->m_data;
  }
  return sent;
}

} // namespace

// Guards against an agent that accepts a dispatch which the catalogue or the
// announcement of the upstream does not allow.
BOOST_AUTO_TEST_CASE(AcceptanceTable)
{
  catalog::Catalog catalog;
  catalog.m_teams["sales"].m_id = "sales";
  catalog.m_teams["sales"].m_models = { "small" };
  catalog.m_models["small"].m_id = "small";
  catalog.m_versions["small-1"].m_id = "small-1";
  catalog.m_versions["small-1"].m_model = "small";
  wire::DispatchT dispatch;
  dispatch.team = "sales";
  dispatch.version = "small-1";
  dispatch.fingerprint = 7;
  const auto kindOf = [&] {
    return base::KindOf(
      CheckDispatch(catalog, dispatch, MakeDescription(), "domain-a"));
  };
  BOOST_TEST((kindOf() == ErrorKind::None));
  catalog.m_quarantined = { 7 };
  BOOST_TEST((kindOf() == ErrorKind::Quarantined));
  catalog.m_quarantined.clear();
  catalog.m_domainsOut = { "domain-a" };
  BOOST_TEST((kindOf() == ErrorKind::NoUpstream));
  catalog.m_domainsOut.clear();
  catalog.m_upstreamsOut = { "engine-1" };
  BOOST_TEST((kindOf() == ErrorKind::NoUpstream));
  catalog.m_upstreamsOut.clear();
  catalog.m_versionsOut = { "small-1" };
  BOOST_TEST((kindOf() == ErrorKind::VersionWithdrawn));
  catalog.m_versionsOut.clear();
  dispatch.team = "other";
  BOOST_TEST((kindOf() == ErrorKind::UnknownTeam));
  dispatch.team = "sales";
  dispatch.service = "booking";
  BOOST_TEST((kindOf() == ErrorKind::NoUpstream));
  dispatch.service.clear();
  UpstreamDescription leaving = MakeDescription();
  leaving.m_leaving = true;
  BOOST_TEST(
    (base::KindOf(CheckDispatch(catalog, dispatch, leaving, "domain-a")) ==
     ErrorKind::ShuttingDown));
}

// Guards against a chunk that is dropped while the entry may still ask for it
// in a Resume, and against a buffer that grows beyond the window.
BOOST_AUTO_TEST_CASE(BufferKeepsWhatIsNotConsumed)
{
  StreamBuffer buffer(10);
  buffer.Append("0123456789abcdef");
  BOOST_TEST(Send(buffer) == "0123456789");
  BOOST_TEST(!buffer.WantsMore());
  buffer.AddCredit(4); // the caller consumed 4 of the 10 bytes of chunk 0
  BOOST_TEST(Send(buffer) == "abcd");
  BOOST_TEST(buffer.Resume(0, 10));
  BOOST_TEST(Send(buffer) == "0123456789");
  BOOST_TEST(buffer.Resume(1, 6)); // the entry still holds 4 bytes
  BOOST_TEST(Send(buffer) == "abcdef");
  buffer.AddCredit(10);
  BOOST_TEST(!buffer.Resume(0, 10));
  BOOST_TEST(buffer.HeldBytes() <= 10U);
  BOOST_TEST(!buffer.Resume(9, 10));
}

// Guards against a terminator that is passed on, usage that is missed when it
// is split over several pieces, and a truncated answer that is taken as
// complete.
BOOST_AUTO_TEST_CASE(ScannerFindsUsageAcrossPieces)
{
  const std::string text =
    "data: {\"choices\":[1]}\n\ndata: {\"usage\":{\"prompt_tokens\":3,"
    "\"completion_tokens\":2,\"prompt_tokens_details\":{\"cached_tokens\":1}}}"
    "\n\ndata: [DONE]\n\n";
  for (size_t size = 1; size <= text.size(); ++size) {
    AnswerScanner scanner(AnswerFormat::EventStream, false);
    std::string out;
    for (size_t i = 0; i < text.size(); i += size) {
      BOOST_REQUIRE(scanner.Scan(text.substr(i, size), out).ok());
    }
    BOOST_TEST(scanner.Finish().ok());
    BOOST_TEST(out == text.substr(0, text.find("data: [DONE]")));
    BOOST_TEST(scanner.GetUsage().m_answerTokens == 2U);
    BOOST_TEST(scanner.GetUsage().m_cachedTokens == 1U);
  }
  AnswerScanner truncated(AnswerFormat::EventStream, false);
  std::string out;
  BOOST_TEST(truncated.Scan(text.substr(0, 30), out).ok());
  BOOST_TEST((base::KindOf(truncated.Finish()) == ErrorKind::AnswerIncomplete));
  BOOST_TEST(truncated.GetUsage().m_answerTokens == 1U);
}

// Guards against two suspects in flight at the same time, and against a waiting
// suspect that blocks other attempts.
BOOST_AUTO_TEST_CASE(OneSuspectAtATime)
{
  UpstreamState state(MakeRule(3));
  state.Announce(MakeDescription(), At(0));
  using Kind = AdmissionDecision::Kind;
  const auto admit = [&](const WaitingAttempt& aAttempt) {
    return state.Admit(aAttempt, At(0)).m_kind;
  };
  BOOST_TEST(
    (admit(MakeWaiting("a", CallerClass::Paying, true)) == Kind::Start));
  BOOST_TEST(
    (admit(MakeWaiting("b", CallerClass::Paying, true)) == Kind::Wait));
  BOOST_TEST((admit(MakeWaiting("c")) == Kind::Wait));
  BOOST_TEST(state.TakeStartable(At(0)).front().m_requestId == "c");
  state.Finish({ "a", 0 }, UpstreamOutcome::Succeeded, base::Millis(5), At(1));
  BOOST_TEST(state.TakeStartable(At(1)).front().m_requestId == "b");
}

// Guards against a loss report with the wrong requests, or with none, when an
// upstream restarts between the connection reset and its next announcement: the
// report must name the failed attempt and those in flight, but no finished one.
BOOST_AUTO_TEST_CASE(RestartReportsWhatWasInFlight)
{
  UpstreamState state(MakeRule(3));
  state.Announce(MakeDescription(), At(0));
  for (const char* id : { "a", "b", "c" }) {
    state.Admit(MakeWaiting(id), At(0));
  }
  state.Finish({ "c", 0 }, UpstreamOutcome::Succeeded, base::Millis(5), At(5));
  state.Finish({ "a", 0 }, UpstreamOutcome::Failed, base::Millis(9), At(9));
  const auto loss = state.Announce(MakeDescription("b"), At(100));
  BOOST_REQUIRE(loss.has_value());
  BOOST_TEST((loss->m_fingerprints == std::vector<uint64_t>{ 'a', 'b' }));
  BOOST_TEST(loss->m_attempts.size() == 1U);
  BOOST_TEST(state.RunningCount() == 0U);
  BOOST_TEST(!state.Announce(MakeDescription("b"), At(200)).has_value());
}

// Guards against new load on an upstream that froze and resumes with the
// requests that it held.
BOOST_AUTO_TEST_CASE(LostAttemptsKeepTheirSlotUntilTheyEnd)
{
  UpstreamState state(MakeRule(1));
  state.Announce(MakeDescription(), At(0));
  state.Admit(MakeWaiting("a"), At(0));
  BOOST_TEST(state.MarkLost("frozen", At(1)).has_value());
  state.Announce(MakeDescription(), At(2));
  BOOST_TEST((state.Admit(MakeWaiting("b"), At(2)).m_kind ==
              AdmissionDecision::Kind::Wait));
  state.Finish({ "a", 0 }, UpstreamOutcome::Canceled, base::Millis(5), At(5));
  BOOST_TEST(state.TakeStartable(At(5)).size() == 1U);
  BOOST_TEST(!state.MarkLost("", At(6)).value().m_attempts.empty());
}

// Guards against attempts that wait past their deadline, and against an
// unbounded queue.
BOOST_AUTO_TEST_CASE(QueueIsBoundedAndRespectsDeadlines)
{
  UpstreamState state(MakeRule(1));
  BOOST_TEST((base::KindOf(state.Admit(MakeWaiting("z"), At(0)).m_reason) ==
              ErrorKind::NoUpstream));
  state.Announce(MakeDescription(), At(0));
  state.Admit(MakeWaiting("a"), At(0));
  state.Admit(MakeWaiting("b", CallerClass::Free), At(0));
  state.Admit(MakeWaiting("c", CallerClass::Free), At(0));
  const auto full = state.Admit(MakeWaiting("d", CallerClass::Free), At(0));
  BOOST_TEST((base::KindOf(full.m_reason) == ErrorKind::Overloaded));
  BOOST_TEST(full.m_retryAfter.Count() > 0);
  const auto paying = state.Admit(MakeWaiting("e"), At(0));
  BOOST_TEST(paying.m_displaced->m_requestId == "c");
  WaitingAttempt shortDeadline = MakeWaiting("f");
  shortDeadline.m_deadline = At(10);
  BOOST_TEST((base::KindOf(state.Admit(shortDeadline, At(0)).m_reason) ==
              ErrorKind::Overloaded));
  BOOST_TEST(state.TakeOverdue(At(100000)).size() == 2U);
}

// Guards against bills that the agent posts while the entry may still post
// them, or never posts.
BOOST_AUTO_TEST_CASE(SettlementWaitsForTheEntryAndThenRetries)
{
  PendingSettlements pending(2);
  const SettlementKey key{ "r1", 0 };
  pending.Add(key, {}, "entry-1", At(0));
  BOOST_TEST(pending.TakeDue(At(6000)).empty());
  pending.OnEntryDisconnected("entry-1", At(6000));
  BOOST_TEST(pending.TakeDue(At(10999)).empty());
  pending.OnEntryConnected("entry-1");
  BOOST_TEST(pending.TakeDue(At(20000)).empty());
  pending.OnEntryDisconnected("entry-1", At(20000));
  BOOST_TEST(pending.TakeDue(At(25000)).size() == 1U);
  BOOST_TEST(pending.TakeDue(At(25000)).empty()); // being posted
  pending.PostFailed(key, At(25000), 150);
  BOOST_TEST(pending.TakeDue(At(25149)).empty());
  BOOST_TEST(pending.TakeDue(At(25150)).size() == 1U);
  BOOST_TEST(pending.OldestAge(At(25150)).Count() == 25150);
  pending.OnSettled(key);
  BOOST_TEST(pending.OldestAge(At(25150)).Count() == 0);
  pending.Add(key, {}, "entry-2", At(30000));
  BOOST_TEST(!pending.IsFull());
  // entry-2 has a link, but settles nothing.
  BOOST_TEST(pending.TakeDue(At(90000)).size() == 1U);
}

// Guards against a command that undoes a newer one, and against two agents that
// give commands to an engine which does not check fencing tokens.
BOOST_AUTO_TEST_CASE(FencingNumbersNeverFall)
{
  FencingTokens fencing(At(0));
  BOOST_TEST(fencing.TokenFor("e", 5, true, At(10)).value() == 5U);
  BOOST_TEST(fencing.TokenFor("e", 5, true, At(10)).ok());
  BOOST_TEST((base::KindOf(fencing.TokenFor("e", 4, true, At(10)).status()) ==
              ErrorKind::Conflict));
  BOOST_TEST((base::KindOf(fencing.TokenFor("f", 9, false, At(10)).status()) ==
              ErrorKind::NotFresh));
  BOOST_TEST(fencing.TokenFor("f", 9, false, At(1500)).ok());
}
