// Which member should vote, so that the loss of one failure domain leaves a
// majority. Pure functions of the membership.
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

} // namespace chivefront::consensus
