// How many members should vote, and which, so that the loss of one failure
// domain leaves a majority. Pure functions of the membership.
//
//   auto next = ChooseNextVoter(members, ready);
//   auto crowded = ChooseVoterToMove(members, ready, target, leader);
//
// A member without a domain counts as alone in a domain of its own.
#pragma once

#include <optional>
#include <set>

#include "chivefront/consensus/types.h"

namespace chivefront::consensus {

// Index of the learner that should vote next: of those in aReady (identities),
// the one whose domain has the fewest voters. Nothing when aReady has none.
std::optional<size_t>
ChooseNextVoter(const Membership& aMembers, const std::set<uint64_t>& aReady);

// Index of a voter that should give its vote to a learner in aReady, because
// its domain holds so many of aTarget voters that its loss would leave no
// majority. Never the voter aLeader. Nothing when no learner is better placed.
std::optional<size_t>
ChooseVoterToMove(const Membership& aMembers,
                  const std::set<uint64_t>& aReady,
                  size_t aTarget,
                  uint64_t aLeader);

// The smallest number of voters with which any majority of the processes that
// can vote contains a majority of the voters: all of them, or one fewer when
// their number is even. Counts processes by name; those without a durable disk
// do not count.
size_t
VotersForMajorityOfHosts(const Membership& aMembers);

} // namespace chivefront::consensus
