// How many members should vote, and which, so that the loss of one failure
// domain leaves a majority, and how many lost voters a membership bears. Pure
// functions of the membership.
//
//   auto next = ChooseNextVoter(members, ready);
//   if (IsBetterPlaced(members, *next, target, leader)) ... add it ...
//   auto surplus = ChooseSurplusVoter(members, leader);
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

// Whether the learner at aNext should vote in place of a voter in a domain that
// holds so many of aTarget voters that its loss would leave no majority. The
// voter aLeader is not replaced.
bool
IsBetterPlaced(const Membership& aMembers,
               size_t aNext,
               size_t aTarget,
               uint64_t aLeader);

// Index of the newcomer that can take the place of the member at aOlder: the
// first one with an open succession in the same domain that joined later and is
// in aHeard (identities). A newcomer that is gone itself may have any later
// newcomer as its successor. The members are in the order in which their hosts
// joined. Nothing without such a newcomer, when the domain is not known, or for
// a member without a disk, which has no vote.
std::optional<size_t>
FindSuccessor(const Membership& aMembers,
              size_t aOlder,
              const std::set<uint64_t>& aHeard);

// Identities of the members with a successor in aHeard. Their hosts may be
// removed at any moment, and at the same moment others be lost, so they should
// have no vote when another replica can have it.
std::set<uint64_t>
SupersededMembers(const Membership& aMembers, const std::set<uint64_t>& aHeard);

// The membership without the silent member at aSilent, which the newcomer at
// aSuccessor succeeds.
Membership
WithoutSuperseded(const Membership& aMembers,
                  size_t aSilent,
                  size_t aSuccessor);

// The membership with aJoining as a learner. It keeps the place of its host
// when that is a member already: an earlier learner of the host leaves. A
// process that returns with its disk is older than the newcomer in whose favour
// it had been removed, whose succession is open again.
Membership
WithLearner(const Membership& aMembers, const Replica& aJoining);

// Index of the voter that should give up its vote when there is one more than
// wanted: of the voters other than aLeader, the last one in the domain with the
// most voters. Nothing without such a voter.
std::optional<size_t>
ChooseSurplusVoter(const Membership& aMembers, uint64_t aLeader);

// How many more voters may be lost for good while the others still hold a
// majority. Those in aLost (identities) are lost already; the others count,
// also when they are not heard, because they may only be cut off. Negative when
// no majority is left.
int64_t
ToleratedLosses(const Membership& aMembers, const std::set<uint64_t>& aLost);

// The smallest number of voters with which any majority of the processes that
// can vote contains a majority of the voters: all of them, or one fewer when
// their number is even. Counts processes by name; those without a durable disk
// do not count.
size_t
VotersForMajorityOfHosts(const Membership& aMembers);

} // namespace chivefront::consensus
