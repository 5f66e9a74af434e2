// Tests of the count of entries that have lost control.
#define BOOST_TEST_MODULE routing_entry_census
#include <boost/test/unit_test.hpp>

#include "chivefront/routing/entry_census.h"

using namespace chivefront;
using namespace chivefront::routing;

namespace {

base::TimePoint
At(int64_t aMillis)
{
  return base::TimePoint(base::Millis(aMillis));
}

} // namespace

// Guards against entries that count as gone, though they have only lost
// control, and against entries that count as absent after their return.
BOOST_AUTO_TEST_CASE(EntriesWithoutPollsAreAbsentForAWhile)
{
  EntryCensus census;
  BOOST_TEST(census.AbsentShare(At(0)) == 0);
  census.RecordPoll("a", 0, At(0));
  census.RecordPoll("b", 0, At(0));
  BOOST_TEST(census.AbsentShare(At(0)) == 0);
  census.RecordPoll("a", 0, At(2000));
  BOOST_TEST(census.AbsentShare(At(2000)) == 0.5);
  census.RecordPoll("b", 0, At(3000));
  BOOST_TEST(census.AbsentShare(At(2500)) == 0);
  census.RecordPoll("a", 0, At(70000));
  BOOST_TEST(census.AbsentShare(At(70000)) == 0);
}

// Guards against a new leader that takes the entries that poll it for all that
// there are, and against entries that are missed long after their removal.
BOOST_AUTO_TEST_CASE(EntriesThatOthersNameAreAbsentForAWhile)
{
  EntryCensus census;
  census.RecordPoll("a", 4, At(0));
  BOOST_TEST(census.AbsentShare(At(0)) == 0.75);
  census.RecordPoll("a", 2, At(1000));
  BOOST_TEST(census.AbsentShare(At(1000)) == 0.75);
  census.RecordPoll("a", 2, At(61000));
  BOOST_TEST(census.AbsentShare(At(61000)) == 0.5);
}
