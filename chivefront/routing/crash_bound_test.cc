// How many upstreams a crashing request ends when its caller repeats it at any
// entry: entries and control processes that poll each other, without a network.
// Sound requests run beside it at the same upstreams, and the leading control
// process is replaced by one that knows nothing.
#define BOOST_TEST_MODULE crash_bound
#include <boost/test/unit_test.hpp>

#include <random>

#include "chivefront/routing/crash_quarantine.h"
#include "chivefront/routing/registry.h"
#include "chivefront/routing/request_limits.h"

using namespace chivefront;
using namespace chivefront::routing;

namespace {

constexpr uint64_t kSeeds = 60;
constexpr int kEntries = 6;
constexpr int kUpstreams = 8;
constexpr int64_t kPollMillis = 200;
constexpr int64_t kRunMillis = 60000;
constexpr int64_t kCrashMillis = 150; // from a send to the end of the upstream
constexpr int64_t kRestartMillis = 4000;
constexpr int64_t kHeardLateMillis = 1000;
constexpr CauseKey kDeadly = 1;
constexpr CauseKey kFirstSound = 2;
constexpr int kSoundRequests = 12;
// After the third crash, this long, at most kMaxLateSends sends follow.
constexpr int64_t kGraceMillis = 3000;
constexpr int kMaxLateSends = 3;
// A crash shows with the next incarnation, so all upstreams may end once first.
constexpr int kMaxCrashesWithLateSigns = kUpstreams + kMaxLateSends;

struct Scenario
{
  int m_maxAttempts = 3; // 1: the request may run once
  int64_t m_pauseMillis = 500;
  bool m_changesLeader = false;
  // A registration that the upstream sent before its end arrives after it.
  bool m_lateRegistrations = false;
  // The upstream ends after the first event of its answer.
  bool m_inAnswer = false;
};

class CrashSimulation
{
public:
  CrashSimulation(uint64_t aSeed, Scenario aScenario)
    : m_random(aSeed)
    , m_scenario(aScenario)
    , m_entries(kEntries)
    , m_upAt(kUpstreams, 0)
    , m_incarnations(kUpstreams, 1)
    , m_lateAt(kUpstreams, 0)
  {
  }

  void Run()
  {
    int64_t nextRepeat = 1000;
    for (m_now = 0; m_now < kRunMillis; m_now += 50) {
      DeliverRegistrations();
      if (m_now % kPollMillis == 0) {
        PollAll();
      }
      if (m_scenario.m_changesLeader && m_now % 7000 == 0) {
        m_leader = CrashQuarantine();
      }
      if (m_now >= nextRepeat) {
        Repeat();
        nextRepeat = m_now + m_scenario.m_pauseMillis;
      }
    }
  }

  int Crashes() const { return m_crashes; }
  int LateSends() const { return m_lateSends; }
  bool BlamesSoundRequests() const
  {
    const QuarantinedCauses& quarantined = m_leader.Quarantined();
    return std::any_of(
      quarantined.begin(), quarantined.end(), [](const auto& aEntry) {
        return aEntry.first >= kFirstSound;
      });
  }

private:
  struct Entry
  {
    CrashEvidence m_evidence;
    std::set<CauseKey> m_suspects;
    QuarantinedCauses m_quarantined;
  };

  base::TimePoint At(int64_t aMillis) const
  {
    return base::TimePoint{ base::Millis(1000000 + aMillis) };
  }

  size_t RandomBelow(size_t aCount) { return m_random() % aCount; }

  // Registrations reach control processes that outlive a leader's judgement.
  void DeliverRegistrations()
  {
    for (int i = 0; i < kUpstreams; ++i) {
      const auto at = static_cast<size_t>(i);
      if (m_now >= m_upAt[at] && m_now % 1000 == 0) {
        Register(i, m_incarnations[at]);
      }
      if (m_lateAt[at] != 0 && m_now >= m_lateAt[at]) {
        m_lateAt[at] = 0;
        Register(i, m_incarnations[at] - 1);
      }
    }
    m_registry.Expire(At(m_now));
  }

  void Register(int aUpstream, int aIncarnation)
  {
    Instance record;
    record.m_id = "i-" + std::to_string(aUpstream);
    if (aUpstream % 2 == 0) { // the others start again under their id
      record.m_id += "-" + std::to_string(aIncarnation);
    }
    record.m_address = { "10.0.0." + std::to_string(aUpstream + 1), 80 };
    record.m_born = static_cast<uint64_t>(aIncarnation);
    record.m_sequence = static_cast<uint64_t>(m_now) + 1;
    record.m_reportedAt = At(m_now);
    (void)m_registry.Merge(record);
  }

  // All entries poll the leader, which judges and answers.
  void PollAll()
  {
    m_leader.OnRegistry(m_registry);
    for (Entry& entry : m_entries) {
      m_leader.Adopt(entry.m_quarantined);
      m_leader.Record(entry.m_evidence.Report(entry.m_suspects, At(m_now)));
      (void)m_leader.Update(At(m_now));
      entry.m_suspects = m_leader.Suspects();
      for (const auto& [key, until] : m_leader.Quarantined()) {
        entry.m_quarantined[key] = until;
      }
    }
  }

  uint64_t Incarnation(int aUpstream) const
  {
    const int incarnation = m_incarnations[static_cast<size_t>(aUpstream)];
    Instance record;
    record.m_id = "i-" + std::to_string(aUpstream);
    if (aUpstream % 2 == 0) {
      record.m_id += "-" + std::to_string(incarnation);
    }
    record.m_born = static_cast<uint64_t>(incarnation);
    return MakeUpstreamKey(record);
  }

  // The caller sends the request to a random entry, which tries several
  // upstreams.
  void Repeat()
  {
    Entry& entry = m_entries[RandomBelow(m_entries.size())];
    for (int i = 0; i < m_scenario.m_maxAttempts; ++i) {
      if (entry.m_quarantined.count(kDeadly) > 0) {
        return;
      }
      std::vector<int> running;
      for (int j = 0; j < kUpstreams; ++j) {
        if (m_now >= m_upAt[j]) {
          running.push_back(j);
        }
      }
      if (running.empty()) {
        return;
      }
      Crash(entry, running[RandomBelow(running.size())]);
    }
  }

  // The request ends an upstream, and with it the sound requests that are
  // there. These are answered elsewhere.
  void Crash(Entry& aEntry, int aUpstream)
  {
    if (m_crashes >= 3 && m_now > m_thirdCrashAt + kGraceMillis) {
      ++m_lateSends;
    }
    ++m_crashes;
    if (m_crashes == 3) {
      m_thirdCrashAt = m_now + kCrashMillis;
    }
    const LostAttempt deadly{
      Incarnation(aUpstream), ++m_attempt, m_scenario.m_inAnswer,
      m_scenario.m_inAnswer,  At(m_now),   At(m_now + kCrashMillis)
    };
    aEntry.m_evidence.OnLoss(deadly, {}, kDeadly);
    for (int i = 0; i < kSoundRequests; ++i) {
      if (RandomBelow(3) != 0) {
        continue;
      }
      Entry& entry = m_entries[RandomBelow(m_entries.size())];
      const CauseKey key = kFirstSound + static_cast<CauseKey>(i);
      LostAttempt sound = deadly;
      sound.m_request = ++m_attempt;
      entry.m_evidence.OnLoss(sound, {}, key);
      entry.m_evidence.OnAnswered({}, key, At(m_now + 2 * kCrashMillis));
    }
    if (m_scenario.m_lateRegistrations) {
      m_lateAt[static_cast<size_t>(aUpstream)] =
        m_now + kCrashMillis + kHeardLateMillis;
    }
    m_upAt[static_cast<size_t>(aUpstream)] = m_now + kRestartMillis;
    ++m_incarnations[static_cast<size_t>(aUpstream)];
  }

  std::mt19937_64 m_random;
  const Scenario m_scenario;
  std::vector<Entry> m_entries;
  std::vector<int64_t> m_upAt; // by upstream: when it runs again
  std::vector<int> m_incarnations;
  std::vector<int64_t> m_lateAt; // by upstream: of a late registration; 0: none
  Registry m_registry;
  CrashQuarantine m_leader;
  int64_t m_now = 0;
  uint64_t m_attempt = 0;
  int m_crashes = 0;
  int64_t m_thirdCrashAt = 0;
  int m_lateSends = 0;
};

// The crashing request is refused in time, and no sound request is, in all
// scenarios.
void
ExpectFewLateSends(const std::vector<Scenario>& aScenarios)
{
  for (size_t i = 0; i < aScenarios.size(); ++i) {
    for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
      CrashSimulation simulation(seed, aScenarios[i]);
      simulation.Run();
      const std::string where =
        "scenario " + std::to_string(i) + ", seed " + std::to_string(seed);
      BOOST_TEST(simulation.Crashes() >= 3, where);
      BOOST_TEST(simulation.LateSends() <= kMaxLateSends,
                 where << ": " << simulation.LateSends() << " late sends");
      BOOST_TEST(!simulation.BlamesSoundRequests(), where);
    }
  }
}

} // namespace

// Guards against a request that crashes upstreams without bound: its repeats at
// several entries were not counted together, and a new leader began anew.
BOOST_AUTO_TEST_CASE(RepeatsAtAnyEntryAreBounded)
{
  ExpectFewLateSends({ { 3, 500, false },
                       { 3, 2500, true },
                       { 1, 200, false },
                       { 1, 900, true },
                       { 1, 12000, true } });
}

// Guards against the same when each upstream ends after the first event of its
// answer, which counted as a sign that the request is sound.
BOOST_AUTO_TEST_CASE(RepeatsThatCrashDuringAnswersAreBounded)
{
  ExpectFewLateSends({ { 3, 500, false, false, true },
                       { 3, 4000, true, false, true },
                       { 1, 900, true, false, true } });
}

// Guards against a crash that a late registration hides: it left the upstream
// before its end, arrives after it, and looks like a sign of life. The next
// incarnation at the address, or under the id, shows the crash.
BOOST_AUTO_TEST_CASE(LateRegistrationsHideNoCrash)
{
  const std::vector<Scenario> scenarios{ { 3, 2500, false, true },
                                         { 1, 900, true, true } };
  for (size_t i = 0; i < scenarios.size(); ++i) {
    for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
      CrashSimulation simulation(seed, scenarios[i]);
      simulation.Run();
      const std::string where =
        "scenario " + std::to_string(i) + ", seed " + std::to_string(seed);
      BOOST_TEST(simulation.Crashes() >= 3, where);
      BOOST_TEST(simulation.Crashes() <= kMaxCrashesWithLateSigns,
                 where << ": " << simulation.Crashes() << " crashes");
      BOOST_TEST(!simulation.BlamesSoundRequests(), where);
    }
  }
}
