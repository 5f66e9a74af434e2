// The follower: appends and snapshots from the leader.
#include <algorithm>
#include <utility>

#include "chivefront/consensus/core.h"

namespace chivefront::consensus {

using base::TimePoint;

// Accepts the sender of a message of the current or a newer term as the leader.
// Returns false, and rejects the message, when it is of an older term.
bool
RaftCore::FollowLeader(const std::string& aFrom,
                       const Message& aMessage,
                       TimePoint aNow)
{
  if (aMessage.m_term < m_hardState.m_term) {
    Message reply;
    reply.m_kind = MessageKind::AppendReply;
    reply.m_rejected = true;
    Reply(aFrom, aMessage, std::move(reply));
    return false;
  }
  BecomeFollower(aMessage.m_term, aFrom);
  m_hasHeardLeader = true;
  m_leaderLastHeard = aNow;
  ResetElectionTimer(aNow);
  return true;
}

void
RaftCore::TruncateLog(uint64_t aFrom)
{
  m_log.TruncateFrom(aFrom);
  m_syncedIndex = std::min(m_syncedIndex, aFrom - 1);
  while (m_memberships.size() > 1 && m_memberships.back().first >= aFrom) {
    m_memberships.pop_back();
  }
  auto& append = m_actions.m_entriesToSave;
  while (!append.empty() && append.back().m_index >= aFrom) {
    append.pop_back();
  }
}

void
RaftCore::AppendToLog(Entry aEntry)
{
  m_log.Append(aEntry);
  if (aEntry.m_kind == EntryKind::Membership) {
    AdoptMembership(aEntry.m_index, DecodeMembership(aEntry.m_data));
  }
  m_actions.m_entriesToSave.push_back(std::move(aEntry));
}

// The hint in the reply is the last entry that may still match. It lies before
// the entries of the conflicting term, so that each rejection skips a whole
// term.
void
RaftCore::RejectAppend(const std::string& aFrom, const Message& aMessage)
{
  Message reply;
  reply.m_kind = MessageKind::AppendReply;
  reply.m_rejected = true;
  reply.m_index = aMessage.m_index;
  reply.m_hint = std::min(m_log.LastIndex(), aMessage.m_index - 1);
  const uint64_t term = m_log.TermAt(aMessage.m_index);
  while (term != 0 && reply.m_hint > m_commitIndex &&
         m_log.TermAt(reply.m_hint) == term) {
    --reply.m_hint;
  }
  Reply(aFrom, aMessage, std::move(reply));
}

// Appends the entries that are missing and replaces the ones that conflict.
// Returns false when a committed entry would be replaced.
bool
RaftCore::MergeEntries(const Message& aMessage)
{
  for (const Entry& entry : aMessage.m_entries) {
    if (entry.m_index <= m_log.BaseIndex() ||
        m_log.TermAt(entry.m_index) == entry.m_term) {
      continue;
    }
    if (entry.m_index <= m_commitIndex) {
      return false;
    }
    if (entry.m_index <= m_log.LastIndex()) {
      TruncateLog(entry.m_index);
    }
    AppendToLog(entry);
  }
  return true;
}

// Called when this replica holds all that the leader of the term has committed.
// A leader that has committed nothing in its term may not know yet which older
// entries are committed.
void
RaftCore::ConfirmCommitIndex()
{
  if (m_confirmedCommitIndex == 0 &&
      m_log.TermAt(m_commitIndex) == m_hardState.m_term) {
    m_confirmedCommitIndex = m_commitIndex;
  }
}

bool
RaftCore::HoldsEntryBefore(const Message& aMessage) const
{
  return aMessage.m_index <= m_commitIndex ||
         (aMessage.m_index <= m_log.LastIndex() &&
          m_log.TermAt(aMessage.m_index) == aMessage.m_logTerm);
}

void
RaftCore::OnAppend(const std::string& aFrom,
                   const Message& aMessage,
                   TimePoint aNow)
{
  if (!FollowLeader(aFrom, aMessage, aNow)) {
    return;
  }
  if (!HoldsEntryBefore(aMessage)) {
    RejectAppend(aFrom, aMessage);
    return;
  }
  if (!MergeEntries(aMessage)) {
    return;
  }
  const uint64_t last = aMessage.m_index + aMessage.m_entries.size();
  m_commitIndex =
    std::max(m_commitIndex, std::min(aMessage.m_commitIndex, last));
  if (aMessage.m_commitIndex <= m_commitIndex) {
    ConfirmCommitIndex();
  }
  Message reply;
  reply.m_kind = MessageKind::AppendReply;
  reply.m_index = last;
  Reply(aFrom, aMessage, std::move(reply));
}

// Collects the parts of an entry; the last one completes an append of it. Parts
// of another entry, or of this one from its start, replace what was collected.
void
RaftCore::OnEntryPart(const std::string& aFrom,
                      const Message& aMessage,
                      TimePoint aNow)
{
  if (!FollowLeader(aFrom, aMessage, aNow) || aMessage.m_entries.size() != 1) {
    return;
  }
  const Entry& part = aMessage.m_entries.front();
  const bool isHeld =
    part.m_index <= m_commitIndex || m_log.TermAt(part.m_index) == part.m_term;
  if (isHeld || !HoldsEntryBefore(aMessage)) {
    // The entry is in the log, or can't be appended: the answer needs no data.
    OnAppend(aFrom, aMessage, aNow);
    return;
  }
  Entry& entry = m_incomingEntry;
  if (aMessage.m_hint == 0 || entry.m_index != part.m_index ||
      entry.m_term != part.m_term) {
    entry = { part.m_term, part.m_index, part.m_kind, "" };
  }
  const bool isNext =
    aMessage.m_hint == entry.m_data.size() &&
    entry.m_data.size() + part.m_data.size() <= m_options.m_maxEntryBytes;
  if (isNext) {
    entry.m_data += part.m_data;
  }
  if (isNext && aMessage.m_flag) {
    Message append = aMessage;
    append.m_entries = { std::exchange(m_incomingEntry, {}) };
    OnAppend(aFrom, append, aNow);
    return;
  }
  Message reply;
  reply.m_kind = MessageKind::EntryPartReply;
  reply.m_index = entry.m_index;
  reply.m_hint = entry.m_data.size();
  Reply(aFrom, aMessage, std::move(reply));
}

void
RaftCore::OnSnapshot(const std::string& aFrom,
                     const Message& aMessage,
                     TimePoint aNow)
{
  if (!FollowLeader(aFrom, aMessage, aNow)) {
    return;
  }
  Message reply;
  reply.m_kind = MessageKind::SnapshotReply;
  reply.m_index = aMessage.m_index;
  // If the log contains the last entry of the snapshot with the same term, the
  // whole log up to that entry matches and the snapshot is not needed.
  // Installing it would lose later entries that were already acknowledged.
  if (aMessage.m_index <= m_commitIndex ||
      (m_log.Contains(aMessage.m_index) &&
       m_log.TermAt(aMessage.m_index) == aMessage.m_logTerm)) {
    m_commitIndex = std::max(m_commitIndex, aMessage.m_index);
    reply.m_flag = true;
    Reply(aFrom, aMessage, std::move(reply));
    return;
  }
  if (m_incomingSnapshot.m_index != aMessage.m_index ||
      m_incomingSnapshot.m_term != aMessage.m_logTerm || aMessage.m_hint == 0) {
    m_incomingSnapshot = {
      aMessage.m_index, aMessage.m_logTerm, aMessage.m_members, ""
    };
  }
  if (aMessage.m_hint == m_incomingSnapshot.m_data.size()) {
    m_incomingSnapshot.m_data += aMessage.m_data;
    reply.m_flag = aMessage.m_flag;
  }
  reply.m_hint = m_incomingSnapshot.m_data.size();
  if (reply.m_flag) {
    InstallIncomingSnapshot();
  }
  Reply(aFrom, aMessage, std::move(reply));
}

void
RaftCore::InstallIncomingSnapshot()
{
  m_snapshot = std::make_shared<const Snapshot>(std::move(m_incomingSnapshot));
  m_incomingSnapshot = {};
  m_log.Reset(m_snapshot->m_index, m_snapshot->m_term);
  m_commitIndex = m_snapshot->m_index;
  m_syncedIndex = std::min(m_syncedIndex, m_commitIndex);
  m_memberships.clear();
  AdoptMembership(m_commitIndex, m_snapshot->m_membership);
  m_actions.m_entriesToSave.clear();
  m_actions.m_snapshotToInstall = m_snapshot;
}

} // namespace chivefront::consensus
