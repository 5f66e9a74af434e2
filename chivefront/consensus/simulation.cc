// Time, network, faults and checks of the simulation.
#include "chivefront/consensus/simulation.h"

#include <algorithm>
#include <sstream>

namespace chivefront::consensus {
namespace {

constexpr int64_t kLateMillis = 300;

} // namespace

GroupOptions
Simulation::OptionsOf(const std::string& aName) const
{
  const bool isDynamic = m_names.size() > m_initialNames.size();
  const auto initial = static_cast<uint32_t>(m_initialNames.size());
  GroupOptions options;
  options.m_name = aName;
  const auto seeds = m_seeds.find(aName);
  options.m_initialMembers =
    seeds == m_seeds.end() ? m_initialNames : seeds->second;
  if (isDynamic) {
    options.m_targetVoters =
      m_layout.m_targetVoters > 0 ? m_layout.m_targetVoters : initial;
  }
  if (const auto domain = m_layout.m_domains.find(aName);
      domain != m_layout.m_domains.end()) {
    options.m_domain = domain->second;
  }
  options.m_diskless = m_layout.m_diskless.count(aName) > 0;
  options.m_mayBootstrap =
    (m_layout.m_diskless.empty() && !m_layout.m_onlyFirstStartBootstraps) ||
    m_hosts.at(aName).m_starts == 0;
  options.m_replaceAfter = m_layout.m_replaceAfter;
  options.m_removeAfter = m_layout.m_removeAfter;
  options.m_fastFirstElection = isDynamic;
  // Small limits, so that short runs start new segments, compact the log and
  // send snapshots.
  options.m_snapshotEvery = 20;
  options.m_trailingEntries = 5;
  options.m_segmentBytes = 2000;
  options.m_snapshotChunkBytes = m_layout.m_snapshotChunkBytes;
  return options;
}

std::string
Simulation::RecordingMachine::Apply(uint64_t, std::string_view aCommand)
{
  m_applied.emplace_back(aCommand);
  auto& order = m_owner->m_appliedOrder;
  if (m_applied.size() > order.size()) {
    order.emplace_back(aCommand);
    m_owner->Expect(m_owner->m_appliedCommands.insert(order.back()).second,
                    "a command is applied only once");
    m_owner->Expect(m_owner->m_rejectedCommands.count(order.back()) == 0,
                    "a rejected command is not applied");
  }
  m_owner->Expect(order[m_applied.size() - 1] == aCommand,
                  "applied sequences are prefixes of each other");
  return std::to_string(m_applied.size());
}

std::string
Simulation::RecordingMachine::TakeSnapshot() const
{
  std::string text;
  for (const std::string& command : m_applied) {
    text += command + "\n";
  }
  return text;
}

absl::Status
Simulation::RecordingMachine::Restore(std::string_view aSnapshot)
{
  m_applied.clear();
  std::istringstream lines{ std::string(aSnapshot) };
  for (std::string line; std::getline(lines, line);) {
    m_applied.push_back(line);
  }
  m_owner->Expect(m_applied.size() <= m_owner->m_appliedOrder.size() &&
                    std::equal(m_applied.begin(),
                               m_applied.end(),
                               m_owner->m_appliedOrder.begin()),
                  "a snapshot is a prefix of the applied commands");
  return absl::OkStatus();
}

Simulation::Simulation(uint64_t aSeed,
                       std::vector<std::string> aNames,
                       const std::vector<std::string>& aSpares,
                       SimulationLayout aLayout)
  : m_random(aSeed)
  , m_initialNames(std::move(aNames))
  , m_layout(std::move(aLayout))
  , m_names(m_initialNames)
{
  m_names.insert(m_names.end(), aSpares.begin(), aSpares.end());
  for (const std::string& name : m_names) {
    m_hosts[name].m_disk = std::make_unique<MemoryDisk>();
    Restart(name);
  }
}

int64_t
Simulation::LossesLeft(const Membership& aMembers) const
{
  int64_t voters = 0;
  int64_t alive = 0;
  for (const Replica& replica : aMembers) {
    if (replica.m_voter) {
      ++voters;
      alive += HasDiskOf(replica) ? 1 : 0;
    }
  }
  return alive - (voters / 2 + 1);
}

void
Simulation::Expect(bool aHolds, const std::string& aRule)
{
  if (!aHolds) {
    m_violations.push_back(aRule + " at " +
                           std::to_string(m_now.SinceBoot().Count()) + " ms");
  }
}

void
Simulation::Deliver(InFlightMessage aMessage)
{
  const int64_t delay =
    Chance(m_networkFaults.m_latePercent)
      ? kLateMillis
      : 1 + static_cast<int64_t>(m_random() % m_networkFaults.m_delayMillis);
  m_network.emplace(m_now + base::Millis(delay), std::move(aMessage));
}

void
Simulation::Send(const std::string& aFrom,
                 const std::string& aTo,
                 std::string aPayload)
{
  const uint32_t copies = Chance(m_networkFaults.m_duplicatePercent) ? 2 : 1;
  for (uint32_t i = 0; i < copies; ++i) {
    if (Chance(m_networkFaults.m_lossPercent)) {
      continue;
    }
    InFlightMessage message{ aFrom, aTo, aPayload };
    if (m_networkFaults.m_uplinkBytesPerMilli == 0) {
      Deliver(std::move(message));
    } else {
      m_uplinks[aFrom][aTo].push_back({ std::move(message), aPayload.size() });
    }
  }
}

// Sends for one millisecond from each host that has messages waiting.
void
Simulation::SendFromUplinks()
{
  for (auto& [from, queues] : m_uplinks) {
    uint64_t budget = m_networkFaults.m_uplinkBytesPerMilli;
    std::erase_if(queues,
                  [](const auto& aItem) { return aItem.second.empty(); });
    while (budget > 0 && !queues.empty()) {
      const uint64_t share = std::max<uint64_t>(1, budget / queues.size());
      for (auto& [to, queue] : queues) {
        const uint64_t sent =
          std::min({ share, budget, queue.front().m_bytesLeft });
        budget -= sent;
        queue.front().m_bytesLeft -= sent;
        if (queue.front().m_bytesLeft == 0) {
          Deliver(std::move(queue.front().m_message));
          queue.pop_front();
        }
      }
      std::erase_if(queues,
                    [](const auto& aItem) { return aItem.second.empty(); });
    }
  }
}

void
Simulation::Restart(const std::string& aName)
{
  Host& host = m_hosts.at(aName);
  if (m_layout.m_diskless.count(aName) > 0) {
    host.m_disk = std::make_unique<MemoryDisk>();
  }
  host.m_machine = std::make_unique<RecordingMachine>();
  host.m_machine->m_owner = this;
  host.m_driver = std::make_unique<RaftDriver>(
    OptionsOf(aName),
    *host.m_machine,
    *host.m_disk,
    [this, aName](const std::string& aTo, std::string aPayload) {
      Send(aName, aTo, std::move(aPayload));
    },
    m_events);
  const absl::Status status =
    host.m_driver->Open(m_random(), m_random(), m_now);
  Expect(status.ok(), "a log opens after a crash: " + status.ToString());
  if (!status.ok()) {
    host.m_driver.reset();
    return;
  }
  ++host.m_starts;
  if (!host.m_driver->IsPaused()) {
    host.m_identity = host.m_driver->Raft().Identity();
    host.m_checkedIndex = host.m_driver->Raft().CommitIndex();
  }
}

void
Simulation::Crash(const std::string& aName)
{
  Host& host = m_hosts.at(aName);
  host.m_driver.reset();
  host.m_disk->Crash(m_random);
}

void
Simulation::CrashInsideWrite(const std::string& aName)
{
  if (!IsUp(aName)) {
    return;
  }
  MemoryDisk& disk = *m_hosts.at(aName).m_disk;
  disk.FailFrom(disk.Operations() + 1 + m_random() % 6);
}

void
Simulation::LoseDisk(const std::string& aName)
{
  Host& host = m_hosts.at(aName);
  Crash(aName);
  host.m_lostDisk = std::move(host.m_disk);
  host.m_disk = std::make_unique<MemoryDisk>();
  host.m_identity = 0;
}

bool
Simulation::ReturnOldDisk(const std::string& aName)
{
  Host& host = m_hosts.at(aName);
  if (!host.m_lostDisk) {
    return false;
  }
  Crash(aName);
  std::swap(host.m_disk, host.m_lostDisk);
  return true;
}

void
Simulation::Process(const std::string& aName)
{
  Host& host = m_hosts.at(aName);
  if (!host.m_driver->Process(m_now).ok()) {
    Crash(aName);
    return;
  }
  if (host.m_driver->IsPaused()) {
    return;
  }
  const RaftCore& raft = host.m_driver->Raft();
  host.m_identity = raft.Identity();
  if (raft.IsLeader()) {
    const auto [leader, isNew] =
      m_leaderByTerm.emplace(raft.CurrentHardState().m_term, host.m_identity);
    Expect(leader->second == host.m_identity, "one leader per term");
  }
  CheckCommitted(aName);
}

void
Simulation::CheckCommitted(const std::string& aName)
{
  Host& host = m_hosts.at(aName);
  const RaftCore& raft = host.m_driver->Raft();
  const uint64_t first =
    std::max(host.m_checkedIndex, raft.Entries().BaseIndex()) + 1;
  for (uint64_t i = first; i <= raft.CommitIndex(); ++i) {
    const Entry& entry = raft.Entries().At(i);
    const std::pair held(entry.m_term, entry.m_data);
    const auto [known, isNew] = m_committedEntries.emplace(i, held);
    Expect(known->second == held, "a committed entry never changes");
  }
  host.m_checkedIndex = raft.CommitIndex();
}

void
Simulation::Step()
{
  m_now = m_now + base::Millis(1);
  SendFromUplinks();
  std::set<std::string> receivers;
  while (!m_network.empty() && m_network.begin()->first <= m_now) {
    const InFlightMessage message = std::move(m_network.begin()->second);
    m_network.erase(m_network.begin());
    Host& host = m_hosts.at(message.m_to);
    if (host.m_driver && m_isolated.count(message.m_from) == 0 &&
        m_isolated.count(message.m_to) == 0 &&
        m_side.count(message.m_from) == m_side.count(message.m_to)) {
      host.m_driver->Receive(message.m_from, message.m_payload, m_now);
      receivers.insert(message.m_to);
    }
  }
  for (const std::string& name : m_names) {
    const Host& host = m_hosts.at(name);
    if (host.m_driver &&
        (receivers.count(name) > 0 || host.m_driver->NextDeadline() <= m_now ||
         (IsRunning(host) && host.m_driver->Raft().IsLeader()))) {
      Process(name);
    }
  }
}

void
Simulation::Write(size_t aBytes)
{
  const std::string& name = m_names[m_random() % m_names.size()];
  if (!IsUp(name)) {
    return;
  }
  std::string command = "w" + std::to_string(++m_writes) + ".";
  command.resize(std::max(command.size(), aBytes), 'x');
  const size_t before = m_observedLength;
  DriverOf(name).Propose(
    command, [=, this](absl::StatusOr<std::string> aResult) {
      if (aResult.ok()) {
        const size_t position = std::stoull(*aResult);
        Expect(m_appliedOrder[position - 1] == command,
               "a result belongs to its command");
        Expect(position > before,
               "a write is ordered after all calls completed before it");
        m_observedLength = std::max(m_observedLength, position);
        ++m_acknowledged;
      } else if (base::KindOf(aResult.status()) == base::ErrorKind::NotLeader) {
        Expect(m_appliedCommands.count(command) == 0,
               "a command is not applied before its rejection");
        m_rejectedCommands.insert(command);
      }
    });
}

bool
Simulation::AcknowledgeWrite(int64_t aMillis)
{
  const size_t before = m_acknowledged;
  for (int64_t i = 0; i < aMillis && m_acknowledged == before; ++i) {
    Write();
    Step();
  }
  return m_acknowledged > before;
}

void
Simulation::Read()
{
  const std::string& name = m_names[m_random() % m_names.size()];
  if (!IsUp(name)) {
    return;
  }
  const size_t before = m_observedLength;
  const RecordingMachine* machine = m_hosts.at(name).m_machine.get();
  DriverOf(name).ConfirmLeadership([=, this](absl::StatusOr<uint64_t> aIndex) {
    if (aIndex.ok()) {
      const size_t seen = machine->m_applied.size();
      Expect(seen >= before, "a read sees all calls completed before it");
      m_observedLength = std::max(m_observedLength, seen);
      ++m_reads;
    }
  });
}

std::string
Simulation::Leader()
{
  std::string leader;
  uint64_t term = 0;
  for (const std::string& name : m_names) {
    if (IsUp(name) && DriverOf(name).Raft().IsLeader() &&
        DriverOf(name).Raft().CurrentHardState().m_term > term) {
      leader = name;
      term = DriverOf(name).Raft().CurrentHardState().m_term;
    }
  }
  return leader;
}

bool
Simulation::ReportsRepair()
{
  const std::string leader = Leader();
  if (leader.empty() || !StatusOf(leader).m_repaired) {
    return false;
  }
  for (const Replica& replica : StatusOf(leader).m_replicas) {
    if (replica.m_voter &&
        m_hosts.at(replica.m_name).m_identity != replica.m_identity) {
      return false;
    }
  }
  return true;
}

bool
Simulation::Converged()
{
  return ReportsRepair() &&
         std::all_of(
           m_names.begin(), m_names.end(), [&](const std::string& aName) {
             return IsUp(aName) &&
                    m_hosts.at(aName).m_machine->m_applied == m_appliedOrder &&
                    m_appliedOrder.size() >= m_observedLength;
           });
}

void
Simulation::CheckLogMatching()
{
  for (const std::string& one : m_names) {
    for (const std::string& other : m_names) {
      if (one >= other || !IsUp(one) || !IsUp(other)) {
        continue;
      }
      const Log& left = DriverOf(one).Raft().Entries();
      const Log& right = DriverOf(other).Raft().Entries();
      bool matched = false;
      for (uint64_t i = std::min(left.LastIndex(), right.LastIndex());
           i > std::max(left.BaseIndex(), right.BaseIndex());
           --i) {
        const bool same = left.TermAt(i) == right.TermAt(i);
        Expect(same || !matched,
               "logs with an equal entry are equal before it");
        Expect(!same || left.At(i).m_data == right.At(i).m_data,
               "entries with the same index and term are equal");
        matched = matched || same;
      }
    }
  }
}

} // namespace chivefront::consensus
