// Tests of an entry's view of the deployment.
#define BOOST_TEST_MODULE site_watch
#include <boost/test/unit_test.hpp>

#include "chivefront/base/ids.h"
#include "chivefront/site/messages.h"
#include "chivefront/site/registry_feed.h"
#include "chivefront/site/watch.h"

using namespace chivefront;
using namespace chivefront::site;

namespace {

struct WatchFixture
{
  WatchFixture()
    : m_watch(m_context, m_identity, {}, m_clock, m_log, [](std::string_view) {
      return routing::Config::Build({});
    })
  {
    m_clock.Advance(base::Millis(1000));
  }

  // A leading control process names aCount live entries.
  uint32_t EntriesAfterAnswer(uint32_t aCount)
  {
    wire::WatchReplyT reply;
    reply.fresh = true;
    reply.live_entries = aCount;
    m_watch.Accept(reply);
    return m_watch.View().m_liveEntries;
  }

  // A control process that hears aLeader (empty: none) answers with the
  // document aNumber, which is also the revision. Returns the number in the
  // view.
  uint64_t NumberAfterState(uint64_t aNumber,
                            bool aUnconfirmed,
                            const std::string& aLeader = "control-1")
  {
    State state;
    state.m_revision = aNumber;
    state.m_number = aNumber;
    state.m_document = std::make_shared<const std::string>("{}");
    wire::WatchReplyT reply;
    reply.unconfirmed = aUnconfirmed;
    reply.leader = aLeader;
    reply.snapshot = true;
    reply.revision = aNumber;
    reply.entries = ToEntries(state, 0, m_clock.Now());
    m_watch.Accept(reply);
    return m_watch.View().m_number;
  }

  net::asio::io_context m_context{ 1 };
  net::LinkIdentity m_identity;
  base::ManualClock m_clock;
  base::DecisionLog m_log{ "test", m_clock };
  Watch m_watch;
};

} // namespace

// Guards against shares of a common bound that add up to several times the
// bound after an election: the new leader knows few entries at first.
BOOST_FIXTURE_TEST_CASE(FewerEntriesCountOnlyWhenTheyLast, WatchFixture)
{
  BOOST_TEST(EntriesAfterAnswer(30) == 30U);
  BOOST_TEST(EntriesAfterAnswer(1) == 30U);
  m_clock.Advance(base::Millis(200));
  BOOST_TEST(EntriesAfterAnswer(29) == 30U);
  BOOST_TEST(EntriesAfterAnswer(31) == 31U);
  BOOST_TEST(EntriesAfterAnswer(20) == 31U);
  m_clock.Advance(base::Millis(2000));
  BOOST_TEST(EntriesAfterAnswer(20) == 20U);
}

// Guards against an entry that serves old state without a line in its log:
// control_lost was written only when no control process answered, so hosts cut
// off from the leader were not told apart from the others.
BOOST_FIXTURE_TEST_CASE(AnswersWithoutALeaderAreReported, WatchFixture)
{
  wire::WatchReplyT reply;
  reply.fresh = true;
  m_watch.Accept(reply);
  m_watch.ReportLeaderContact("control-1");
  BOOST_TEST(m_watch.HearsLeader());
  reply.fresh = false;
  m_clock.Advance(base::Millis(600));
  m_watch.Accept(reply);
  m_watch.ReportLeaderContact("control-2");
  BOOST_TEST(m_watch.HearsLeader());
  m_clock.Advance(base::Millis(600));
  m_watch.Accept(reply);
  m_watch.ReportLeaderContact("control-2");
  BOOST_TEST(!m_watch.HearsLeader());
  reply.fresh = true;
  m_watch.Accept(reply);
  m_watch.ReportLeaderContact("control-1");
  BOOST_TEST(m_watch.HearsLeader());
}

// Guards against an entry that starts on old state: after all hosts had lost
// power, it took version 3 from a control process that had heard no leader yet
// and refused what the acknowledged version 10 allows.
BOOST_FIXTURE_TEST_CASE(FirstStateNeedsALeaderSinceTheStart, WatchFixture)
{
  BOOST_TEST(NumberAfterState(3, true) == 0U);
  BOOST_TEST(!m_watch.View().m_config);
  BOOST_TEST(NumberAfterState(10, false) == 10U);
  BOOST_TEST(NumberAfterState(3, true) == 10U);
  // State that is newer than its own is taken from any process.
  BOOST_TEST(NumberAfterState(11, true) == 11U);
}

// Guards against an entry that starts during a cut and asks a control process
// that has lost its leader first: it took the state of before the cut, while
// the leader had acknowledged a newer one.
BOOST_FIXTURE_TEST_CASE(FirstStateNeedsAProcessThatHearsALeader, WatchFixture)
{
  BOOST_TEST(NumberAfterState(3, false, "") == 0U);
  BOOST_TEST(NumberAfterState(10, false) == 10U);
}

// Guards against an entry that never serves while no control process hears a
// leader. State that only a disk has held is not taken then either.
BOOST_FIXTURE_TEST_CASE(FirstStateDoesNotWaitForALeaderForever, WatchFixture)
{
  BOOST_TEST(NumberAfterState(3, false, "") == 0U);
  m_clock.Advance(base::Millis(3000));
  BOOST_TEST(NumberAfterState(4, true, "") == 0U);
  BOOST_TEST(NumberAfterState(3, false, "") == 3U);
}

namespace {

// A control process; an older one does not omit renewals.
struct PolledProcess
{
  void Register(const std::string& aId,
                const base::Clock& aClock,
                routing::InstanceState aState = routing::InstanceState::Ready)
  {
    routing::Instance record;
    record.m_id = aId;
    record.m_service = "app";
    record.m_address = { "10.0.0.1",
                         static_cast<uint16_t>(base::StableHash(aId)) };
    record.m_state = aState;
    record.m_slots = m_slots;
    record.m_born = 1;
    record.m_sequence = static_cast<uint64_t>(aClock.Now().SinceBoot().Count());
    record.m_reportedAt = aClock.Now();
    m_registry.Merge(record);
  }

  uint64_t m_epoch = 1;
  uint32_t m_slots = 0; // of its upstreams
  bool m_isOld = false;
  routing::Registry m_registry;
};

struct FeedFixture : WatchFixture
{
  // Returns the number of records in the answer.
  size_t Poll(PolledProcess& aProcess, int64_t aAnswerTakes = 0)
  {
    wire::WatchRequestT request = m_watch.MakeRequest();
    request.omit_renewals = request.omit_renewals && !aProcess.m_isOld;
    wire::WatchReplyT reply;
    AnswerRegistry(
      aProcess.m_registry, aProcess.m_epoch, request, m_clock.Now(), reply);
    m_clock.Advance(base::Millis(aAnswerTakes));
    m_watch.Accept(reply);
    return reply.upstreams.size();
  }

  bool IsUsable(const std::string& aId) const
  {
    const routing::Instance* known = m_watch.View().m_registry.Find(aId);
    return known != nullptr &&
           known->m_state == routing::InstanceState::Ready &&
           m_clock.Now() - known->m_reportedAt <= routing::kInstanceTimeout;
  }
};

} // namespace

// Guards against an entry that keeps old upstreams after it has changed to
// another control process, or to another incarnation of it, and against one
// that loses upstreams by that.
BOOST_FIXTURE_TEST_CASE(AnotherProcessBeginsWithAllUpstreams, FeedFixture)
{
  PolledProcess first;
  PolledProcess second;
  second.m_epoch = 2;
  first.Register("lost", m_clock);
  first.Register("kept", m_clock);
  BOOST_TEST(Poll(first) == 2U);
  BOOST_TEST(Poll(first) == 0U);
  for (int i = 0; i < 10; ++i) { // only the second one hears of it now
    m_clock.Advance(base::Millis(1000));
    second.Register("kept", m_clock);
    BOOST_TEST(Poll(second) == (i == 0 ? 1U : 0U));
    BOOST_TEST(IsUsable("kept"));
  }
  BOOST_TEST(!IsUsable("lost"));
  second.m_epoch = 3; // it has started again
  BOOST_TEST(Poll(second) == 1U);
}

// Guards against a follower that hears of renewals seconds later than the
// leader and by that takes time from upstreams that register.
BOOST_FIXTURE_TEST_CASE(FollowerThatLagsTakesNoTimeAway, FeedFixture)
{
  PolledProcess leader;
  PolledProcess follower;
  follower.m_epoch = 2;
  follower.Register("one", m_clock);
  m_clock.Advance(base::Millis(5000));
  leader.Register("one", m_clock);
  Poll(leader);
  Poll(follower); // names it as silent
  m_clock.Advance(routing::kInstanceTimeout);
  BOOST_TEST(IsUsable("one"));
  m_clock.Advance(base::Millis(1));
  BOOST_TEST(!IsUsable("one"));
}

// Guards against an entry that never hears of a change because the process that
// it polls has missed the one before and takes it for a renewal.
BOOST_FIXTURE_TEST_CASE(ProcessThatMissedAChangeIsAskedAgain, FeedFixture)
{
  PolledProcess leader;
  PolledProcess follower;
  follower.m_epoch = 2;
  follower.Register("one", m_clock);
  m_clock.Advance(base::Millis(1000));
  leader.m_slots = 4;
  leader.Register("one", m_clock);
  Poll(leader);
  BOOST_TEST(Poll(follower) == 1U);
  BOOST_TEST(m_watch.View().m_registry.Find("one")->m_slots == 4U);
  m_clock.Advance(base::Millis(1000));
  follower.Register("one", m_clock); // a renewal to this process
  BOOST_TEST(Poll(follower) == 1U);
  BOOST_TEST(m_watch.View().m_registry.Find("one")->m_slots == 0U);
  BOOST_TEST(Poll(follower) == 0U);
}

// Guards against an upstream that leaves and still gets requests.
BOOST_FIXTURE_TEST_CASE(DrainingIsHeardWithTheNextPoll, FeedFixture)
{
  PolledProcess process;
  process.Register("one", m_clock);
  Poll(process);
  m_clock.Advance(base::Millis(200));
  process.Register("one", m_clock, routing::InstanceState::Draining);
  BOOST_TEST(Poll(process) == 1U);
  BOOST_TEST(!IsUsable("one"));
}

// Guards against an entry and a control process of neighbouring releases that
// drop or keep upstreams.
BOOST_FIXTURE_TEST_CASE(OlderControlProcessSendsRenewals, FeedFixture)
{
  PolledProcess fresh;
  PolledProcess old;
  old.m_epoch = 2;
  old.m_isOld = true;
  for (int i = 0; i < 20; ++i) {
    m_clock.Advance(base::Millis(1000));
    fresh.Register("one", m_clock);
    old.Register("one", m_clock);
    Poll(i < 10 ? fresh : old);
    BOOST_TEST(IsUsable("one"));
  }
  // What the newer process vouched for does not last with the older one.
  m_clock.Advance(routing::kInstanceTimeout + base::Millis(1));
  Poll(old);
  BOOST_TEST(!IsUsable("one"));
}

// Guards against a control process that omits renewals towards an entry of an
// older release, which would drop all upstreams.
BOOST_FIXTURE_TEST_CASE(OlderEntryGetsRenewals, FeedFixture)
{
  PolledProcess process;
  process.Register("one", m_clock);
  wire::WatchRequestT request;
  wire::WatchReplyT reply;
  AnswerRegistry(
    process.m_registry, process.m_epoch, request, m_clock.Now(), reply);
  BOOST_TEST(reply.upstreams.size() == 1U);
  m_clock.Advance(base::Millis(1000));
  process.Register("one", m_clock);
  request.registry_epoch = reply.registry_epoch;
  request.registry_sequence = reply.registry_sequence;
  wire::WatchReplyT next;
  AnswerRegistry(
    process.m_registry, process.m_epoch, request, m_clock.Now(), next);
  BOOST_TEST(!next.omits_renewals);
  BOOST_REQUIRE(next.upstreams.size() == 1U);
  BOOST_TEST(next.upstreams.front()->age_ms == 0U);
}

// Guards against an entry out of reach of control that drops upstreams at once,
// and against one that keeps them for longer than control would.
BOOST_FIXTURE_TEST_CASE(OutOfReachTheLastViewHoldsForItsTime, FeedFixture)
{
  PolledProcess process;
  process.Register("one", m_clock);
  Poll(process);
  m_clock.Advance(base::Millis(1000));
  process.Register("one", m_clock);
  Poll(process);
  m_clock.Advance(routing::kInstanceTimeout - routing::kSilentAfter);
  BOOST_TEST(IsUsable("one"));
  m_clock.Advance(routing::kSilentAfter + base::Millis(1));
  BOOST_TEST(!IsUsable("one"));
}

// Guards against an entry that was paused and reads an answer from before the
// pause as if it were new.
BOOST_FIXTURE_TEST_CASE(AnswerFromBeforeAPauseRenewsNothing, FeedFixture)
{
  PolledProcess process;
  process.Register("one", m_clock);
  Poll(process);
  Poll(process, routing::kInstanceTimeout.Count() + 1);
  BOOST_TEST(!IsUsable("one"));
}
