// The leader: replication, commit, leadership confirmation and transfer.
#include <algorithm>

#include "chivefront/consensus/core.h"

namespace chivefront::consensus {
namespace {

// Maximum number of appends in flight to one replica. Enough to keep a link
// with a latency of a few milliseconds busy with batches of 1 MiB.
constexpr uint32_t kMaxInFlightAppends = 16;

} // namespace

using base::TimePoint;

// The API of a control process accepts no command that is too large; the check
// of the size keeps such an entry from stopping the log for good.
std::optional<uint64_t>
RaftCore::Propose(std::string aCommand)
{
  if (!IsLeader() || m_transferTarget != 0 || !MayAcknowledge() ||
      aCommand.size() > m_options.m_maxEntryBytes) {
    return std::nullopt;
  }
  const uint64_t index = m_log.LastIndex() + 1;
  AppendToLog(
    { m_hardState.m_term, index, EntryKind::Command, std::move(aCommand) });
  return index;
}

void
RaftCore::ConfirmLeadership(uint64_t aRequestId)
{
  if (IsLeader()) {
    m_queuedConfirmations.push_back(aRequestId);
  } else {
    m_actions.m_confirmations.push_back({ aRequestId, std::nullopt });
  }
}

void
RaftCore::SendHeartbeat(uint64_t aIdentity, Peer& aPeer)
{
  Message append;
  append.m_kind = MessageKind::Append;
  append.m_to = aIdentity;
  append.m_term = m_hardState.m_term;
  append.m_index = std::max(aPeer.m_nextIndex - 1, m_log.BaseIndex());
  append.m_logTerm = m_log.TermAt(append.m_index);
  append.m_commitIndex = m_commitIndex;
  append.m_round = m_confirmRound;
  Send(aPeer.m_name, std::move(append), true);
}

bool
RaftCore::IsLarge(const Entry& aEntry) const
{
  return aEntry.m_data.size() > m_options.m_entryPartBytes;
}

// An append to aPeer, without entries.
Message
RaftCore::MakeAppend(uint64_t aIdentity,
                     const Peer& aPeer,
                     MessageKind aKind) const
{
  Message append;
  append.m_kind = aKind;
  append.m_to = aIdentity;
  append.m_term = m_hardState.m_term;
  append.m_index = aPeer.m_nextIndex - 1;
  append.m_logTerm = m_log.TermAt(append.m_index);
  append.m_commitIndex = m_commitIndex;
  append.m_round = m_confirmRound;
  return append;
}

// Sends the next part of the entry m_nextIndex, unless one is in flight. The
// entry counts as sent once the replica has acknowledged all of it, so that
// heartbeats sent meanwhile refer to an entry that the replica holds.
void
RaftCore::SendEntryPart(uint64_t aIdentity, Peer& aPeer)
{
  if (aPeer.m_transfer.InFlight()) {
    return;
  }
  const Entry& entry = m_log.At(aPeer.m_nextIndex);
  const size_t offset =
    std::min<size_t>(aPeer.m_transfer.Offset(), entry.m_data.size());
  Message part = MakeAppend(aIdentity, aPeer, MessageKind::EntryPart);
  part.m_hint = offset;
  part.m_entries.push_back(
    { entry.m_term,
      entry.m_index,
      entry.m_kind,
      entry.m_data.substr(offset, m_options.m_entryPartBytes) });
  part.m_flag =
    offset + part.m_entries.front().m_data.size() == entry.m_data.size();
  aPeer.m_transfer.OnSent();
  Send(aPeer.m_name, std::move(part), true);
}

// Sends one append with as many entries as fit, or a part of a large entry.
// Returns whether another append may be sent.
bool
RaftCore::SendEntries(uint64_t aIdentity, Peer& aPeer)
{
  if (aPeer.m_nextIndex > m_log.LastIndex() ||
      aPeer.m_inFlightAppends >= kMaxInFlightAppends ||
      (aPeer.m_probing && aPeer.m_inFlightAppends > 0)) {
    return false;
  }
  if (IsLarge(m_log.At(aPeer.m_nextIndex))) {
    SendEntryPart(aIdentity, aPeer);
    return false;
  }
  Message append = MakeAppend(aIdentity, aPeer, MessageKind::Append);
  size_t bytes = 0;
  while (aPeer.m_nextIndex <= m_log.LastIndex()) {
    const Entry& entry = m_log.At(aPeer.m_nextIndex);
    bytes += entry.m_data.size() + sizeof(Entry);
    if (!append.m_entries.empty() &&
        (bytes > m_options.m_maxAppendBytes || IsLarge(entry))) {
      break;
    }
    append.m_entries.push_back(entry);
    ++aPeer.m_nextIndex;
  }
  ++aPeer.m_inFlightAppends;
  Send(aPeer.m_name, std::move(append), true);
  return true;
}

// Only one chunk is in flight at a time, so that a snapshot does not delay
// appends to other replicas.
void
RaftCore::SendSnapshotChunk(uint64_t aIdentity, Peer& aPeer)
{
  if (!aPeer.m_snapshot) {
    aPeer.m_snapshot = m_snapshot;
    aPeer.m_transfer.Restart();
  }
  const Snapshot& snapshot = *aPeer.m_snapshot;
  Message chunk;
  chunk.m_kind = MessageKind::Snapshot;
  chunk.m_to = aIdentity;
  chunk.m_term = m_hardState.m_term;
  chunk.m_index = snapshot.m_index;
  chunk.m_logTerm = snapshot.m_term;
  chunk.m_round = m_confirmRound;
  chunk.m_hint = aPeer.m_transfer.Offset();
  chunk.m_members = snapshot.m_membership;
  chunk.m_data =
    snapshot.m_data.substr(chunk.m_hint, m_options.m_snapshotChunkBytes);
  chunk.m_flag = chunk.m_hint + chunk.m_data.size() == snapshot.m_data.size();
  aPeer.m_transfer.OnSent();
  Send(aPeer.m_name, std::move(chunk), true);
}

void
RaftCore::Replicate()
{
  if (!m_queuedConfirmations.empty()) {
    ++m_confirmRound;
    for (const uint64_t id : m_queuedConfirmations) {
      m_pendingConfirmations.emplace_back(m_confirmRound, id);
    }
    m_queuedConfirmations.clear();
    m_heartbeatPending = true;
  }
  for (auto& [identity, peer] : m_peers) {
    if (peer.m_snapshot || peer.m_nextIndex <= m_log.BaseIndex()) {
      if (!peer.m_transfer.InFlight()) {
        SendSnapshotChunk(identity, peer);
      }
      if (m_heartbeatPending) {
        SendHeartbeat(identity, peer);
      }
      continue;
    }
    bool sent = false;
    while (SendEntries(identity, peer)) {
      sent = true;
    }
    if (!sent && m_heartbeatPending) {
      SendHeartbeat(identity, peer);
    }
  }
  m_heartbeatPending = false;
  CompleteConfirmations();
}

// The replica that answered a message of this leader's term, with what every
// answer tells; null if the answer is for another term or from a stranger.
RaftCore::Peer*
RaftCore::FindReplyingPeer(const Message& aMessage, TimePoint aNow)
{
  const auto found = m_peers.find(aMessage.m_from);
  if (!IsLeader() || aMessage.m_term != m_hardState.m_term ||
      found == m_peers.end()) {
    return nullptr;
  }
  Peer& peer = found->second;
  peer.m_lastHeard = aNow;
  peer.m_heardSinceElected = true;
  peer.m_confirmedRound = std::max(peer.m_confirmedRound, aMessage.m_round);
  return &peer;
}

void
RaftCore::OnAppendReply(const Message& aMessage, TimePoint aNow)
{
  if (aMessage.m_term > m_hardState.m_term) {
    BecomeFollower(aMessage.m_term, "");
    return;
  }
  Peer* const peer = FindReplyingPeer(aMessage, aNow);
  if (peer == nullptr) {
    return;
  }
  peer->m_inFlightAppends -= peer->m_inFlightAppends > 0 ? 1 : 0;
  const uint64_t nextIndex = peer->m_nextIndex;
  if (aMessage.m_rejected) {
    if (aMessage.m_index > peer->m_matchIndex) {
      peer->m_nextIndex = std::max(peer->m_matchIndex, aMessage.m_hint) + 1;
      peer->m_probing = true;
      peer->m_inFlightAppends = 0;
    }
  } else {
    peer->m_matchIndex = std::max(peer->m_matchIndex, aMessage.m_index);
    peer->m_nextIndex = std::max(peer->m_nextIndex, peer->m_matchIndex + 1);
    peer->m_probing = false;
    AdvanceCommit();
    SendTakeOverIfCaughtUp();
  }
  if (!peer->m_snapshot && peer->m_nextIndex != nextIndex) {
    peer->m_transfer.Restart();
  }
  CompleteConfirmations();
  ProposeMembershipChange(aNow);
}

// The replica holds m_hint bytes of an entry.
void
RaftCore::OnEntryPartReply(const Message& aMessage, TimePoint aNow)
{
  Peer* const peer = FindReplyingPeer(aMessage, aNow);
  if (peer == nullptr) {
    return;
  }
  if (!peer->m_snapshot && aMessage.m_index == peer->m_nextIndex) {
    peer->m_transfer.OnAnswer(aMessage.m_hint);
  }
  CompleteConfirmations();
}

void
RaftCore::OnSnapshotReply(const Message& aMessage, TimePoint aNow)
{
  Peer* const found = FindReplyingPeer(aMessage, aNow);
  if (found == nullptr) {
    return;
  }
  Peer& peer = *found;
  if (!peer.m_snapshot || peer.m_snapshot->m_index != aMessage.m_index) {
    return;
  }
  if (!aMessage.m_flag) {
    peer.m_transfer.OnAnswer(
      std::min<uint64_t>(aMessage.m_hint, peer.m_snapshot->m_data.size()));
    return;
  }
  peer.m_matchIndex = std::max(peer.m_matchIndex, aMessage.m_index);
  peer.m_nextIndex = peer.m_matchIndex + 1;
  peer.m_probing = true;
  peer.m_inFlightAppends = 0;
  peer.m_snapshot.reset();
  peer.m_transfer.Restart();
  AdvanceCommit();
}

// Commits the entries that are durable on a majority, but only if the last of
// them is of the current term: an entry of an older term can still be replaced
// although a majority holds it.
void
RaftCore::AdvanceCommit()
{
  std::vector<uint64_t> matchIndexes;
  for (const Replica& replica : Members()) {
    if (replica.m_voter && replica.m_identity == m_options.m_identity) {
      matchIndexes.push_back(m_syncedIndex);
    } else if (replica.m_voter) {
      matchIndexes.push_back(m_peers.at(replica.m_identity).m_matchIndex);
    }
  }
  std::sort(matchIndexes.begin(), matchIndexes.end(), std::greater<>());
  const uint64_t index =
    matchIndexes.empty() ? 0 : matchIndexes[matchIndexes.size() / 2];
  if (index > m_commitIndex && m_log.TermAt(index) == m_hardState.m_term) {
    m_commitIndex = index;
    m_heartbeatPending = true;
    ConfirmCommitIndex();
  }
}

void
RaftCore::CompleteConfirmations()
{
  if (m_pendingConfirmations.empty()) {
    return;
  }
  std::erase_if(
    m_pendingConfirmations, [&](const std::pair<uint64_t, uint64_t>& aPending) {
      std::set<uint64_t> heard{ m_options.m_identity };
      for (const auto& [identity, peer] : m_peers) {
        if (peer.m_confirmedRound >= aPending.first) {
          heard.insert(identity);
        }
      }
      if (!IsMajority(heard)) {
        return false;
      }
      // This leader may not know which entries of older terms are committed
      // until the first entry of its own term is committed.
      m_actions.m_confirmations.push_back(
        { aPending.second, std::max(m_commitIndex, m_termStartIndex) });
      return true;
    });
}

void
RaftCore::TransferLeadership(TimePoint aNow)
{
  if (!IsLeader() || m_transferTarget != 0) {
    return;
  }
  const Peer* best = nullptr;
  for (const auto& [identity, peer] : m_peers) {
    if (IsVoter(identity) && HeardRecently(identity, aNow) &&
        (best == nullptr || peer.m_matchIndex > best->m_matchIndex)) {
      best = &peer;
      m_transferTarget = identity;
    }
  }
  m_transferDeadline = aNow + m_options.m_electionTimeout;
  SendTakeOverIfCaughtUp();
}

void
RaftCore::SendTakeOverIfCaughtUp()
{
  const auto found = m_peers.find(m_transferTarget);
  if (m_transferTarget == 0 || found == m_peers.end() ||
      found->second.m_matchIndex != m_log.LastIndex()) {
    return;
  }
  Message request;
  request.m_kind = MessageKind::TakeOver;
  request.m_to = m_transferTarget;
  request.m_term = m_hardState.m_term;
  Send(found->second.m_name, std::move(request));
}

} // namespace chivefront::consensus
