// Changes of the membership: admission, replacement and choice of voters.
//
// Replacement: a process with the name of a member but another identity becomes
// a learner. Once it has caught up, the old replica is removed and the new one
// becomes a voter. Each of these steps is a single-server change.
//
// Dynamic membership (GroupOptions::m_targetVoters > 0): a process with a new
// name becomes a learner as well. A caught-up learner becomes a voter when
// there are fewer voters than the target, which grows with the number of hosts
// that can vote: a cut then never leaves the majority of the voters on the side
// with fewer hosts. When a voter has been silent for m_replaceAfter, or a
// learner is better placed, the learner votes first and the other voter becomes
// a learner then.
//
// Succession: a newcomer, which joins with an empty disk after the first start,
// may have come to replace an older member of its domain. It gets the vote of a
// voter there while that one still runs, so the removal of the older host takes
// nothing from the group. An older member that has been silent for
// m_replaceAfter leaves the group: its name no longer counts as a host that
// needs more voters. One newcomer succeeds one member at most. A removed
// replica that returns becomes a learner again.
//
// No change leaves a group that bears fewer losses than stated. A silent voter
// counts for this, because it may only be cut off: with it, the voters left
// after a lost disk can still be a majority. A single change can't replace a
// voter without joint consensus: {a, b, c} and {a, b, d} have majorities
// without a common replica.
//
// A replica without a durable disk stays a learner.
#include <algorithm>
#include <set>

#include "chivefront/consensus/codec.h"
#include "chivefront/consensus/core.h"
#include "chivefront/consensus/voter_choice.h"

namespace chivefront::consensus {

using base::TimePoint;

namespace {

// Maximum number of members with dynamic membership. Bounds the membership when
// processes with ever new names ask for admission.
constexpr size_t kMaxMembers = 32;
// How long a leader waits for another voter to join before it accepts commands
// with fewer voters than the target. Joining takes some heartbeats; the group
// of a deployment with too few hosts serves after this time.
constexpr base::Millis kGrowthTimeout{ 2000 };
// Members up to which replicas without a disk are admitted; the other seats are
// left to replicas that can vote.
constexpr size_t kMaxDisklessMembers = 24;

} // namespace

// Records a replica that is not a member: one with the name of a member but
// another identity or, with dynamic membership, one with a new name. A replica
// with the name of a member is not admitted while that member is heard, so that
// a stale message can't displace it.
void
RaftCore::RecordAdmissionRequest(const std::string& aName,
                                 const Message& aMessage,
                                 TimePoint aNow)
{
  Replica joining{
    aName, aMessage.m_from, false, aMessage.m_domain, aMessage.m_diskless
  };
  // A process that returns with its disk has left the stage Empty, and one
  // without a disk can't take a vote.
  if (aMessage.m_stage == Stage::Empty && !aMessage.m_mayBootstrap &&
      !aMessage.m_diskless) {
    joining.m_succession = Succession::Open;
  }
  if (aName == m_options.m_name || m_peers.count(joining.m_identity) > 0) {
    return;
  }
  bool hasMember = false;
  for (const Replica& member : Members()) {
    if (member.m_name != aName) {
      continue;
    }
    hasMember = true;
    // A lost disk makes no newcomer: the host is the same.
    joining.m_succession = member.m_succession;
    if (!HeardRecently(member.m_identity, aNow)) {
      m_admissionRequests[aName] = joining;
    }
  }
  const size_t seats = joining.m_diskless ? kMaxDisklessMembers : kMaxMembers;
  if (!hasMember && m_options.m_targetVoters > 0 && Members().size() < seats) {
    m_admissionRequests[aName] = joining;
  }
}

// Whether the replica has not been heard from for aSpan. The time counts from
// the start of the term, or from the first tick after the replica was added.
bool
RaftCore::IsSilentFor(uint64_t aIdentity,
                      base::Millis aSpan,
                      TimePoint aNow) const
{
  const auto found = m_peers.find(aIdentity);
  return found != m_peers.end() && found->second.m_lastHeard != TimePoint() &&
         aNow - found->second.m_lastHeard >= aSpan;
}

size_t
RaftCore::CountVoters() const
{
  return static_cast<size_t>(std::count_if(
    Members().begin(), Members().end(), [](const Replica& aReplica) {
      return aReplica.m_voter;
    }));
}

// Dynamic membership: at least m_targetVoters, and so many that most of the
// hosts that can vote always hold a majority of the voters.
size_t
RaftCore::TargetVoters() const
{
  if (m_options.m_targetVoters == 0) {
    return m_options.m_initialMembers.size();
  }
  return std::max<size_t>(m_options.m_targetVoters,
                          VotersForMajorityOfHosts(Members()));
}

// With fewer voters than the target, the tolerated number of lost disks could
// leave no majority, so a command must not be acknowledged while voters are
// still expected to join.
bool
RaftCore::MayAcknowledge() const
{
  return m_growthTimedOut || CountVoters() >= TargetVoters();
}

void
RaftCore::UpdateGrowth(TimePoint aNow)
{
  const size_t voters = CountVoters();
  if (voters != m_growthVoters) {
    m_growthVoters = voters;
    m_growthDeadline = aNow + kGrowthTimeout;
  }
  // The voters of a static membership are fixed.
  m_growthTimedOut = m_options.m_targetVoters == 0 || aNow >= m_growthDeadline;
}

// Identities of members whose process has come back under another identity, so
// their disks are lost.
std::set<uint64_t>
RaftCore::LostReplicas() const
{
  std::map<std::string, uint64_t> latest;
  for (const Replica& replica : Members()) {
    if (!replica.m_voter) {
      latest[replica.m_name] = replica.m_identity;
    }
  }
  for (const auto& [name, replica] : m_admissionRequests) {
    latest[name] = replica.m_identity;
  }
  std::set<uint64_t> lost;
  for (const Replica& replica : Members()) {
    const auto found = latest.find(replica.m_name);
    if (found != latest.end() && found->second != replica.m_identity) {
      lost.insert(replica.m_identity);
    }
  }
  return lost;
}

// Dynamic membership: whether the group still bears the stated number of lost
// voters after the change to aNext, or no fewer than now.
bool
RaftCore::KeepsTolerance(const Membership& aNext) const
{
  const int64_t stated =
    (static_cast<int64_t>(m_options.m_targetVoters) - 1) / 2;
  const std::set<uint64_t> lost = LostReplicas();
  return ToleratedLosses(aNext, lost) >=
         std::min(stated, ToleratedLosses(Members(), lost));
}

// Dynamic membership: whether a voter has been silent for so long that a
// learner should take its place.
bool
RaftCore::HasSilentVoter(TimePoint aNow) const
{
  return m_options.m_targetVoters > 0 &&
         std::any_of(
           Members().begin(), Members().end(), [&](const Replica& aReplica) {
             return aReplica.m_voter && IsSilentFor(aReplica.m_identity,
                                                    m_options.m_replaceAfter,
                                                    aNow);
           });
}

// Dynamic membership: the change that removes a member that has been silent for
// m_replaceAfter in favour of a newcomer of its domain.
std::optional<Membership>
RaftCore::RemoveSuperseded(TimePoint aNow) const
{
  if (m_options.m_targetVoters == 0) {
    return std::nullopt;
  }
  const Membership& members = Members();
  // The latest first: an older member may have the same successor.
  for (size_t i = members.size(); i-- > 0;) {
    if (!IsSilentFor(members[i].m_identity, m_options.m_replaceAfter, aNow)) {
      continue;
    }
    const auto successor = FindSuccessor(members, i, HeardReplicas(aNow));
    if (!successor) {
      continue;
    }
    Membership next = WithoutSuperseded(members, i, *successor);
    if (KeepsTolerance(next)) {
      return next;
    }
  }
  return std::nullopt;
}

// Dynamic membership: the change for a silent member that no newcomer succeeds.
// A voter that another voter has replaced becomes a learner after
// m_replaceAfter. Any member is removed after m_removeAfter: its host counts
// until then, because it may only be cut off.
std::optional<Membership>
RaftCore::RemoveSilentReplica(TimePoint aNow) const
{
  if (m_options.m_targetVoters == 0) {
    return std::nullopt;
  }
  const bool isReplaced = CountVoters() > TargetVoters();
  const Membership& members = Members();
  for (size_t i = 0; i < members.size(); ++i) {
    const uint64_t identity = members[i].m_identity;
    Membership next = members;
    if (IsSilentFor(identity, m_options.m_removeAfter, aNow)) {
      next.erase(next.begin() + static_cast<ptrdiff_t>(i));
    } else if (isReplaced && members[i].m_voter &&
               IsSilentFor(identity, m_options.m_replaceAfter, aNow)) {
      next[i].m_voter = false;
    } else {
      continue;
    }
    if (KeepsTolerance(next)) {
      return next;
    }
  }
  return std::nullopt;
}

// Dynamic membership: whether a voter beyond the target should give up its
// vote. While a voter is not heard, it is kept: that voter may have to give up
// its vote in its place.
bool
RaftCore::HasSurplusVote(TimePoint aNow) const
{
  return m_options.m_targetVoters > 0 && CountVoters() > TargetVoters() &&
         std::all_of(
           Members().begin(), Members().end(), [&](const Replica& aReplica) {
             return !aReplica.m_voter ||
                    aReplica.m_identity == m_options.m_identity ||
                    HeardRecently(aReplica.m_identity, aNow);
           });
}

// Index of the oldest voter whose host may be about to leave, because a
// newcomer can take its place. Nothing without such a voter.
std::optional<size_t>
RaftCore::FindSupersededVoter(TimePoint aNow) const
{
  const Membership& members = Members();
  const std::set<uint64_t> superseded =
    SupersededMembers(members, HeardReplicas(aNow));
  for (size_t i = 0; i < members.size(); ++i) {
    if (members[i].m_voter && superseded.count(members[i].m_identity) > 0) {
      return i;
    }
  }
  return std::nullopt;
}

// Whether the surplus vote is the one of this replica, the leader. It hands the
// leadership over first.
bool
RaftCore::IsSurplusVoter(TimePoint aNow) const
{
  if (!HasSurplusVote(aNow)) {
    return false;
  }
  const auto superseded = FindSupersededVoter(aNow);
  return superseded &&
         Members()[*superseded].m_identity == m_options.m_identity;
}

// The change that takes the vote of a voter beyond the target: of one that a
// newcomer supersedes, or else of one in the most crowded domain.
std::optional<Membership>
RaftCore::RemoveSurplusVote(TimePoint aNow) const
{
  if (!HasSurplusVote(aNow) || IsSurplusVoter(aNow)) {
    return std::nullopt;
  }
  Membership next = Members();
  auto surplus = FindSupersededVoter(aNow);
  if (!surplus) {
    surplus = ChooseSurplusVoter(next, m_options.m_identity);
  }
  if (!surplus) {
    return std::nullopt;
  }
  next[*surplus].m_voter = false;
  return KeepsTolerance(next) ? std::optional(next) : std::nullopt;
}

// Hands the leadership over so that the next leader can take the vote of this
// replica.
void
RaftCore::HandOverSurplusVote(TimePoint aNow)
{
  if (aNow < m_handOverDue || m_transferTarget != 0 ||
      m_memberships.back().first > m_commitIndex || !IsSurplusVoter(aNow)) {
    return;
  }
  m_handOverDue = aNow + m_options.m_replaceAfter;
  TransferLeadership(aNow);
}

bool
RaftCore::HeardRecently(uint64_t aIdentity, TimePoint aNow) const
{
  const auto found = m_peers.find(aIdentity);
  return found != m_peers.end() && found->second.m_heardSinceElected &&
         aNow < found->second.m_lastHeard + m_options.m_electionTimeout;
}

bool
RaftCore::IsCaughtUp(const Peer& aPeer, TimePoint aNow) const
{
  return aPeer.m_heardSinceElected && aPeer.m_matchIndex >= m_commitIndex &&
         aNow < aPeer.m_lastHeard + m_options.m_electionTimeout;
}

uint32_t
RaftCore::CountCaughtUp(TimePoint aNow) const
{
  if (!IsLeader() || m_commitIndex < m_termStartIndex) {
    return 0;
  }
  uint32_t count = 0;
  for (const Replica& replica : Members()) {
    const auto peer = m_peers.find(replica.m_identity);
    const bool isCaughtUp = peer == m_peers.end()
                              ? m_syncedIndex >= m_commitIndex
                              : IsCaughtUp(peer->second, aNow);
    count += replica.m_voter && isCaughtUp ? 1 : 0;
  }
  return count;
}

// Whether the group has its target number of voters, each in another process,
// and all of them hold all committed entries.
bool
RaftCore::IsRepaired(TimePoint aNow) const
{
  std::set<std::string> names;
  size_t voters = 0;
  for (const Replica& replica : Members()) {
    if (replica.m_voter) {
      ++voters;
      names.insert(replica.m_name);
    }
  }
  // With dynamic membership, learners may be standbys that replace nobody.
  const bool replacing =
    m_options.m_targetVoters == 0 && voters != Members().size();
  return IsLeader() && m_memberships.back().first <= m_commitIndex &&
         !replacing && voters >= TargetVoters() && names.size() == voters &&
         CountCaughtUp(aNow) == voters;
}

// The learners that may get a vote: they hold all committed entries, answer,
// and no earlier replica of the same process votes.
std::set<uint64_t>
RaftCore::ReadyLearners(TimePoint aNow) const
{
  std::set<std::string> voters;
  for (const Replica& replica : Members()) {
    if (replica.m_voter) {
      voters.insert(replica.m_name);
    }
  }
  std::set<uint64_t> ready;
  for (const Replica& replica : Members()) {
    const auto peer = m_peers.find(replica.m_identity);
    if (!replica.m_voter && !replica.m_diskless &&
        voters.count(replica.m_name) == 0 && peer != m_peers.end() &&
        IsCaughtUp(peer->second, aNow)) {
      ready.insert(replica.m_identity);
    }
  }
  return ready;
}

// The replicas that answer, with this one.
std::set<uint64_t>
RaftCore::HeardReplicas(TimePoint aNow) const
{
  std::set<uint64_t> heard{ m_options.m_identity };
  for (const auto& [identity, peer] : m_peers) {
    if (HeardRecently(identity, aNow)) {
      heard.insert(identity);
    }
  }
  return heard;
}

// The change that adds a replica as a learner.
std::optional<Membership>
RaftCore::AdmitReplica() const
{
  if (m_admissionRequests.empty()) {
    return std::nullopt;
  }
  return WithLearner(Members(), m_admissionRequests.begin()->second);
}

// The change for a learner whose process was a voter under another identity.
// The old voter is removed before the new one is added. Otherwise a second loss
// of the same host would leave two dead voters out of four, which blocks the
// group permanently.
std::optional<Membership>
RaftCore::ReplaceLostVoter(TimePoint aNow) const
{
  Membership next = Members();
  for (const Replica& learner : Members()) {
    const auto oldVoter =
      std::find_if(next.begin(), next.end(), [&](const Replica& aReplica) {
        return !learner.m_voter && aReplica.m_voter &&
               aReplica.m_name == learner.m_name;
      });
    if (oldVoter == next.end()) {
      continue;
    }
    if (HeardRecently(oldVoter->m_identity, aNow)) {
      std::erase(next, learner); // the old voter has returned
      return next;
    }
    const auto peer = m_peers.find(learner.m_identity);
    // A host that came back without a disk leaves the seat to another one.
    if (peer != m_peers.end() && !learner.m_diskless &&
        IsCaughtUp(peer->second, aNow)) {
      next.erase(oldVoter);
      return next;
    }
  }
  return std::nullopt;
}

// Whether the learner at aNext should vote in place of a voter that is heard.
bool
RaftCore::IsBetterVoter(size_t aNext, TimePoint aNow) const
{
  return m_options.m_targetVoters > 0 &&
         (FindSupersededVoter(aNow) ||
          IsBetterPlaced(
            Members(), aNext, TargetVoters(), m_options.m_identity));
}

// The change that lets a learner vote: while there are too few voters, in
// addition to a silent voter, in addition to a voter in a domain whose loss
// would leave no majority, or in addition to a superseded voter. The other
// voter gives up its vote with the next change. A superseded learner votes only
// if no other can.
std::optional<Membership>
RaftCore::AddVoter(TimePoint aNow) const
{
  if (CountVoters() > TargetVoters()) {
    return std::nullopt;
  }
  Membership next = Members();
  const std::set<uint64_t> ready = ReadyLearners(aNow);
  if (ready.empty()) {
    return std::nullopt;
  }
  std::set<uint64_t> staying = ready;
  for (const uint64_t identity : SupersededMembers(next, HeardReplicas(aNow))) {
    staying.erase(identity);
  }
  const auto chosen = ChooseNextVoter(next, staying.empty() ? ready : staying);
  const bool isNeeded = CountVoters() < TargetVoters() ||
                        HasSilentVoter(aNow) ||
                        (!staying.empty() && IsBetterVoter(*chosen, aNow));
  if (!chosen || !isNeeded) {
    return std::nullopt;
  }
  next[*chosen].m_voter = true;
  return next;
}

// The next single-server change that is due, if any. A superseded member goes
// first, so that its name does not raise the number of voters wanted. A learner
// that can vote comes before the removal of another lost voter, so that two
// losses do not reduce the group by two voters at once.
std::optional<Membership>
RaftCore::NextMembership(TimePoint aNow) const
{
  if (auto next = AdmitReplica()) {
    return next;
  }
  if (auto next = RemoveSuperseded(aNow)) {
    return next;
  }
  if (CountVoters() < TargetVoters()) {
    if (auto next = AddVoter(aNow)) {
      return next;
    }
  }
  if (auto next = ReplaceLostVoter(aNow)) {
    return next;
  }
  if (auto next = AddVoter(aNow)) {
    return next;
  }
  if (auto next = RemoveSilentReplica(aNow)) {
    return next;
  }
  return RemoveSurplusVote(aNow);
}

void
RaftCore::ProposeMembershipChange(TimePoint aNow)
{
  // A change may start only when the previous one and an entry of this term are
  // committed; otherwise two majorities without a common replica could exist.
  if (!IsLeader() || m_commitIndex < m_termStartIndex ||
      m_transferTarget != 0 || m_memberships.back().first > m_commitIndex) {
    return;
  }
  auto next = NextMembership(aNow);
  if (!next) {
    return;
  }
  const uint64_t index = m_log.LastIndex() + 1;
  AppendToLog({ m_hardState.m_term,
                index,
                EntryKind::Membership,
                EncodeMembership(*next) });
}

void
RaftCore::AdoptMembership(uint64_t aIndex, Membership aMembership)
{
  const bool included = std::any_of(
    aMembership.begin(), aMembership.end(), [&](const Replica& aReplica) {
      return aReplica.m_identity == m_options.m_identity;
    });
  if (included && m_hardState.m_stage != Stage::Active) {
    // A leader admitted this replica, which ends a bootstrap in progress here.
    m_hardState.m_stage = Stage::Active;
    m_hardState.m_initialMembers.clear();
    m_actions.m_saveHardState = true;
  }
  m_memberships.emplace_back(aIndex, std::move(aMembership));
  if (IsLeader()) {
    UpdatePeers();
  }
}

// Updates the leader's peers after a change of the membership.
void
RaftCore::UpdatePeers()
{
  std::map<uint64_t, Peer> peers;
  for (const Replica& replica : Members()) {
    if (replica.m_identity == m_options.m_identity) {
      continue;
    }
    const auto found = m_peers.find(replica.m_identity);
    if (found != m_peers.end()) {
      peers.emplace(replica.m_identity, std::move(found->second));
    } else {
      Peer peer;
      peer.m_name = replica.m_name;
      peer.m_nextIndex = m_log.LastIndex() + 1;
      peers.emplace(replica.m_identity, std::move(peer));
    }
  }
  m_peers = std::move(peers);
  std::erase_if(m_admissionRequests, [&](const auto& aRequest) {
    return m_peers.count(aRequest.second.m_identity) > 0;
  });
}

} // namespace chivefront::consensus
