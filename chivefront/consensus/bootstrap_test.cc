// The first membership of a group when initial members fail while they agree on
// it, and may not bootstrap when they are back.
// Promises: config
#define BOOST_TEST_MODULE bootstrap
#include <boost/test/unit_test.hpp>

#include "chivefront/consensus/simulation.h"

using namespace chivefront;
using namespace chivefront::consensus;

namespace {

constexpr uint64_t kSeeds = 150;
// A bootstrap without faults takes less.
constexpr int64_t kBootstrapMillis = 600;
constexpr int64_t kDownMillis = 1000;
constexpr int64_t kStartMillis = 10000;

SimulationLayout
Layout()
{
  SimulationLayout layout;
  layout.m_targetVoters = 3;
  layout.m_onlyFirstStartBootstraps = true;
  return layout;
}

const std::vector<std::string> kInitial{ "a", "b", "c" };

// The faults hit some messages of the bootstrap.
void
DisturbNetwork(Simulation& aSimulation)
{
  aSimulation.SetNetworkFaults(
    { static_cast<uint32_t>(aSimulation.Random()() % 20),
      static_cast<uint32_t>(aSimulation.Random()() % 20),
      1 + static_cast<int64_t>(aSimulation.Random()() % 30),
      static_cast<uint32_t>(aSimulation.Random()() % 5) });
}

} // namespace

// Guards against a deployment that hangs for good: an initial member lost its
// disk during the first start and may not bootstrap any more, and the others
// waited for it to prepare the membership.
BOOST_AUTO_TEST_CASE(LostInitialMemberDoesNotHoldUpTheGroup)
{
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Simulation simulation(seed, kInitial, { "d", "e" }, Layout());
    DisturbNetwork(simulation);
    simulation.Run(static_cast<int64_t>(seed * 4 % kBootstrapMillis));
    const std::string& lost = kInitial[seed % kInitial.size()];
    simulation.LoseDisk(lost);
    simulation.Run(static_cast<int64_t>(seed) % 2 * kDownMillis);
    simulation.Restart(lost);
    BOOST_TEST(simulation.AcknowledgeWrite(kStartMillis), "seed " << seed);
    simulation.Run(kStartMillis);
    simulation.CheckLogMatching();
    BOOST_TEST(simulation.Violations().empty(), "seed " << seed);
  }
}

// Guards against the same with a member that was killed and has kept its disk.
BOOST_AUTO_TEST_CASE(KilledInitialMemberDoesNotHoldUpTheGroup)
{
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Simulation simulation(seed, kInitial, { "d", "e" }, Layout());
    DisturbNetwork(simulation);
    simulation.Run(static_cast<int64_t>(seed * 4 % kBootstrapMillis));
    const std::string& killed = kInitial[seed % kInitial.size()];
    simulation.Crash(killed);
    simulation.Run(static_cast<int64_t>(seed) % 2 * kDownMillis);
    simulation.Restart(killed);
    BOOST_TEST(simulation.AcknowledgeWrite(kStartMillis), "seed " << seed);
    simulation.Run(kStartMillis);
    simulation.CheckLogMatching();
    BOOST_TEST(simulation.Violations().empty(), "seed " << seed);
  }
}

// Guards against a second group beside a first one: two of three members that
// have lost their disks may have committed something together, of which the
// third knows nothing.
BOOST_AUTO_TEST_CASE(TwoLostInitialMembersAreNotReplacedByANewGroup)
{
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Simulation simulation(seed, kInitial, { "d", "e" }, Layout());
    DisturbNetwork(simulation);
    simulation.Run(static_cast<int64_t>(seed * 4 % kBootstrapMillis));
    const bool wasFormed = !simulation.Leader().empty();
    simulation.LoseDisk("a");
    simulation.LoseDisk("b");
    simulation.Restart("a");
    simulation.Restart("b");
    if (!wasFormed) {
      (void)simulation.AcknowledgeWrite(kDownMillis);
    }
    simulation.CheckLogMatching();
    BOOST_TEST(simulation.Violations().empty(), "seed " << seed);
  }
}
