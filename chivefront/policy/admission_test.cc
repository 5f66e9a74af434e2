// Tests of the team limits of an entry.
#define BOOST_TEST_MODULE admission
#include <boost/test/unit_test.hpp>

#include "chivefront/policy/admission.h"

using namespace chivefront;
using policy::Admission;
using policy::EntryLoad;
using policy::RefusalReason;

namespace {

base::TimePoint
At(int64_t aMs)
{
  return base::TimePoint(base::Millis(aMs));
}

catalog::Team
Team(catalog::CallerClass aClass = catalog::CallerClass::Paying)
{
  catalog::Team team;
  team.m_id = "sales";
  team.m_class = aClass;
  team.m_requestsPerSecond = 10;
  team.m_concurrency = 8;
  team.m_tokensPerMinute = 60000;
  return team;
}

constexpr EntryLoad kIdle{ 0, 0, 100 };

} // namespace

// Guards against a team that exceeds its request rate, and against a
// Retry-After at which the request is refused again.
BOOST_AUTO_TEST_CASE(RateIsBounded)
{
  Admission admission;
  const auto team = Team();
  int admitted = 0;
  for (int ms = 0; ms < 10000; ++ms) {
    if (admission.TryAdmit(team, 10, kIdle, At(ms)).m_admitted) {
      ++admitted;
      admission.Finish(team, 10, 10, At(ms));
    }
  }
  BOOST_TEST(admitted <= 10 * 10 + 20);
  BOOST_TEST(admitted >= 10 * 10);
  auto refused = admission.TryAdmit(team, 10, kIdle, At(10000));
  while (refused.m_admitted) {
    admission.Finish(team, 10, 10, At(10000));
    refused = admission.TryAdmit(team, 10, kIdle, At(10000));
  }
  BOOST_TEST((refused.m_reason == RefusalReason::Rate));
  BOOST_TEST(
    admission.TryAdmit(team, 10, kIdle, At(10000) + refused.m_retryAfter)
      .m_admitted);
}

// Guards against entries that together admit more than the team's limit when
// the number of entries changes.
BOOST_AUTO_TEST_CASE(SharesFollowTheLiveEntries)
{
  Admission admission;
  admission.SetLiveEntries(4, At(0));
  BOOST_TEST(admission.ShareOf(8) == 2U);
  admission.SetLiveEntries(2, At(1000));
  BOOST_TEST(admission.ShareOf(8) == 2U);
  admission.SetLiveEntries(2, At(2999));
  BOOST_TEST(admission.ShareOf(8) == 2U);
  admission.SetLiveEntries(2, At(3000));
  BOOST_TEST(admission.ShareOf(8) == 4U);
  admission.SetLiveEntries(8, At(3001));
  BOOST_TEST(admission.ShareOf(8) == 1U);
  BOOST_TEST(admission.ShareOf(4) == 1U);
}

// Guards against a team that exceeds its concurrency limit, and against a
// Finish that doesn't free its slot.
BOOST_AUTO_TEST_CASE(ConcurrencyIsBounded)
{
  Admission admission;
  const auto team = Team();
  for (int i = 0; i < 8; ++i) {
    BOOST_TEST(admission.TryAdmit(team, 10, kIdle, At(0)).m_admitted);
  }
  const auto refused = admission.TryAdmit(team, 10, kIdle, At(0));
  BOOST_TEST((refused.m_reason == RefusalReason::Concurrency));
  admission.Finish(team, 10, 0, At(1));
  BOOST_TEST(admission.TryAdmit(team, 10, kIdle, At(1)).m_admitted);
}

// Guards against a team that exceeds its token limit, against charges for
// requests that did not run, and against requests larger than the bucket that
// are never admitted.
BOOST_AUTO_TEST_CASE(TokensAreChargedAsUsed)
{
  Admission admission;
  const auto team = Team(); // bucket: 15 s of 1000 tokens per second
  BOOST_TEST(admission.TryAdmit(team, 15000, kIdle, At(0)).m_admitted);
  const auto refused = admission.TryAdmit(team, 1000, kIdle, At(0));
  BOOST_TEST((refused.m_reason == RefusalReason::Tokens));
  BOOST_TEST(refused.m_retryAfter.Count() == 1000);
  admission.Finish(team, 15000, 0, At(0));
  BOOST_TEST(admission.TryAdmit(team, 40000, kIdle, At(0)).m_admitted);
  BOOST_TEST(!admission.TryAdmit(team, 100, kIdle, At(20000)).m_admitted);
}

// Guards against free requests that occupy capacity which paying requests need.
BOOST_AUTO_TEST_CASE(FreeRequestsLeaveCapacityToPayingOnes)
{
  Admission admission;
  const auto free = Team(catalog::CallerClass::Free);
  const auto paying = Team();
  const EntryLoad waiting{ 1, 10, 100 };
  const EntryLoad busy{ 0, 80, 100 };
  BOOST_TEST(!admission.TryAdmit(free, 10, waiting, At(0)).m_admitted);
  BOOST_TEST(!admission.TryAdmit(free, 10, busy, At(0)).m_admitted);
  BOOST_TEST(admission.TryAdmit(paying, 10, busy, At(0)).m_admitted);
  BOOST_TEST(admission.TryAdmit(free, 10, kIdle, At(0)).m_admitted);
}
