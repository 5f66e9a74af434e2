// Raft as a pure function of messages and time: no thread, socket, disk or
// clock. Follows "In Search of an Understandable Consensus Algorithm"
// (Ongaro, Ousterhout 2014) and chapters 3, 4, 6 and 9.6 of Ongaro's thesis.
//
//   core.Receive(from, message, now);
//   core.Tick(now);
//   for (Actions actions = core.TakeActions(now); !actions.Empty();
//        actions = core.TakeActions(now)) {
//     send(actions.m_messagesBeforeSync); make durable; core.OnSynced(now);
//     send(actions.m_messagesAfterSync); apply up to core.CommitIndex();
//   }
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "chivefront/base/clock.h"
#include "chivefront/consensus/log.h"
#include "chivefront/consensus/store.h"
#include "chivefront/consensus/types.h"

namespace chivefront::consensus {

struct CoreOptions
{
  std::string m_name;
  uint64_t m_identity = 0;
  std::vector<std::string> m_initialMembers; // names of the first members
  // As in GroupOptions.
  bool m_mayBootstrap = true;
  uint32_t m_targetVoters = 0;
  bool m_fastFirstElection = false;
  base::Millis m_replaceAfter{ 5000 };
  base::Millis m_electionTimeout{ 400 };
  base::Millis m_heartbeatInterval{ 100 };
  uint64_t m_seed = 0; // of the election timeouts
  // Bounds of one message, well below the frame bound of 16 MiB.
  size_t m_maxAppendBytes = 1024 * 1024;
  size_t m_snapshotChunkBytes = 256 * 1024;
  // Entries kept behind a snapshot, so that a replica that is a little behind
  // needs no snapshot.
  uint64_t m_trailingEntries = 1000;
};

struct Envelope
{
  std::string m_to; // process name
  Message m_message;
};

struct LeadershipConfirmation
{
  uint64_t m_requestId = 0;
  std::optional<uint64_t> m_readIndex; // nothing when not the leader
};

// What the shell has to do, in the order of the members.
struct Actions
{
  std::vector<Envelope> m_messagesBeforeSync; // depends on no unsynced state
  std::shared_ptr<const Snapshot> m_snapshotToInstall;
  bool m_saveHardState = false;
  // Replace the log from the first one on.
  std::vector<Entry> m_entriesToSave;
  std::vector<Envelope> m_messagesAfterSync; // only after the sync
  std::vector<LeadershipConfirmation> m_confirmations;
  bool m_steppedDown = false;

  bool Empty() const
  {
    return m_messagesBeforeSync.empty() && !m_snapshotToInstall &&
           !m_saveHardState && m_entriesToSave.empty() &&
           m_messagesAfterSync.empty() && m_confirmations.empty() &&
           !m_steppedDown;
  }
};

class RaftCore
{
public:
  RaftCore(CoreOptions aOptions, StoredState aState, base::TimePoint aNow);

  void Receive(const std::string& aFrom,
               const Message& aMessage,
               base::TimePoint aNow);
  void Tick(base::TimePoint aNow);
  base::TimePoint NextDeadline() const;

  // The index of the new entry, or nothing when this replica can't accept it.
  std::optional<uint64_t> Propose(std::string aCommand);
  // Answered by a LeadershipConfirmation with the same id.
  void ConfirmLeadership(uint64_t aId);
  void TransferLeadership(base::TimePoint aNow);

  Actions TakeActions(base::TimePoint aNow);
  // Everything in the last Actions is durable.
  void OnSynced(base::TimePoint aNow);
  // Takes over a snapshot that the shell has made durable.
  void Compact(std::shared_ptr<const Snapshot> aSnapshot);

  const HardState& CurrentHardState() const { return m_hardState; }
  uint64_t Identity() const { return m_options.m_identity; }
  const Log& Entries() const { return m_log; }
  uint64_t CommitIndex() const { return m_commitIndex; }
  bool IsLeader() const { return m_role == RaftRole::Leader; }
  const Membership& Members() const { return m_memberships.back().second; }
  const Membership& MembersAt(uint64_t aIndex) const;
  // All fields but the applied index.
  GroupStatus Status(base::TimePoint aNow) const;

private:
  // What the leader knows about one other replica.
  struct Peer
  {
    std::string m_name;
    uint64_t m_matchIndex = 0; // last entry known to be held synced
    uint64_t m_nextIndex = 1;  // first entry not sent
    bool m_probing = true;
    uint32_t m_inFlightAppends = 0; // appends with entries not yet answered
    uint64_t m_confirmedRound = 0;
    bool m_heardSinceElected = false;
    base::TimePoint m_lastHeard;
    std::shared_ptr<const Snapshot> m_snapshot; // being sent
    uint64_t m_snapshotOffset = 0;
    bool m_chunkInFlight = false;
  };

  // core.cc: terms, elections, time.
  bool IsVoter(uint64_t aIdentity) const;
  bool MayVote() const;
  bool IsMajority(const std::set<uint64_t>& aIdentities) const;
  void ResetElectionTimer(base::TimePoint aNow);
  void BecomeFollower(uint64_t aTerm, const std::string& aLeader);
  void BecomeLeader(base::TimePoint aNow);
  void StartPreVote(base::TimePoint aNow);
  void StartElection(bool aForced, base::TimePoint aNow);
  void RequestVotes(uint64_t aTerm, bool aPreVote, bool aForced);
  void CheckVotes(base::TimePoint aNow);
  void CheckQuorum(base::TimePoint aNow);
  bool HearsLeader(base::TimePoint aNow) const;
  bool IsUpToDate(const Message& aMessage) const;
  void OnVoteRequest(const std::string& aFrom,
                     const Message& aMessage,
                     base::TimePoint aNow);
  void OnVoteReply(const Message& aMessage, base::TimePoint aNow);
  void Send(const std::string& aTo, Message aMessage, bool aEarly = false);
  void Reply(const std::string& aFrom, const Message& aRequest, Message aReply);
  void FailConfirmations();

  // follower.cc: what a follower does with messages of the leader.
  bool FollowLeader(const std::string& aFrom,
                    const Message& aMessage,
                    base::TimePoint aNow);
  void OnAppend(const std::string& aFrom,
                const Message& aMessage,
                base::TimePoint aNow);
  void OnSnapshot(const std::string& aFrom,
                  const Message& aMessage,
                  base::TimePoint aNow);
  void InstallIncomingSnapshot();
  void RejectAppend(const std::string& aFrom, const Message& aMessage);
  bool MergeEntries(const Message& aMessage);
  void AppendToLog(Entry aEntry);
  void TruncateLog(uint64_t aFrom);

  // leader.cc: replication.
  void OnAppendReply(const Message& aMessage, base::TimePoint aNow);
  void OnSnapshotReply(const Message& aMessage, base::TimePoint aNow);
  void Replicate();
  bool SendEntries(uint64_t aIdentity, Peer& aPeer);
  void SendSnapshotChunk(uint64_t aIdentity, Peer& aPeer);
  void SendHeartbeat(uint64_t aIdentity, Peer& aPeer);
  void AdvanceCommit();
  void CompleteConfirmations();
  void SendTakeOverIfCaughtUp();

  // membership.cc: first membership, admission, replacement.
  bool SeeksAdmission(base::TimePoint aNow) const;
  void SendHellos();
  void OnHello(const std::string& aFrom,
               const Message& aMessage,
               base::TimePoint aNow);
  Message MakeHello(bool aIsReply) const;
  void AdvanceBootstrap();
  void EnterStage(Stage aStage);
  void Activate();
  void OnHelloReply(const std::string& aFrom, const Message& aMessage);
  void RecordAdmissionRequest(const std::string& aName,
                              uint64_t aIdentity,
                              base::TimePoint aNow);
  void ProposeMembershipChange(base::TimePoint aNow);
  std::optional<Membership> NextMembership(base::TimePoint aNow) const;
  void AdoptMembership(uint64_t aIndex, Membership aMembership);
  void UpdatePeers();
  bool IsSilentFor(uint64_t aIdentity,
                   base::Millis aSpan,
                   base::TimePoint aNow) const;
  size_t CountVoters() const;
  size_t TargetVoters() const;
  std::optional<Membership> RemoveSilentReplica(base::TimePoint aNow) const;
  bool IsCaughtUp(const Peer& aPeer, base::TimePoint aNow) const;
  bool HeardRecently(uint64_t aIdentity, base::TimePoint aNow) const;
  uint32_t CountCaughtUp(base::TimePoint aNow) const;
  bool IsRepaired(base::TimePoint aNow) const;

  const CoreOptions m_options;
  std::mt19937_64 m_random;

  HardState m_hardState;
  Log m_log;
  std::shared_ptr<const Snapshot> m_snapshot; // newest, null for none
  // Memberships by the index of their entry, rising; the first one is from the
  // snapshot or the agreement. The last one is in force, committed or not.
  std::vector<std::pair<uint64_t, Membership>> m_memberships;
  uint64_t m_commitIndex = 0;
  uint64_t m_syncedIndex = 0; // last entry durable here

  RaftRole m_role = RaftRole::Follower;
  std::string m_leader;
  bool m_hasHeardLeader = false;
  base::TimePoint m_leaderLastHeard;
  base::TimePoint m_electionDue;
  bool m_preVote = false;
  std::set<uint64_t> m_votes;

  // Leader only.
  std::map<uint64_t, Peer> m_peers; // by identity, without this replica
  uint64_t m_termStartIndex = 0;    // index of the first entry of this term
  base::TimePoint m_heartbeatDue;
  bool m_heartbeatPending = false;
  uint64_t m_confirmRound = 0;
  std::vector<uint64_t> m_queuedConfirmations; // for the next round
  std::vector<std::pair<uint64_t, uint64_t>>
    m_pendingConfirmations; // (round, id)
  uint64_t m_transferTarget = 0;
  base::TimePoint m_transferDeadline;
  std::map<std::string, uint64_t> m_admissionRequests; // identity by name
  // Leader that another process named; asked for admission beside
  // m_initialMembers.
  std::string m_leaderHint;

  // Before the first membership.
  base::TimePoint m_helloDue;
  uint64_t m_helloNonce = 0; // of the questions asked in the current stage
  std::map<std::string, uint64_t>
    m_emptyMembers;                        // identities of empty replicas
  std::set<std::string> m_preparedMembers; // names prepared as this one

  Snapshot m_incomingSnapshot; // partly received

  Actions m_actions;
};

} // namespace chivefront::consensus
