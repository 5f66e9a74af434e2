// Tests of an entry's view of the deployment.
#define BOOST_TEST_MODULE site_watch
#include <boost/test/unit_test.hpp>

#include "chivefront/site/messages.h"
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
