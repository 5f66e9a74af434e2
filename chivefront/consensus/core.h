// The Raft protocol as a deterministic state machine. Its inputs are messages,
// proposals and the current time, its outputs are Actions. It uses no thread,
// socket, file or clock. It follows "In Search of an Understandable Consensus
// Algorithm" (Ongaro, Ousterhout 2014) and chapters 3, 4, 6 and 9.6 of Ongaro's
// thesis, with pre-vote and check-quorum.
//
//   core.Receive(from, message, now);
//   core.Tick(now);
//   for (Actions actions = core.TakeActions(now); !actions.Empty();
//        actions = core.TakeActions(now)) {
//     send(actions.m_messagesBeforeSync);
//     write and sync the snapshot, the hard state and the entries;
//     core.OnSynced(now);
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
#include "chivefront/consensus/chunked_transfer.h"
#include "chivefront/consensus/log.h"
#include "chivefront/consensus/store.h"
#include "chivefront/consensus/types.h"

namespace chivefront::consensus {

struct CoreOptions
{
  std::string m_name;
  std::string m_domain;    // failure domain of this replica
  bool m_diskless = false; // as in GroupOptions
  uint64_t m_identity = 0;
  // Names of the initial members.
  std::vector<std::string> m_initialMembers;
  // The next seven have the same meaning as in GroupOptions.
  bool m_mayBootstrap = true;
  uint32_t m_targetVoters = 0;
  bool m_fastFirstElection = false;
  base::Millis m_replaceAfter{ 1000 };
  base::Millis m_removeAfter{ 20000 };
  base::Millis m_electionTimeout{ 400 };
  base::Millis m_heartbeatInterval{ 100 };
  uint64_t m_seed = 0; // of the random election timeouts and nonces
  // Limits of the data in one message, well below the frame limit of 16 MiB.
  size_t m_maxAppendBytes = 1024 * 1024;
  size_t m_snapshotChunkBytes = 64 * 1024;
  // A larger entry is sent in parts of this size, one at a time to each
  // replica. Its copies must not hold up heartbeats for an election timeout:
  // parts for seven replicas take 40 ms at 100 Mbit/s.
  size_t m_entryPartBytes = 64 * 1024;
  // Larger entries are neither proposed nor collected.
  size_t m_maxEntryBytes = 64 * 1024 * 1024;
  // Number of entries that the log keeps before the snapshot index, so that a
  // slightly lagging replica catches up by entries and needs no snapshot.
  uint64_t m_trailingEntries = 1000;
};

// An outgoing message.
struct Envelope
{
  std::string m_to; // process name of the receiver
  Message m_message;
};

// The result of RaftCore::ConfirmLeadership (ReadIndex in the thesis).
struct LeadershipConfirmation
{
  uint64_t m_requestId = 0;
  // A read is linearizable once the state machine has applied this index.
  // Empty when this replica is not the leader.
  std::optional<uint64_t> m_readIndex;
};

// What the caller of the core has to do, in the order of the members.
struct Actions
{
  // Messages that do not depend on unsynced state.
  std::vector<Envelope> m_messagesBeforeSync;
  // Replaces the log and the state of the state machine; null for none.
  std::shared_ptr<const Snapshot> m_snapshotToInstall;
  bool m_saveHardState = false;
  // These entries replace the log from the index of the first of them on.
  std::vector<Entry> m_entriesToSave;
  // Messages that may be sent only after all of the above is durable.
  std::vector<Envelope> m_messagesAfterSync;
  std::vector<LeadershipConfirmation> m_confirmations;
  // This replica was the leader and is no longer.
  bool m_steppedDown = false;

  bool Empty() const
  {
    return m_messagesBeforeSync.empty() && !m_snapshotToInstall &&
           !m_saveHardState && m_entriesToSave.empty() &&
           m_messagesAfterSync.empty() && m_confirmations.empty() &&
           !m_steppedDown;
  }
};

// The Raft state of one replica. Not thread-safe.
class RaftCore
{
public:
  RaftCore(CoreOptions aOptions, StoredState aState, base::TimePoint aNow);

  // Handles a message from the process named aFrom.
  void Receive(const std::string& aFrom,
               const Message& aMessage,
               base::TimePoint aNow);
  // Handles all timers that are due at aNow.
  void Tick(base::TimePoint aNow);
  // The next time at which Tick has something to do.
  base::TimePoint NextDeadline() const;

  // Appends a command and returns the index of its entry. Returns nothing when
  // this replica is not the leader, is transferring its leadership, or waits
  // for voters that join.
  std::optional<uint64_t> Propose(std::string aCommand);
  // Confirms by a round of messages to a majority that this replica leads. The
  // result is a LeadershipConfirmation with the request id aRequestId.
  void ConfirmLeadership(uint64_t aRequestId);
  // Hands the leadership over to the voter whose log is the most complete. The
  // transfer is given up after an election timeout.
  void TransferLeadership(base::TimePoint aNow);

  Actions TakeActions(base::TimePoint aNow);
  // Must be called once everything in the last Actions is durable.
  void OnSynced(base::TimePoint aNow);
  // Discards log entries that are covered by aSnapshot, which must be durable.
  void Compact(std::shared_ptr<const Snapshot> aSnapshot);

  const HardState& CurrentHardState() const { return m_hardState; }
  uint64_t Identity() const { return m_options.m_identity; }
  const Log& Entries() const { return m_log; }
  uint64_t CommitIndex() const { return m_commitIndex; }
  bool IsLeader() const { return m_role == RaftRole::Leader; }
  const Membership& Members() const { return m_memberships.back().second; }
  // The membership in force at aIndex.
  const Membership& MembersAt(uint64_t aIndex) const;
  // A commit index that a leader reached in its own term and told since the
  // start of this process; 0 for none. State up to it holds all that was
  // committed before the start.
  uint64_t ConfirmedCommitIndex() const { return m_confirmedCommitIndex; }
  // All fields except m_appliedIndex and m_appliedSinceStart, which the core
  // doesn't know.
  GroupStatus Status(base::TimePoint aNow) const;

private:
  // The leader's view of the replication progress of another replica.
  struct Peer
  {
    std::string m_name;
    uint64_t m_matchIndex = 0; // last entry known to be durable there
    uint64_t m_nextIndex = 1;  // first entry not sent yet
    // The match index is not known yet, or an append was rejected: only one
    // append is in flight at a time.
    bool m_probing = true;
    uint32_t m_inFlightAppends = 0; // appends with entries but without a reply
    uint64_t m_confirmedRound = 0;  // last confirmation round replied to
    bool m_heardSinceElected = false;
    // Zero until the first message or, for a new replica, the next tick.
    base::TimePoint m_lastHeard;
    std::shared_ptr<const Snapshot> m_snapshot; // being sent; null for none
    // Of the snapshot if there is one, else of the entry m_nextIndex.
    ChunkedTransfer m_transfer;
  };

  // core.cc: terms, elections and timers.
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
  base::TimePoint LeadsUntil(base::TimePoint aNow) const;
  bool HearsLeader(base::TimePoint aNow) const;
  bool IsUpToDate(const Message& aMessage) const;
  void OnVoteRequest(const std::string& aFrom,
                     const Message& aMessage,
                     base::TimePoint aNow);
  void OnVoteReply(const Message& aMessage, base::TimePoint aNow);
  void Send(const std::string& aTo, Message aMessage, bool aEarly = false);
  void Reply(const std::string& aFrom, const Message& aRequest, Message aReply);
  void FailConfirmations();

  // follower.cc: messages from the leader.
  bool FollowLeader(const std::string& aFrom,
                    const Message& aMessage,
                    base::TimePoint aNow);
  void OnAppend(const std::string& aFrom,
                const Message& aMessage,
                base::TimePoint aNow);
  void OnEntryPart(const std::string& aFrom,
                   const Message& aMessage,
                   base::TimePoint aNow);
  void OnSnapshot(const std::string& aFrom,
                  const Message& aMessage,
                  base::TimePoint aNow);
  void InstallIncomingSnapshot();
  bool HoldsEntryBefore(const Message& aMessage) const;
  void RejectAppend(const std::string& aFrom, const Message& aMessage);
  bool MergeEntries(const Message& aMessage);
  void ConfirmCommitIndex();
  void AppendToLog(Entry aEntry);
  void TruncateLog(uint64_t aFrom);

  // leader.cc: replication and leadership transfer.
  void OnAppendReply(const Message& aMessage, base::TimePoint aNow);
  void OnEntryPartReply(const Message& aMessage, base::TimePoint aNow);
  void OnSnapshotReply(const Message& aMessage, base::TimePoint aNow);
  Peer* FindReplyingPeer(const Message& aMessage, base::TimePoint aNow);
  void Replicate();
  Message MakeAppend(uint64_t aIdentity,
                     const Peer& aPeer,
                     MessageKind aKind) const;
  bool SendEntries(uint64_t aIdentity, Peer& aPeer);
  bool IsLarge(const Entry& aEntry) const;
  void SendEntryPart(uint64_t aIdentity, Peer& aPeer);
  void SendSnapshotChunk(uint64_t aIdentity, Peer& aPeer);
  void SendHeartbeat(uint64_t aIdentity, Peer& aPeer);
  void AdvanceCommit();
  void CompleteConfirmations();
  void SendTakeOverIfCaughtUp();

  // bootstrap.cc: agreement on the first membership, and hellos.
  bool SeeksAdmission(base::TimePoint aNow) const;
  void SendHellos();
  void OnHello(const std::string& aFrom,
               const Message& aMessage,
               base::TimePoint aNow);
  Replica Self() const;
  Message MakeHello(bool aIsReply) const;
  void AdvanceBootstrap();
  bool RemembersCommits() const;
  bool WillNotPrepare(const Replica& aSender, const Message& aMessage) const;
  bool HasMemberNamed(const std::string& aName) const;
  void EnterStage(Stage aStage);
  void Activate();
  void OnHelloReply(const std::string& aFrom, const Message& aMessage);
  bool IsInitialMember(const std::string& aName) const;
  bool MayFound() const;
  bool KnowsAllDiskless() const;
  void OnFounderRequest(const Replica& aCandidate);
  void BackFounder(const Replica& aFounder);

  // membership.cc: admission, replacement and choice of voters.
  void RecordAdmissionRequest(const std::string& aName,
                              const Message& aMessage,
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
  bool MayAcknowledge() const;
  void UpdateGrowth(base::TimePoint aNow);
  std::set<uint64_t> ReadyLearners(base::TimePoint aNow) const;
  std::set<uint64_t> HeardReplicas(base::TimePoint aNow) const;
  std::optional<Membership> AdmitReplica() const;
  std::optional<Membership> ReplaceLostVoter(base::TimePoint aNow) const;
  bool IsBetterVoter(size_t aNext, base::TimePoint aNow) const;
  std::optional<Membership> AddVoter(base::TimePoint aNow) const;
  std::optional<Membership> RemoveSuperseded(base::TimePoint aNow) const;
  std::optional<Membership> RemoveSilentReplica(base::TimePoint aNow) const;
  bool HasSurplusVote(base::TimePoint aNow) const;
  std::optional<Membership> RemoveSurplusVote(base::TimePoint aNow) const;
  std::optional<size_t> FindSupersededVoter(base::TimePoint aNow) const;
  bool IsSurplusVoter(base::TimePoint aNow) const;
  void HandOverSurplusVote(base::TimePoint aNow);
  std::set<uint64_t> LostReplicas() const;
  bool KeepsTolerance(const Membership& aNext) const;
  bool HasSilentVoter(base::TimePoint aNow) const;
  bool IsCaughtUp(const Peer& aPeer, base::TimePoint aNow) const;
  bool HeardRecently(uint64_t aIdentity, base::TimePoint aNow) const;
  uint32_t CountCaughtUp(base::TimePoint aNow) const;
  bool IsRepaired(base::TimePoint aNow) const;

  const CoreOptions m_options;
  std::mt19937_64 m_random;

  HardState m_hardState;
  Log m_log;
  std::shared_ptr<const Snapshot> m_snapshot; // newest, null for none
  // Memberships with the index of their entry, in ascending order. The first
  // one comes from the snapshot or from the bootstrap. The last one is in
  // force, committed or not. Never empty.
  std::vector<std::pair<uint64_t, Membership>> m_memberships;
  uint64_t m_commitIndex = 0;
  uint64_t m_confirmedCommitIndex = 0; // see ConfirmedCommitIndex
  uint64_t m_syncedIndex = 0; // last entry that is durable on this replica

  RaftRole m_role = RaftRole::Follower;
  std::string m_leader; // process name; empty when not known
  // Whether m_leaderLastHeard is set.
  bool m_hasHeardLeader = false;
  base::TimePoint m_leaderLastHeard;
  base::TimePoint m_electionDue;
  // Candidate only: whether the votes are pre-votes, and who granted them.
  bool m_preVote = false;
  std::set<uint64_t> m_votes; // identities

  // Leader only.
  std::map<uint64_t, Peer> m_peers; // by identity, without this replica
  uint64_t m_termStartIndex = 0;    // index of the first entry of this term
  base::TimePoint m_heartbeatDue;
  bool m_heartbeatPending = false;
  uint64_t m_confirmRound = 0;
  // Ids of the requests that wait for the next round.
  std::vector<uint64_t> m_queuedConfirmations;
  // Pairs of round and request id that wait for a majority.
  std::vector<std::pair<uint64_t, uint64_t>> m_pendingConfirmations;
  uint64_t m_transferTarget = 0; // identity; 0 when no transfer is in progress
  base::TimePoint m_transferDeadline;
  // Dynamic membership with fewer voters than the target: commands are refused
  // until m_growthDeadline. A change of the number of voters extends it.
  size_t m_growthVoters = 0; // number of voters at the last tick
  base::TimePoint m_growthDeadline;
  bool m_growthTimedOut = false; // as of the last tick
  // Earliest time of the next attempt to hand the leadership over because the
  // vote of this replica is the surplus one. A transfer refuses commands, so a
  // failed one is not repeated at once.
  base::TimePoint m_handOverDue;
  // Replicas to be added as learners, by process name.
  std::map<std::string, Replica> m_admissionRequests;

  // The leader that another process named in a reply to a hello. Hellos go to
  // it as well as to m_initialMembers.
  std::string m_leaderHint;

  // Bootstrap and admission.
  base::TimePoint m_helloDue;
  uint64_t m_helloNonce = 0; // of the hellos sent in the current stage
  // The initial members known to be empty, by name.
  std::map<std::string, Replica> m_emptyMembers;
  // Names of those in m_emptyMembers that have a disk and may not bootstrap.
  std::set<std::string> m_joiningMembers;
  // Names of the initial members that prepared the same membership.
  std::set<std::string> m_preparedMembers;
  // On an initial member without a disk: the founder that it backs. Never
  // changed once it is set.
  std::optional<Replica> m_founder;
  // Names of the initial members that back this replica as the founder.
  std::set<std::string> m_backers;

  Snapshot m_incomingSnapshot; // received in part
  Entry m_incomingEntry;       // received in part; index 0: none

  Actions m_actions;
};

} // namespace chivefront::consensus
