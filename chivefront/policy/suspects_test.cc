// Tests of the loss counts of requests that may crash upstreams.
#define BOOST_TEST_MODULE suspects
#include <boost/test/unit_test.hpp>

#include "chivefront/policy/suspects.h"

using namespace chivefront;
using policy::SuspectCounts;

// Guards against a crashing request that is never quarantined, and against
// counting the requests in flight beside it.
BOOST_AUTO_TEST_CASE(ThirdLossQuarantinesOnlyTheCrashingRequest)
{
  SuspectCounts suspects(policy::SuspectRule::HighestOnly);
  auto loss = suspects.OnLoss("l1", { 1, 2, 3 });
  BOOST_TEST(loss.m_suspects.size() == 3U);
  suspects.Clear(2); // the other requests complete elsewhere
  suspects.Clear(3);
  loss = suspects.OnLoss("l2", { 1, 4, 5 });
  BOOST_TEST(loss.m_suspects.size() == 1U);
  BOOST_TEST(suspects.Losses(4) == 0U);
  BOOST_TEST(loss.m_quarantined.empty());
  loss = suspects.OnLoss("l3", { 1, 6 });
  BOOST_TEST(loss.m_quarantined == std::vector<uint64_t>{ 1 });
  BOOST_TEST(suspects.Losses(6) == 0U);
  // Later losses do not propose the quarantine again.
  BOOST_TEST(suspects.OnLoss("l4", { 1 }).m_quarantined.empty());
}

// Guards against a crashing request that is not counted because an innocent
// suspect is in flight beside it.
BOOST_AUTO_TEST_CASE(AllInFlightCountsFreshRequestsBesideASuspect)
{
  SuspectCounts suspects;
  suspects.OnLoss("l1", { 1, 2 });
  suspects.OnLoss("l2", { 1, 3 });
  BOOST_TEST(suspects.Losses(1) == 2U);
  BOOST_TEST(suspects.Losses(3) == 1U);
  BOOST_TEST(suspects.OnLoss("l3", { 3, 4 }).m_quarantined.empty());
  BOOST_TEST(suspects.OnLoss("l4", { 3 }).m_quarantined.size() == 1U);
}

// Guards against a loss that is counted several times because its report is
// repeated after a lost reply.
BOOST_AUTO_TEST_CASE(RepeatedReportsCountOnce)
{
  SuspectCounts suspects;
  suspects.OnLoss("l1", { 1, 1 });
  suspects.OnLoss("l1", { 1 });
  BOOST_TEST(suspects.Losses(1) == 1U);
}

// Guards against replicas that differ after a snapshot is loaded.
BOOST_AUTO_TEST_CASE(SaveAndLoadKeepCountsAndLossIds)
{
  SuspectCounts suspects;
  suspects.OnLoss("l1", { 1, 2 });
  suspects.OnLoss("l2", { 1 });
  SuspectCounts copy;
  copy.Load(suspects.Save());
  BOOST_TEST(copy.Losses(1) == 2U);
  BOOST_TEST(copy.Losses(2) == 1U);
  copy.OnLoss("l2", { 1 });
  BOOST_TEST(copy.Losses(1) == 2U);
  BOOST_TEST(copy.OnLoss("l3", { 1, 2 }).m_quarantined.size() == 1U);
}

// Guards against state that grows with every loss without bound.
BOOST_AUTO_TEST_CASE(StateIsBounded)
{
  SuspectCounts suspects;
  for (uint64_t i = 0; i < 70000; ++i) {
    suspects.OnLoss(std::to_string(i), { i + 1 });
  }
  BOOST_TEST(suspects.Size() == 65536U);
  BOOST_TEST(suspects.Losses(70000) == 1U);
  BOOST_TEST(suspects.Losses(1) == 0U);
}
