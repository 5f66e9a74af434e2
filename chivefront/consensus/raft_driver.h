// Drives the Raft core of one replica: carries out its actions on the durable
// log, the state machine and the callbacks. It has no thread and no clock, so
// that tests can run it on a disk in memory and in simulated time.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "chivefront/base/events.h"
#include "chivefront/consensus/core.h"
#include "chivefront/consensus/disk.h"
#include "chivefront/consensus/group.h"
#include "chivefront/consensus/store.h"

namespace chivefront::consensus {

// Not thread-safe. Callbacks run inside Propose, ConfirmLeadership, Process and
// FailAll and must not call back into the driver.
class RaftDriver
{
public:
  RaftDriver(const GroupOptions& aOptions,
             StateMachine& aMachine,
             Disk& aDisk,
             Group::SendFunction aSend,
             base::EventLog& aEvents);

  // Reads the data folder and restores the state machine. An empty folder gets
  // the identity aNewIdentity. aSeed seeds the random timeouts. Returns the
  // errors of Group::Start. No other function may be called before it. With a
  // full disk it succeeds, and the driver is paused.
  absl::Status Open(uint64_t aNewIdentity,
                    uint64_t aSeed,
                    base::TimePoint aNow);

  // The same as the functions of Group with these names.
  void Propose(std::string aCommand, Group::ProposeCallback aDone);
  void ConfirmLeadership(Group::ConfirmCallback aDone);
  void Receive(const std::string& aFrom,
               std::string_view aPayload,
               base::TimePoint aNow);
  void TransferLeadership(base::TimePoint aNow);

  // Handles due timers and carries out all actions: sends, writes, syncs and
  // applies. After a failure only FailAll may be called. A full disk is no
  // failure: the driver is paused until there is space again.
  absl::Status Process(base::TimePoint aNow);
  // Calls all pending callbacks with aStatus.
  void FailAll(const absl::Status& aStatus);

  // While paused, this replica is like one that has crashed, but for its state
  // machine: it takes no messages and no calls, and others elect a leader. It
  // then reads the folder again, as after a start.
  bool IsPaused() const { return m_raft == nullptr; }

  base::TimePoint NextDeadline() const;
  GroupStatus Status(base::TimePoint aNow) const;
  // Not while paused.
  const RaftCore& Raft() const { return *m_raft; }

private:
  struct PendingProposal
  {
    uint64_t m_term = 0;
    Group::ProposeCallback m_done;
  };

  absl::Status OpenFolder(base::TimePoint aNow);
  absl::Status PauseIfFull(absl::Status aStatus, base::TimePoint aNow);
  absl::Status Resume(base::TimePoint aNow);
  absl::Status ProcessActions(base::TimePoint aNow);
  absl::Status Execute(Actions& aActions, base::TimePoint aNow);
  absl::Status Persist(Actions& aActions);
  void SendAll(const std::vector<Envelope>& aEnvelopes);
  void ResolveCallbacks(const Actions& aActions);
  void ApplyCommitted();
  void CompleteProposal(const Entry& aEntry, std::string aResult);
  void CompleteConfirmations();
  absl::Status TakeSnapshotIfDue();

  const GroupOptions m_options;
  StateMachine& m_machine;
  const Group::SendFunction m_send;
  base::EventLog& m_events;
  Disk& m_disk;
  uint64_t m_identity = 0;          // of the folder; 0 before it was opened
  uint64_t m_newIdentity = 0;       // for an empty folder
  uint64_t m_seed = 0;              // of the next core
  std::unique_ptr<Store> m_store;   // opened together with m_raft
  std::unique_ptr<RaftCore> m_raft; // null before Open and while paused
  base::TimePoint m_resumeDue;      // while paused
  GroupStatus m_pausedStatus;
  uint64_t m_appliedIndex = 0;          // of m_machine, also while paused
  uint64_t m_commandsSinceSnapshot = 0; // applied
  std::map<uint64_t, PendingProposal> m_pendingProposals; // by index
  uint64_t m_lastConfirmationId = 0;
  std::map<uint64_t, Group::ConfirmCallback> m_pendingConfirmations; // by id
  // Confirmed requests whose read index has not been applied yet, by that
  // index.
  std::multimap<uint64_t, Group::ConfirmCallback> m_awaitingApply;
};

} // namespace chivefront::consensus
