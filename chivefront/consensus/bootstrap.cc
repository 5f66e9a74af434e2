// Agreement on the first membership of a group, and the hellos that replicas
// outside a group exchange.
//
// Bootstrap: a replica in the stage Empty collects the identities of all
// initial members while each of them reports that it is Empty too. It then
// makes that membership durable (stage Prepared). It votes only after every
// initial member has reported that it prepared the same membership (stage
// Active, which is final). Only replies to hellos of the current stage count,
// so messages of a lost replica can't lead to two initial memberships. When a
// prepared member turns out to be lost, the others return to Empty. If one of
// them is Active already, the others adopt its membership.
//
// An initial member without a durable disk prepares nothing; the others form
// the group without it.
//
// Nor does one that may not bootstrap: it has lost its disk since the first
// start, or was restarted before it had prepared anything. The others form the
// group without it, and it joins later. It may have been Active before its
// loss, so any majority of the members with a disk must contain one that has
// not lost its memory: that one would be Active too if anything had been
// committed.
//
// When no initial member has a disk, another replica must form the group alone,
// the founder. The initial members agree on it: each backs one founder for the
// life of its process, the one with the smallest name the first replica that
// asks, the others the founder that it names. A replica that all of them back
// becomes the only initial voter; all others join it. Two founders can't be
// backed by all, and a process that may bootstrap has not been restarted.
#include <algorithm>
#include <set>

#include "chivefront/consensus/core.h"

namespace chivefront::consensus {

using base::TimePoint;

Message
RaftCore::MakeHello(bool aIsReply) const
{
  Message hello;
  hello.m_kind = MessageKind::Hello;
  hello.m_flag = aIsReply;
  hello.m_stage = m_hardState.m_stage;
  hello.m_members = m_hardState.m_initialMembers;
  if (m_founder) {
    hello.m_members = { *m_founder };
  } else if (!aIsReply && MayFound()) {
    hello.m_members = { Self() }; // asks to be the founder
  }
  hello.m_domain = m_options.m_domain;
  hello.m_diskless = m_options.m_diskless;
  hello.m_mayBootstrap = m_options.m_mayBootstrap;
  if (aIsReply && m_options.m_targetVoters > 0) {
    hello.m_data = m_leader;
  }
  return hello;
}

// Whether this replica should send hellos. A replica that is not a voter and
// does not hear a leader may have been admitted by an entry that was lost with
// its leader, so it continues to ask for admission.
bool
RaftCore::SeeksAdmission(TimePoint aNow) const
{
  // A voter that was removed while it was away doesn't know about its removal.
  if (m_options.m_targetVoters > 0 && !HearsLeader(aNow)) {
    return true;
  }
  return m_hardState.m_stage != Stage::Active ||
         (!IsVoter(m_options.m_identity) && !HearsLeader(aNow));
}

void
RaftCore::SendHellos()
{
  std::set<std::string> names(m_options.m_initialMembers.begin(),
                              m_options.m_initialMembers.end());
  if (!m_leaderHint.empty()) {
    names.insert(m_leaderHint);
  }
  for (const std::string& name : names) {
    if (name != m_options.m_name) {
      Message hello = MakeHello(false);
      hello.m_round = m_helloNonce;
      Send(name, std::move(hello));
    }
  }
  AdvanceBootstrap();
}

// What the other replicas should know of this one.
Replica
RaftCore::Self() const
{
  return { m_options.m_name,
           m_options.m_identity,
           !m_options.m_diskless,
           m_options.m_domain,
           m_options.m_diskless };
}

// Prepares the initial membership once all initial members are known to be
// empty, and activates it once all of them have prepared it.
void
RaftCore::AdvanceBootstrap()
{
  m_emptyMembers[m_options.m_name] = Self();
  if (m_hardState.m_stage == Stage::Empty &&
      IsInitialMember(m_options.m_name) && m_options.m_mayBootstrap &&
      !m_options.m_diskless &&
      m_emptyMembers.size() == m_options.m_initialMembers.size() &&
      RemembersCommits()) {
    for (const auto& [name, replica] : m_emptyMembers) {
      if (!replica.m_diskless && m_joiningMembers.count(name) == 0) {
        m_hardState.m_initialMembers.push_back(replica);
      }
    }
    EnterStage(Stage::Prepared);
    SendHellos();
  }
  if (m_hardState.m_stage == Stage::Empty && MayFound() &&
      m_backers.size() == m_options.m_initialMembers.size()) {
    m_hardState.m_initialMembers = { Self() };
    EnterStage(Stage::Prepared);
  }
  if (m_hardState.m_stage == Stage::Prepared) {
    m_preparedMembers.insert(m_options.m_name);
    if (m_preparedMembers.size() == m_hardState.m_initialMembers.size()) {
      Activate();
    }
  }
}

// Whether the members that may bootstrap would know if an earlier group of the
// initial members had committed anything.
bool
RaftCore::RemembersCommits() const
{
  const auto withDisk = static_cast<size_t>(std::count_if(
    m_emptyMembers.begin(), m_emptyMembers.end(), [](const auto& aItem) {
      return !aItem.second.m_diskless;
    }));
  const size_t majority = withDisk / 2 + 1;
  return m_joiningMembers.size() < majority;
}

// The new nonce invalidates replies to hellos of the previous stage.
void
RaftCore::EnterStage(Stage aStage)
{
  m_hardState.m_stage = aStage;
  m_actions.m_saveHardState = true;
  m_helloNonce = m_random();
  m_emptyMembers.clear();
  m_joiningMembers.clear();
  m_preparedMembers.clear();
  m_backers.clear();
}

// Whether this replica may form the group alone if all initial members back it.
bool
RaftCore::MayFound() const
{
  return m_hardState.m_stage == Stage::Empty && m_options.m_mayBootstrap &&
         !m_options.m_diskless && !m_options.m_initialMembers.empty() &&
         !IsInitialMember(m_options.m_name);
}

bool
RaftCore::IsInitialMember(const std::string& aName) const
{
  return std::count(m_options.m_initialMembers.begin(),
                    m_options.m_initialMembers.end(),
                    aName) > 0;
}

// Whether this replica, an initial member, knows that none of them has a disk.
bool
RaftCore::KnowsAllDiskless() const
{
  return m_options.m_diskless && IsInitialMember(m_options.m_name) &&
         m_emptyMembers.size() == m_options.m_initialMembers.size() &&
         std::all_of(
           m_emptyMembers.begin(),
           m_emptyMembers.end(),
           [](const auto& aMember) { return aMember.second.m_diskless; });
}

void
RaftCore::BackFounder(const Replica& aFounder)
{
  if (!m_options.m_mayBootstrap || m_founder || !KnowsAllDiskless()) {
    return;
  }
  m_founder = aFounder;
  m_leaderHint = aFounder.m_name;
}

// Handles the hello of a replica with a disk that asks to be the founder. Only
// the initial member with the smallest name chooses.
void
RaftCore::OnFounderRequest(const Replica& aCandidate)
{
  const auto& names = m_options.m_initialMembers;
  const auto smallest = std::min_element(names.begin(), names.end());
  if (smallest != names.end() && *smallest == m_options.m_name) {
    BackFounder(aCandidate);
  }
}

void
RaftCore::Activate()
{
  EnterStage(Stage::Active);
  if (m_memberships.size() == 1 && Members().empty()) {
    m_memberships.back().second = m_hardState.m_initialMembers;
  }
}

// Whether the sender, an initial member with a disk, will never prepare the
// membership that this replica has prepared: it is another replica than the one
// in it, or it has prepared nothing and may not any more.
bool
RaftCore::WillNotPrepare(const Replica& aSender, const Message& aMessage) const
{
  if (aMessage.m_stage == Stage::Empty && !aMessage.m_mayBootstrap) {
    return HasMemberNamed(aSender.m_name); // else it was left out
  }
  const auto& members = m_hardState.m_initialMembers;
  return std::count(members.begin(), members.end(), aSender) == 0;
}

bool
RaftCore::HasMemberNamed(const std::string& aName) const
{
  const auto& members = m_hardState.m_initialMembers;
  return std::any_of(
    members.begin(), members.end(), [&](const Replica& aMember) {
      return aMember.m_name == aName;
    });
}

// Handles the reply of another initial member to a hello of the current stage.
void
RaftCore::OnHelloReply(const std::string& aFrom, const Message& aMessage)
{
  const Replica self = Self();
  const Replica sender{ aFrom,
                        aMessage.m_from,
                        !aMessage.m_diskless,
                        aMessage.m_domain,
                        aMessage.m_diskless };
  const auto& members = aMessage.m_members;
  const bool includesThis =
    std::count(members.begin(), members.end(), self) > 0;
  if (aMessage.m_diskless) {
    // It prepares nothing. The others form the group without it, or the founder
    // that it backs.
    m_emptyMembers[aFrom] = sender;
    if (includesThis) {
      m_backers.insert(aFrom);
    }
    if (m_options.m_diskless && !members.empty()) {
      BackFounder(members.front());
    }
    AdvanceBootstrap();
  } else if (aMessage.m_stage == Stage::Active) {
    m_emptyMembers.erase(aFrom);
    if (includesThis) {
      m_hardState.m_initialMembers = members;
      Activate();
    }
  } else if (m_hardState.m_stage == Stage::Empty) {
    // A replica that prepared a membership with this replica in it knew this
    // replica as empty, and was empty itself until then.
    m_joiningMembers.erase(aFrom);
    if (aMessage.m_stage == Stage::Empty || includesThis) {
      m_emptyMembers[aFrom] = sender;
    } else {
      m_emptyMembers.erase(aFrom);
    }
    if (aMessage.m_stage == Stage::Empty && !aMessage.m_mayBootstrap) {
      m_joiningMembers.insert(aFrom);
    }
    AdvanceBootstrap();
  } else if (WillNotPrepare(sender, aMessage)) {
    m_hardState.m_initialMembers.clear();
    EnterStage(Stage::Empty);
  } else if (aMessage.m_stage == Stage::Prepared &&
             members == m_hardState.m_initialMembers) {
    m_preparedMembers.insert(aFrom);
    AdvanceBootstrap();
  }
}

void
RaftCore::OnHello(const std::string& aFrom,
                  const Message& aMessage,
                  TimePoint aNow)
{
  if (IsInitialMember(aFrom) && m_hardState.m_stage != Stage::Active &&
      aMessage.m_flag && aMessage.m_round == m_helloNonce) {
    OnHelloReply(aFrom, aMessage);
  }
  if (aMessage.m_flag && !aMessage.m_data.empty()) {
    m_leaderHint = aMessage.m_data;
  }
  if (!aMessage.m_flag) {
    if (aMessage.m_stage == Stage::Empty && !aMessage.m_diskless &&
        !aMessage.m_members.empty()) {
      OnFounderRequest(aMessage.m_members.front());
    }
    Message reply = MakeHello(true);
    reply.m_round = aMessage.m_round;
    Send(aFrom, std::move(reply));
  }
  if (IsLeader()) {
    RecordAdmissionRequest(aFrom, aMessage, aNow);
  }
}

} // namespace chivefront::consensus
