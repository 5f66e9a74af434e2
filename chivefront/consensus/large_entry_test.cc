// Replication of entries that keep the leader's uplink busy for longer than an
// election timeout.
// Promises: config
#define BOOST_TEST_MODULE large_entry
#include <boost/test/unit_test.hpp>

#include "chivefront/consensus/simulation.h"

using namespace chivefront;
using namespace chivefront::consensus;

namespace {

const std::vector<std::string> kHosts{ "a1", "a2", "b1", "b2",
                                       "c1", "c2", "d1", "d2" };
// 100 Mbit/s. Seven copies of an entry take 0.6 s.
constexpr uint64_t kUplinkBytesPerMilli = 12500;
constexpr size_t kLargeBytes = 1024 * 1024;
// The same while entries take most of it.
constexpr uint64_t kBusyUplinkBytesPerMilli = 3000;
constexpr size_t kSnapshotBytes = 3 * 1024 * 1024;
constexpr uint64_t kSeeds = 10;

// Eight replicas with a leader that has committed something.
struct GroupOfEight : Simulation
{
  explicit GroupOfEight(uint64_t aSeed,
                        NetworkFaults aFaults = {},
                        uint64_t aBytesPerMilli = kUplinkBytesPerMilli)
    : Simulation(aSeed, kHosts, {}, MakeLayout())
  {
    aFaults.m_uplinkBytesPerMilli = aBytesPerMilli;
    SetNetworkFaults(aFaults);
    BOOST_REQUIRE(AcknowledgeWrite(10000));
    Run(500);
  }

  static SimulationLayout MakeLayout()
  {
    SimulationLayout layout;
    layout.m_snapshotChunkBytes = GroupOptions().m_snapshotChunkBytes;
    return layout;
  }
};

// Sends a large command until a replica accepts it, and returns whether it was
// acknowledged within aMillis.
bool
AcknowledgeLargeWrite(Simulation& aSimulation, int64_t aMillis)
{
  const size_t before = aSimulation.Acknowledged();
  const std::string leader = aSimulation.Leader();
  const uint64_t last =
    aSimulation.DriverOf(leader).Raft().Entries().LastIndex();
  while (aSimulation.DriverOf(leader).Raft().Entries().LastIndex() == last) {
    aSimulation.Write(kLargeBytes);
  }
  for (int64_t i = 0; i < aMillis && aSimulation.Acknowledged() == before;
       ++i) {
    aSimulation.Step();
  }
  return aSimulation.Acknowledged() > before;
}

} // namespace

// Guards against a configuration that can never be committed: heartbeats waited
// behind the copies of a large entry, the leader lost its lease after 400 ms,
// and the next leader began anew.
BOOST_AUTO_TEST_CASE(LargeEntryKeepsTheLeader)
{
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    GroupOfEight simulation(seed);
    const std::string leader = simulation.Leader();
    const uint64_t term = simulation.StatusOf(leader).m_term;
    BOOST_TEST(AcknowledgeLargeWrite(simulation, 2000), "seed " << seed);
    simulation.Run(1000);
    BOOST_TEST(simulation.Leader() == leader, "seed " << seed);
    BOOST_TEST(simulation.StatusOf(leader).m_term == term, "seed " << seed);
    BOOST_TEST(simulation.Converged(), "seed " << seed);
    BOOST_TEST(simulation.Violations().empty());
  }
}

// Guards against parts of a large entry that are lost, repeated, late or left
// over from another leader and end in a log that differs, or in an entry that
// never arrives.
BOOST_AUTO_TEST_CASE(LargeEntriesSurviveFaults)
{
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    GroupOfEight simulation(seed, { 5, 5, 5, 5 });
    for (int i = 0; i < 3; ++i) {
      simulation.Write(kLargeBytes);
      simulation.Run(static_cast<int64_t>(simulation.Random()() % 400));
      const std::string& name = kHosts[simulation.Random()() % kHosts.size()];
      simulation.Crash(name);
      simulation.Run(static_cast<int64_t>(simulation.Random()() % 600));
      simulation.Restart(name);
    }
    simulation.SetNetworkFaults({ 0, 0, 5, 0, kUplinkBytesPerMilli });
    simulation.Run(3000);
    BOOST_REQUIRE(!simulation.Leader().empty());
    BOOST_TEST(AcknowledgeLargeWrite(simulation, 4000), "seed " << seed);
    simulation.Run(4000);
    BOOST_TEST(simulation.Converged(), "seed " << seed);
    simulation.CheckLogMatching();
    for (const std::string& violation : simulation.Violations()) {
      BOOST_ERROR("seed " << seed << ": " << violation);
    }
  }
}

// Guards against replicas that return and never catch up: on a busy link the
// chunks of their snapshots were sent again before the answers had come, and
// each repeated answer asked for one more.
BOOST_AUTO_TEST_CASE(SnapshotsArriveOverABusyLink)
{
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    GroupOfEight simulation(seed, {}, kBusyUplinkBytesPerMilli);
    const std::string leader = simulation.Leader();
    std::vector<std::string> returning;
    for (const std::string& name : kHosts) {
      if (name != leader && returning.size() < 3) {
        simulation.Crash(name);
        returning.push_back(name);
      }
    }
    for (int i = 0; i < 30; ++i) { // more than the log keeps
      const size_t before = simulation.Acknowledged();
      while (simulation.Acknowledged() == before) {
        simulation.Write(kSnapshotBytes / 30);
        simulation.Run(50);
      }
    }
    for (const std::string& name : returning) {
      simulation.Restart(name);
    }
    // Three snapshots of 3 MiB take 3 s.
    simulation.Run(6000);
    BOOST_TEST(simulation.Converged(), "seed " << seed);
    BOOST_TEST(simulation.Leader() == leader, "seed " << seed);
    BOOST_TEST(simulation.Violations().empty());
  }
}
