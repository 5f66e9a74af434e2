// Raft as a pure function of messages and time: no thread, socket, disk or
// clock. Follows "In Search of an Understandable Consensus Algorithm"
// (Ongaro, Ousterhout 2014) and chapters 3, 4, 6 and 9.6 of Ongaro's thesis.
//
//   core.Receive(from, message, now);
//   core.Tick(now);
//   for (Actions actions = core.Take(now); !actions.Empty();
//        actions = core.Take(now)) {
//     send(actions.m_early); make durable; core.Synced(now);
//     send(actions.m_late); apply up to core.Committed();
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
  base::Millis m_heartbeat{ 100 };
  uint64_t m_seed = 0; // of the election timeouts
  // Bounds of one message, well below the frame bound of 16 MiB.
  size_t m_appendBytes = 1024 * 1024;
  size_t m_chunkBytes = 256 * 1024;
  // Entries kept behind a snapshot, so that a replica that is a little behind
  // needs no snapshot.
  uint64_t m_trailingEntries = 1000;
};

struct Envelope
{
  std::string m_to; // process name
  Message m_message;
};

struct Confirmation
{
  uint64_t m_id = 0;
  std::optional<uint64_t> m_index; // nothing when not the leader
};

// What the shell has to do, in the order of the members.
struct Actions
{
  std::vector<Envelope> m_early; // depends on no unsynced state
  std::shared_ptr<const Snapshot> m_install;
  bool m_saveHard = false;
  // Replace the log from the first one on.
  std::vector<Entry> m_append;
  std::vector<Envelope> m_late; // only after the sync
  std::vector<Confirmation> m_confirmed;
  bool m_steppedDown = false;

  bool Empty() const
  {
    return m_early.empty() && !m_install && !m_saveHard && m_append.empty() &&
           m_late.empty() && m_confirmed.empty() && !m_steppedDown;
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
  // Answered by a Confirmation with the same id.
  void Confirm(uint64_t aId);
  void Transfer(base::TimePoint aNow);

  Actions Take(base::TimePoint aNow);
  // Everything in the last Actions is durable.
  void Synced(base::TimePoint aNow);
  // Takes over a snapshot that the shell has made durable.
  void Compact(std::shared_ptr<const Snapshot> aSnapshot);

  const HardState& Hard() const { return m_hard; }
  uint64_t Identity() const { return m_options.m_identity; }
  const Log& Entries() const { return m_log; }
  uint64_t Committed() const { return m_commit; }
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
    uint64_t m_match = 0; // last entry known to be held synced
    uint64_t m_next = 1;  // first entry not sent
    bool m_probing = true;
    uint32_t m_inFlight = 0; // appends with entries not yet answered
    uint64_t m_round = 0;
    bool m_heardSinceElected = false;
    base::TimePoint m_heard;
    std::shared_ptr<const Snapshot> m_snapshot; // being sent
    uint64_t m_offset = 0;
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
  void AskForVotes(uint64_t aTerm, bool aPreVote, bool aForced);
  void CheckVotes(base::TimePoint aNow);
  void CheckQuorum(base::TimePoint aNow);
  bool HearsLeader(base::TimePoint aNow) const;
  bool IsUpToDate(const Message& aMessage) const;
  void OnVote(const std::string& aFrom,
              const Message& aMessage,
              base::TimePoint aNow);
  void OnVoteReply(const Message& aMessage, base::TimePoint aNow);
  void Send(const std::string& aTo, Message aMessage, bool aEarly = false);
  void Answer(const std::string& aFrom,
              const Message& aQuestion,
              Message aReply);
  void FailConfirmations();

  // follower.cc: what a follower does with messages of the leader.
  bool FollowSender(const std::string& aFrom,
                    const Message& aMessage,
                    base::TimePoint aNow);
  void OnAppend(const std::string& aFrom,
                const Message& aMessage,
                base::TimePoint aNow);
  void OnSnapshot(const std::string& aFrom,
                  const Message& aMessage,
                  base::TimePoint aNow);
  void InstallIncoming();
  void RefuseAppend(const std::string& aFrom, const Message& aMessage);
  bool TakeEntries(const Message& aMessage);
  void AppendToLog(Entry aEntry);
  void TruncateLog(uint64_t aFrom);

  // leader.cc: replication.
  void OnAppendReply(const Message& aMessage, base::TimePoint aNow);
  void OnSnapshotReply(const Message& aMessage, base::TimePoint aNow);
  void Replicate();
  bool SendEntries(uint64_t aIdentity, Peer& aPeer);
  void SendChunk(uint64_t aIdentity, Peer& aPeer);
  void SendHeartbeat(uint64_t aIdentity, Peer& aPeer);
  void AdvanceCommit();
  void AnswerConfirmations();
  void FinishTransfer();

  // membership.cc: first membership, admission, replacement.
  bool SeeksAdmission(base::TimePoint aNow) const;
  void SayHello();
  void OnHello(const std::string& aFrom,
               const Message& aMessage,
               base::TimePoint aNow);
  Message Hello(bool aAnswer) const;
  void Prepare();
  void EnterStage(Stage aStage);
  void Activate();
  void OnHelloAnswer(const std::string& aFrom, const Message& aMessage);
  void NoteStranger(const std::string& aName,
                    uint64_t aIdentity,
                    base::TimePoint aNow);
  void RepairMembership(base::TimePoint aNow);
  std::optional<Membership> NextMembership(base::TimePoint aNow) const;
  void AdoptMembership(uint64_t aIndex, Membership aMembership);
  void ArrangePeers();
  bool SilentFor(uint64_t aIdentity,
                 base::Millis aSpan,
                 base::TimePoint aNow) const;
  size_t CountVoters() const;
  size_t WantedVoters() const;
  std::optional<Membership> ReplaceSilent(base::TimePoint aNow) const;
  bool IsCaughtUp(const Peer& aPeer, base::TimePoint aNow) const;
  bool HeardRecently(uint64_t aIdentity, base::TimePoint aNow) const;
  uint32_t CountCaughtUp(base::TimePoint aNow) const;
  bool IsRepaired(base::TimePoint aNow) const;

  const CoreOptions m_options;
  std::mt19937_64 m_random;

  HardState m_hard;
  Log m_log;
  std::shared_ptr<const Snapshot> m_snapshot; // newest, null for none
  // Memberships by the index of their entry, rising; the first one is from the
  // snapshot or the agreement. The last one is in force, committed or not.
  std::vector<std::pair<uint64_t, Membership>> m_memberships;
  uint64_t m_commit = 0;
  uint64_t m_synced = 0; // last entry durable here

  RaftRole m_role = RaftRole::Follower;
  std::string m_leader;
  bool m_heardLeader = false;
  base::TimePoint m_leaderHeard;
  base::TimePoint m_electionDue;
  bool m_preVote = false;
  std::set<uint64_t> m_votes;

  // Leader only.
  std::map<uint64_t, Peer> m_peers; // by identity, without this replica
  uint64_t m_termStart = 0;         // index of the first entry of this term
  base::TimePoint m_heartbeatDue;
  bool m_heartbeatWanted = false;
  uint64_t m_round = 0;
  std::vector<uint64_t> m_questions;                  // for the next round
  std::vector<std::pair<uint64_t, uint64_t>> m_asked; // (round, id)
  uint64_t m_transferTo = 0;
  base::TimePoint m_transferDue;
  std::map<std::string, uint64_t> m_strangers; // identity by name
  // Leader that another process named; asked for admission beside
  // m_initialMembers.
  std::string m_leaderHint;

  // Before the first membership.
  base::TimePoint m_helloDue;
  uint64_t m_nonce = 0; // of the questions asked in the current stage
  std::map<std::string, uint64_t> m_empty; // identities of empty replicas
  std::set<std::string> m_agreed;          // names prepared as this one

  Snapshot m_incoming; // partly received

  Actions m_actions;
};

} // namespace chivefront::consensus
