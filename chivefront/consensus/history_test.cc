// Seeded histories with message loss, duplication, reordering, delay,
// partitions, crashes that lose unsynced data, and lost disks.
//
// One seed again:  history_test -- SEED
// Promises: config
#define BOOST_TEST_MODULE history
#include <boost/test/unit_test.hpp>

#include <iostream>

#include "chivefront/consensus/simulation.h"

using namespace chivefront::consensus;

namespace {

constexpr uint64_t kHistories = 400;
constexpr int64_t kFaultMillis = 6000;
constexpr int64_t kSettleMillis = 20000;

struct Totals
{
  size_t m_acknowledged = 0;
  size_t m_reads = 0;
  size_t m_lostDisks = 0;
  size_t m_crashes = 0;
};

// One random fault, or the end of one.
void
Disturb(Simulation& aSimulation, Totals& aTotals)
{
  const auto& names = aSimulation.Names();
  const std::string& name = names[aSimulation.Random()() % names.size()];
  switch (aSimulation.Random()() % 8) {
    case 0:
      aSimulation.Isolate(name);
      break;
    case 1:
    case 2:
      aSimulation.Heal();
      break;
    case 3:
      aSimulation.Crash(name);
      ++aTotals.m_crashes;
      break;
    case 4:
      aSimulation.CrashInsideWrite(name);
      ++aTotals.m_crashes;
      break;
    case 5:
      if (aSimulation.ReportsRepair()) {
        aSimulation.LoseDisk(name);
        aSimulation.Restart(name);
        ++aTotals.m_lostDisks;
      }
      break;
    case 6:
      aSimulation.SetFaults(
        { static_cast<uint32_t>(aSimulation.Random()() % 20),
          static_cast<uint32_t>(aSimulation.Random()() % 20),
          1 + static_cast<int64_t>(aSimulation.Random()() % 30),
          static_cast<uint32_t>(aSimulation.Random()() % 5) });
      break;
    default:
      if (const std::string leader = aSimulation.Leader(); !leader.empty()) {
        aSimulation.Of(leader).Transfer(aSimulation.Now());
      }
  }
}

void
RestartAll(Simulation& aSimulation)
{
  for (const std::string& name : aSimulation.Names()) {
    if (!aSimulation.IsUp(name)) {
      aSimulation.Restart(name);
    }
  }
}

// Runs one history; true when everything held.
bool
RunHistory(uint64_t aSeed, Totals& aTotals)
{
  std::vector<std::string> names{ "a", "b", "c" };
  if (aSeed % 4 == 0) {
    names.insert(names.end(), { "d", "e" });
  }
  Simulation simulation(aSeed, names);
  for (int64_t i = 0; i < kFaultMillis; ++i) {
    simulation.Step();
    if (simulation.Chance(20)) {
      simulation.Write();
    }
    if (simulation.Chance(10)) {
      simulation.Read();
    }
    if (i % 97 == 0) {
      Disturb(simulation, aTotals);
      simulation.CheckLogMatching();
    }
    if (i % 211 == 0) {
      RestartAll(simulation);
    }
  }
  simulation.Heal();
  simulation.SetFaults({});
  int64_t settled = 0;
  while (settled < kSettleMillis && !simulation.Converged()) {
    // A write that fails inside stops the replica after it was restarted.
    RestartAll(simulation);
    simulation.Run(10);
    settled += 10;
  }
  aTotals.m_acknowledged += simulation.Acknowledged();
  aTotals.m_reads += simulation.Reads();
  for (const std::string& violation : simulation.Violations()) {
    std::cerr << "seed " << aSeed << ": " << violation << "\n";
  }
  if (!simulation.Converged()) {
    std::cerr << "seed " << aSeed << ": not repaired\n";
  }
  return simulation.Violations().empty() && simulation.Converged();
}

} // namespace

// Guards against every violation that Simulation checks, and against a group
// that does not recover once the faults end.
BOOST_AUTO_TEST_CASE(SeededHistories)
{
  const auto& suite = boost::unit_test::framework::master_test_suite();
  Totals totals;
  if (suite.argc > 1) {
    const uint64_t seed = std::stoull(suite.argv[1]);
    BOOST_TEST(RunHistory(seed, totals), "seed " << seed);
  } else {
    for (uint64_t seed = 1; seed <= kHistories; ++seed) {
      BOOST_TEST(RunHistory(seed, totals), "seed " << seed);
    }
  }
  std::cout << totals.m_acknowledged << " writes, " << totals.m_reads
            << " reads, " << totals.m_crashes << " crashes, "
            << totals.m_lostDisks << " lost disks\n";
  BOOST_TEST(totals.m_acknowledged > 0U);
}
