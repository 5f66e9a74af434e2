// Tests of the Raft core: votes, log matching, check-quorum, bootstrap and
// admission of replicas.
// Promises: config
#define BOOST_TEST_MODULE core
#include <boost/test/unit_test.hpp>

#include "chivefront/consensus/core.h"

using namespace chivefront;
using namespace chivefront::consensus;

namespace {

constexpr uint64_t kSelf = 1;
constexpr uint64_t kB = 2;
constexpr uint64_t kC = 3;
const base::TimePoint kStart{ base::Millis(1000) };
constexpr base::Millis kTimeout{ 400 };

base::TimePoint
After(int64_t aMillis)
{
  return kStart + base::Millis(aMillis);
}

CoreOptions
Options()
{
  CoreOptions options;
  options.m_name = "a";
  options.m_identity = kSelf;
  options.m_initialMembers = { "a", "b", "c" };
  return options;
}

const Membership kThree{ { "a", kSelf, true },
                         { "b", kB, true },
                         { "c", kC, true } };

// The state of replica a of three, in term 5, with entries of these terms.
StoredState
Stored(const std::vector<uint64_t>& aTerms)
{
  StoredState state;
  state.m_identity = kSelf;
  state.m_hardState = { 5, 0, Stage::Active, kThree };
  for (const uint64_t term : aTerms) {
    state.m_entries.push_back(
      { term, state.m_entries.size() + 1, EntryKind::Command, "x" });
  }
  return state;
}

Message
MakeMessage(MessageKind aKind, uint64_t aFrom, uint64_t aTerm)
{
  Message message;
  message.m_kind = aKind;
  message.m_from = aFrom;
  message.m_to = kSelf;
  message.m_term = aTerm;
  return message;
}

// Carries out all actions of the core and returns the messages it sends.
std::vector<Message>
Drain(RaftCore& aCore, base::TimePoint aNow)
{
  std::vector<Message> sent;
  for (Actions actions = aCore.TakeActions(aNow); !actions.Empty();
       actions = aCore.TakeActions(aNow)) {
    aCore.OnSynced(aNow);
    for (auto* queue :
         { &actions.m_messagesBeforeSync, &actions.m_messagesAfterSync }) {
      for (Envelope& envelope : *queue) {
        sent.push_back(std::move(envelope.m_message));
      }
    }
  }
  return sent;
}

std::vector<Message>
ReceiveAndDrain(RaftCore& aCore, const Message& aMessage, base::TimePoint aNow)
{
  aCore.Receive(aMessage.m_from == kB ? "b" : "c", aMessage, aNow);
  return Drain(aCore, aNow);
}

// Makes replica a the leader of term 6 at After(2000) by the votes of b.
void
Elect(RaftCore& aCore)
{
  aCore.Tick(After(2000));
  Drain(aCore, After(2000));
  Message reply = MakeMessage(MessageKind::VoteReply, kB, 5);
  reply.m_flag = true;
  reply.m_index = 6;
  ReceiveAndDrain(aCore, reply, After(2000));
  ReceiveAndDrain(
    aCore, MakeMessage(MessageKind::VoteReply, kB, 6), After(2000));
  BOOST_REQUIRE(aCore.IsLeader());
}

Message
Acknowledge(uint64_t aFrom, uint64_t aIndex, uint64_t aRound = 0)
{
  Message reply = MakeMessage(MessageKind::AppendReply, aFrom, 6);
  reply.m_index = aIndex;
  reply.m_round = aRound;
  return reply;
}

} // namespace

// Guards against a vote for a candidate that lacks committed entries, against
// two votes in one term, and against candidates that depose a working leader.
BOOST_AUTO_TEST_CASE(Votes)
{
  struct Row
  {
    const char* m_case;
    uint64_t m_voted; // identity voted for in term 5
    bool m_hearsLeader;
    bool m_preVote;
    bool m_forced;
    uint64_t m_term;
    uint64_t m_logTerm;
    uint64_t m_index;
    bool m_granted;
  };
  const Row rows[] = {
    { "equal log", 0, false, false, false, 6, 3, 3, true },
    { "longer log", 0, false, false, false, 6, 3, 4, true },
    { "shorter log", 0, false, false, false, 6, 3, 2, false },
    { "longer log of an older term", 0, false, false, false, 6, 2, 9, false },
    { "shorter log of a newer term", 0, false, false, false, 6, 4, 1, true },
    { "old term", 0, false, false, false, 4, 3, 3, false },
    { "voted for another", kC, false, false, false, 5, 3, 3, false },
    { "voted for the same", kB, false, false, false, 5, 3, 3, true },
    { "voted in an older term", kC, false, false, false, 6, 3, 3, true },
    { "hears a leader", 0, true, false, false, 6, 3, 3, false },
    { "leadership transfer", 0, true, false, true, 6, 3, 3, true },
    { "pre-vote", 0, false, true, false, 6, 3, 3, true },
    { "pre-vote, hears a leader", 0, true, true, false, 6, 3, 3, false },
    { "pre-vote of the current term", 0, false, true, false, 5, 3, 3, false },
    { "pre-vote, shorter log", 0, false, true, false, 6, 3, 2, false },
  };
  for (const Row& row : rows) {
    StoredState state = Stored({ 1, 2, 3 });
    state.m_hardState.m_vote = row.m_voted;
    RaftCore core(Options(), state, kStart);
    if (row.m_hearsLeader) {
      ReceiveAndDrain(core, MakeMessage(MessageKind::Append, kC, 5), kStart);
    }
    Message vote = MakeMessage(MessageKind::Vote, kB, row.m_term);
    vote.m_flag = row.m_preVote;
    vote.m_forced = row.m_forced;
    vote.m_logTerm = row.m_logTerm;
    vote.m_index = row.m_index;
    const auto sent = ReceiveAndDrain(core, vote, After(10));
    const bool granted = sent.size() == 1 && !sent[0].m_rejected;
    BOOST_TEST(granted == row.m_granted, row.m_case);
    if (row.m_preVote) {
      BOOST_TEST(core.CurrentHardState().m_term == 5U, row.m_case);
      BOOST_TEST(core.CurrentHardState().m_vote == row.m_voted, row.m_case);
    }
  }
}

// Guards against a replica that votes, or starts an election, before it is part
// of any membership.
BOOST_AUTO_TEST_CASE(NoVoteBeforeMembership)
{
  for (const Stage stage : { Stage::Empty, Stage::Prepared }) {
    StoredState state = Stored({});
    state.m_hardState.m_stage = stage;
    RaftCore core(Options(), state, kStart);
    BOOST_TEST(
      ReceiveAndDrain(core, MakeMessage(MessageKind::Vote, kB, 9), kStart)
        .empty());
    core.Tick(After(5000));
    for (const Message& message : Drain(core, After(5000))) {
      BOOST_TEST((message.m_kind == MessageKind::Hello));
    }
  }
}

// Guards against a log that diverges from the leader's log, and against
// rejections that step back only one entry at a time.
BOOST_AUTO_TEST_CASE(AppendRules)
{
  struct Row
  {
    const char* m_case;
    uint64_t m_index;
    uint64_t m_logTerm;
    std::vector<uint64_t> m_terms; // of the entries carried
    bool m_rejected;
    uint64_t m_hint;
    std::vector<uint64_t> m_log; // terms of the log afterwards
  };
  const Row rows[] = {
    { "next entry", 5, 4, { 5 }, false, 0, { 1, 1, 4, 4, 4, 5 } },
    { "gap", 7, 5, { 5 }, true, 5, { 1, 1, 4, 4, 4 } },
    { "conflict skips the term", 5, 5, { 5 }, true, 2, { 1, 1, 4, 4, 4 } },
    { "replaces a conflict", 2, 1, { 5 }, false, 0, { 1, 1, 5 } },
    { "old message keeps the tail", 2, 1, { 4 }, false, 0, { 1, 1, 4, 4, 4 } },
    { "from the start", 0, 0, { 1, 1 }, false, 0, { 1, 1, 4, 4, 4 } },
  };
  for (const Row& row : rows) {
    RaftCore core(Options(), Stored({ 1, 1, 4, 4, 4 }), kStart);
    Message append = MakeMessage(MessageKind::Append, kB, 5);
    append.m_index = row.m_index;
    append.m_logTerm = row.m_logTerm;
    append.m_commitIndex = 100;
    for (const uint64_t term : row.m_terms) {
      append.m_entries.push_back({ term,
                                   row.m_index + append.m_entries.size() + 1,
                                   EntryKind::Command,
                                   "x" });
    }
    const auto sent = ReceiveAndDrain(core, append, kStart);
    BOOST_TEST_REQUIRE(sent.size() == 1U, row.m_case);
    BOOST_TEST(sent[0].m_rejected == row.m_rejected, row.m_case);
    BOOST_TEST(sent[0].m_hint == row.m_hint, row.m_case);
    std::vector<uint64_t> terms;
    for (uint64_t i = 1; i <= core.Entries().LastIndex(); ++i) {
      terms.push_back(core.Entries().TermAt(i));
    }
    BOOST_TEST(terms == row.m_log, row.m_case);
    // Only entries that this message proves to match may be committed.
    const uint64_t proven =
      row.m_rejected ? 0 : row.m_index + row.m_terms.size();
    BOOST_TEST(core.CommitIndex() == proven, row.m_case);
  }
}

// Guards against the commit of an entry of an older term only because a
// majority holds it: a newer leader may still replace it (figure 8 of the Raft
// paper).
BOOST_AUTO_TEST_CASE(CommitsOnlyEntriesOfItsOwnTerm)
{
  RaftCore core(Options(), Stored({ 1, 2 }), kStart);
  Elect(core);
  ReceiveAndDrain(core, Acknowledge(kB, 2), After(2001));
  BOOST_TEST(core.CommitIndex() == 0U);
  ReceiveAndDrain(core, Acknowledge(kB, 3), After(2002));
  BOOST_TEST(core.CommitIndex() == 3U);
}

// Guards against a leader that counts itself towards the majority before its
// own entry is durable.
BOOST_AUTO_TEST_CASE(LeaderCountsItselfAfterSync)
{
  RaftCore core(Options(), Stored({}), kStart);
  Elect(core);
  ReceiveAndDrain(core, Acknowledge(kB, 1), After(2001));
  core.Propose("x");
  const Actions actions = core.TakeActions(After(2001));
  BOOST_TEST(
    !actions.m_messagesBeforeSync.empty()); // sent while the sync is under way
  core.Receive("b", Acknowledge(kB, 2), After(2002));
  BOOST_TEST(core.CommitIndex() == 1U);
  core.OnSynced(After(2003));
  BOOST_TEST(core.CommitIndex() == 2U);
}

// Guards against a leader that continues without a majority, or that confirms
// its leadership by replies to an older round.
BOOST_AUTO_TEST_CASE(QuorumAndConfirmation)
{
  RaftCore core(Options(), Stored({}), kStart);
  Elect(core);
  ReceiveAndDrain(core, Acknowledge(kB, 1), After(2100));
  core.ConfirmLeadership(7);
  Actions actions = core.TakeActions(After(2100));
  BOOST_TEST(actions.m_confirmations.empty());
  const uint64_t round = actions.m_messagesBeforeSync.front().m_message.m_round;
  core.Receive("b", Acknowledge(kB, 1, round - 1), After(2101));
  BOOST_TEST(core.TakeActions(After(2101)).m_confirmations.empty());
  core.Receive("c", Acknowledge(kC, 0, round), After(2102));
  actions = core.TakeActions(After(2102));
  BOOST_TEST_REQUIRE(actions.m_confirmations.size() == 1U);
  BOOST_TEST((actions.m_confirmations[0].m_readIndex == 1U));
  core.ConfirmLeadership(8);
  core.Tick(After(2500));
  BOOST_TEST(core.IsLeader());
  core.TakeActions(After(2500));
  core.Tick(After(2502));
  BOOST_TEST(!core.IsLeader());
  actions = core.TakeActions(After(2502));
  BOOST_TEST(actions.m_steppedDown);
  BOOST_TEST_REQUIRE(actions.m_confirmations.size() == 1U);
  BOOST_TEST(!actions.m_confirmations[0].m_readIndex.has_value());
}

// Guards against a leader that was paused and acts on its leadership before it
// has looked at the time: others may have elected another one meanwhile.
BOOST_AUTO_TEST_CASE(LeadershipRunsOutDuringAPause)
{
  RaftCore core(Options(), Stored({}), kStart);
  Elect(core);
  ReceiveAndDrain(core, Acknowledge(kB, 1), After(2100));
  core.Receive("c", Acknowledge(kC, 1), After(2050));
  const GroupStatus published = core.Status(After(2100));
  const GroupStatus before = CurrentStatus(published, After(2499));
  BOOST_TEST((before.m_role == RaftRole::Leader));
  BOOST_TEST(before.m_leader == "a");
  const GroupStatus after = CurrentStatus(published, After(2500));
  BOOST_TEST((after.m_role == RaftRole::Follower));
  BOOST_TEST(after.m_leader.empty());
  BOOST_TEST(!after.m_repaired);
}

// Guards against a term that rises while a replica is partitioned, which would
// depose a working leader when the replica returns.
BOOST_AUTO_TEST_CASE(IsolatedReplicaKeepsItsTerm)
{
  RaftCore core(Options(), Stored({}), kStart);
  for (int64_t i = 0; i < 20; ++i) {
    core.Tick(After(i * 1000));
    Drain(core, After(i * 1000));
  }
  BOOST_TEST(core.CurrentHardState().m_term == 5U);
}

// Guards against two different initial memberships after a disk is lost during
// the bootstrap, when messages of the lost replica may still arrive, and
// against a bootstrap that never completes after such a loss.
BOOST_AUTO_TEST_CASE(StaleHelloGivesNoSecondMembership)
{
  StoredState empty;
  empty.m_identity = kSelf;
  RaftCore core(Options(), empty, kStart);
  uint64_t nonce = 0;
  int64_t now = 0;
  const auto tick = [&] {
    now += 100;
    core.Tick(After(now));
    nonce = Drain(core, After(now)).at(0).m_round;
  };
  const auto replyHello =
    [&](uint64_t aFrom, Stage aStage, Membership aMembers, uint64_t aNonce) {
      Message hello = MakeMessage(MessageKind::Hello, aFrom, 0);
      hello.m_to = 0;
      hello.m_flag = true;
      hello.m_round = aNonce;
      hello.m_stage = aStage;
      hello.m_members = std::move(aMembers);
      core.Receive(aFrom == kC ? "c" : "b", hello, After(now));
      Drain(core, After(now));
      return core.CurrentHardState().m_stage;
    };
  constexpr uint64_t kNewB = 22;
  Membership other = kThree;
  other[1].m_identity = kNewB;
  tick();
  BOOST_TEST((replyHello(kB, Stage::Empty, {}, nonce + 1) == Stage::Empty));
  BOOST_TEST((replyHello(kC, Stage::Empty, {}, nonce) == Stage::Empty));
  const uint64_t old = nonce;
  BOOST_TEST((replyHello(kB, Stage::Empty, {}, nonce) == Stage::Prepared));
  tick();
  BOOST_TEST(
    (replyHello(kC, Stage::Prepared, kThree, nonce) == Stage::Prepared));
  // Replies to older hellos and replies with another membership don't count.
  BOOST_TEST((replyHello(kB, Stage::Prepared, kThree, old) == Stage::Prepared));
  BOOST_TEST(
    (replyHello(kB, Stage::Prepared, other, nonce) == Stage::Prepared));
  BOOST_TEST((replyHello(kB, Stage::Active, kThree, old) == Stage::Prepared));
  BOOST_TEST(core.Members().empty());
  // Replica b lost its disk: the bootstrap restarts with the new replica.
  const uint64_t prepared = nonce;
  BOOST_TEST((replyHello(kNewB, Stage::Empty, {}, nonce) == Stage::Empty));
  tick();
  BOOST_TEST(
    (replyHello(kB, Stage::Prepared, kThree, prepared) == Stage::Empty));
  BOOST_TEST((replyHello(kNewB, Stage::Empty, {}, nonce) == Stage::Empty));
  BOOST_TEST((replyHello(kC, Stage::Empty, {}, nonce) == Stage::Prepared));
  tick();
  BOOST_TEST(
    (replyHello(kC, Stage::Prepared, other, nonce) == Stage::Prepared));
  BOOST_TEST(
    (replyHello(kNewB, Stage::Prepared, other, nonce) == Stage::Active));
  BOOST_TEST((core.Members() == other));
}

// Guards against a replica that replaces one with a lost disk and votes before
// it holds all entries, and against a repair that is reported too early.
BOOST_AUTO_TEST_CASE(LostDiskIsReplacedStepByStep)
{
  constexpr uint64_t kNewB = 22;
  RaftCore core(Options(), Stored({ 1, 2 }), kStart);
  Elect(core);
  int64_t now = 2000;
  const auto acknowledgeAll = [&](uint64_t aNewBHolds) {
    now += 500;
    ReceiveAndDrain(
      core, Acknowledge(kC, core.Entries().LastIndex()), After(now));
    if (aNewBHolds > 0) {
      ReceiveAndDrain(core, Acknowledge(kNewB, aNewBHolds), After(now));
    }
    ReceiveAndDrain(
      core, Acknowledge(kC, core.Entries().LastIndex()), After(now));
  };
  const auto voters = [&] {
    std::set<uint64_t> found;
    for (const Replica& replica : core.Members()) {
      if (replica.m_voter) {
        found.insert(replica.m_identity);
      }
    }
    return found;
  };
  acknowledgeAll(0);
  Message hello = MakeMessage(MessageKind::Hello, kNewB, 0);
  hello.m_to = 0;
  core.Receive("b", hello, After(now));
  Drain(core, After(now));
  BOOST_TEST(core.Members().size() == 4U);
  acknowledgeAll(0);
  acknowledgeAll(1); // the new learner lacks entries
  BOOST_TEST((voters() == std::set<uint64_t>{ kSelf, kB, kC }));
  BOOST_TEST(!core.Status(After(now)).m_repaired);
  acknowledgeAll(core.Entries().LastIndex());
  BOOST_TEST((voters() == std::set<uint64_t>{ kSelf, kC }));
  BOOST_TEST(!core.Status(After(now)).m_repaired);
  acknowledgeAll(core.Entries().LastIndex());
  BOOST_TEST((voters() == std::set<uint64_t>{ kSelf, kC, kNewB }));
  acknowledgeAll(core.Entries().LastIndex() - 1);
  BOOST_TEST(!core.Status(After(now)).m_repaired);
  acknowledgeAll(core.Entries().LastIndex());
  BOOST_TEST(core.Status(After(now)).m_repaired);
  BOOST_TEST(core.Status(After(now)).m_caughtUpVoters == 3U);
  // The group is not repaired any more once the new replica is silent.
  now += kTimeout.Count() + 1;
  ReceiveAndDrain(
    core, Acknowledge(kC, core.Entries().LastIndex()), After(now));
  BOOST_TEST(!core.Status(After(now)).m_repaired);
}

// Guards against a vote that is sent before it is durable, so that a crash
// could lead to a second vote in the same term.
BOOST_AUTO_TEST_CASE(VotesAreMadeDurable)
{
  RaftCore core(Options(), Stored({}), kStart);
  core.Receive("b", MakeMessage(MessageKind::Vote, kB, 5), kStart);
  const Actions actions = core.TakeActions(kStart);
  BOOST_TEST(actions.m_saveHardState);
  BOOST_TEST(actions.m_messagesBeforeSync.empty());
  BOOST_TEST(actions.m_messagesAfterSync.size() == 1U);
}

// Guards against entries that are sent before the term of their leader is
// durable, so that a crash of the leader could start the same term again.
BOOST_AUTO_TEST_CASE(NothingOfATermIsSentBeforeItIsDurable)
{
  StoredState state = Stored({});
  state.m_hardState.m_initialMembers = { { "a", kSelf, true },
                                         { "b", kB, false } };
  RaftCore core(Options(), state, kStart);
  core.Tick(After(2000));
  BOOST_REQUIRE(core.IsLeader());
  const Actions actions = core.TakeActions(After(2000));
  BOOST_TEST(actions.m_saveHardState);
  BOOST_TEST(actions.m_messagesBeforeSync.empty());
  BOOST_TEST(!actions.m_messagesAfterSync.empty());
}

// Guards against a membership change while an older one may be uncommitted, and
// against a stale hello that displaces a live replica.
BOOST_AUTO_TEST_CASE(AdmissionWaitsForCommitAndSilence)
{
  Message hello = MakeMessage(MessageKind::Hello, 22, 0);
  hello.m_to = 0;
  RaftCore early(Options(), Stored({}), kStart);
  Elect(early);
  ReceiveAndDrain(early, Acknowledge(kC, 0), After(2001));
  ReceiveAndDrain(early, hello, After(2500));
  BOOST_TEST((early.Members() == kThree));
  RaftCore core(Options(), Stored({}), kStart);
  Elect(core);
  ReceiveAndDrain(core, Acknowledge(kB, 1), After(2001));
  core.Receive("b", hello, After(2100));
  Drain(core, After(2100));
  BOOST_TEST((core.Members() == kThree));
  core.Receive("b", hello, After(2001 + kTimeout.Count()));
  Drain(core, After(2001 + kTimeout.Count()));
  BOOST_TEST(core.Members().size() == 4U);
}

// Guards against a learner that waits forever for a leader because the entry
// that admitted it was lost with its leader.
BOOST_AUTO_TEST_CASE(LearnerAsksAgainAfterLostAdmission)
{
  StoredState state = Stored({});
  state.m_hardState.m_initialMembers = { { "a", kSelf, false },
                                         { "b", kB, true } };
  RaftCore core(Options(), state, kStart);
  ReceiveAndDrain(core, MakeMessage(MessageKind::Append, kB, 5), kStart);
  core.Tick(After(kTimeout.Count() - 1));
  BOOST_TEST(Drain(core, kStart).empty());
  core.Tick(After(kTimeout.Count() + 200));
  const auto sent = Drain(core, kStart);
  BOOST_TEST_REQUIRE(!sent.empty());
  BOOST_TEST((sent[0].m_kind == MessageKind::Hello));
}

// Guards against a learner that names a leader which it no longer hears: it
// never stands for election, so it sent operators and entries to the deposed
// leader for as long as a cut lasted.
BOOST_AUTO_TEST_CASE(LearnerForgetsASilentLeader)
{
  StoredState state = Stored({});
  state.m_hardState.m_initialMembers[0].m_voter = false;
  RaftCore core(Options(), state, kStart);
  core.Receive("b", MakeMessage(MessageKind::Append, kB, 5), kStart);
  BOOST_TEST(core.Status(kStart).m_leader == "b");
  for (int64_t i = 0; i <= 3 * kTimeout.Count(); ++i) {
    core.Tick(After(i));
    (void)Drain(core, After(i));
  }
  BOOST_TEST(core.Status(After(3 * kTimeout.Count())).m_leader.empty());
}
