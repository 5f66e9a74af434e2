// One replicated state machine: Raft over a durable log.
//
//   consensus::Group group(options, machine, send, events);
//   absl::Status status = group.Start();
//   group.Propose(command, [](absl::StatusOr<std::string> result) { ... });
//   group.ConfirmLeadership([](absl::StatusOr<uint64_t> index) { ... });
//
// A group has one thread. It takes all waiting work at once, appends it to the
// log with one sync, sends messages, and applies what is committed, so that
// concurrent proposals share one sync (group commit).
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

#include "chivefront/base/clock.h"
#include "chivefront/base/events.h"

namespace chivefront::consensus {

// A deterministic machine. The group calls it on its own thread only, in log
// order; readers on other threads are the machine's own business.
class StateMachine
{
public:
  virtual ~StateMachine() = default;

  // Applies one committed command and returns its result. Equal commands at
  // equal indexes give equal results on every replica. Must not fail: a
  // command that makes no sense has a result that says so.
  virtual std::string Apply(uint64_t aIndex, std::string_view aCommand) = 0;

  virtual std::string TakeSnapshot() const = 0;
  // Corrupt when the bytes are no snapshot of this machine.
  virtual absl::Status Restore(std::string_view aSnapshot) = 0;
};

// A replica that takes part in a group. m_identity is made at random when the
// data folder is created: a host with a lost disk is another replica.
struct Replica
{
  std::string m_name; // process name; links are found by it
  uint64_t m_identity = 0;
  bool m_voter = false;
};

struct GroupOptions
{
  uint32_t m_group = 0;
  std::string m_name;                        // this process
  std::vector<std::string> m_initialMembers; // names of the first members
  // This replica may found the group with the others of m_initialMembers. False
  // for one that starts when the group exists: it waits to be admitted.
  bool m_mayBootstrap = true;
  // 0: only processes named in m_initialMembers take part, and all of them
  // vote. Otherwise any process that asks takes part, first without a vote;
  // this many vote, and one that votes and is silent for m_replaceAfter gives
  // its place to another one that holds everything committed.
  uint32_t m_targetVoters = 0;
  base::Millis m_replaceAfter{ 5000 };
  std::string m_folder; // data folder of this group
  base::Millis m_electionTimeout{ 400 };
  // The first election after a start comes after half the time: when all
  // replicas were restarted nobody leads, and the pre-vote disturbs no leader
  // that is there.
  bool m_fastFirstElection = false;
  base::Millis m_heartbeatInterval{ 100 };
  // A snapshot is taken after this many applied commands.
  uint64_t m_snapshotEvery = 10000;
  // Calls taken at once; 0 for all that wait. 1 turns group commit off.
  uint64_t m_maxBatch = 0;
  // Size at which a segment of the log is followed by a new one.
  uint64_t m_segmentBytes = 8 * 1024 * 1024;
  // Entries kept in the log behind a snapshot, so that a replica that is a
  // little behind needs no snapshot.
  uint64_t m_trailingEntries = 1000;
  // Bytes of a snapshot in one message.
  uint64_t m_snapshotChunkBytes = 256 * 1024;
};

enum class RaftRole
{
  Follower,
  Candidate,
  Leader,
  Learner,
};

struct GroupStatus
{
  RaftRole m_role = RaftRole::Follower;
  std::string m_leader; // empty when not known
  uint64_t m_term = 0;
  uint64_t m_lastIndex = 0;
  uint64_t m_commitIndex = 0;
  uint64_t m_appliedIndex = 0;
  std::vector<Replica> m_replicas;
  // Replicas that hold everything committed, as far as the leader knows.
  uint32_t m_caughtUpVoters = 0; // counts voters only; 0 when not the leader
  // On the leader: every first member has exactly one replica, which votes and
  // holds everything committed. Until then a further loss may cost data.
  bool m_repaired = false;
};

class Group
{
public:
  // Sends a payload to the process named aTo; may drop it. Called on the
  // group's thread.
  using SendFunction =
    std::function<void(const std::string& aTo, std::string aPayload)>;
  using ProposeCallback = std::function<void(absl::StatusOr<std::string>)>;
  using ConfirmCallback = std::function<void(absl::StatusOr<uint64_t>)>;
  // Called when the log can't be written: the process must stop.
  using FatalFunction = std::function<void(const absl::Status&)>;

  Group(GroupOptions aOptions,
        StateMachine& aMachine,
        SendFunction aSend,
        FatalFunction aFatal,
        base::EventLog& aEvents);
  ~Group();

  // Reads the folder, restores the machine and starts the thread. Corrupt
  // when the log is damaged other than by a torn tail; StorageFailed when the
  // folder can't be used.
  absl::Status Start();
  // Stops the thread; pending callbacks get Unavailable.
  void Stop();

  // Proposes a command. The callback gets the machine's result once a majority
  // holds the command synced and it was applied here; NotLeader when it was
  // certainly not accepted; Unavailable when that is not known. Thread-safe;
  // callbacks run on the group's thread and must not block.
  void Propose(std::string aCommand, ProposeCallback aDone);

  // Confirms with a majority, by a round of messages that begins after this
  // call, that this replica leads, and gives the committed index of that
  // moment after the machine has applied it. NotLeader otherwise.
  void ConfirmLeadership(ConfirmCallback aDone);

  // A payload sent by the group of the process named aFrom.
  void Receive(std::string aFrom, std::string aPayload);

  // Asks a caught-up voter to take over; used before a planned stop.
  void TransferLeadership();

  GroupStatus Status() const;
  bool IsLeader() const;

private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace chivefront::consensus
