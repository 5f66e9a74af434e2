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

Replica
Newcomer(Replica aReplica, Succession aSuccession = Succession::Open)
{
  aReplica.m_succession = aSuccession;
  return aReplica;
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
  BOOST_TEST(IsBetterPlaced(members, 3, 3, 1));
  BOOST_TEST(IsBetterPlaced(members, 3, 3, 2));
  // The learner votes first; then the other voter of the domain gives up.
  Membership grown = members;
  grown[3].m_voter = true;
  BOOST_TEST(ChooseSurplusVoter(grown, 1).value() == 1U);
  BOOST_TEST(ChooseSurplusVoter(grown, 2).value() == 0U);
  // A leader alone has no voter to give up.
  BOOST_TEST(!ChooseSurplusVoter({ Voter(1, "a") }, 1).has_value());
}

BOOST_AUTO_TEST_CASE(SpreadVotersStay)
{
  const Membership members{ Voter(1, "a"), Voter(2, "a"), Voter(3, "b"),
                            Voter(4, "c"), Voter(5, "d"), Learner(6, "b") };
  BOOST_TEST(!IsBetterPlaced(members, 5, 5, 3));
}

// Guards against endless moves when the domains of the members are not known,
// as in a membership that an older release wrote.
BOOST_AUTO_TEST_CASE(UnknownDomainsAreNotCrowded)
{
  const Membership members{
    Voter(1, ""), Voter(2, ""), Voter(3, ""), Learner(4, "")
  };
  BOOST_TEST(!IsBetterPlaced(members, 3, 3, 1));
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

// Guards against a change that is judged by its number of voters alone: an even
// number bears no more losses than one voter fewer, and a voter whose disk is
// lost counts for the majority only.
BOOST_AUTO_TEST_CASE(ToleratedLossesOfAMembership)
{
  const Membership three{ Voter(1, ""), Voter(2, ""), Voter(3, "") };
  Membership four = three;
  four.push_back(Voter(4, ""));
  Membership two = three;
  two.pop_back();
  BOOST_TEST(ToleratedLosses(three, {}) == 1);
  BOOST_TEST(ToleratedLosses(four, {}) == 1);
  BOOST_TEST(ToleratedLosses(two, {}) == 0);
  BOOST_TEST(ToleratedLosses(three, { 1 }) == 0);
  BOOST_TEST(ToleratedLosses(four, { 1 }) == 0);
  BOOST_TEST(ToleratedLosses(two, { 1 }) == -1);
  // A learner bears nothing.
  two.push_back(Learner(5, ""));
  BOOST_TEST(ToleratedLosses(two, {}) == 0);
}

// Guards against a newcomer that takes the place of a host which it can't have
// replaced: one of another domain, a later one, or one that has no vote.
BOOST_AUTO_TEST_CASE(NewcomerSucceedsAnOlderMemberOfItsDomain)
{
  Membership members{
    Voter(1, "a"), Voter(2, "b"), Newcomer(Learner(3, "b")), Learner(4, "b")
  };
  BOOST_TEST(!FindSuccessor(members, 0, { 1, 2, 3, 4 }).has_value());
  BOOST_TEST(FindSuccessor(members, 1, { 1, 2, 3, 4 }).value() == 2U);
  BOOST_TEST(!FindSuccessor(members, 1, { 1, 2, 4 }).has_value());
  BOOST_TEST(!FindSuccessor(members, 3, { 1, 2, 3, 4 }).has_value());
  BOOST_TEST(
    (SupersededMembers(members, { 1, 2, 3 }) == std::set<uint64_t>{ 2 }));
  members[1].m_diskless = true;
  BOOST_TEST(!FindSuccessor(members, 1, { 1, 2, 3, 4 }).has_value());
  // Hosts without a domain can't be matched.
  const Membership unknown{ Voter(1, ""), Newcomer(Learner(2, "")) };
  BOOST_TEST(!FindSuccessor(unknown, 0, { 1, 2 }).has_value());
}

// Guards against one newcomer that removes every host of its domain which is
// silent for a moment.
BOOST_AUTO_TEST_CASE(NewcomerSucceedsOneMember)
{
  const Membership members{ Voter(1, "a"),
                            Voter(2, "a"),
                            Newcomer(Voter(3, "a")) };
  const Membership next = WithoutSuperseded(members, 0, 2);
  BOOST_REQUIRE(next.size() == 2U);
  BOOST_TEST((next[1].m_succession == Succession::Done));
  BOOST_TEST(!FindSuccessor(next, 0, { 2, 3 }).has_value());
}

// Guards against a removed host that counts on, because the newcomer that came
// in its place was lost and replaced as well.
BOOST_AUTO_TEST_CASE(SuccessorOfANewcomerInheritsItsSuccession)
{
  const Membership members{ Voter(1, "a"),
                            Newcomer(Voter(2, "a")),
                            Newcomer(Voter(3, "a")) };
  const Membership next = WithoutSuperseded(members, 1, 2);
  BOOST_TEST((next[1].m_succession == Succession::Open));
  BOOST_TEST(FindSuccessor(next, 0, { 1, 3 }).value() == 1U);
  // The older member was removed first.
  const Membership other = WithoutSuperseded(members, 0, 2);
  BOOST_TEST(FindSuccessor(other, 0, { 3 }).value() == 1U);
}

// Guards against a host that loses its place before its successor when it loses
// its disk, or when it was removed while it was only silent and returns.
BOOST_AUTO_TEST_CASE(ReturningHostKeepsItsPlace)
{
  const Membership members{ Voter(1, "a"),
                            Learner(2, "a"),
                            Newcomer(Voter(3, "a")) };
  Replica returning = Learner(12, "a");
  returning.m_name = "host-2";
  Membership next = WithLearner(members, returning);
  BOOST_REQUIRE(next.size() == 3U);
  BOOST_TEST(next[1].m_identity == 12U);
  // Its old voter stays until the new replica has caught up.
  returning.m_name = "host-1";
  next = WithLearner(members, returning);
  BOOST_REQUIRE(next.size() == 4U);
  BOOST_TEST(next[0].m_identity == 1U);
  BOOST_TEST(next[1].m_identity == 12U);
  // Removed in favour of host 3, and back with its disk.
  next = WithLearner(WithoutSuperseded(members, 0, 2), members[0]);
  BOOST_REQUIRE(next.size() == 3U);
  BOOST_TEST(next[0].m_identity == 1U);
  BOOST_TEST(FindSuccessor(next, 0, { 3 }).value() == 2U);
  // A newcomer joins last.
  next = WithLearner(members, Newcomer(Learner(4, "a")));
  BOOST_TEST(next.back().m_identity == 4U);
}
