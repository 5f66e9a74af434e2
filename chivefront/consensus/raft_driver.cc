// Order of work between the core, the disk, the network and the machine.
#include "chivefront/consensus/raft_driver.h"

#include <utility>

#include "chivefront/base/errors.h"
#include "chivefront/base/log.h"
#include "chivefront/consensus/codec.h"

namespace chivefront::consensus {
namespace {

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
  , m_store(aDisk, aOptions.m_segmentBytes)
{
}

absl::Status
RaftDriver::Open(uint64_t aNewIdentity, uint64_t aSeed, base::TimePoint aNow)
{
  auto state = m_store.Open(aNewIdentity);
  if (!state.ok()) {
    return state.status();
  }
  if (state->m_snapshot) {
    auto status = m_machine.Restore(state->m_snapshot->m_data);
    if (!status.ok()) {
      return status;
    }
    m_appliedIndex = state->m_snapshot->m_index;
  }
  CoreOptions options;
  options.m_name = m_options.m_name;
  options.m_identity = state->m_identity;
  options.m_initialMembers = m_options.m_initialMembers;
  options.m_mayBootstrap = m_options.m_mayBootstrap;
  options.m_targetVoters = m_options.m_targetVoters;
  options.m_fastFirstElection = m_options.m_fastFirstElection;
  options.m_replaceAfter = m_options.m_replaceAfter;
  options.m_electionTimeout = m_options.m_electionTimeout;
  options.m_heartbeat = m_options.m_heartbeat;
  options.m_seed = aSeed;
  options.m_trailingEntries = m_options.m_trailingEntries;
  options.m_chunkBytes = m_options.m_chunkBytes;
  m_raft = std::make_unique<RaftCore>(options, std::move(*state), aNow);
  return absl::OkStatus();
}

void
RaftDriver::Propose(std::string aCommand, Group::ProposeCallback aDone)
{
  const auto index = m_raft->Propose(std::move(aCommand));
  if (!index) {
    aDone(NotLeader());
    return;
  }
  m_proposals[*index] = { m_raft->Hard().m_term, std::move(aDone) };
}

void
RaftDriver::Confirm(Group::ConfirmCallback aDone)
{
  m_questions[++m_lastQuestion] = std::move(aDone);
  m_raft->Confirm(m_lastQuestion);
}

void
RaftDriver::Receive(const std::string& aFrom,
                    std::string_view aPayload,
                    base::TimePoint aNow)
{
  auto message = DecodeMessage(aPayload);
  if (!message.ok()) {
    base::LogWarning("consensus",
                     "dropped a payload that is no message",
                     { { "from", aFrom } });
    return;
  }
  m_raft->Receive(aFrom, *message, aNow);
}

void
RaftDriver::Transfer(base::TimePoint aNow)
{
  m_raft->Transfer(aNow);
}

GroupStatus
RaftDriver::Status(base::TimePoint aNow) const
{
  GroupStatus status = m_raft->Status(aNow);
  status.m_appliedIndex = m_appliedIndex;
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
  m_raft->Tick(aNow);
  for (Actions actions = m_raft->Take(aNow); !actions.Empty();
       actions = m_raft->Take(aNow)) {
    if (auto status = Do(actions, aNow); !status.ok()) {
      return status;
    }
  }
  return absl::OkStatus();
}

absl::Status
RaftDriver::Do(Actions& aActions, base::TimePoint aNow)
{
  SendAll(aActions.m_early);
  if (auto status = Persist(aActions); !status.ok()) {
    return status;
  }
  m_raft->Synced(aNow);
  SendAll(aActions.m_late);
  Settle(aActions);
  Apply();
  return TakeSnapshotIfDue();
}

absl::Status
RaftDriver::Persist(Actions& aActions)
{
  if (aActions.m_install) {
    auto status = m_store.Install(*aActions.m_install, m_raft->Hard());
    if (status.ok()) {
      status = m_machine.Restore(aActions.m_install->m_data);
    }
    if (!status.ok()) {
      return status;
    }
    m_appliedIndex = aActions.m_install->m_index;
    m_sinceSnapshot = 0;
    m_events.Record("raft-snapshot-installed",
                    { { "index", std::to_string(m_appliedIndex) } });
  }
  if (!aActions.m_saveHard && aActions.m_append.empty()) {
    return absl::OkStatus();
  }
  const uint64_t termBefore =
    aActions.m_append.empty()
      ? 0
      : m_raft->Entries().TermAt(aActions.m_append.front().m_index - 1);
  return m_store.Save(m_raft->Hard(), std::move(aActions.m_append), termBefore);
}

void
RaftDriver::Settle(const Actions& aActions)
{
  if (aActions.m_steppedDown) {
    for (auto& [index, waiting] : std::exchange(m_proposals, {})) {
      waiting.m_done(LeadershipLost());
    }
    for (auto& [index, done] : std::exchange(m_confirmed, {})) {
      done(NotLeader());
    }
  }
  for (const Confirmation& confirmation : aActions.m_confirmed) {
    const auto found = m_questions.find(confirmation.m_id);
    if (confirmation.m_index) {
      m_confirmed.emplace(*confirmation.m_index, std::move(found->second));
    } else {
      found->second(NotLeader());
    }
    m_questions.erase(found);
  }
}

void
RaftDriver::AnswerProposal(const Entry& aEntry, std::string aResult)
{
  const auto found = m_proposals.find(aEntry.m_index);
  if (found == m_proposals.end()) {
    return;
  }
  const Waiting waiting = std::move(found->second);
  m_proposals.erase(found);
  if (waiting.m_term == aEntry.m_term) {
    waiting.m_done(std::move(aResult));
  } else {
    // Another entry has its index, so the command can't be committed any more.
    waiting.m_done(NotLeader());
  }
}

void
RaftDriver::Apply()
{
  while (m_appliedIndex < m_raft->Committed()) {
    const Entry& entry = m_raft->Entries().At(++m_appliedIndex);
    if (entry.m_kind == EntryKind::Command) {
      ++m_sinceSnapshot;
      AnswerProposal(entry, m_machine.Apply(m_appliedIndex, entry.m_data));
    }
  }
  AnswerConfirmed();
}

void
RaftDriver::AnswerConfirmed()
{
  while (!m_confirmed.empty() && m_confirmed.begin()->first <= m_appliedIndex) {
    const auto first = m_confirmed.begin();
    Group::ConfirmCallback done = std::move(first->second);
    const uint64_t index = first->first;
    m_confirmed.erase(first);
    done(index);
  }
}

absl::Status
RaftDriver::TakeSnapshotIfDue()
{
  if (m_sinceSnapshot < m_options.m_snapshotEvery) {
    return absl::OkStatus();
  }
  m_sinceSnapshot = 0;
  auto snapshot = std::make_shared<const Snapshot>(
    Snapshot{ m_appliedIndex,
              m_raft->Entries().TermAt(m_appliedIndex),
              m_raft->MembersAt(m_appliedIndex),
              m_machine.TakeSnapshot() });
  if (auto status = m_store.SaveSnapshot(*snapshot); !status.ok()) {
    return status;
  }
  m_raft->Compact(std::move(snapshot));
  m_events.Record("raft-snapshot",
                  { { "index", std::to_string(m_appliedIndex) } });
  return m_store.DropPrefix(m_raft->Entries().BaseIndex());
}

void
RaftDriver::FailAll(const absl::Status& aStatus)
{
  for (auto& [index, waiting] : std::exchange(m_proposals, {})) {
    waiting.m_done(aStatus);
  }
  for (auto& [id, done] : std::exchange(m_questions, {})) {
    done(aStatus);
  }
  for (auto& [index, done] : std::exchange(m_confirmed, {})) {
    done(aStatus);
  }
}

} // namespace chivefront::consensus
