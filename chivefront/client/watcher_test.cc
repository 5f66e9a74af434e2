// Tests of the freshness lease and of the watcher's view.
// Promises: config, domain-out, withdrawn, leaving
#define BOOST_TEST_MODULE watcher
#include <boost/test/unit_test.hpp>

#include "chivefront/base/errors.h"
#include "chivefront/client/watcher.h"

using namespace chivefront;
using base::Millis;

namespace {

struct Fixture
{
  net::asio::io_context m_context;
  net::LinkIdentity m_identity;
  client::ControlLinks m_control{ m_context, m_identity, {} };
  base::ManualClock m_clock;
  base::EventLog m_events{ "test", "", 10 };
  client::Watcher m_watcher{ m_context,         m_control, "entry-1",
                             wire::Role::Entry, m_clock,   m_events };

  static wire::WatchReplyT Reply(uint64_t aRevision, uint32_t aAge)
  {
    wire::WatchReplyT reply;
    reply.revision = aRevision;
    reply.age_ms = aAge;
    reply.fresh = true;
    reply.live_entries = 1;
    return reply;
  }

  static void Put(wire::WatchReplyT& aReply, const std::string& aKey)
  {
    auto entry = std::make_unique<wire::ConfigEntryT>();
    entry->key = aKey;
    entry->value = "{}";
    aReply.entries.push_back(std::move(entry));
  }

  static void PutUpstream(wire::WatchReplyT& aReply, const std::string& aName)
  {
    auto upstream = std::make_unique<wire::UpstreamInfoT>();
    upstream->name = aName;
    aReply.upstreams.push_back(std::move(upstream));
  }
};

} // namespace

// Guards against new work by a partitioned process: the lease must be counted
// from the time the request was sent, minus the age in the reply. Counting from
// the arrival of the reply would extend it by the network delay.
BOOST_FIXTURE_TEST_CASE(LeaseCountsFromTheRequest, Fixture)
{
  m_clock.Advance(Millis(10000));
  const base::TimePoint sentAt = m_clock.Now();
  m_clock.Advance(Millis(700)); // a slow reply
  BOOST_TEST(m_watcher.Accept(sentAt, Reply(1, 300)));
  BOOST_TEST(m_watcher.FreshView().ok());
  m_clock.Advance(Millis(499));
  BOOST_TEST(m_watcher.FreshView().ok());
  m_clock.Advance(Millis(1));
  BOOST_TEST((base::KindOf(m_watcher.FreshView().status()) ==
              base::ErrorKind::NotFresh));
}

// Guards against a delayed reply with an older revision that extends or
// shortens the lease or replaces the view.
BOOST_FIXTURE_TEST_CASE(OlderRepliesChangeNothing, Fixture)
{
  m_clock.Advance(Millis(10000));
  auto newer = Reply(5, 0);
  Put(newer, "out/domain/a");
  BOOST_TEST(m_watcher.Accept(m_clock.Now(), newer));
  m_clock.Advance(Millis(1000));
  // A control process that lags behind revision 5 must not extend the lease.
  BOOST_TEST(!m_watcher.Accept(m_clock.Now(), Reply(4, 0)));
  m_clock.Advance(Millis(600));
  BOOST_TEST(!m_watcher.FreshView().ok());
  BOOST_TEST(m_watcher.Revision() == 5U);
  BOOST_TEST(m_watcher.LastView()->m_catalog->m_domainsOut.count("a") == 1U);
}

// Guards against new work after a restart before a control process has
// confirmed its state.
BOOST_FIXTURE_TEST_CASE(NothingIsFreshBeforeAReply, Fixture)
{
  BOOST_TEST(!m_watcher.FreshView().ok());
  auto unconfirmed = Reply(3, 0);
  unconfirmed.fresh = false;
  BOOST_TEST(m_watcher.Accept(m_clock.Now(), unconfirmed));
  BOOST_TEST(!m_watcher.FreshView().ok());
}

// Guards against a delta that replaces the previous entries, and against
// entries that survive a snapshot without them.
BOOST_FIXTURE_TEST_CASE(DeltasExtendAndSnapshotsReplace, Fixture)
{
  auto first = Reply(1, 0);
  Put(first, "out/domain/a");
  BOOST_TEST(m_watcher.Accept(m_clock.Now(), first));
  auto second = Reply(2, 0);
  Put(second, "out/domain/b");
  BOOST_TEST(m_watcher.Accept(m_clock.Now(), second));
  BOOST_TEST(m_watcher.LastView()->m_catalog->m_domainsOut.size() == 2U);
  auto snapshot = Reply(3, 0);
  snapshot.snapshot = true;
  Put(snapshot, "out/domain/c");
  BOOST_TEST(m_watcher.Accept(m_clock.Now(), snapshot));
  BOOST_TEST(m_watcher.LastView()->m_catalog->m_domainsOut.size() == 1U);
}

// Guards against requests without an upstream after all control processes have
// restarted: a process with an incomplete registry must be able to add
// upstreams, but its reply must not remove others. Fails if additions are only
// applied with a new epoch.
BOOST_FIXTURE_TEST_CASE(PartialRegistryAddsUpstreamsAndRemovesNone, Fixture)
{
  auto partial = Reply(1, 0);
  PutUpstream(partial, "u1");
  BOOST_TEST(m_watcher.Accept(m_clock.Now(), partial));
  BOOST_TEST(m_watcher.LastView()->m_registry->count("u1") == 1U);
  BOOST_TEST(!m_watcher.HasFullRegistry());
  auto complete = Reply(1, 0);
  complete.registry_epoch = 7;
  complete.registry_sequence = 2;
  complete.registry_snapshot = true;
  PutUpstream(complete, "u2");
  PutUpstream(complete, "u3");
  BOOST_TEST(m_watcher.Accept(m_clock.Now(), complete));
  BOOST_TEST(m_watcher.HasFullRegistry());
  BOOST_TEST(m_watcher.LastView()->m_registry->count("u1") == 0U);
  auto other = Reply(1, 0);
  other.registry_epoch = 7;
  other.registry_sequence = 2;
  PutUpstream(other, "u4");
  BOOST_TEST(m_watcher.Accept(m_clock.Now(), other));
  BOOST_TEST(m_watcher.LastView()->m_registry->size() == 3U);
}

// Guards against an invalid configuration that replaces a valid one.
BOOST_FIXTURE_TEST_CASE(InvalidConfigurationIsRefused, Fixture)
{
  auto bad = Reply(1, 0);
  Put(bad, "model/x");
  BOOST_TEST(!m_watcher.Accept(m_clock.Now(), bad));
  BOOST_TEST(m_watcher.Revision() == 0U);
  BOOST_TEST(!m_watcher.FreshView().ok());
}

// Guards against suspects that do not reach an entry, or that it keeps after
// they were cleared. A rejected reply must not change them.
BOOST_FIXTURE_TEST_CASE(SuspectsFollowTheReplies, Fixture)
{
  auto first = Reply(2, 0);
  first.suspects = { 7, 8 };
  BOOST_TEST(m_watcher.Accept(m_clock.Now(), first));
  BOOST_TEST(m_watcher.LastView()->m_suspects.count(7) == 1U);
  BOOST_TEST(!m_watcher.Accept(m_clock.Now(), Reply(1, 0)));
  BOOST_TEST(m_watcher.LastView()->m_suspects.size() == 2U);
  BOOST_TEST(m_watcher.Accept(m_clock.Now(), Reply(2, 0)));
  BOOST_TEST(m_watcher.LastView()->m_suspects.empty());
}
