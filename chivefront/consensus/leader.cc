// Replication: what a leader sends and what it learns from the answers.
#include <algorithm>

#include "chivefront/consensus/core.h"

namespace chivefront::consensus {
namespace {

// Appends under way to one replica; enough to keep a link of a few
// milliseconds busy with batches of 1 MiB.
constexpr uint32_t kMaxInFlight = 16;

} // namespace

using base::TimePoint;

std::optional<uint64_t>
RaftCore::Propose(std::string aCommand)
{
  if (!IsLeader() || m_transferTo != 0) {
    return std::nullopt;
  }
  const uint64_t index = m_log.LastIndex() + 1;
  AppendToLog(
    { m_hard.m_term, index, EntryKind::Command, std::move(aCommand) });
  return index;
}

void
RaftCore::Confirm(uint64_t aId)
{
  if (IsLeader()) {
    m_questions.push_back(aId);
  } else {
    m_actions.m_confirmed.push_back({ aId, std::nullopt });
  }
}

void
RaftCore::SendHeartbeat(uint64_t aIdentity, Peer& aPeer)
{
  Message append;
  append.m_kind = MessageKind::Append;
  append.m_to = aIdentity;
  append.m_term = m_hard.m_term;
  append.m_index = std::max(aPeer.m_next - 1, m_log.BaseIndex());
  append.m_logTerm = m_log.TermAt(append.m_index);
  append.m_commit = m_commit;
  append.m_round = m_round;
  Send(aPeer.m_name, std::move(append), true);
}

// One append with as many entries as fit; false when there is nothing to send.
bool
RaftCore::SendEntries(uint64_t aIdentity, Peer& aPeer)
{
  if (aPeer.m_next > m_log.LastIndex() || aPeer.m_inFlight >= kMaxInFlight ||
      (aPeer.m_probing && aPeer.m_inFlight > 0)) {
    return false;
  }
  Message append;
  append.m_kind = MessageKind::Append;
  append.m_to = aIdentity;
  append.m_term = m_hard.m_term;
  append.m_index = aPeer.m_next - 1;
  append.m_logTerm = m_log.TermAt(append.m_index);
  append.m_commit = m_commit;
  append.m_round = m_round;
  size_t bytes = 0;
  while (aPeer.m_next <= m_log.LastIndex()) {
    const Entry& entry = m_log.At(aPeer.m_next);
    bytes += entry.m_data.size() + sizeof(Entry);
    if (!append.m_entries.empty() && bytes > m_options.m_appendBytes) {
      break;
    }
    append.m_entries.push_back(entry);
    ++aPeer.m_next;
  }
  ++aPeer.m_inFlight;
  Send(aPeer.m_name, std::move(append), true);
  return true;
}

// One chunk at a time: a snapshot must not delay appends to other replicas.
void
RaftCore::SendChunk(uint64_t aIdentity, Peer& aPeer)
{
  if (!aPeer.m_snapshot) {
    aPeer.m_snapshot = m_snapshot;
    aPeer.m_offset = 0;
  }
  const Snapshot& snapshot = *aPeer.m_snapshot;
  Message chunk;
  chunk.m_kind = MessageKind::Snapshot;
  chunk.m_to = aIdentity;
  chunk.m_term = m_hard.m_term;
  chunk.m_index = snapshot.m_index;
  chunk.m_logTerm = snapshot.m_term;
  chunk.m_round = m_round;
  chunk.m_hint = aPeer.m_offset;
  chunk.m_members = snapshot.m_membership;
  chunk.m_data = snapshot.m_data.substr(aPeer.m_offset, m_options.m_chunkBytes);
  chunk.m_flag = aPeer.m_offset + chunk.m_data.size() == snapshot.m_data.size();
  aPeer.m_chunkInFlight = true;
  Send(aPeer.m_name, std::move(chunk), true);
}

void
RaftCore::Replicate()
{
  if (!m_questions.empty()) {
    ++m_round;
    for (const uint64_t id : m_questions) {
      m_asked.emplace_back(m_round, id);
    }
    m_questions.clear();
    m_heartbeatWanted = true;
  }
  for (auto& [identity, peer] : m_peers) {
    if (peer.m_snapshot || peer.m_next <= m_log.BaseIndex()) {
      if (!peer.m_chunkInFlight) {
        SendChunk(identity, peer);
      }
      if (m_heartbeatWanted) {
        SendHeartbeat(identity, peer);
      }
      continue;
    }
    bool sent = false;
    while (SendEntries(identity, peer)) {
      sent = true;
    }
    if (!sent && m_heartbeatWanted) {
      SendHeartbeat(identity, peer);
    }
  }
  m_heartbeatWanted = false;
  AnswerConfirmations();
}

void
RaftCore::OnAppendReply(const Message& aMessage, TimePoint aNow)
{
  if (aMessage.m_term > m_hard.m_term) {
    BecomeFollower(aMessage.m_term, "");
    return;
  }
  const auto found = m_peers.find(aMessage.m_from);
  if (!IsLeader() || aMessage.m_term != m_hard.m_term ||
      found == m_peers.end()) {
    return;
  }
  Peer& peer = found->second;
  peer.m_heard = aNow;
  peer.m_heardSinceElected = true;
  peer.m_round = std::max(peer.m_round, aMessage.m_round);
  peer.m_inFlight -= peer.m_inFlight > 0 ? 1 : 0;
  if (aMessage.m_rejected) {
    if (aMessage.m_index > peer.m_match) {
      peer.m_next = std::max(peer.m_match, aMessage.m_hint) + 1;
      peer.m_probing = true;
      peer.m_inFlight = 0;
    }
  } else {
    peer.m_match = std::max(peer.m_match, aMessage.m_index);
    peer.m_next = std::max(peer.m_next, peer.m_match + 1);
    peer.m_probing = false;
    AdvanceCommit();
    FinishTransfer();
  }
  AnswerConfirmations();
  RepairMembership(aNow);
}

void
RaftCore::OnSnapshotReply(const Message& aMessage, TimePoint aNow)
{
  const auto found = m_peers.find(aMessage.m_from);
  if (!IsLeader() || aMessage.m_term != m_hard.m_term ||
      found == m_peers.end()) {
    return;
  }
  Peer& peer = found->second;
  peer.m_heard = aNow;
  peer.m_heardSinceElected = true;
  peer.m_round = std::max(peer.m_round, aMessage.m_round);
  if (!peer.m_snapshot || peer.m_snapshot->m_index != aMessage.m_index) {
    return;
  }
  peer.m_chunkInFlight = false;
  if (!aMessage.m_flag) {
    peer.m_offset =
      std::min<uint64_t>(aMessage.m_hint, peer.m_snapshot->m_data.size());
    return;
  }
  peer.m_match = std::max(peer.m_match, aMessage.m_index);
  peer.m_next = peer.m_match + 1;
  peer.m_probing = true;
  peer.m_inFlight = 0;
  peer.m_snapshot.reset();
  AdvanceCommit();
}

// Commits what a majority holds synced, but only once that covers an entry of
// this term: an older entry on a majority can still be replaced.
void
RaftCore::AdvanceCommit()
{
  std::vector<uint64_t> held;
  for (const Replica& replica : Members()) {
    if (replica.m_voter && replica.m_identity == m_options.m_identity) {
      held.push_back(m_synced);
    } else if (replica.m_voter) {
      held.push_back(m_peers.at(replica.m_identity).m_match);
    }
  }
  std::sort(held.begin(), held.end(), std::greater<>());
  const uint64_t index = held.empty() ? 0 : held[held.size() / 2];
  if (index > m_commit && m_log.TermAt(index) == m_hard.m_term) {
    m_commit = index;
    m_heartbeatWanted = true;
  }
}

void
RaftCore::AnswerConfirmations()
{
  if (m_asked.empty()) {
    return;
  }
  std::erase_if(m_asked, [&](const std::pair<uint64_t, uint64_t>& aAsked) {
    std::set<uint64_t> heard{ m_options.m_identity };
    for (const auto& [identity, peer] : m_peers) {
      if (peer.m_round >= aAsked.first) {
        heard.insert(identity);
      }
    }
    if (!IsMajority(heard)) {
      return false;
    }
    // Entries of older terms may be committed without this leader knowing
    // until its own first entry is.
    m_actions.m_confirmed.push_back(
      { aAsked.second, std::max(m_commit, m_termStart) });
    return true;
  });
}

void
RaftCore::Transfer(TimePoint aNow)
{
  if (!IsLeader() || m_transferTo != 0) {
    return;
  }
  const Peer* best = nullptr;
  for (const auto& [identity, peer] : m_peers) {
    if (IsVoter(identity) && HeardRecently(identity, aNow) &&
        (best == nullptr || peer.m_match > best->m_match)) {
      best = &peer;
      m_transferTo = identity;
    }
  }
  m_transferDue = aNow + m_options.m_electionTimeout;
  FinishTransfer();
}

void
RaftCore::FinishTransfer()
{
  const auto found = m_peers.find(m_transferTo);
  if (m_transferTo == 0 || found == m_peers.end() ||
      found->second.m_match != m_log.LastIndex()) {
    return;
  }
  Message order;
  order.m_kind = MessageKind::TakeOver;
  order.m_to = m_transferTo;
  order.m_term = m_hard.m_term;
  Send(found->second.m_name, std::move(order));
}

} // namespace chivefront::consensus
