// Merging of registration records that are late, repeated, out of order or from
// an earlier incarnation.
#define BOOST_TEST_MODULE routing_registry
#include <boost/test/unit_test.hpp>

#include "chivefront/routing/registry.h"

using namespace chivefront;
using namespace chivefront::routing;

namespace {

Instance
Record(const std::string& aId, uint64_t aBorn, uint64_t aSequence)
{
  Instance record;
  record.m_id = aId;
  record.m_service = "app";
  record.m_address = { "10.0.0.9", 80 };
  record.m_born = aBorn;
  record.m_sequence = aSequence;
  record.m_reportedAt = base::TimePoint(base::Millis(1000));
  return record;
}

} // namespace

BOOST_AUTO_TEST_CASE(OldRecordsChangeNothing)
{
  Registry registry;
  Instance draining = Record("a", 10, 5);
  draining.m_state = InstanceState::Draining;
  BOOST_TEST(registry.Merge(draining));
  BOOST_TEST(!registry.Merge(Record("a", 10, 4)));
  BOOST_TEST(!registry.Merge(Record("a", 10, 5)));
  BOOST_TEST(!registry.Merge(Record("a", 9, 50)));
  const bool kept = registry.Find("a")->m_state == InstanceState::Draining;
  BOOST_TEST(kept);
}

// Guards against an upstream that drains and gets requests again: a record of
// the same incarnation that names it as ready comes later. It stays known as
// alive.
BOOST_AUTO_TEST_CASE(DrainingIncarnationDoesNotBecomeReady)
{
  Registry registry;
  Instance draining = Record("a", 10, 5);
  draining.m_state = InstanceState::Draining;
  registry.Merge(draining);
  Instance ready = Record("a", 10, 6);
  ready.m_reportedAt = ready.m_reportedAt + base::Millis(1000);
  BOOST_TEST(registry.Merge(ready));
  const Instance* known = registry.Find("a");
  const bool drains = known->m_state == InstanceState::Draining;
  BOOST_TEST(drains);
  const bool alive = known->m_reportedAt == ready.m_reportedAt;
  BOOST_TEST(alive);
  // The next incarnation is ready.
  BOOST_TEST(registry.Merge(Record("a", 20, 1)));
  const bool isReady = registry.Find("a")->m_state == InstanceState::Ready;
  BOOST_TEST(isReady);
}

// Guards against an entry that ignores the draining of an upstream that control
// has learnt from its log: the record that the entry knows has the same number.
BOOST_AUTO_TEST_CASE(MarkedDrainingReachesEntries)
{
  Registry control;
  Registry entry;
  control.Merge(Record("a", 10, 5));
  entry.Merge(Record("a", 10, 5));
  BOOST_TEST(!control.MarkDraining("a", 9));
  BOOST_TEST(control.MarkDraining("a", 10));
  BOOST_TEST(!control.MarkDraining("a", 10));
  for (const Instance& changed : control.ChangedSince(0)) {
    BOOST_TEST(entry.Merge(changed));
  }
  const bool drains = entry.Find("a")->m_state == InstanceState::Draining;
  BOOST_TEST(drains);
}

// Guards against ignoring an upstream that restarted under its id: its sequence
// numbers start from one again.
BOOST_AUTO_TEST_CASE(LaterIncarnationOfAnIdWins)
{
  Registry registry;
  registry.Merge(Record("a", 10, 50));
  BOOST_TEST(registry.Merge(Record("a", 20, 1)));
  BOOST_TEST(!registry.Merge(Record("a", 10, 51)));
  BOOST_TEST(registry.Find("a")->m_born == 20U);
}

// Guards against routing to a crashed upstream: its registration was delayed by
// a network partition and arrives after another upstream registered at the same
// address.
BOOST_AUTO_TEST_CASE(AddressBelongsToTheYoungestIncarnation)
{
  Registry registry;
  registry.Merge(Record("old", 10, 5));
  Instance successor = Record("new", 20, 1);
  successor.m_service = "other";
  BOOST_TEST(registry.Merge(successor));
  const bool gone = registry.Find("old")->m_state == InstanceState::Gone;
  BOOST_TEST(gone);
  BOOST_TEST(!registry.Merge(Record("old", 10, 6)));
  const bool ready = registry.Find("new")->m_state == InstanceState::Ready;
  BOOST_TEST(ready);
}

// Guards against an upstream that has unregistered and still gets requests: it
// told a control process that had missed its last record, so the end looked
// older than that record.
BOOST_AUTO_TEST_CASE(EndOfAnIncarnationOvertakesItsRecords)
{
  Registry registry;
  BOOST_TEST(registry.Merge(Record("a", 10, 7)));
  Instance gone = Record("a", 10, 6);
  gone.m_state = InstanceState::Gone;
  BOOST_TEST(registry.Merge(gone));
  BOOST_TEST(!registry.Merge(Record("a", 10, 8)));
  BOOST_TEST(registry.Merge(Record("a", 20, 1)));
  BOOST_TEST(!registry.Merge(gone));
}

BOOST_AUTO_TEST_CASE(AnUpstreamThatLeftStaysAway)
{
  Registry registry;
  registry.Merge(Record("a", 10, 5));
  const base::TimePoint now(base::Millis(2000));
  BOOST_TEST(!registry.Remove("a", 9, now)); // from an earlier incarnation
  BOOST_TEST(registry.Remove("a", 10, now));
  BOOST_TEST(!registry.Merge(Record("a", 10, 7)));
  BOOST_TEST(registry.Merge(Record("a", 11, 1)));
}

// Guards against an upstream that has unregistered and comes back with a late
// record: it told a process that did not know it, or not this incarnation.
BOOST_AUTO_TEST_CASE(EndOfAnUnknownIncarnationIsKept)
{
  const base::TimePoint now(base::Millis(2000));
  Registry registry;
  BOOST_TEST(registry.Remove("a", 10, now));
  BOOST_TEST(!registry.Merge(Record("a", 10, 7)));
  BOOST_TEST(registry.Merge(Record("a", 11, 1)));
  BOOST_TEST(registry.Remove("a", 12, now));
  BOOST_TEST(!registry.Merge(Record("a", 12, 3)));
  BOOST_TEST(registry.Merge(Record("a", 13, 1)));
  // Without the time of its start it can't be told from a later incarnation.
  BOOST_TEST(!registry.Remove("b", 0, now));
}

// Guards against the end of one upstream ending another one that has its
// address since.
BOOST_AUTO_TEST_CASE(EndOfAnIncarnationClaimsNoAddress)
{
  Registry registry;
  BOOST_TEST(registry.Merge(Record("young", 20, 1)));
  Instance gone = Record("old", 30, 1);
  gone.m_state = InstanceState::Gone;
  BOOST_TEST(registry.Merge(gone));
  const bool ready = registry.Find("young")->m_state == InstanceState::Ready;
  BOOST_TEST(ready);
}

// Guards against a process that runs out of memory because someone registers
// ever new upstreams. Those that are known stay.
BOOST_AUTO_TEST_CASE(RegistryIsBounded)
{
  const base::TimePoint now(base::Millis(1000));
  Registry registry;
  BOOST_TEST(registry.Merge(Record("a", 10, 1)));
  size_t taken = 1;
  while (registry.Remove("x" + std::to_string(taken), 1, now)) {
    ++taken;
  }
  BOOST_TEST(taken == kMaxInstances);
  BOOST_TEST(!registry.Merge(Record("b", 10, 1)));
  BOOST_TEST(registry.Merge(Record("a", 10, 2)));
  BOOST_TEST(registry.Remove("a", 10, now));
  registry.Expire(now + base::Millis(100000));
  BOOST_TEST(registry.Merge(Record("b", 10, 1)));
}

BOOST_AUTO_TEST_CASE(ChangedSinceListsEachChangeOnce)
{
  Registry registry;
  registry.Merge(Record("a", 10, 1));
  const uint64_t seen = registry.Sequence();
  BOOST_TEST(registry.ChangedSince(seen).empty());
  BOOST_TEST(registry.ChangedSince(0).size() == 1U);
  registry.Remove("a", 10, base::TimePoint(base::Millis(2000)));
  BOOST_TEST(registry.ChangedSince(seen).size() == 1U);
}

BOOST_AUTO_TEST_CASE(SilentUpstreamsAreRemoved)
{
  Registry registry;
  registry.Merge(Record("a", 10, 1));
  registry.Expire(base::TimePoint(base::Millis(1000)) + kInstanceTimeout);
  BOOST_TEST(registry.Find("a") != nullptr);
  registry.Expire(base::TimePoint(base::Millis(2000)) + kInstanceTimeout * 2);
  BOOST_TEST(registry.Find("a") == nullptr);
}
