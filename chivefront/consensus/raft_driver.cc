// The order of work between the core, the disk, the network and the state
// machine.
#include "chivefront/consensus/raft_driver.h"

#include <utility>

#include "chivefront/base/errors.h"
#include "chivefront/base/ids.h"
#include "chivefront/base/log.h"
#include "chivefront/consensus/codec.h"

namespace chivefront::consensus {
namespace {

// How often a paused replica looks for space on its disk.
constexpr base::Millis kResumePeriod{ 200 };

absl::Status
NotLeader()
{
  return base::MakeError(base::ErrorKind::NotLeader,
                         "this replica does not lead the group");
}

absl::Status
LeadershipLost()
{
  return base::MakeError(base::ErrorKind::Unavailable,
                         "leadership was lost before the commit");
}

} // namespace

RaftDriver::RaftDriver(const GroupOptions& aOptions,
                       StateMachine& aMachine,
                       Disk& aDisk,
                       Group::SendFunction aSend,
                       base::EventLog& aEvents)
  : m_options(aOptions)
  , m_machine(aMachine)
  , m_send(std::move(aSend))
  , m_events(aEvents)
  , m_disk(aDisk)
{
}

absl::Status
RaftDriver::Open(uint64_t aNewIdentity, uint64_t aSeed, base::TimePoint aNow)
{
  m_newIdentity = aNewIdentity;
  m_seed = aSeed;
  return PauseIfFull(OpenFolder(aNow), aNow);
}

// The state machine keeps what it has applied before a pause: that was durable
// here and committed.
absl::Status
RaftDriver::OpenFolder(base::TimePoint aNow)
{
  m_store = std::make_unique<Store>(m_disk, m_options.m_segmentBytes);
  auto state = m_store->Open(m_newIdentity);
  if (!state.ok()) {
    return state.status();
  }
  if (m_identity != 0 && state->m_identity != m_identity) {
    return base::MakeError(base::ErrorKind::Corrupt,
                           "the data folder was replaced during a pause");
  }
  m_identity = state->m_identity;
  // A folder that is empty after a pause must not get the same identity again.
  m_newIdentity = base::StableHash("replaced folder", m_identity);
  if (state->m_snapshot && state->m_snapshot->m_index > m_appliedIndex) {
    auto status = m_machine.Restore(state->m_snapshot->m_data);
    if (!status.ok()) {
      return status;
    }
    m_appliedIndex = state->m_snapshot->m_index;
  }
  CoreOptions options;
  options.m_name = m_options.m_name;
  options.m_domain = m_options.m_domain;
  options.m_diskless = m_options.m_diskless;
  options.m_identity = state->m_identity;
  options.m_initialMembers = m_options.m_initialMembers;
  options.m_mayBootstrap = m_options.m_mayBootstrap;
  options.m_targetVoters = m_options.m_targetVoters;
  options.m_fastFirstElection = m_options.m_fastFirstElection;
  options.m_replaceAfter = m_options.m_replaceAfter;
  options.m_removeAfter = m_options.m_removeAfter;
  options.m_electionTimeout = m_options.m_electionTimeout;
  options.m_heartbeatInterval = m_options.m_heartbeatInterval;
  options.m_seed = m_seed++;
  options.m_trailingEntries = m_options.m_trailingEntries;
  options.m_snapshotChunkBytes = m_options.m_snapshotChunkBytes;
  m_raft = std::make_unique<RaftCore>(options, std::move(*state), aNow);
  return absl::OkStatus();
}

// Pauses the replica if aStatus says that the disk is full; returns any other
// status.
absl::Status
RaftDriver::PauseIfFull(absl::Status aStatus, base::TimePoint aNow)
{
  if (base::KindOf(aStatus) != base::ErrorKind::StorageFull) {
    return aStatus;
  }
  if (!IsPaused() || m_resumeDue == base::TimePoint()) {
    base::LogError("consensus",
                   "paused the replica, because its disk is full",
                   { { "error", base::MessageOf(aStatus) } });
    m_events.Record("raft-paused", {});
  }
  if (!IsPaused()) {
    m_pausedStatus = Status(aNow);
    m_pausedStatus.m_role = RaftRole::Follower;
    m_pausedStatus.m_leader.clear();
    m_pausedStatus.m_caughtUpVoters = 0;
    m_pausedStatus.m_repaired = false;
  }
  m_pausedStatus.m_paused = true;
  m_raft.reset();
  m_store.reset();
  m_resumeDue = aNow + kResumePeriod;
  // Entries that were sent to others may still be committed.
  FailAll(base::MakeError(base::ErrorKind::Unavailable,
                          "the disk of this replica is full"));
  return absl::OkStatus();
}

// Ends the pause if the disk has space again.
absl::Status
RaftDriver::Resume(base::TimePoint aNow)
{
  if (aNow < m_resumeDue) {
    return absl::OkStatus();
  }
  absl::Status status = Store::CheckSpace(m_disk);
  if (status.ok()) {
    status = OpenFolder(aNow);
  }
  if (status.ok()) {
    base::LogInfo("consensus", "resumed the replica, its disk has space", {});
    m_events.Record("raft-resumed", {});
  }
  return PauseIfFull(std::move(status), aNow);
}

void
RaftDriver::Propose(std::string aCommand, Group::ProposeCallback aDone)
{
  if (IsPaused()) {
    aDone(NotLeader());
    return;
  }
  const auto index = m_raft->Propose(std::move(aCommand));
  if (!index) {
    aDone(NotLeader());
    return;
  }
  m_pendingProposals[*index] = { m_raft->CurrentHardState().m_term,
                                 std::move(aDone) };
}

void
RaftDriver::ConfirmLeadership(Group::ConfirmCallback aDone)
{
  if (IsPaused()) {
    aDone(NotLeader());
    return;
  }
  m_pendingConfirmations[++m_lastConfirmationId] = std::move(aDone);
  m_raft->ConfirmLeadership(m_lastConfirmationId);
}

void
RaftDriver::Receive(const std::string& aFrom,
                    std::string_view aPayload,
                    base::TimePoint aNow)
{
  if (IsPaused()) {
    return;
  }
  auto message = DecodeMessage(aPayload);
  if (!message.ok()) {
    base::LogWarning("consensus",
                     "dropped a payload that is not a valid message",
                     { { "from", aFrom } });
    return;
  }
  m_raft->Receive(aFrom, *message, aNow);
}

void
RaftDriver::TransferLeadership(base::TimePoint aNow)
{
  if (!IsPaused()) {
    m_raft->TransferLeadership(aNow);
  }
}

base::TimePoint
RaftDriver::NextDeadline() const
{
  return IsPaused() ? m_resumeDue : m_raft->NextDeadline();
}

GroupStatus
RaftDriver::Status(base::TimePoint aNow) const
{
  if (IsPaused()) {
    return m_pausedStatus;
  }
  GroupStatus status = m_raft->Status(aNow);
  status.m_appliedIndex = m_appliedIndex;
  const uint64_t confirmed = m_raft->ConfirmedCommitIndex();
  status.m_appliedSinceStart = confirmed != 0 && m_appliedIndex >= confirmed;
  return status;
}

void
RaftDriver::SendAll(const std::vector<Envelope>& aEnvelopes)
{
  for (const Envelope& envelope : aEnvelopes) {
    m_send(envelope.m_to, EncodeMessage(envelope.m_message));
  }
}

absl::Status
RaftDriver::Process(base::TimePoint aNow)
{
  if (IsPaused()) {
    if (auto status = Resume(aNow); !status.ok() || IsPaused()) {
      return status;
    }
  }
  return PauseIfFull(ProcessActions(aNow), aNow);
}

absl::Status
RaftDriver::ProcessActions(base::TimePoint aNow)
{
  m_raft->Tick(aNow);
  for (Actions actions = m_raft->TakeActions(aNow); !actions.Empty();
       actions = m_raft->TakeActions(aNow)) {
    if (auto status = Execute(actions, aNow); !status.ok()) {
      return status;
    }
  }
  return absl::OkStatus();
}

absl::Status
RaftDriver::Execute(Actions& aActions, base::TimePoint aNow)
{
  SendAll(aActions.m_messagesBeforeSync);
  if (auto status = Persist(aActions); !status.ok()) {
    return status;
  }
  m_raft->OnSynced(aNow);
  SendAll(aActions.m_messagesAfterSync);
  ResolveCallbacks(aActions);
  ApplyCommitted();
  return TakeSnapshotIfDue();
}

absl::Status
RaftDriver::Persist(Actions& aActions)
{
  if (aActions.m_snapshotToInstall) {
    auto status = m_store->InstallSnapshot(*aActions.m_snapshotToInstall,
                                           m_raft->CurrentHardState());
    if (status.ok()) {
      status = m_machine.Restore(aActions.m_snapshotToInstall->m_data);
    }
    if (!status.ok()) {
      return status;
    }
    m_appliedIndex = aActions.m_snapshotToInstall->m_index;
    m_commandsSinceSnapshot = 0;
    m_events.Record("raft-snapshot-installed",
                    { { "index", std::to_string(m_appliedIndex) } });
  }
  if (!aActions.m_saveHardState && aActions.m_entriesToSave.empty()) {
    return absl::OkStatus();
  }
  const uint64_t termBefore =
    aActions.m_entriesToSave.empty()
      ? 0
      : m_raft->Entries().TermAt(aActions.m_entriesToSave.front().m_index - 1);
  return m_store->Save(m_raft->CurrentHardState(),
                       std::move(aActions.m_entriesToSave),
                       termBefore);
}

void
RaftDriver::ResolveCallbacks(const Actions& aActions)
{
  if (aActions.m_steppedDown) {
    for (auto& [index, pending] : std::exchange(m_pendingProposals, {})) {
      pending.m_done(LeadershipLost());
    }
    for (auto& [index, done] : std::exchange(m_awaitingApply, {})) {
      done(NotLeader());
    }
  }
  for (const LeadershipConfirmation& confirmation : aActions.m_confirmations) {
    const auto found = m_pendingConfirmations.find(confirmation.m_requestId);
    if (confirmation.m_readIndex) {
      m_awaitingApply.emplace(*confirmation.m_readIndex,
                              std::move(found->second));
    } else {
      found->second(NotLeader());
    }
    m_pendingConfirmations.erase(found);
  }
}

void
RaftDriver::CompleteProposal(const Entry& aEntry, std::string aResult)
{
  const auto found = m_pendingProposals.find(aEntry.m_index);
  if (found == m_pendingProposals.end()) {
    return;
  }
  const PendingProposal pending = std::move(found->second);
  m_pendingProposals.erase(found);
  if (pending.m_term == aEntry.m_term) {
    pending.m_done(std::move(aResult));
  } else {
    // Another entry was committed at its index, so the command never will be.
    pending.m_done(NotLeader());
  }
}

void
RaftDriver::ApplyCommitted()
{
  while (m_appliedIndex < m_raft->CommitIndex()) {
    const Entry& entry = m_raft->Entries().At(++m_appliedIndex);
    if (entry.m_kind == EntryKind::Command) {
      ++m_commandsSinceSnapshot;
      CompleteProposal(entry, m_machine.Apply(m_appliedIndex, entry.m_data));
    }
  }
  CompleteConfirmations();
}

void
RaftDriver::CompleteConfirmations()
{
  while (!m_awaitingApply.empty() &&
         m_awaitingApply.begin()->first <= m_appliedIndex) {
    const auto first = m_awaitingApply.begin();
    Group::ConfirmCallback done = std::move(first->second);
    const uint64_t index = first->first;
    m_awaitingApply.erase(first);
    done(index);
  }
}

absl::Status
RaftDriver::TakeSnapshotIfDue()
{
  // After a pause, the state machine may be ahead of what the core knows to be
  // committed.
  if (m_commandsSinceSnapshot < m_options.m_snapshotEvery ||
      m_appliedIndex > m_raft->CommitIndex()) {
    return absl::OkStatus();
  }
  auto snapshot = std::make_shared<const Snapshot>(
    Snapshot{ m_appliedIndex,
              m_raft->Entries().TermAt(m_appliedIndex),
              m_raft->MembersAt(m_appliedIndex),
              m_machine.TakeSnapshot() });
  if (auto status = m_store->SaveSnapshot(*snapshot); !status.ok()) {
    return status;
  }
  m_commandsSinceSnapshot = 0;
  m_raft->Compact(std::move(snapshot));
  m_events.Record("raft-snapshot",
                  { { "index", std::to_string(m_appliedIndex) } });
  return m_store->RemoveSegmentsThrough(m_raft->Entries().BaseIndex());
}

void
RaftDriver::FailAll(const absl::Status& aStatus)
{
  for (auto& [index, pending] : std::exchange(m_pendingProposals, {})) {
    pending.m_done(aStatus);
  }
  for (auto& [id, done] : std::exchange(m_pendingConfirmations, {})) {
    done(aStatus);
  }
  for (auto& [index, done] : std::exchange(m_awaitingApply, {})) {
    done(aStatus);
  }
}

} // namespace chivefront::consensus
