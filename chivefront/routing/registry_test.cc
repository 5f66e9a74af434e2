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
  const uint64_t notice = registry.LastNotice();
  registry.Expire(base::TimePoint(base::Millis(2000)) + kInstanceTimeout * 2);
  BOOST_TEST(registry.Find("a") == nullptr);
  // A copy on disk must not keep it.
  BOOST_TEST(registry.LastNotice() > notice);
}

namespace {

constexpr base::TimePoint
At(int64_t aMillis)
{
  return base::TimePoint(base::Millis(aMillis));
}

// A control process and an entry that polls it.
struct PolledRegistry
{
  void Register(const Instance& aRecord, int64_t aMillis)
  {
    Instance record = aRecord;
    record.m_sequence = ++m_sequence;
    record.m_reportedAt = At(aMillis);
    m_control.Merge(record);
  }

  // Returns how many records and how many silent upstreams the answer names.
  std::pair<size_t, size_t> Poll(int64_t aMillis)
  {
    const RegistryNews news = m_control.NewsSince(m_known, At(aMillis));
    if (news.m_whole) {
      m_entry.StopVouching();
      m_known.m_floor = m_control.Sequence();
    }
    for (const Instance* changed : news.m_changed) {
      BOOST_TEST(m_entry.MergeVouched(*changed));
    }
    for (const Instance* silent : news.m_silent) {
      m_entry.NoteSilent(silent->m_id, silent->m_born, silent->m_reportedAt);
    }
    m_entry.Renew(At(aMillis) - news.m_freshness);
    m_known.m_sequence = news.m_sequence;
    return { news.m_changed.size(), news.m_silent.size() };
  }

  bool IsUsable(const std::string& aId, int64_t aMillis) const
  {
    const Instance* known = m_entry.Find(aId);
    return known != nullptr && known->m_state == InstanceState::Ready &&
           At(aMillis) - known->m_reportedAt <= kInstanceTimeout;
  }

  Registry m_control;
  Registry m_entry;
  RegistryPosition m_known;
  uint64_t m_sequence = 0;
};

using Counts = std::pair<size_t, size_t>;

} // namespace

// Guards against answers that grow with entries times upstreams: each renewal
// was sent to each entry. The upstream must stay known all the same.
BOOST_FIXTURE_TEST_CASE(RenewalsAreNotSent, PolledRegistry)
{
  Register(Record("a", 10, 0), 1000);
  BOOST_TEST((Poll(1000) == Counts(1, 0)));
  const uint64_t notice = m_control.LastNotice();
  for (int64_t now = 2000; now < 60000; now += 1000) {
    Register(Record("a", 10, 0), now);
    BOOST_TEST(m_control.LastNotice() == notice);
    m_control.Expire(At(now));
    m_entry.Expire(At(now));
    BOOST_TEST((Poll(now + 500) == Counts(0, 0)));
    BOOST_TEST(IsUsable("a", now + 1000));
  }
}

// Guards against an upstream that is kept for longer than without omitted
// renewals, because others still register, and against one that is dropped
// early. No poll comes after the one that names it as silent.
BOOST_FIXTURE_TEST_CASE(SilentUpstreamExpiresByItsOwnTime, PolledRegistry)
{
  for (int64_t now = 1000; now <= 20000; now += 1000) {
    Register(Record("a", 10, 0), now);
    if (now <= 10000) {
      Instance other = Record("b", 10, 0);
      other.m_address.m_port = 81;
      Register(other, now);
    }
    if (now <= 16000) {
      Poll(now);
    }
  }
  BOOST_TEST(IsUsable("b", 10000 + kInstanceTimeout.Count()));
  BOOST_TEST(!IsUsable("b", 10000 + kInstanceTimeout.Count() + 1));
  BOOST_TEST(IsUsable("a", 20000));
  // It is sent again when it registers again.
  Instance other = Record("b", 10, 0);
  other.m_address.m_port = 81;
  Register(other, 21000);
  BOOST_TEST((Poll(21000) == Counts(1, 0)));
  BOOST_TEST(IsUsable("b", 22000));
}

// Guards against a renewal that hides a change.
BOOST_FIXTURE_TEST_CASE(EachChangeOfARecordIsSent, PolledRegistry)
{
  Instance record = Record("a", 10, 0);
  record.m_coldUntil = At(5000);
  const auto isSent = [&](int64_t aMillis) {
    Register(record, aMillis);
    return Poll(aMillis) == Counts(1, 0);
  };
  BOOST_TEST(isSent(1000));
  record.m_coldUntil = At(5100); // the message took longer
  BOOST_TEST(!isSent(1100));
  record.m_coldUntil = At(7000);
  BOOST_TEST(isSent(1200));
  record.m_coldUntil = At(1300); // warm before its time
  BOOST_TEST(isSent(1300));
  record.m_slots = 3;
  BOOST_TEST(isSent(1400));
  record.m_version = "v2";
  BOOST_TEST(isSent(1500));
  record.m_domain = "z";
  BOOST_TEST(isSent(1600));
  record.m_service = "other";
  BOOST_TEST(isSent(1700));
  record.m_address.m_port = 99;
  BOOST_TEST(isSent(1800));
  record.m_state = InstanceState::Draining;
  BOOST_TEST(isSent(1900));
  record.m_born = 11;
  record.m_state = InstanceState::Ready;
  BOOST_TEST(isSent(2000));
  BOOST_TEST(!isSent(2100));
}

// Guards against an entry that keeps an upstream that control has removed while
// the entry did not poll: nothing names it as silent any more.
BOOST_FIXTURE_TEST_CASE(RemovedRecordsBeginAWholeList, PolledRegistry)
{
  Instance other = Record("b", 10, 0);
  other.m_address.m_port = 81;
  Register(Record("a", 10, 0), 1000);
  Register(other, 1000);
  BOOST_TEST((Poll(1000) == Counts(2, 0)));
  for (int64_t now = 2000; now <= 30000; now += 1000) {
    Register(Record("a", 10, 0), now);
    m_control.MarkSilent(At(now));
    m_control.Expire(At(now));
  }
  BOOST_TEST(m_control.Find("b") == nullptr);
  BOOST_TEST((Poll(30000) == Counts(1, 0)));
  BOOST_TEST(IsUsable("a", 31000));
  BOOST_TEST(!IsUsable("b", 30000));
}

// Guards against a control process that runs out of memory when all entries
// begin to poll it, and against a long list that never ends because older
// records have been removed, or that vouches for what it has not named.
BOOST_FIXTURE_TEST_CASE(LongListComesInParts, PolledRegistry)
{
  constexpr size_t kCount = 2 * kMaxNews + 10;
  Instance removed = Record("removed", 10, 0);
  removed.m_address.m_port = 81;
  const auto registerAll = [&](int64_t aMillis) {
    for (size_t i = 0; i < kCount; ++i) {
      Instance record = Record("u" + std::to_string(i), 10, 0);
      record.m_address.m_port = static_cast<uint16_t>(1000 + i);
      Register(record, aMillis);
    }
  };
  registerAll(1000);
  Register(removed, 1000);
  for (int64_t now = 2000; now <= 30000; now += 1000) {
    registerAll(now);
    m_control.MarkSilent(At(now));
    m_control.Expire(At(now));
  }
  BOOST_TEST((Poll(30000) == Counts(kMaxNews, 0)));
  m_entry.Merge(Record("unnamed", 10, 9));
  BOOST_TEST((Poll(30200) == Counts(kMaxNews, 0)));
  BOOST_TEST((Poll(30400) == Counts(10, 0)));
  BOOST_TEST((Poll(30600) == Counts(0, 0)));
  for (size_t i = 0; i < kCount; ++i) {
    BOOST_TEST(IsUsable("u" + std::to_string(i), 31000));
  }
  BOOST_TEST(!IsUsable("unnamed", 31000));
}

// Guards against a list in parts that misses what happens to its first part
// meanwhile.
BOOST_FIXTURE_TEST_CASE(ChangesDuringALongListAreSent, PolledRegistry)
{
  for (size_t i = 0; i < kMaxNews + 5; ++i) {
    Instance record = Record("u" + std::to_string(i), 10, 0);
    record.m_address.m_port = static_cast<uint16_t>(1000 + i);
    Register(record, 1000);
  }
  Poll(1000);
  BOOST_TEST(m_control.Remove("u0", 10, At(1100)));
  Poll(1200);
  const bool gone = m_entry.Find("u0")->m_state == InstanceState::Gone;
  BOOST_TEST(gone);
}

// Guards against a control process that was paused and vouches for upstreams
// that it has not heard of meanwhile.
BOOST_FIXTURE_TEST_CASE(PausedProcessVouchesForNothing, PolledRegistry)
{
  Register(Record("a", 10, 0), 1000);
  Poll(1000);
  BOOST_TEST((Poll(9500) == Counts(0, 1)));
  BOOST_TEST(!IsUsable("a", 9500));
}

// Guards against an entry that drops, or keeps, an upstream by what a process
// knows of another incarnation, or of an older state of it.
BOOST_AUTO_TEST_CASE(ProcessThatLagsVouchesForWhatItHolds)
{
  Registry entry;
  Instance known = Record("a", 20, 5);
  known.m_slots = 4;
  entry.Merge(known);
  BOOST_TEST(entry.MergeVouched(Record("a", 10, 9)));
  entry.Renew(At(5000));
  const auto reportedAt = [&] {
    return entry.Find("a")->m_reportedAt.SinceBoot().Count();
  };
  BOOST_TEST(reportedAt() == 1000);
  // The next record of the process may say 4 slots, or be a renewal of 3.
  Instance older = Record("a", 20, 4);
  older.m_slots = 3;
  BOOST_TEST(!entry.MergeVouched(older));
  older.m_slots = 4;
  BOOST_TEST(entry.MergeVouched(older));
  entry.Renew(At(5000));
  BOOST_TEST(reportedAt() == 5000);
  entry.NoteSilent("a", 20, At(3000)); // heard from another process since
  entry.Renew(At(6000));
  BOOST_TEST(reportedAt() == 5000);
}
