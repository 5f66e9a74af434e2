// What a follower does with the messages of its leader.
#include <algorithm>

#include "chivefront/consensus/core.h"

namespace chivefront::consensus {

using base::TimePoint;

// Follows the sender of a message of the current or a newer term; false when
// the message is of an old term.
bool
RaftCore::FollowSender(const std::string& aFrom,
                       const Message& aMessage,
                       TimePoint aNow)
{
  if (aMessage.m_term < m_hard.m_term) {
    Message reply;
    reply.m_kind = MessageKind::AppendReply;
    reply.m_rejected = true;
    Answer(aFrom, aMessage, std::move(reply));
    return false;
  }
  BecomeFollower(aMessage.m_term, aFrom);
  m_heardLeader = true;
  m_leaderHeard = aNow;
  ResetElectionTimer(aNow);
  return true;
}

void
RaftCore::TruncateLog(uint64_t aFrom)
{
  m_log.TruncateFrom(aFrom);
  m_synced = std::min(m_synced, aFrom - 1);
  while (m_memberships.size() > 1 && m_memberships.back().first >= aFrom) {
    m_memberships.pop_back();
  }
  auto& append = m_actions.m_append;
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
  m_actions.m_append.push_back(std::move(aEntry));
}

// Names the last entry that may still match: the one before the conflicting
// term, so that each refusal skips a whole term.
void
RaftCore::RefuseAppend(const std::string& aFrom, const Message& aMessage)
{
  Message reply;
  reply.m_kind = MessageKind::AppendReply;
  reply.m_rejected = true;
  reply.m_index = aMessage.m_index;
  reply.m_hint = std::min(m_log.LastIndex(), aMessage.m_index - 1);
  const uint64_t term = m_log.TermAt(aMessage.m_index);
  while (term != 0 && reply.m_hint > m_commit &&
         m_log.TermAt(reply.m_hint) == term) {
    --reply.m_hint;
  }
  Answer(aFrom, aMessage, std::move(reply));
}

// Adds the entries that are missing and replaces those that conflict; false
// when a committed entry would be replaced.
bool
RaftCore::TakeEntries(const Message& aMessage)
{
  for (const Entry& entry : aMessage.m_entries) {
    if (entry.m_index <= m_log.BaseIndex() ||
        m_log.TermAt(entry.m_index) == entry.m_term) {
      continue;
    }
    if (entry.m_index <= m_commit) {
      return false;
    }
    if (entry.m_index <= m_log.LastIndex()) {
      TruncateLog(entry.m_index);
    }
    AppendToLog(entry);
  }
  return true;
}

void
RaftCore::OnAppend(const std::string& aFrom,
                   const Message& aMessage,
                   TimePoint aNow)
{
  if (!FollowSender(aFrom, aMessage, aNow)) {
    return;
  }
  const bool matches = aMessage.m_index <= m_commit ||
                       (aMessage.m_index <= m_log.LastIndex() &&
                        m_log.TermAt(aMessage.m_index) == aMessage.m_logTerm);
  if (!matches) {
    RefuseAppend(aFrom, aMessage);
    return;
  }
  if (!TakeEntries(aMessage)) {
    return;
  }
  const uint64_t last = aMessage.m_index + aMessage.m_entries.size();
  m_commit = std::max(m_commit, std::min(aMessage.m_commit, last));
  Message reply;
  reply.m_kind = MessageKind::AppendReply;
  reply.m_index = last;
  Answer(aFrom, aMessage, std::move(reply));
}

void
RaftCore::OnSnapshot(const std::string& aFrom,
                     const Message& aMessage,
                     TimePoint aNow)
{
  if (!FollowSender(aFrom, aMessage, aNow)) {
    return;
  }
  Message reply;
  reply.m_kind = MessageKind::SnapshotReply;
  reply.m_index = aMessage.m_index;
  // An entry that is held with the same term matches, and so does everything
  // before it; dropping it would lose entries after it that were acknowledged.
  if (aMessage.m_index <= m_commit ||
      (m_log.Holds(aMessage.m_index) &&
       m_log.TermAt(aMessage.m_index) == aMessage.m_logTerm)) {
    m_commit = std::max(m_commit, aMessage.m_index);
    reply.m_flag = true;
    Answer(aFrom, aMessage, std::move(reply));
    return;
  }
  if (m_incoming.m_index != aMessage.m_index ||
      m_incoming.m_term != aMessage.m_logTerm || aMessage.m_hint == 0) {
    m_incoming = {
      aMessage.m_index, aMessage.m_logTerm, aMessage.m_members, ""
    };
  }
  if (aMessage.m_hint == m_incoming.m_data.size()) {
    m_incoming.m_data += aMessage.m_data;
    reply.m_flag = aMessage.m_flag;
  }
  reply.m_hint = m_incoming.m_data.size();
  if (reply.m_flag) {
    InstallIncoming();
  }
  Answer(aFrom, aMessage, std::move(reply));
}

void
RaftCore::InstallIncoming()
{
  m_snapshot = std::make_shared<const Snapshot>(std::move(m_incoming));
  m_incoming = {};
  m_log.Reset(m_snapshot->m_index, m_snapshot->m_term);
  m_commit = m_snapshot->m_index;
  m_synced = std::min(m_synced, m_commit);
  m_memberships.clear();
  AdoptMembership(m_commit, m_snapshot->m_membership);
  m_actions.m_append.clear();
  m_actions.m_install = m_snapshot;
}

} // namespace chivefront::consensus
