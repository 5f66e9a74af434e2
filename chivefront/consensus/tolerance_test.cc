// A group that must bear the loss of two hosts at once, with their disks, and
// that starts from three initial members and five hosts that join.
// Promises: config
#define BOOST_TEST_MODULE tolerance
#include <boost/test/unit_test.hpp>

#include <algorithm>

#include "chivefront/consensus/simulation.h"

using namespace chivefront::consensus;

namespace {

constexpr uint32_t kMinVoters = 5;
constexpr uint32_t kThreeVoters = 3;
// Of eight hosts with a disk: any five of them then hold a majority.
constexpr uint32_t kVotersOfEight = 7;
constexpr int64_t kStartMillis = 4000;
constexpr int64_t kRecoveryMillis = 12000;
constexpr uint64_t kSeeds = 60;
const std::vector<std::string> kSeedHosts{ "a", "b", "c" };
const std::vector<std::string> kJoiningHosts{ "d", "e", "f", "g", "h" };

SimulationLayout
FiveVoters()
{
  SimulationLayout layout;
  layout.m_targetVoters = kMinVoters;
  return layout;
}

// Bears the loss of one disk. With a fourth host, three vote and one stands by.
SimulationLayout
ThreeVoters()
{
  SimulationLayout layout;
  layout.m_targetVoters = kThreeVoters;
  return layout;
}

std::vector<std::string>
Voters(Simulation& aSimulation)
{
  std::vector<std::string> names;
  const std::string leader = aSimulation.Leader();
  if (leader.empty()) {
    return names;
  }
  for (const Replica& replica : aSimulation.StatusOf(leader).m_replicas) {
    if (replica.m_voter) {
      names.push_back(replica.m_name);
    }
  }
  return names;
}

bool
IsVoter(Simulation& aSimulation, const std::string& aName)
{
  const std::vector<std::string> voters = Voters(aSimulation);
  return std::count(voters.begin(), voters.end(), aName) > 0;
}

void
ExpectNoDeadVoter(Simulation& aSimulation, uint64_t aSeed)
{
  for (const std::string& voter : Voters(aSimulation)) {
    BOOST_TEST(aSimulation.IsUp(voter), "seed " << aSeed << ", " << voter);
  }
}

// All hosts lose power at once; those of aLost come back with empty disks.
void
LosePower(Simulation& aSimulation, const std::vector<std::string>& aLost)
{
  for (const std::string& name : aSimulation.Names()) {
    if (std::count(aLost.begin(), aLost.end(), name) > 0) {
      aSimulation.LoseDisk(name);
    } else {
      aSimulation.Crash(name);
    }
  }
  for (const std::string& name : aSimulation.Names()) {
    aSimulation.Restart(name);
  }
}

bool
AcknowledgeWrite(Simulation& aSimulation)
{
  return aSimulation.AcknowledgeWrite(kStartMillis);
}

// All hosts lose power, and two random voters their disks. The group must keep
// what was acknowledged and accept writes again.
void
LoseTwoVoterDisks(Simulation& aSimulation, uint64_t aSeed)
{
  std::vector<std::string> voters = Voters(aSimulation);
  std::shuffle(voters.begin(), voters.end(), aSimulation.Random());
  LosePower(aSimulation, { voters[0], voters[1] });
  aSimulation.Run(kRecoveryMillis);
  BOOST_TEST(AcknowledgeWrite(aSimulation), "seed " << aSeed);
  BOOST_TEST(aSimulation.Violations().empty(), "seed " << aSeed);
}

// Compares each membership that a leader proposes with the one before it.
class StepJudge
{
public:
  StepJudge(Simulation& aSimulation, uint32_t aTargetVoters)
    : m_simulation(aSimulation)
    , m_stated((aTargetVoters - 1) / 2)
  {
  }

  // Runs the simulation and judges all steps. A step may not bring the group
  // below the stated number of losses, or further below it.
  void Run(int64_t aMillis)
  {
    for (int64_t i = 0; i < aMillis; ++i) {
      m_simulation.Step();
      const std::string leader = m_simulation.Leader();
      if (!leader.empty()) {
        Judge(m_simulation.DriverOf(leader).Raft().Members());
      }
    }
  }

  size_t Steps() const { return m_steps; }
  const std::string& Violation() const { return m_violation; }

private:
  void Judge(const Membership& aMembers)
  {
    if (aMembers == m_last) {
      return;
    }
    if (!m_last.empty()) {
      ++m_steps;
      const int64_t before = m_simulation.LossesLeft(m_last);
      const int64_t after = m_simulation.LossesLeft(aMembers);
      if (after < std::min(before, m_stated) && m_violation.empty()) {
        m_violation =
          "bears " + std::to_string(after) + " losses after " +
          std::to_string(before) + ", with " + std::to_string(m_last.size()) +
          " and then " + std::to_string(aMembers.size()) + " members, at " +
          std::to_string(m_simulation.Now().SinceBoot().Count()) + " ms";
      }
    }
    m_last = aMembers;
  }

  Simulation& m_simulation;
  const int64_t m_stated;
  Membership m_last;
  size_t m_steps = 0;
  std::string m_violation; // the first one
};

// One random disturbance, and the time until it ends.
void
Disturb(Simulation& aSimulation, StepJudge& aJudge)
{
  constexpr int64_t kDisturbanceMillis = 4000;
  const std::vector<std::string>& names = aSimulation.Names();
  const std::string name = names[aSimulation.Random()() % names.size()];
  switch (aSimulation.Random()() % 4) {
    case 0:
      aSimulation.Split({ name });
      break;
    case 1:
      aSimulation.Crash(name);
      break;
    case 2:
      aSimulation.LoseDisk(name);
      aSimulation.Restart(name);
      break;
    default:
      aSimulation.LoseDisk(name);
      break;
  }
  aJudge.Run(static_cast<int64_t>(aSimulation.Random()() % kDisturbanceMillis));
  aSimulation.Heal();
  if (!aSimulation.IsUp(name)) {
    aSimulation.Restart(name);
  }
  aJudge.Run(static_cast<int64_t>(aSimulation.Random()() % kDisturbanceMillis));
}

} // namespace

// Guards against a membership change that passes through a group which bears
// fewer losses than stated: a silent voter was removed before its replacement
// voted, and a voter gave its vote up before the learner had it.
BOOST_AUTO_TEST_CASE(EachStepOfAMembershipChangeBearsTheStatedLosses)
{
  constexpr int kDisturbances = 8;
  SimulationLayout crowded = ThreeVoters();
  crowded.m_domains = {
    { "a", "one" }, { "b", "one" }, { "c", "one" }, { "d", "two" }
  };
  SimulationLayout crowdedFive = FiveVoters();
  crowdedFive.m_domains = { { "a", "one" }, { "b", "one" },  { "c", "one" },
                            { "d", "one" }, { "e", "two" },  { "f", "two" },
                            { "g", "two" }, { "h", "three" } };
  const std::vector<std::pair<SimulationLayout, std::vector<std::string>>>
    layouts{ { ThreeVoters(), { "d" } },
             { ThreeVoters(), { "d", "e" } },
             { crowded, { "d" } },
             { FiveVoters(), kJoiningHosts },
             { crowdedFive, kJoiningHosts } };
  for (size_t i = 0; i < layouts.size(); ++i) {
    const auto& [layout, joining] = layouts[i];
    size_t steps = 0;
    for (uint64_t seed = 1; seed <= kSeeds / 3; ++seed) {
      Simulation simulation(seed, kSeedHosts, joining, layout);
      simulation.Run(kStartMillis);
      StepJudge judge(simulation, layout.m_targetVoters);
      for (int j = 0; j < kDisturbances; ++j) {
        Disturb(simulation, judge);
      }
      steps += judge.Steps();
      BOOST_TEST(judge.Violation().empty(),
                 "layout " << i << ", seed " << seed << ": "
                           << judge.Violation());
      BOOST_TEST(simulation.Violations().empty(), "seed " << seed);
    }
    BOOST_TEST(steps > 0U, "layout " << i);
  }
}

// Guards against a group without a majority after one lost disk: a voter that
// was only cut off had been removed, and one of the two voters left lost its
// disk before a third one joined. Tries each moment of the change.
BOOST_AUTO_TEST_CASE(LostDiskDuringTheReplacementOfAVoterThatWasCutOff)
{
  // The simulation replaces a voter after 1,500 ms of silence.
  constexpr int64_t kFirstMillis = 1450;
  constexpr int64_t kLastMillis = 1650;
  for (int64_t moment = kFirstMillis; moment < kLastMillis; moment += 2) {
    const auto seed = static_cast<uint64_t>(moment);
    Simulation simulation(seed, kSeedHosts, { "d" }, ThreeVoters());
    simulation.Run(kStartMillis);
    BOOST_REQUIRE(AcknowledgeWrite(simulation));
    std::vector<std::string> voters = Voters(simulation);
    BOOST_REQUIRE_MESSAGE(voters.size() == kThreeVoters, "seed " << seed);
    // Without its leader the group would first elect another one.
    std::erase(voters, simulation.Leader());
    std::shuffle(voters.begin(), voters.end(), simulation.Random());
    simulation.Split({ voters[0] });
    simulation.Run(moment);
    simulation.Heal();
    LosePower(simulation, { voters[1] });
    simulation.Run(kRecoveryMillis);
    BOOST_TEST(AcknowledgeWrite(simulation), "seed " << seed);
    BOOST_TEST(simulation.Violations().empty(), "seed " << seed);
  }
}

// Guards against a control group that two lost disks end for good, with every
// acknowledged configuration: no leader was elected afterwards.
BOOST_AUTO_TEST_CASE(TwoLostDisksKeepAcknowledgedWrites)
{
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Simulation simulation(seed, kSeedHosts, kJoiningHosts, FiveVoters());
    simulation.Run(kStartMillis);
    BOOST_REQUIRE_MESSAGE(Voters(simulation).size() == kVotersOfEight,
                          "seed " << seed);
    BOOST_REQUIRE(AcknowledgeWrite(simulation));
    LoseTwoVoterDisks(simulation, seed);
  }
}

// Guards against an acknowledgement that rests on too few hosts: until the
// group had grown, two of three voters were enough, and the loss of these two
// disks lost the write.
BOOST_AUTO_TEST_CASE(FirstAcknowledgedWriteSurvivesTwoLostDisks)
{
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Simulation simulation(seed, kSeedHosts, kJoiningHosts, FiveVoters());
    BOOST_REQUIRE(AcknowledgeWrite(simulation));
    LoseTwoVoterDisks(simulation, seed);
  }
}

// Guards against a group that never accepts a command because the deployment
// has fewer hosts than voters are wanted.
BOOST_AUTO_TEST_CASE(TooFewHostsStillServe)
{
  Simulation simulation(5, kSeedHosts, { "d" }, FiveVoters());
  simulation.Crash("d");
  simulation.Run(kStartMillis);
  BOOST_TEST(Voters(simulation).size() == 3U);
  BOOST_TEST(AcknowledgeWrite(simulation));
}

// Guards against a control group that one lost failure domain stops: members
// were added in the order in which they asked, so one domain could hold a
// majority of the voters.
BOOST_AUTO_TEST_CASE(LossOfADomainLeavesAMajority)
{
  SimulationLayout layout = FiveVoters();
  layout.m_domains = { { "a", "one" }, { "b", "one" },  { "c", "one" },
                       { "d", "one" }, { "e", "two" },  { "f", "two" },
                       { "g", "two" }, { "h", "three" } };
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Simulation simulation(seed, kSeedHosts, kJoiningHosts, layout);
    simulation.Run(kStartMillis);
    for (const auto& [host, domain] : layout.m_domains) {
      if (domain == "one") {
        simulation.Crash(host);
      }
    }
    simulation.Run(kStartMillis);
    BOOST_TEST(AcknowledgeWrite(simulation), "seed " << seed);
    BOOST_TEST(simulation.Violations().empty(), "seed " << seed);
  }
}

// Guards against a vote of a process without a disk: after a restart it has
// forgotten the vote and all entries that it acknowledged. Here one initial
// member and two hosts that join have no disk.
BOOST_AUTO_TEST_CASE(HostsWithoutDiskNeverVote)
{
  SimulationLayout layout = FiveVoters();
  layout.m_diskless = { "b", "d", "e" };
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Simulation simulation(seed, kSeedHosts, kJoiningHosts, layout);
    simulation.Run(kStartMillis);
    BOOST_TEST(Voters(simulation).size() == kMinVoters, "seed " << seed);
    for (const std::string& name : layout.m_diskless) {
      BOOST_TEST(!IsVoter(simulation, name), "seed " << seed);
    }
    BOOST_REQUIRE(AcknowledgeWrite(simulation));
    LoseTwoVoterDisks(simulation, seed);
  }
}

// Guards against a group that is never formed, or is formed twice, because none
// of the initial members has a disk.
BOOST_AUTO_TEST_CASE(SeedsWithoutDiskAgreeOnAFounder)
{
  SimulationLayout layout = FiveVoters();
  layout.m_diskless = { "a", "b", "c" };
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Simulation simulation(seed, kSeedHosts, kJoiningHosts, layout);
    Simulation::NetworkFaults faults;
    faults.m_lossPercent = seed % 2 == 0 ? 20 : 0;
    faults.m_duplicatePercent = 10;
    faults.m_latePercent = 10;
    simulation.SetNetworkFaults(faults);
    simulation.Run(kStartMillis);
    simulation.SetNetworkFaults({});
    simulation.Run(kStartMillis);
    BOOST_TEST(Voters(simulation).size() == kMinVoters, "seed " << seed);
    BOOST_REQUIRE(AcknowledgeWrite(simulation));
    LoseTwoVoterDisks(simulation, seed);
  }
}

// Guards against a second group when initial members without a disk are
// restarted before the first one is formed.
BOOST_AUTO_TEST_CASE(RestartedSeedsWithoutDiskFormNoSecondGroup)
{
  SimulationLayout layout = FiveVoters();
  layout.m_diskless = { "a", "b", "c" };
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Simulation simulation(seed, kSeedHosts, kJoiningHosts, layout);
    for (const std::string& name : kSeedHosts) {
      simulation.Run(static_cast<int64_t>(simulation.Random()() % 200));
      simulation.Crash(name);
      simulation.Restart(name);
    }
    simulation.Run(kStartMillis);
    std::set<std::string> leaders;
    for (const std::string& name : simulation.Names()) {
      if (simulation.StatusOf(name).m_role == RaftRole::Leader) {
        leaders.insert(name);
      }
    }
    BOOST_TEST(leaders.size() <= 1U, "seed " << seed);
    BOOST_TEST(simulation.Violations().empty(), "seed " << seed);
  }
}

// Guards against processes without a disk that find no seat in the group, and
// against a group of them and one voter a domain that a lost domain stops.
BOOST_AUTO_TEST_CASE(OneDiskADomainBearsALostDomain)
{
  SimulationLayout layout = FiveVoters();
  std::vector<std::string> joining;
  for (const char* domain : { "1", "2", "3", "4", "5", "6" }) {
    for (const char* host : { "disk-", "none-" }) {
      const std::string name = std::string(host) + domain;
      layout.m_domains[name] = domain;
      if (name.starts_with("none")) {
        layout.m_diskless.insert(name);
      }
      joining.push_back(name);
    }
  }
  const std::vector<std::string> seeds{ "disk-1", "none-2", "disk-3" };
  for (const std::string& name : seeds) {
    std::erase(joining, name);
  }
  for (uint64_t seed = 1; seed <= kSeeds / 4; ++seed) {
    Simulation simulation(seed, seeds, joining, layout);
    simulation.Run(kStartMillis);
    BOOST_REQUIRE(AcknowledgeWrite(simulation));
    BOOST_TEST(Voters(simulation).size() == kMinVoters, "seed " << seed);
    for (const std::string& name : simulation.Names()) {
      BOOST_TEST(!simulation.StatusOf(name).m_leader.empty(),
                 name << ", seed " << seed);
    }
    const auto lost = simulation.Random()() % layout.m_domains.size();
    const std::string domain =
      std::next(layout.m_domains.begin(), static_cast<ptrdiff_t>(lost))->second;
    simulation.Crash("disk-" + domain);
    simulation.Crash("none-" + domain);
    simulation.Run(kStartMillis);
    BOOST_TEST(AcknowledgeWrite(simulation), "seed " << seed);
    BOOST_TEST(simulation.Violations().empty(), "seed " << seed);
  }
}

// Guards against a group that stops, or loses a write, when a host is replaced
// for good while another one is down, and the host that took the vote loses its
// disk at once.
BOOST_AUTO_TEST_CASE(ReplacementLosesItsDiskWhileAnotherHostIsDown)
{
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Simulation simulation(seed, kSeedHosts, kJoiningHosts, FiveVoters());
    simulation.Run(kStartMillis);
    BOOST_REQUIRE(AcknowledgeWrite(simulation));
    std::vector<std::string> before = Voters(simulation);
    std::shuffle(before.begin(), before.end(), simulation.Random());
    simulation.Crash(before[0]);
    simulation.Crash(before[1]);
    std::string replacement;
    for (int64_t i = 0; i < kRecoveryMillis && replacement.empty(); ++i) {
      simulation.Step();
      for (const std::string& name : Voters(simulation)) {
        if (std::count(before.begin(), before.end(), name) == 0) {
          replacement = name;
        }
      }
    }
    BOOST_REQUIRE_MESSAGE(!replacement.empty(), "seed " << seed);
    simulation.LoseDisk(replacement);
    simulation.Restart(replacement);
    simulation.Run(kRecoveryMillis);
    BOOST_TEST(AcknowledgeWrite(simulation), "seed " << seed);
    // Six hosts are left, two of the eight are gone for good.
    BOOST_TEST(Voters(simulation).size() >= kMinVoters, "seed " << seed);
    ExpectNoDeadVoter(simulation, seed);
    BOOST_TEST(simulation.Violations().empty(), "seed " << seed);
  }
}

// Guards against a group that does not return when all hosts are killed in the
// middle of a replacement.
BOOST_AUTO_TEST_CASE(AllKilledDuringAReplacement)
{
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Simulation simulation(seed, kSeedHosts, kJoiningHosts, FiveVoters());
    simulation.Run(kStartMillis);
    BOOST_REQUIRE(AcknowledgeWrite(simulation));
    simulation.Crash(Voters(simulation).back());
    const auto isReplacing = [&] {
      const size_t voters = Voters(simulation).size();
      return voters > 0 && voters != kVotersOfEight;
    };
    for (int64_t i = 0; i < kRecoveryMillis && !isReplacing(); ++i) {
      simulation.Step();
    }
    BOOST_REQUIRE_MESSAGE(isReplacing(), "seed " << seed);
    LosePower(simulation, {});
    simulation.Run(kRecoveryMillis);
    BOOST_TEST(AcknowledgeWrite(simulation), "seed " << seed);
    BOOST_TEST(Voters(simulation).size() == kVotersOfEight, "seed " << seed);
    BOOST_TEST(simulation.Violations().empty(), "seed " << seed);
  }
}

// Guards against a write that is acknowledged by a minority of the hosts: three
// of the five voters stood on three of eight hosts, and the five others, though
// in touch with most hosts, served the state before it.
BOOST_AUTO_TEST_CASE(OnlyMostHostsAcknowledgeBehindACut)
{
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Simulation simulation(seed, kSeedHosts, kJoiningHosts, FiveVoters());
    simulation.Run(kStartMillis);
    BOOST_REQUIRE(AcknowledgeWrite(simulation));
    std::vector<std::string> voters = Voters(simulation);
    std::shuffle(voters.begin(), voters.end(), simulation.Random());
    const std::set<std::string> few{ voters[0], voters[1], voters[2] };
    simulation.Split(few);
    simulation.Run(kStartMillis);
    BOOST_TEST(AcknowledgeWrite(simulation), "seed " << seed);
    BOOST_TEST(few.count(simulation.Leader()) == 0U, "seed " << seed);
    simulation.Heal();
    simulation.Run(kStartMillis);
    BOOST_TEST(AcknowledgeWrite(simulation), "seed " << seed);
    BOOST_TEST(simulation.Violations().empty(), "seed " << seed);
  }
}

// Guards against voters that are gone for good and stay, because every other
// host votes already and none is left to take the vote: each replaced host
// would bring the group nearer to the end of its majority.
BOOST_AUTO_TEST_CASE(HostsReplacedForGoodLeaveNoDeadVoters)
{
  const std::vector<std::string> successors{ "i", "j", "k", "l", "m", "n" };
  std::vector<std::string> joining = kJoiningHosts;
  joining.insert(joining.end(), successors.begin(), successors.end());
  for (uint64_t seed = 1; seed <= kSeeds / 4; ++seed) {
    Simulation simulation(seed, kSeedHosts, joining, FiveVoters());
    for (const std::string& name : successors) {
      simulation.Crash(name);
    }
    simulation.Run(kStartMillis);
    for (const std::string& name : successors) {
      std::vector<std::string> voters = Voters(simulation);
      BOOST_REQUIRE_MESSAGE(!voters.empty(), "seed " << seed);
      // A successor knows the seeds only, so one of them stays.
      std::erase(voters, kSeedHosts.front());
      std::shuffle(voters.begin(), voters.end(), simulation.Random());
      simulation.Crash(voters.front());
      simulation.Restart(name);
      simulation.Run(kRecoveryMillis);
      ExpectNoDeadVoter(simulation, seed);
      BOOST_TEST(Voters(simulation).size() >= kVotersOfEight,
                 "seed " << seed << ", " << Voters(simulation).size()
                         << " voters");
    }
    BOOST_TEST(AcknowledgeWrite(simulation), "seed " << seed);
    BOOST_TEST(simulation.Violations().empty(), "seed " << seed);
  }
}
