// Counts of voters by failure domain, and of losses.
#include "chivefront/consensus/voter_choice.h"

#include <algorithm>

namespace chivefront::consensus {
namespace {

size_t
CountVotersIn(const Membership& aMembers, const std::string& aDomain)
{
  if (aDomain.empty()) {
    return 0;
  }
  return static_cast<size_t>(std::count_if(
    aMembers.begin(), aMembers.end(), [&](const Replica& aReplica) {
      return aReplica.m_voter && aReplica.m_domain == aDomain;
    }));
}

bool
IsReadyLearner(const Replica& aReplica, const std::set<uint64_t>& aReady)
{
  return !aReplica.m_voter && aReady.count(aReplica.m_identity) > 0;
}

} // namespace

std::optional<size_t>
ChooseNextVoter(const Membership& aMembers, const std::set<uint64_t>& aReady)
{
  std::optional<size_t> best;
  size_t fewest = 0;
  for (size_t i = 0; i < aMembers.size(); ++i) {
    if (!IsReadyLearner(aMembers[i], aReady)) {
      continue;
    }
    const size_t voters = CountVotersIn(aMembers, aMembers[i].m_domain);
    if (!best || voters < fewest) {
      best = i;
      fewest = voters;
    }
  }
  return best;
}

bool
IsBetterPlaced(const Membership& aMembers,
               size_t aNext,
               size_t aTarget,
               uint64_t aLeader)
{
  if (aTarget == 0) {
    return false;
  }
  const size_t tolerated = (aTarget - 1) / 2;
  const std::string& nextDomain = aMembers[aNext].m_domain;
  if (CountVotersIn(aMembers, nextDomain) >= tolerated) {
    return false;
  }
  return std::any_of(
    aMembers.begin(), aMembers.end(), [&](const Replica& aReplica) {
      return aReplica.m_voter && aReplica.m_identity != aLeader &&
             aReplica.m_domain != nextDomain &&
             CountVotersIn(aMembers, aReplica.m_domain) > tolerated;
    });
}

std::optional<size_t>
FindSuccessor(const Membership& aMembers,
              size_t aOlder,
              const std::set<uint64_t>& aHeard)
{
  const Replica& older = aMembers[aOlder];
  if (older.m_domain.empty() || older.m_diskless) {
    return std::nullopt;
  }
  for (size_t i = aOlder + 1; i < aMembers.size(); ++i) {
    const Replica& replica = aMembers[i];
    const bool mayFollow = replica.m_succession == Succession::Open ||
                           (replica.m_succession == Succession::Done &&
                            older.m_succession == Succession::Open);
    if (mayFollow && replica.m_domain == older.m_domain &&
        replica.m_name != older.m_name &&
        aHeard.count(replica.m_identity) > 0) {
      return i;
    }
  }
  return std::nullopt;
}

std::set<uint64_t>
SupersededMembers(const Membership& aMembers, const std::set<uint64_t>& aHeard)
{
  std::set<uint64_t> superseded;
  for (size_t i = 0; i < aMembers.size(); ++i) {
    if (FindSuccessor(aMembers, i, aHeard)) {
      superseded.insert(aMembers[i].m_identity);
    }
  }
  return superseded;
}

Membership
WithoutSuperseded(const Membership& aMembers, size_t aSilent, size_t aSuccessor)
{
  Membership next = aMembers;
  // The successor of a newcomer may still have to succeed an older member.
  if (aMembers[aSilent].m_succession != Succession::Open) {
    next[aSuccessor].m_succession = Succession::Done;
  }
  next.erase(next.begin() + static_cast<ptrdiff_t>(aSilent));
  return next;
}

Membership
WithLearner(const Membership& aMembers, const Replica& aJoining)
{
  Membership next = aMembers;
  const auto isSameHost = [&](const Replica& aReplica) {
    return aReplica.m_name == aJoining.m_name;
  };
  const auto known = std::find_if(next.begin(), next.end(), isSameHost);
  if (known != next.end()) {
    // Beside the old voter, or in the place of the old learner.
    const auto place = known - next.begin() + (known->m_voter ? 1 : 0);
    std::erase_if(next, [&](const Replica& aReplica) {
      return isSameHost(aReplica) && !aReplica.m_voter;
    });
    next.insert(next.begin() + place, aJoining);
    return next;
  }
  const auto successor =
    std::find_if(next.begin(), next.end(), [&](const Replica& aReplica) {
      return aReplica.m_succession == Succession::Done &&
             aReplica.m_domain == aJoining.m_domain;
    });
  if (aJoining.m_succession != Succession::None || successor == next.end()) {
    next.push_back(aJoining);
    return next;
  }
  successor->m_succession = Succession::Open;
  next.insert(next.begin(), aJoining);
  return next;
}

std::optional<size_t>
ChooseSurplusVoter(const Membership& aMembers, uint64_t aLeader)
{
  std::optional<size_t> best;
  size_t most = 0;
  for (size_t i = 0; i < aMembers.size(); ++i) {
    const Replica& replica = aMembers[i];
    if (!replica.m_voter || replica.m_identity == aLeader) {
      continue;
    }
    const size_t voters = CountVotersIn(aMembers, replica.m_domain);
    if (!best || voters >= most) {
      best = i;
      most = voters;
    }
  }
  return best;
}

int64_t
ToleratedLosses(const Membership& aMembers, const std::set<uint64_t>& aLost)
{
  int64_t voters = 0;
  int64_t remaining = 0;
  for (const Replica& replica : aMembers) {
    if (replica.m_voter) {
      ++voters;
      remaining += aLost.count(replica.m_identity) > 0 ? 0 : 1;
    }
  }
  return remaining - (voters / 2 + 1);
}

size_t
VotersForMajorityOfHosts(const Membership& aMembers)
{
  std::set<std::string> hosts;
  for (const Replica& replica : aMembers) {
    if (!replica.m_diskless) {
      hosts.insert(replica.m_name);
    }
  }
  return hosts.empty() ? 0 : (hosts.size() - 1) / 2 * 2 + 1;
}

} // namespace chivefront::consensus
