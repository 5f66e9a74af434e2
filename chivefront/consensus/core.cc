// Terms, elections and timers of the Raft core.
#include "chivefront/consensus/core.h"

#include <algorithm>
#include <functional>

namespace chivefront::consensus {

using base::TimePoint;

RaftCore::RaftCore(CoreOptions aOptions, StoredState aState, TimePoint aNow)
  : m_options(std::move(aOptions))
  , m_random(m_options.m_seed)
  , m_hardState(std::move(aState.m_hardState))
  , m_log(aState.m_baseIndex, aState.m_baseTerm, std::move(aState.m_entries))
  , m_snapshot(std::move(aState.m_snapshot))
  , m_helloDue(aNow)
  , m_helloNonce(m_random())
{
  m_commitIndex = m_snapshot ? m_snapshot->m_index : 0;
  m_syncedIndex = m_log.LastIndex();
  if (m_snapshot) {
    m_memberships.emplace_back(m_commitIndex, m_snapshot->m_membership);
  } else {
    m_memberships.emplace_back(0,
                               m_hardState.m_stage == Stage::Active
                                 ? m_hardState.m_initialMembers
                                 : Membership());
  }
  for (uint64_t i = m_commitIndex + 1; i <= m_log.LastIndex(); ++i) {
    if (m_log.At(i).m_kind == EntryKind::Membership) {
      m_memberships.emplace_back(i, DecodeMembership(m_log.At(i).m_data));
    }
  }
  ResetElectionTimer(aNow);
  if (m_options.m_fastFirstElection) {
    m_electionDue = aNow + (m_electionDue - aNow) / 2;
  }
}

const Membership&
RaftCore::MembersAt(uint64_t aIndex) const
{
  auto found = m_memberships.rbegin();
  while (found->first > aIndex && std::next(found) != m_memberships.rend()) {
    ++found;
  }
  return found->second;
}

bool
RaftCore::IsVoter(uint64_t aIdentity) const
{
  return std::any_of(
    Members().begin(), Members().end(), [&](const Replica& aReplica) {
      return aReplica.m_identity == aIdentity && aReplica.m_voter;
    });
}

// A replica that is not in the last membership it knows must still vote,
// because a newer membership that includes it may not have reached it yet. A
// replica that was never part of a membership must not vote, nor one that
// forgets its votes.
bool
RaftCore::MayVote() const
{
  return m_hardState.m_stage == Stage::Active && !Members().empty() &&
         !m_options.m_diskless;
}

bool
RaftCore::IsMajority(const std::set<uint64_t>& aIdentities) const
{
  size_t voters = 0;
  size_t counted = 0;
  for (const Replica& replica : Members()) {
    if (replica.m_voter) {
      ++voters;
      counted += aIdentities.count(replica.m_identity);
    }
  }
  return counted * 2 > voters;
}

void
RaftCore::ResetElectionTimer(TimePoint aNow)
{
  const int64_t timeout = m_options.m_electionTimeout.Count();
  std::uniform_int_distribution<int64_t> jitter(0, timeout);
  m_electionDue = aNow + base::Millis(timeout + jitter(m_random));
}

void
RaftCore::Send(const std::string& aTo, Message aMessage, bool aEarly)
{
  aMessage.m_from = m_options.m_identity;
  auto& queue =
    aEarly ? m_actions.m_messagesBeforeSync : m_actions.m_messagesAfterSync;
  queue.push_back({ aTo, std::move(aMessage) });
}

void
RaftCore::Reply(const std::string& aFrom,
                const Message& aRequest,
                Message aReply)
{
  aReply.m_to = aRequest.m_from;
  aReply.m_term = m_hardState.m_term;
  aReply.m_round = aRequest.m_round;
  Send(aFrom, std::move(aReply));
}

void
RaftCore::FailConfirmations()
{
  for (const uint64_t id : m_queuedConfirmations) {
    m_actions.m_confirmations.push_back({ id, std::nullopt });
  }
  for (const auto& [round, id] : m_pendingConfirmations) {
    m_actions.m_confirmations.push_back({ id, std::nullopt });
  }
  m_queuedConfirmations.clear();
  m_pendingConfirmations.clear();
}

void
RaftCore::BecomeFollower(uint64_t aTerm, const std::string& aLeader)
{
  if (aTerm > m_hardState.m_term) {
    m_hardState.m_term = aTerm;
    m_hardState.m_vote = 0;
    m_actions.m_saveHardState = true;
  }
  if (IsLeader()) {
    m_actions.m_steppedDown = true;
    m_peers.clear();
    m_admissionRequests.clear();
    m_transferTarget = 0;
    FailConfirmations();
  }
  m_role = RaftRole::Follower;
  m_leader = aLeader;
  m_votes.clear();
}

void
RaftCore::BecomeLeader(TimePoint aNow)
{
  m_role = RaftRole::Leader;
  m_leader = m_options.m_name;
  m_hasHeardLeader = false;
  m_heartbeatDue = aNow + m_options.m_heartbeatInterval;
  m_peers.clear();
  UpdatePeers();
  for (auto& [identity, peer] : m_peers) {
    peer.m_lastHeard = aNow;
  }
  m_growthVoters = 0;
  UpdateGrowth(aNow);
  m_termStartIndex = m_log.LastIndex() + 1;
  AppendToLog({ m_hardState.m_term, m_termStartIndex, EntryKind::NoOp, "" });
  m_heartbeatPending = true;
}

void
RaftCore::RequestVotes(uint64_t aTerm, bool aPreVote, bool aForced)
{
  for (const Replica& replica : Members()) {
    if (!replica.m_voter || replica.m_identity == m_options.m_identity) {
      continue;
    }
    Message request;
    request.m_kind = MessageKind::Vote;
    request.m_to = replica.m_identity;
    request.m_term = aTerm;
    request.m_index = m_log.LastIndex();
    request.m_logTerm = m_log.LastTerm();
    request.m_flag = aPreVote;
    request.m_forced = aForced;
    request.m_domain = m_options.m_domain;
    request.m_diskless = m_options.m_diskless;
    Send(replica.m_name, std::move(request));
  }
}

void
RaftCore::StartPreVote(TimePoint aNow)
{
  BecomeFollower(m_hardState.m_term, "");
  m_role = RaftRole::Candidate;
  m_preVote = true;
  m_votes = { m_options.m_identity };
  ResetElectionTimer(aNow);
  RequestVotes(m_hardState.m_term + 1, true, false);
  CheckVotes(aNow);
}

void
RaftCore::StartElection(bool aForced, TimePoint aNow)
{
  BecomeFollower(m_hardState.m_term + 1, "");
  m_hardState.m_vote = m_options.m_identity;
  m_role = RaftRole::Candidate;
  m_preVote = false;
  m_votes = { m_options.m_identity };
  ResetElectionTimer(aNow);
  RequestVotes(m_hardState.m_term, false, aForced);
  CheckVotes(aNow);
}

void
RaftCore::CheckVotes(TimePoint aNow)
{
  if (m_role != RaftRole::Candidate || !IsMajority(m_votes)) {
    return;
  }
  if (m_preVote) {
    StartElection(false, aNow);
  } else {
    BecomeLeader(aNow);
  }
}

// Whether this replica leads or has heard from a leader within an election
// timeout. It then ignores vote requests other than those of a leadership
// transfer, so that a replica that returns from a partition can't depose a
// working leader. A leader without a majority steps down in CheckQuorum.
bool
RaftCore::HearsLeader(TimePoint aNow) const
{
  return IsLeader() || (m_hasHeardLeader &&
                        aNow < m_leaderLastHeard + m_options.m_electionTimeout);
}

bool
RaftCore::IsUpToDate(const Message& aMessage) const
{
  return std::pair(aMessage.m_logTerm, aMessage.m_index) >=
         std::pair(m_log.LastTerm(), m_log.LastIndex());
}

void
RaftCore::OnVoteRequest(const std::string& aFrom,
                        const Message& aMessage,
                        TimePoint aNow)
{
  if (IsLeader()) {
    RecordAdmissionRequest(aFrom, aMessage, aNow);
  }
  if (!MayVote() || (!aMessage.m_forced && HearsLeader(aNow))) {
    return;
  }
  Message reply;
  reply.m_kind = MessageKind::VoteReply;
  reply.m_flag = aMessage.m_flag;
  if (aMessage.m_flag) {
    reply.m_rejected =
      aMessage.m_term <= m_hardState.m_term || !IsUpToDate(aMessage);
    reply.m_index = aMessage.m_term; // the term of the planned election
    Reply(aFrom, aMessage, std::move(reply));
    return;
  }
  if (aMessage.m_term > m_hardState.m_term) {
    BecomeFollower(aMessage.m_term, "");
  }
  const bool voteAvailable =
    m_hardState.m_vote == 0 || m_hardState.m_vote == aMessage.m_from;
  reply.m_rejected = aMessage.m_term < m_hardState.m_term || !voteAvailable ||
                     !IsUpToDate(aMessage);
  if (!reply.m_rejected) {
    m_actions.m_saveHardState =
      m_actions.m_saveHardState || m_hardState.m_vote == 0;
    m_hardState.m_vote = aMessage.m_from;
    ResetElectionTimer(aNow);
  }
  Reply(aFrom, aMessage, std::move(reply));
}

void
RaftCore::OnVoteReply(const Message& aMessage, TimePoint aNow)
{
  if (aMessage.m_term > m_hardState.m_term) {
    BecomeFollower(aMessage.m_term, "");
    return;
  }
  if (m_role != RaftRole::Candidate || aMessage.m_flag != m_preVote ||
      aMessage.m_rejected) {
    return;
  }
  const bool isCurrent = m_preVote ? aMessage.m_index == m_hardState.m_term + 1
                                   : aMessage.m_term == m_hardState.m_term;
  if (isCurrent) {
    m_votes.insert(aMessage.m_from);
    CheckVotes(aNow);
  }
}

// Check-quorum: a leader that has not heard from a majority for an election
// timeout steps down, because the others may have elected a new leader.
void
RaftCore::CheckQuorum(TimePoint aNow)
{
  std::set<uint64_t> heard{ m_options.m_identity };
  for (const auto& [identity, peer] : m_peers) {
    if (aNow < peer.m_lastHeard + m_options.m_electionTimeout) {
      heard.insert(identity);
    }
  }
  if (!IsMajority(heard)) {
    BecomeFollower(m_hardState.m_term, "");
    ResetElectionTimer(aNow);
  }
}

// On the leader: when CheckQuorum ends its leadership, unless it hears from
// others before.
TimePoint
RaftCore::LeadsUntil(TimePoint aNow) const
{
  std::vector<TimePoint> heard;
  for (const Replica& replica : Members()) {
    if (!replica.m_voter) {
      continue;
    }
    const auto peer = m_peers.find(replica.m_identity);
    heard.push_back(peer == m_peers.end() ? aNow : peer->second.m_lastHeard);
  }
  std::sort(heard.begin(), heard.end(), std::greater<>());
  // The last of the smallest majority; a group always has a voter.
  return heard.at(heard.size() / 2) + m_options.m_electionTimeout;
}

void
RaftCore::Receive(const std::string& aFrom,
                  const Message& aMessage,
                  TimePoint aNow)
{
  if (aMessage.m_from == m_options.m_identity) {
    return;
  }
  if (aMessage.m_to != 0 && aMessage.m_to != m_options.m_identity) {
    // The message is for a former replica of this process, whose disk was lost.
    // The reply announces the identity of the current one.
    Send(aFrom, MakeHello(true));
    return;
  }
  switch (aMessage.m_kind) {
    case MessageKind::Hello:
      return OnHello(aFrom, aMessage, aNow);
    case MessageKind::Vote:
      return OnVoteRequest(aFrom, aMessage, aNow);
    case MessageKind::VoteReply:
      return OnVoteReply(aMessage, aNow);
    case MessageKind::Append:
      return OnAppend(aFrom, aMessage, aNow);
    case MessageKind::AppendReply:
      return OnAppendReply(aMessage, aNow);
    case MessageKind::EntryPart:
      return OnEntryPart(aFrom, aMessage, aNow);
    case MessageKind::EntryPartReply:
      return OnEntryPartReply(aMessage, aNow);
    case MessageKind::Snapshot:
      return OnSnapshot(aFrom, aMessage, aNow);
    case MessageKind::SnapshotReply:
      return OnSnapshotReply(aMessage, aNow);
    case MessageKind::TakeOver:
      if (aMessage.m_term == m_hardState.m_term && !IsLeader() && MayVote() &&
          IsVoter(m_options.m_identity)) {
        StartElection(true, aNow);
      }
      return;
  }
}

void
RaftCore::Tick(TimePoint aNow)
{
  if (aNow >= m_helloDue) {
    m_helloDue = aNow + m_options.m_heartbeatInterval;
    if (SeeksAdmission(aNow)) {
      SendHellos();
    }
  }
  if (IsLeader()) {
    CheckQuorum(aNow);
  }
  if (IsLeader()) {
    if (m_transferTarget != 0 && aNow >= m_transferDeadline) {
      m_transferTarget = 0;
    }
    if (aNow >= m_heartbeatDue) {
      m_heartbeatDue = aNow + m_options.m_heartbeatInterval;
      m_heartbeatPending = true;
      for (auto& [identity, peer] : m_peers) {
        // Appends without a reply by now are considered lost.
        peer.m_inFlightAppends = 0;
        peer.m_transfer.OnHeartbeat();
      }
    }
    for (auto& [identity, peer] : m_peers) {
      // The silence of a replica that was just added is counted from now on.
      if (peer.m_lastHeard == TimePoint()) {
        peer.m_lastHeard = aNow;
      }
    }
    ProposeMembershipChange(aNow);
    HandOverSurplusVote(aNow);
    UpdateGrowth(aNow);
  } else if (aNow >= m_electionDue) {
    ResetElectionTimer(aNow);
    if (MayVote() && IsVoter(m_options.m_identity)) {
      StartPreVote(aNow);
    } else if (!HearsLeader(aNow)) {
      m_leader.clear();
    }
  }
}

TimePoint
RaftCore::NextDeadline() const
{
  const TimePoint due = IsLeader() ? m_heartbeatDue : m_electionDue;
  return std::min(due, m_helloDue);
}

Actions
RaftCore::TakeActions(TimePoint aNow)
{
  if (IsLeader()) {
    ProposeMembershipChange(aNow);
    Replicate();
  }
  if (m_actions.m_saveHardState) {
    // No message of a term may be sent before the term itself is durable.
    std::move(m_actions.m_messagesBeforeSync.begin(),
              m_actions.m_messagesBeforeSync.end(),
              std::back_inserter(m_actions.m_messagesAfterSync));
    m_actions.m_messagesBeforeSync.clear();
  }
  return std::exchange(m_actions, {});
}

void
RaftCore::OnSynced(TimePoint aNow)
{
  m_syncedIndex = m_log.LastIndex();
  if (IsLeader()) {
    AdvanceCommit();
    CompleteConfirmations();
    ProposeMembershipChange(aNow);
  }
}

void
RaftCore::Compact(std::shared_ptr<const Snapshot> aSnapshot)
{
  const uint64_t index = aSnapshot->m_index;
  m_snapshot = std::move(aSnapshot);
  if (index > m_options.m_trailingEntries) {
    m_log.DropThrough(index - m_options.m_trailingEntries);
  }
  while (m_memberships.size() > 1 && m_memberships[1].first <= index) {
    m_memberships.erase(m_memberships.begin());
  }
}

GroupStatus
RaftCore::Status(TimePoint aNow) const
{
  GroupStatus status;
  status.m_role = m_role;
  if (!IsVoter(m_options.m_identity)) {
    status.m_role = RaftRole::Learner;
  }
  status.m_leader = m_leader;
  status.m_term = m_hardState.m_term;
  status.m_lastIndex = m_log.LastIndex();
  status.m_commitIndex = m_commitIndex;
  status.m_replicas = Members();
  status.m_wantedVoters = static_cast<uint32_t>(TargetVoters());
  status.m_caughtUpVoters = CountCaughtUp(aNow);
  status.m_repaired = IsRepaired(aNow);
  if (IsLeader()) {
    status.m_leadsUntil = LeadsUntil(aNow);
  }
  return status;
}

} // namespace chivefront::consensus
