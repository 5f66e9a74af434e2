// Runs the replicas of one group on disks in memory, with a simulated network
// and clock. All random choices come from one seed. Checks the safety
// properties of Raft after every step.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "chivefront/consensus/memory_disk.h"
#include "chivefront/consensus/raft_driver.h"

namespace chivefront::consensus {

// Properties of a simulated group beyond the names of its hosts.
struct SimulationLayout
{
  uint32_t m_targetVoters = 0; // 0: as many as there are initial members
  std::map<std::string, std::string> m_domains; // failure domains by host
  // Hosts without a durable disk: each start begins with an empty folder. With
  // such hosts, only the first start of a host may bootstrap the group.
  std::set<std::string> m_diskless;
  // Only the first start of a host may bootstrap the group, also if all hosts
  // have disks.
  bool m_onlyFirstStartBootstraps = false;
  // Small, so that short runs send snapshots in several chunks.
  size_t m_snapshotChunkBytes = 200;
  // As in GroupOptions. The second is shorter than there, so that short runs
  // see silent members removed.
  base::Millis m_replaceAfter{ 1500 };
  base::Millis m_removeAfter{ 6000 };
};

class Simulation
{
public:
  struct NetworkFaults
  {
    uint32_t m_lossPercent = 0;
    uint32_t m_duplicatePercent = 0;
    int64_t m_delayMillis = 5;
    uint32_t m_latePercent = 0; // messages with a delay of 300 ms
    // What a host sends per millisecond, shared evenly by the receivers for
    // which it has messages; 0: no limit.
    uint64_t m_uplinkBytesPerMilli = 0;
  };

  // aNames are the initial members. With aSpares the membership is dynamic, and
  // the spares join without being configured on the initial members.
  explicit Simulation(uint64_t aSeed,
                      std::vector<std::string> aNames,
                      const std::vector<std::string>& aSpares = {},
                      SimulationLayout aLayout = {});

  // Advances the time by one millisecond.
  void Step();
  void Run(int64_t aMillis)
  {
    for (int64_t i = 0; i < aMillis; ++i) {
      Step();
    }
  }

  // Faults.
  void Crash(const std::string& aName);
  void CrashInsideWrite(const std::string& aName);
  void Restart(const std::string& aName);
  void LoseDisk(const std::string& aName);
  // From its next start on, the host is told these names as initial members.
  void SetSeeds(const std::string& aName, std::vector<std::string> aSeeds)
  {
    m_seeds[aName] = std::move(aSeeds);
  }
  // While its disk is full, a replica is paused.
  void SetDiskFull(const std::string& aName, bool aFull)
  {
    m_hosts.at(aName).m_disk->SetFull(aFull);
  }
  // Removes all files while the process runs.
  void EmptyFolder(const std::string& aName)
  {
    m_hosts.at(aName).m_disk->RemoveAll();
  }
  // Swaps the disk with the one that was lost last, as when an operator puts an
  // old disk back. Returns false when none was lost.
  bool ReturnOldDisk(const std::string& aName);
  void Isolate(const std::string& aName) { m_isolated.insert(aName); }
  // Cuts the hosts of aSide from all others. The hosts of each side reach each
  // other.
  void Split(const std::set<std::string>& aSide) { m_side = aSide; }
  void Heal()
  {
    m_isolated.clear();
    m_side.clear();
  }
  void SetNetworkFaults(NetworkFaults aFaults) { m_networkFaults = aFaults; }

  // Requests of clients, to a random replica. aBytes: size of the command.
  void Write(size_t aBytes = 0);
  void Read();

  // Writes until one more command is acknowledged, for at most aMillis.
  bool AcknowledgeWrite(int64_t aMillis);

  bool IsUp(const std::string& aName) { return IsRunning(m_hosts.at(aName)); }
  bool IsPaused(const std::string& aName)
  {
    const Host& host = m_hosts.at(aName);
    return host.m_driver && host.m_driver->IsPaused();
  }
  RaftDriver& DriverOf(const std::string& aName)
  {
    return *m_hosts.at(aName).m_driver;
  }
  // Whether the replica's disk still exists, on a host that is up or down.
  bool HasDiskOf(const Replica& aReplica) const
  {
    return m_hosts.at(aReplica.m_name).m_identity == aReplica.m_identity;
  }
  // How many more voters of aMembers may be lost for good while the others hold
  // a majority. Counts the disks that are lost in fact, whether the group knows
  // or not.
  int64_t LossesLeft(const Membership& aMembers) const;
  GroupStatus StatusOf(const std::string& aName)
  {
    return DriverOf(aName).Status(m_now);
  }
  std::string Leader();
  // Whether a leader reports the group as repaired with the voters that have
  // the current disks.
  bool ReportsRepair();
  // Whether all replicas are up, agree and hold every acknowledged write.
  bool Converged();
  void CheckLogMatching();

  base::TimePoint Now() const { return m_now; }
  std::mt19937_64& Random() { return m_random; }
  bool Chance(uint32_t aPercent) { return m_random() % 100 < aPercent; }
  const std::vector<std::string>& Names() const { return m_names; }
  const std::vector<std::string>& Violations() const { return m_violations; }
  size_t Acknowledged() const { return m_acknowledged; }
  size_t Reads() const { return m_reads; }
  // Number of commands that a host that is up has applied.
  size_t AppliedCommands(const std::string& aName) const
  {
    return m_hosts.at(aName).m_machine->m_applied.size();
  }

private:
  // Records the commands applied so far, in order.
  struct RecordingMachine final : StateMachine
  {
    Simulation* m_owner = nullptr;
    std::vector<std::string> m_applied;

    std::string Apply(uint64_t aIndex, std::string_view aCommand) override;
    std::string TakeSnapshot() const override;
    absl::Status Restore(std::string_view aSnapshot) override;
  };
  struct Host
  {
    std::unique_ptr<MemoryDisk> m_disk;
    std::unique_ptr<MemoryDisk> m_lostDisk;
    std::unique_ptr<RecordingMachine> m_machine;
    std::unique_ptr<RaftDriver> m_driver; // null while down
    uint64_t m_identity = 0; // of the disk; 0: not known until the next start
    uint64_t m_starts = 0;
    uint64_t m_checkedIndex = 0; // last committed entry that was compared
  };
  struct InFlightMessage
  {
    std::string m_from;
    std::string m_to;
    std::string m_payload;
  };

  struct QueuedMessage
  {
    InFlightMessage m_message;
    uint64_t m_bytesLeft = 0;
  };

  static bool IsRunning(const Host& aHost)
  {
    return aHost.m_driver && !aHost.m_driver->IsPaused();
  }
  void Expect(bool aHolds, const std::string& aRule);
  void Send(const std::string& aFrom,
            const std::string& aTo,
            std::string aPayload);
  void Deliver(InFlightMessage aMessage);
  void SendFromUplinks();
  void Process(const std::string& aName);
  void CheckCommitted(const std::string& aName);
  GroupOptions OptionsOf(const std::string& aName) const;

  std::mt19937_64 m_random;
  const std::vector<std::string> m_initialNames;
  const SimulationLayout m_layout;
  std::vector<std::string> m_names; // of all hosts
  // By host, instead of m_initialNames.
  std::map<std::string, std::vector<std::string>> m_seeds;
  base::EventLog m_events{ "simulation", "", 1 };
  base::TimePoint m_now;
  std::map<std::string, Host> m_hosts;
  std::multimap<base::TimePoint, InFlightMessage> m_network;
  std::set<std::string> m_isolated;
  std::set<std::string> m_side; // hosts that are cut from all others
  NetworkFaults m_networkFaults;
  // Messages that wait for their sender's uplink, by sender and receiver.
  std::map<std::string, std::map<std::string, std::deque<QueuedMessage>>>
    m_uplinks;

  std::map<uint64_t, uint64_t> m_leaderByTerm; // identity by term
  std::map<uint64_t, std::pair<uint64_t, std::string>> m_committedEntries;
  std::vector<std::string> m_appliedOrder;  // commands, as applied first
  std::set<std::string> m_appliedCommands;  // the same commands, for lookups
  std::set<std::string> m_rejectedCommands; // their result was NotLeader
  uint64_t m_writes = 0;
  size_t m_acknowledged = 0;
  size_t m_reads = 0;
  // The largest length of m_appliedOrder that a completed call has observed.
  size_t m_observedLength = 0;
  std::vector<std::string> m_violations;
};

} // namespace chivefront::consensus
