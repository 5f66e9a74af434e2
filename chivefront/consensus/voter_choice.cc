// Counts of voters by failure domain.
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

std::optional<size_t>
ChooseVoterToMove(const Membership& aMembers,
                  const std::set<uint64_t>& aReady,
                  size_t aTarget,
                  uint64_t aLeader)
{
  const auto next = ChooseNextVoter(aMembers, aReady);
  if (!next || aTarget == 0) {
    return std::nullopt;
  }
  const size_t tolerated = (aTarget - 1) / 2;
  const std::string& nextDomain = aMembers[*next].m_domain;
  if (CountVotersIn(aMembers, nextDomain) >= tolerated) {
    return std::nullopt;
  }
  for (size_t i = 0; i < aMembers.size(); ++i) {
    const Replica& replica = aMembers[i];
    if (replica.m_voter && replica.m_identity != aLeader &&
        replica.m_domain != nextDomain &&
        CountVotersIn(aMembers, replica.m_domain) > tolerated) {
      return i;
    }
  }
  return std::nullopt;
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
