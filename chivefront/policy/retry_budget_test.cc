// Tests of the retry budget.
#define BOOST_TEST_MODULE retry_budget
#include <boost/test/unit_test.hpp>

#include "chivefront/policy/retry_budget.h"

using namespace chivefront;
using catalog::CallerClass;

namespace {

base::TimePoint
At(int64_t aMs)
{
  return base::TimePoint(base::Millis(aMs));
}

} // namespace

// Guards against retries that amplify an outage: of 100 requests a second,
// every one fails and is retried as often as the budget allows.
BOOST_AUTO_TEST_CASE(RetriesStayBelowATenthOfNewRequestsInAnOutage)
{
  policy::RetryBudget budget;
  int retries = 0;
  const int requests = 30000;
  for (int i = 0; i < requests; ++i) {
    budget.OnNewRequest(At(i * 10));
    for (int attempt = 0; attempt < 3; ++attempt) {
      retries += budget.TryRetry(CallerClass::Paying, At(i * 10)) ? 1 : 0;
    }
  }
  BOOST_TEST(retries <= 0.1 * requests + 1);
  BOOST_TEST(retries >= 0.07 * requests);
}

// Guards against an entry without traffic that can never retry.
BOOST_AUTO_TEST_CASE(FloorAllowsRareRetriesWithoutTraffic)
{
  policy::RetryBudget budget;
  BOOST_TEST(budget.TryRetry(CallerClass::Paying, At(0)));
  BOOST_TEST(!budget.TryRetry(CallerClass::Paying, At(0)));
  BOOST_TEST(budget.TryRetry(CallerClass::Paying, At(20001)));
}

// Guards against free retries that use up the budget of paying ones.
BOOST_AUTO_TEST_CASE(FreeRetriesLeaveHalfTheBudget)
{
  policy::RetryBudget budget;
  for (int i = 0; i < 100; ++i) {
    budget.OnNewRequest(At(0)); // saves 8 retries
  }
  int free = 0;
  while (budget.TryRetry(CallerClass::Free, At(0))) {
    ++free;
  }
  int paying = 0;
  while (budget.TryRetry(CallerClass::Paying, At(0))) {
    ++paying;
  }
  BOOST_TEST(free > 0);
  BOOST_TEST(paying >= free);
}
