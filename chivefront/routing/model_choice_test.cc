// Which model is asked after which answer.
#define BOOST_TEST_MODULE routing_model_choice
#include <boost/test/unit_test.hpp>

#include "chivefront/routing/model_choice.h"

using namespace chivefront::routing;

// Pattern: many answers of the smallest model are doubted on a heavy day, and
// the largest one is the slowest.
BOOST_AUTO_TEST_CASE(SlightDoubtAsksTheNextModel)
{
  BOOST_TEST(KeepsAnswer(0, 55));
  BOOST_TEST(!KeepsAnswer(0, 54));
  BOOST_TEST(LargerModel(0, 3, 54) == 1U);
  BOOST_TEST(LargerModel(0, 3, 45) == 1U);
  BOOST_TEST(LargerModel(0, 3, 44) == 2U);
  BOOST_TEST(KeepsAnswer(1, 40));
  BOOST_TEST(!KeepsAnswer(1, 39));
  BOOST_TEST(LargerModel(1, 3, 39) == 2U);
}

BOOST_AUTO_TEST_CASE(LargestModelIsTheLast)
{
  BOOST_TEST(LargerModel(2, 3, 0) == 2U);
  BOOST_TEST(LargerModel(0, 1, 50) == 0U);
  BOOST_TEST(LargerModel(0, 2, 50) == 1U);
  BOOST_TEST(LargerModel(0, 2, 5) == 1U);
}
