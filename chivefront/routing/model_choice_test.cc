// Escalation to a larger model by the confidence of an answer.
#define BOOST_TEST_MODULE routing_model_choice
#include <boost/test/unit_test.hpp>

#include "chivefront/routing/model_choice.h"

using namespace chivefront::routing;

// Guards against escalating every doubtful answer to the largest model, which
// is the slowest: under load many answers of the smallest model have a low
// confidence.
BOOST_AUTO_TEST_CASE(SlightlyLowConfidenceAsksTheNextModel)
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

BOOST_AUTO_TEST_CASE(NoEscalationBeyondTheLargestModel)
{
  BOOST_TEST(LargerModel(2, 3, 0) == 2U);
  BOOST_TEST(LargerModel(0, 1, 50) == 0U);
  BOOST_TEST(LargerModel(0, 2, 50) == 1U);
  BOOST_TEST(LargerModel(0, 2, 5) == 1U);
}
