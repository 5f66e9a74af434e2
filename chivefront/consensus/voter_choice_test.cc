// The choice of voters by failure domain.
#define BOOST_TEST_MODULE voter_choice
#include <boost/test/unit_test.hpp>

#include "chivefront/consensus/voter_choice.h"

using namespace chivefront::consensus;

namespace {

Replica
Voter(uint64_t aIdentity, const std::string& aDomain)
{
  return { "host-" + std::to_string(aIdentity), aIdentity, true, aDomain };
}

Replica
Learner(uint64_t aIdentity, const std::string& aDomain)
{
  return { "host-" + std::to_string(aIdentity), aIdentity, false, aDomain };
}

} // namespace

// Guards against three of five voters in one domain: the first learner in the
// list was taken, wherever it was.
BOOST_AUTO_TEST_CASE(NextVoterIsInTheDomainWithFewestVoters)
{
  const Membership members{ Voter(1, "a"),
                            Voter(2, "a"),
                            Voter(3, "b"),
                            Learner(4, "a"),
                            Learner(5, "c") };
  BOOST_TEST(ChooseNextVoter(members, { 4, 5 }).value() == 4U);
  BOOST_TEST(ChooseNextVoter(members, { 4 }).value() == 3U);
  BOOST_TEST(!ChooseNextVoter(members, {}).has_value());
}

// Guards against a group that keeps a majority in one domain although a learner
// in another one could vote.
BOOST_AUTO_TEST_CASE(CrowdedDomainGivesUpAVoter)
{
  const Membership members{
    Voter(1, "a"), Voter(2, "a"), Voter(3, "b"), Learner(4, "c")
  };
  BOOST_TEST(ChooseVoterToMove(members, { 4 }, 3, 1).value() == 1U);
  BOOST_TEST(ChooseVoterToMove(members, { 4 }, 3, 2).value() == 0U);
  // Without a learner that can take the vote, nothing changes.
  BOOST_TEST(!ChooseVoterToMove(members, {}, 3, 1).has_value());
}

BOOST_AUTO_TEST_CASE(SpreadVotersStay)
{
  const Membership members{ Voter(1, "a"), Voter(2, "a"), Voter(3, "b"),
                            Voter(4, "c"), Voter(5, "d"), Learner(6, "b") };
  BOOST_TEST(!ChooseVoterToMove(members, { 6 }, 5, 3).has_value());
}

// Guards against endless moves when the domains of the members are not known,
// as in a membership that an older release wrote.
BOOST_AUTO_TEST_CASE(UnknownDomainsAreNotCrowded)
{
  const Membership members{
    Voter(1, ""), Voter(2, ""), Voter(3, ""), Learner(4, "")
  };
  BOOST_TEST(!ChooseVoterToMove(members, { 4 }, 3, 1).has_value());
}

// Guards against a majority of the voters on a minority of the hosts: any most
// hosts must hold most of the voters.
BOOST_AUTO_TEST_CASE(MajorityOfHostsHoldsMajorityOfVoters)
{
  Membership members;
  for (uint64_t hosts = 1; hosts <= 16; ++hosts) {
    members.push_back(Learner(hosts, "a"));
    const size_t voters = VotersForMajorityOfHosts(members);
    const size_t majority = hosts / 2 + 1;
    const size_t fewestAmongMajority = majority - (hosts - voters);
    BOOST_TEST(fewestAmongMajority * 2 > voters, "hosts " << hosts);
  }
  // Processes without a disk and former replicas of a host do not count.
  members.resize(3);
  members.push_back({ "host-1", 17, true, "a" });
  members.push_back({ "host-18", 18, false, "a", true });
  BOOST_TEST(VotersForMajorityOfHosts(members) == 3U);
}
