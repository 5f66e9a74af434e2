// Replicas whose disks are full for a while: they pause and come back without
// an end of their process.
// Promises: config
#define BOOST_TEST_MODULE full_disk
#include <boost/test/unit_test.hpp>

#include "chivefront/consensus/simulation.h"

using namespace chivefront::consensus;

namespace {

constexpr uint64_t kSeeds = 40;
constexpr int64_t kStartMillis = 3000;
constexpr int64_t kFullMillis = 3000;
// A valid change must be acknowledged within this time.
constexpr int64_t kAcknowledgeMillis = 4000;
const std::vector<std::string> kHosts{ "a", "b", "c" };

// Writes for aMillis, about one command in 10 ms.
void
KeepWriting(Simulation& aSimulation, int64_t aMillis)
{
  for (int64_t i = 0; i < aMillis; i += 10) {
    aSimulation.Write();
    aSimulation.Run(10);
  }
}

bool
HasEnded(Simulation& aSimulation, const std::string& aName)
{
  return !aSimulation.IsUp(aName) && !aSimulation.IsPaused(aName);
}

} // namespace

// Guards against a control process that ends, starts and ends again while its
// disk is full, and against changes that stay unanswered after the last of
// several disks, full one after another, has space again.
BOOST_AUTO_TEST_CASE(DisksThatAreFullInTurnStopNoProcess)
{
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Simulation simulation(seed, kHosts);
    simulation.Run(kStartMillis);
    for (const std::string& name : kHosts) {
      KeepWriting(simulation, 500);
      simulation.SetDiskFull(name, true);
      KeepWriting(simulation, kFullMillis);
      BOOST_TEST(simulation.IsPaused(name), "seed " << seed << ", " << name);
      BOOST_TEST(!HasEnded(simulation, name), "seed " << seed << ", " << name);
      // The two others go on.
      BOOST_TEST(simulation.AcknowledgeWrite(kAcknowledgeMillis),
                 "seed " << seed << ", " << name);
      simulation.SetDiskFull(name, false);
      simulation.Run(1000);
      BOOST_TEST(simulation.IsUp(name), "seed " << seed << ", " << name);
    }
    BOOST_TEST(simulation.AcknowledgeWrite(kAcknowledgeMillis),
               "seed " << seed);
    simulation.Run(kStartMillis);
    BOOST_TEST(simulation.Converged(), "seed " << seed);
    simulation.CheckLogMatching();
    BOOST_TEST(simulation.Violations().empty(),
               "seed " << seed << ": " << simulation.Violations().size());
  }
}

// Guards against a group that does not come back when the disks of most hosts
// were full at once, with crashes in between.
BOOST_AUTO_TEST_CASE(MostDisksFullAtOnce)
{
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Simulation simulation(seed, kHosts);
    simulation.Run(kStartMillis);
    KeepWriting(simulation, 500);
    for (const std::string& name : { "a", "b" }) {
      simulation.SetDiskFull(name, true);
    }
    KeepWriting(simulation, kFullMillis);
    const std::string crashed = simulation.Chance(50) ? "a" : "c";
    simulation.Crash(crashed);
    simulation.Restart(crashed);
    KeepWriting(simulation, kFullMillis);
    for (const std::string& name : { "a", "b" }) {
      BOOST_TEST(!HasEnded(simulation, name), "seed " << seed << ", " << name);
      simulation.SetDiskFull(name, false);
    }
    BOOST_TEST(simulation.AcknowledgeWrite(kAcknowledgeMillis),
               "seed " << seed);
    simulation.Run(kStartMillis);
    BOOST_TEST(simulation.Converged(), "seed " << seed);
    BOOST_TEST(simulation.Violations().empty(), "seed " << seed);
  }
}

// Guards against a process that can't start while its disk is full: an empty
// folder needs a first write.
BOOST_AUTO_TEST_CASE(StartWithAFullDiskWaitsForSpace)
{
  Simulation simulation(7, kHosts);
  simulation.Run(kStartMillis);
  BOOST_REQUIRE(simulation.AcknowledgeWrite(kAcknowledgeMillis));
  simulation.LoseDisk("a");
  simulation.SetDiskFull("a", true);
  simulation.Restart("a");
  simulation.Run(kStartMillis);
  BOOST_TEST(simulation.IsPaused("a"));
  simulation.SetDiskFull("a", false);
  simulation.Run(2 * kStartMillis);
  BOOST_TEST(simulation.IsUp("a"));
  BOOST_TEST(simulation.ReportsRepair());
  BOOST_TEST(simulation.Violations().empty());
}

// Guards against a replica that goes on with an empty folder after a pause: it
// would have forgotten its votes under the same identity.
BOOST_AUTO_TEST_CASE(FolderReplacedDuringAPauseEndsTheReplica)
{
  Simulation simulation(9, kHosts);
  simulation.Run(kStartMillis);
  BOOST_REQUIRE(simulation.AcknowledgeWrite(kAcknowledgeMillis));
  simulation.SetDiskFull("a", true);
  KeepWriting(simulation, kFullMillis);
  BOOST_REQUIRE(simulation.IsPaused("a"));
  simulation.EmptyFolder("a");
  simulation.SetDiskFull("a", false);
  simulation.Run(kStartMillis);
  BOOST_TEST(HasEnded(simulation, "a"));
  // Another process on the folder is another replica.
  simulation.Restart("a");
  simulation.Run(2 * kStartMillis);
  BOOST_TEST(simulation.ReportsRepair());
  BOOST_TEST(simulation.Violations().empty());
}
