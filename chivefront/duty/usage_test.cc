// Counting at entries and collection at control processes, without a network.
#define BOOST_TEST_MODULE duty_usage
#include <boost/test/unit_test.hpp>

#include "chivefront/duty/usage_collector.h"
#include "chivefront/duty/usage_counter.h"

using namespace chivefront;
using namespace chivefront::duty;

namespace {

constexpr base::Millis kWindow{ 5000 };
constexpr base::Millis kDue{ 10000 };
constexpr uint64_t kFirst = 353445120; // window in which the tests begin
constexpr int64_t kStart = static_cast<int64_t>(kFirst) * 5000;

base::TimePoint
At(int64_t aMillis)
{
  return base::TimePoint(base::Millis(aMillis));
}

// A control process.
struct Control
{
  explicit Control(uint64_t aNumber)
    : m_number(aNumber)
  {
  }

  // Total of aTeam in a window that may be decided; 0: it may not.
  uint64_t Decidable(uint64_t aWindow,
                     int64_t aMillis,
                     const LiveHolders& aLive,
                     const std::string& aTeam = "fida11") const
  {
    for (const auto& usage : m_collector.Decidable(kStart + aMillis, aLive)) {
      if (usage.m_window == aWindow) {
        const auto count = usage.m_counts.find(aTeam);
        return count != usage.m_counts.end() ? count->second : 0;
      }
    }
    return 0;
  }

  const uint64_t m_number;
  UsageCollector m_collector{ kWindow, kDue };
};

// An entry. Times are milliseconds since the start of window kFirst.
struct Entry
{
  explicit Entry(std::string aHolder)
    : m_holder(std::move(aHolder))
  {
  }

  void Begin(int64_t aMillis, int aCount, const std::string& aTeam = "fida11")
  {
    for (int i = 0; i < aCount; ++i) {
      m_counter.Record(aTeam, kStart + aMillis);
    }
  }

  // Returns the number of windows in the report.
  size_t Poll(Control& aControl, int64_t aMillis, bool aIsAnswered = true)
  {
    const UsageReport report =
      m_counter.MakeReport(kStart + aMillis, At(aMillis));
    aControl.m_collector.Record(
      m_holder, report, m_known == aControl.m_number, At(aMillis));
    if (aIsAnswered) {
      m_known = aControl.m_number;
      m_counter.Acknowledge(aControl.m_number, report.m_sequence);
    }
    return report.m_windows.size();
  }

  const std::string m_holder;
  UsageCounter m_counter{ kWindow };
  uint64_t m_known = 0; // the process that answered last
};

} // namespace

// Guards against polls that all carry counts, windows that are reported late,
// and reports of what the control process has.
BOOST_AUTO_TEST_CASE(OnlyChangesAreReported)
{
  Control control(1);
  Entry entry("a#1");
  (void)entry.Poll(control, 1000);
  entry.Begin(1100, 1);
  BOOST_TEST(entry.Poll(control, 1200) == 1U);
  entry.Begin(1300, 1);
  BOOST_TEST(entry.Poll(control, 1400) == 0U); // at most once a second
  BOOST_TEST(entry.Poll(control, 2200) == 1U);
  BOOST_TEST(entry.Poll(control, 3400) == 0U); // nothing has changed
  entry.Begin(4900, 1);
  BOOST_TEST(entry.Poll(control, 4900) == 1U);
  entry.Begin(4950, 1);
  BOOST_TEST(entry.Poll(control, 5200) == 0U);
  BOOST_TEST(entry.Poll(control, 5500, false) == 1U); // the window is closed
  BOOST_TEST(entry.Poll(control, 5700) == 1U);        // not acknowledged
  BOOST_TEST(entry.Poll(control, 7000) == 0U);
}

// Guards against counts that are lost or added twice when reports are lost,
// repeated, or overtaken by later ones.
BOOST_AUTO_TEST_CASE(RepeatedAndOldReportsCountOnce)
{
  Control control(1);
  const LiveHolders live{ { "a#1" }, 1 };
  Entry entry("a#1");
  (void)entry.Poll(control, 0);
  entry.Begin(100, 3);
  const UsageReport old = entry.m_counter.MakeReport(kStart + 1100, At(1100));
  entry.Begin(1200, 4);
  (void)entry.Poll(control, 5500);
  (void)entry.Poll(control, 5700);
  control.m_collector.Record("a#1", old, false, At(5700));
  (void)entry.Poll(control, 5900);
  BOOST_TEST(control.Decidable(kFirst, 5900, live) == 7U);
}

// Guards against a window that is decided before an entry has sent its part,
// and against one that waits without end for an entry that is silent.
BOOST_AUTO_TEST_CASE(LateParts)
{
  Control control(1);
  const LiveHolders live{ { "a#1", "b#1" }, 2 };
  Entry first("a#1");
  Entry second("b#1");
  for (Entry* entry : { &first, &second }) {
    (void)entry->Poll(control, 0);
    entry->Begin(100, 5);
    (void)entry->Poll(control, 1000);
    entry->Begin(4800, 2);
  }
  (void)first.Poll(control, 5500);
  BOOST_TEST(control.Decidable(kFirst, 5600, live) == 0U);
  BOOST_TEST(control.Decidable(kFirst, 8400, live) == 12U);
  (void)second.Poll(control, 8500);
  BOOST_TEST(control.Decidable(kFirst, 8500, live) == 14U);
  BOOST_TEST(control.Decidable(kFirst + 1, 8500, live) == 0U);
}

// Guards against the loss of what an entry has reported before it died, and of
// what its next incarnation counts in the same window.
BOOST_AUTO_TEST_CASE(EntryDiesAndComesBack)
{
  Control control(1);
  Entry entry("a#1");
  (void)entry.Poll(control, 0);
  entry.Begin(100, 5);
  (void)entry.Poll(control, 1000);
  entry.Begin(1500, 1); // lost
  Entry restarted("a#2");
  (void)restarted.Poll(control, 3000);
  restarted.Begin(3100, 4);
  (void)restarted.Poll(control, 5500);
  const LiveHolders live{ { "a#2" }, 1 };
  BOOST_TEST(control.Decidable(kFirst, 5600, live) == 9U);
}

// Guards against counts of the time of a cut that are lost or added twice when
// the cut ends before the decision, and that change a decided window later.
BOOST_AUTO_TEST_CASE(EntryIsCutOff)
{
  Control control(1);
  const LiveHolders other{ { "b#1" }, 1 };
  Entry entry("a#1");
  Entry healthy("b#1");
  (void)entry.Poll(control, 0);
  (void)healthy.Poll(control, 0);
  entry.Begin(100, 5);
  (void)entry.Poll(control, 1000);
  for (int i = 0; i < 6; ++i) {
    entry.Begin(2000 + i * 1000, 1); // three of them in the first window
  }
  (void)healthy.Poll(control, 5500);
  // The cut entry is no longer live, but what it reported counts.
  BOOST_TEST(control.Decidable(kFirst, 5600, other) == 5U);
  (void)entry.Poll(control, 7500);
  BOOST_TEST(control.Decidable(kFirst, 7600, other) == 8U);
  control.m_collector.Forget(kFirst);
  (void)entry.Poll(control, 7700);
  BOOST_TEST(control.Decidable(kFirst, 20000, other) == 0U);
  BOOST_TEST(control.Decidable(kFirst + 1, 20000, other) == 3U);
}

// Guards against a leader that decides with the counts of the entries that
// found it first, or with a report that holds only what the former leader
// lacked.
BOOST_AUTO_TEST_CASE(NewLeaderStartsEmpty)
{
  Control former(1);
  Control leader(2);
  Entry first("a#1");
  Entry second("b#1");
  for (Entry* entry : { &first, &second }) {
    (void)entry->Poll(former, 0);
    entry->Begin(100, 5);
    (void)entry->Poll(former, 5500);
    (void)entry->Poll(former, 5700);
  }
  (void)first.Poll(leader, 6000);
  (void)first.Poll(leader, 6200);
  BOOST_TEST(leader.Decidable(kFirst, 6200, { { "a#1" }, 2 }) == 0U);
  (void)second.Poll(leader, 6200);
  const LiveHolders live{ { "a#1", "b#1" }, 2 };
  BOOST_TEST(leader.Decidable(kFirst, 6200, live) == 0U);
  (void)second.Poll(leader, 6400);
  BOOST_TEST(leader.Decidable(kFirst, 6400, live) == 10U);
}

// Guards against the loss of an entry's counts when its host is lost together
// with the control process that it reported to.
BOOST_AUTO_TEST_CASE(EntryAndLeaderDie)
{
  Control former(1);
  Control leader(2);
  Entry dying("a#1");
  Entry other("b#1");
  for (Entry* entry : { &dying, &other }) {
    (void)entry->Poll(former, 0);
    entry->Begin(100, 5);
    (void)entry->Poll(former, 1000);
  }
  for (const HolderUsage& usage : former.m_collector.TakeChanges()) {
    leader.m_collector.RecordRelayed(usage, At(1000));
    leader.m_collector.RecordRelayed(usage, At(1000));
  }
  BOOST_TEST(former.m_collector.TakeChanges().empty());
  BOOST_TEST(leader.m_collector.TakeChanges().empty());
  other.Begin(1100, 2);
  (void)other.Poll(leader, 2000);
  (void)other.Poll(leader, 5500);
  BOOST_TEST(leader.Decidable(kFirst, 5600, { { "b#1" }, 1 }) == 12U);
  // What is relayed does not close a window.
  BOOST_TEST(leader.Decidable(kFirst, 5600, { { "a#1", "b#1" }, 2 }) == 0U);
}

// Guards against counts that are lost or moved to another window when the time
// of an entry is corrected: its own clock was wrong before the first answer, or
// the true time steps back at the start of a window.
BOOST_AUTO_TEST_CASE(ClockSteps)
{
  Control control(1);
  const LiveHolders live{ { "a#1" }, 1 };
  Entry entry("a#1");
  entry.Begin(60000 + 1000, 5); // by a clock that is a minute ahead
  entry.m_counter.Shift(-60000);
  entry.Begin(2000, 1);
  entry.Begin(5010, 1);
  entry.Begin(4990, 1);
  (void)entry.Poll(control, 5500);
  (void)entry.Poll(control, 5700);
  BOOST_TEST(control.Decidable(kFirst, 5700, live) == 7U);
  (void)entry.Poll(control, 10500);
  BOOST_TEST(control.Decidable(kFirst + 1, 10500, live) == 1U);
  // A window of a far future must not displace the current ones for long.
  entry.Begin(100000, 1);
  entry.Begin(11000, 2);
  (void)entry.Poll(control, 15500);
  BOOST_TEST(control.Decidable(kFirst + 2, 15500, live) == 2U);
}

// Guards against an entry that keeps windows and teams without bound while no
// control process answers.
BOOST_AUTO_TEST_CASE(CounterIsBounded)
{
  Control control(1);
  Entry entry("a#1");
  for (int i = 0; i < 20; ++i) {
    entry.Begin(i * kWindow.Count(), 1);
  }
  BOOST_TEST(entry.Poll(control, 19 * kWindow.Count()) < kMaxUsageWindows);
  for (size_t i = 0; i < kMaxUsageTeams + 9; ++i) {
    entry.Begin(19 * kWindow.Count(), 1, "team-" + std::to_string(i));
  }
  BOOST_TEST(entry.m_counter.DroppedCount() == 10U);
}

// Guards against a peer that sends more than an entry can have counted.
BOOST_AUTO_TEST_CASE(CollectorIsBounded)
{
  Control control(1);
  UsageCollector& collector = control.m_collector;
  UsageReport report;
  for (uint64_t window = 0; window < 40; ++window) {
    WindowUsage usage;
    usage.m_window = kFirst + window;
    usage.m_counts = { { "", 1 },
                       { std::string(1000, 'x'), 1 },
                       { "fida11", UINT64_MAX } };
    for (int team = 0; team < 300; ++team) {
      usage.m_counts["team-" + std::to_string(team)] = 1;
    }
    report.m_windows.push_back(usage);
  }
  collector.Record("a#1", report, true, At(0));
  BOOST_TEST(collector.Size() == kMaxUsageWindows * kMaxUsageTeams);
  for (int i = 0; i < 3000; ++i) {
    collector.Record("a#" + std::to_string(i), report, true, At(0));
  }
  BOOST_TEST(collector.Size() <= 65536U);
  BOOST_TEST(collector.RefusedCount() > 0U);
  BOOST_TEST(control.Decidable(kFirst + 39, 1000000, {}) == 0U);
  collector.Expire(At(61000));
  BOOST_TEST(collector.Size() == 0U);
  // Windows that have not ended are not decided, whatever a holder says.
  Entry honest("b#1");
  honest.Begin(100, 1);
  (void)honest.Poll(control, 1000);
  report.m_windows.clear();
  report.m_closedBefore = UINT64_MAX;
  collector.Record("c#1", report, true, At(1000));
  BOOST_TEST(control.Decidable(kFirst, 1000, { { "c#1" }, 1 }) == 0U);
}
