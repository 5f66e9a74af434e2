// One replicated state machine: Raft over a durable log.
//
//   consensus::Group group(options, machine, send, fatal, events);
//   absl::Status status = group.Start();
//   group.Propose(command, [](absl::StatusOr<std::string> result) { ... });
//   group.ConfirmLeadership([](absl::StatusOr<uint64_t> index) { ... });
//
// A group has one thread. In each iteration it takes all queued calls, appends
// their commands to the log with one sync, sends messages, and applies
// committed entries. Concurrent proposals thus share one sync (group commit).
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

// A deterministic state machine. The group calls it in log order and only on
// the group's thread. Synchronization with readers on other threads is up to
// the implementation.
class StateMachine
{
public:
  virtual ~StateMachine() = default;

  // Applies a committed command and returns its result. The same command at the
  // same index must have the same result on every replica. Must not fail: the
  // result of an invalid command says that it is invalid.
  virtual std::string Apply(uint64_t aIndex, std::string_view aCommand) = 0;

  // Returns the whole state in serialized form.
  virtual std::string TakeSnapshot() const = 0;
  // Replaces the state by the one of a snapshot. Returns Corrupt when the bytes
  // are not a snapshot of this state machine.
  virtual absl::Status Restore(std::string_view aSnapshot) = 0;
};

// Whether a member is a newcomer: a process that joined with an empty disk
// after the first start of the deployment. Its host may have come to replace an
// older host of its failure domain.
enum class Succession : uint8_t
{
  None, // a member from the start, or one that came back with its disk
  Open, // a newcomer; an older member of its domain may be about to leave
  Done, // a newcomer in whose favour an older member was removed
};

// A member of a group. m_identity is chosen at random when the data folder is
// created, so a host that lost its disk comes back as another replica.
struct Replica
{
  std::string m_name; // process name, under which its link is found
  uint64_t m_identity = 0;
  bool m_voter = false;
  std::string m_domain; // failure domain; empty when not known
  // Its log and identity end with its process, so it never votes.
  bool m_diskless = false;
  Succession m_succession = Succession::None;
};

struct GroupOptions
{
  uint32_t m_group = 0; // number of the group, for events
  std::string m_name;   // of this process
  std::string m_domain; // failure domain of this process
  // The host has no disk: the log and the identity end with the process. The
  // replica then never votes: a restarted replica that has forgotten its vote
  // could vote twice in a term.
  bool m_diskless = false;
  std::vector<std::string> m_initialMembers; // names of the initial members
  // This replica may bootstrap the group together with the other initial
  // members. False for a replica that joins an existing group: it waits until
  // it is admitted.
  // With a diskless initial member it must be false after the first start;
  // otherwise the lost disks of the others alone look like a new group.
  bool m_mayBootstrap = true;
  // 0 for a static membership: the processes named in m_initialMembers are the
  // members, and all of them vote. Otherwise the membership is dynamic: any
  // process may join, as a learner at first, and at least this many members
  // 0 for a static membership: the processes named in m_initialMembers are the
  // members, and all of them vote. Otherwise the membership is dynamic: any
  // process may join, as a learner at first, and at least this many members
  // vote: all with a durable disk, or one fewer when their number is even. The
  // voters are spread over the failure domains, as far as members allow it.
  // While voters are expected to join, commands get NotLeader.
  uint32_t m_targetVoters = 0;
  // With dynamic membership, a voter that is silent for m_replaceAfter gives
  // its vote to a caught-up learner, and a member that is silent for as long
  // leaves the group if a newcomer can take its place. With an election before
  // it, this must be over when the successor of a lost host has caught up: from
  // then on another host may be lost.
  base::Millis m_replaceAfter{ 1000 };
  // A member that is silent for m_removeAfter leaves the group if nobody takes
  // its place. Its host counts until then, because it may only be cut off.
  base::Millis m_removeAfter{ 20000 };
  std::string m_folder; // data folder of this group; not used when m_diskless
  base::Millis m_electionTimeout{ 400 };
  // Halves the first election timeout after a start, because no replica leads
  // when all of them were restarted. If there is a leader, the pre-vote does
  // not disturb it.
  bool m_fastFirstElection = false;
  base::Millis m_heartbeatInterval{ 100 };
  // A snapshot is taken after this many applied commands.
  uint64_t m_snapshotEvery = 10000;
  // Maximum number of queued calls handled with one sync; 0 for no limit. 1
  // disables group commit.
  uint64_t m_maxBatch = 0;
  // Size of a log segment beyond which a new segment is started.
  uint64_t m_segmentBytes = 8 * 1024 * 1024;
  // Number of entries that the log keeps before the snapshot index, so that a
  // slightly lagging replica catches up by entries and needs no snapshot.
  uint64_t m_trailingEntries = 1000;
  // Maximum number of snapshot bytes in one message. Chunks for several
  // replicas must not hold up heartbeats for an election timeout.
  uint64_t m_snapshotChunkBytes = 64 * 1024;
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
  std::string m_leader; // process name; empty when not known
  uint64_t m_term = 0;
  uint64_t m_lastIndex = 0;
  uint64_t m_commitIndex = 0;
  uint64_t m_appliedIndex = 0;
  // Since its start, this replica has applied all that a leader had committed
  // at some time after that. While false, the state is what the disk held, of
  // any age.
  bool m_appliedSinceStart = false;
  std::vector<Replica> m_replicas;
  uint32_t m_wantedVoters = 0; // for the members that this replica knows
  // Number of voters that hold all committed entries, as far as the leader
  // knows; 0 when not the leader.
  uint32_t m_caughtUpVoters = 0;
  // On the leader: the group has its target number of voters, and each of them
  // holds all committed entries. While false, another loss may lose data.
  bool m_repaired = false;
  // The disk of this replica is full; it takes part again once it has space.
  bool m_paused = false;
  // On the leader: until then no other replica can have been elected, unless
  // this one hands its leadership over.
  base::TimePoint m_leadsUntil;
};

// What a status that was published earlier says at aNow. A process that was
// paused must not act as a leader whose time has passed meanwhile.
GroupStatus
CurrentStatus(GroupStatus aPublished, base::TimePoint aNow);

class Group
{
public:
  // Sends a payload to the process named aTo. It may drop the payload. Called
  // on the group's thread.
  using SendFunction =
    std::function<void(const std::string& aTo, std::string aPayload)>;
  using ProposeCallback = std::function<void(absl::StatusOr<std::string>)>;
  using ConfirmCallback = std::function<void(absl::StatusOr<uint64_t>)>;
  // Called when the log can't be written for another reason than a full disk,
  // after which the process must stop. With a full disk the replica is paused.
  using FatalFunction = std::function<void(const absl::Status&)>;

  Group(GroupOptions aOptions,
        StateMachine& aMachine,
        SendFunction aSend,
        FatalFunction aFatal,
        base::EventLog& aEvents);
  ~Group();

  // Reads the data folder, restores the state machine and starts the thread.
  // Returns Corrupt when the log is damaged in any way except a torn tail, and
  // StorageFailed when the folder can't be used.
  absl::Status Start();
  // Stops the thread; pending callbacks get Unavailable.
  void Stop();

  // Proposes a command. The callback gets the result of the state machine once
  // the command is durable on a majority and was applied here. It gets
  // NotLeader when the command was certainly not accepted, and Unavailable when
  // that is not known. Thread-safe; callbacks run on the group's thread and
  // must not block.
  void Propose(std::string aCommand, ProposeCallback aDone);

  // Confirms that this replica leads, by a round of messages to a majority that
  // starts after this call (ReadIndex in the Raft thesis). The callback gets
  // the commit index of that moment after the state machine has applied it, or
  // NotLeader. Threads and callbacks as for Propose.
  void ConfirmLeadership(ConfirmCallback aDone);

  // Handles a payload sent by the group of the process named aFrom.
  // Thread-safe.
  void Receive(std::string aFrom, std::string aPayload);

  // Hands the leadership over to a caught-up voter, as before a planned stop.
  // Thread-safe.
  void TransferLeadership();

  GroupStatus Status() const;
  bool IsLeader() const;

private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace chivefront::consensus
