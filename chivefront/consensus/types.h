// Types shared by the Raft core, the durable log and the group.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "chivefront/consensus/group.h"
#include "chivefront/consensus/raft_generated.hpp"

namespace chivefront::consensus {

using raft::EntryKind;
using raft::MessageKind;
using raft::Stage;

using Membership = std::vector<Replica>;

struct Entry
{
  uint64_t m_term = 0;
  uint64_t m_index = 0;
  EntryKind m_kind = EntryKind::NoOp;
  std::string m_data;
};

// State that must be durable before any message that depends on it is sent.
struct HardState
{
  uint64_t m_term = 0;
  uint64_t m_vote = 0; // identity voted for in m_term; 0 for none
  // Progress of the bootstrap; see bootstrap.cc.
  Stage m_stage = Stage::Empty;
  // The initial membership; empty on a replica that was admitted later.
  Membership m_initialMembers;
};

// The state of the state machine after the entry m_index of term m_term.
struct Snapshot
{
  uint64_t m_index = 0;
  uint64_t m_term = 0;
  Membership m_membership;
  std::string m_data;
};

// A message between replicas, with the fields of raft::Message. Fields that a
// kind does not use are zero.
struct Message
{
  MessageKind m_kind = MessageKind::Hello;
  uint64_t m_from = 0; // identity of the sender
  uint64_t m_to = 0;   // identity of the receiver; 0 when not known
  uint64_t m_term = 0;
  // Index and term of an entry. Vote: the last entry of the candidate. Append
  // and EntryPart: the entry before the first one carried. AppendReply: the
  // last entry known to match, or the rejected one. EntryPartReply: the entry.
  // Snapshot: the last entry covered. Reply to a pre-vote: m_index is the term
  // of the planned election.
  uint64_t m_index = 0;
  uint64_t m_logTerm = 0;
  uint64_t m_commitIndex = 0;
  // Confirmation round, or the nonce of a Hello. Replies echo it.
  uint64_t m_round = 0;
  // Hello: a reply. Vote and VoteReply: a pre-vote. Snapshot and EntryPart: the
  // last chunk. SnapshotReply: the snapshot is complete.
  bool m_flag = false;
  bool m_rejected = false;
  bool m_forced = false; // Vote: part of a leadership transfer
  // AppendReply: the last entry that may match, after a rejection. Snapshot,
  // SnapshotReply, EntryPart and EntryPartReply: offset in bytes.
  uint64_t m_hint = 0;
  Stage m_stage = Stage::Empty;
  Membership m_members;
  std::vector<Entry> m_entries;
  std::string m_data;
  // Hello and Vote: failure domain of the sender, and whether it has no durable
  // disk.
  std::string m_domain;
  bool m_diskless = false;
  // Hello: the sender may take part in a bootstrap.
  bool m_mayBootstrap = true;
};

inline bool
operator==(const Replica& aLeft, const Replica& aRight)
{
  return aLeft.m_name == aRight.m_name &&
         aLeft.m_identity == aRight.m_identity &&
         aLeft.m_voter == aRight.m_voter;
}

} // namespace chivefront::consensus
