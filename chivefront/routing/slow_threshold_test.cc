// The share of latencies that count as slow.
#define BOOST_TEST_MODULE slow_threshold
#include <boost/test/unit_test.hpp>

#include <random>

#include "chivefront/routing/slow_threshold.h"

using namespace chivefront::routing;

namespace {

constexpr int kAnswers = 2000;

// Of kAnswers with a spread of one to ten, the share that is slow.
double
ShareOfSlow(SlowThreshold& aThreshold, std::mt19937_64& aRandom)
{
  std::uniform_real_distribution<double> spread(0, std::log(10.0));
  int slow = 0;
  for (int i = 0; i < kAnswers; ++i) {
    const double usual = 50 * std::exp(spread(aRandom));
    slow += aThreshold.Exceeds("label", usual) ? 1 : 0;
  }
  return static_cast<double>(slow) / kAnswers;
}

} // namespace

// Guards against a slow version that looks sound because the latencies of the
// old one vary so much that few answers are several times slower than the mean.
BOOST_AUTO_TEST_CASE(SlowerVersionHasMoreSlowAnswers)
{
  std::mt19937_64 random(1);
  SlowThreshold threshold;
  const double usual = ShareOfSlow(threshold, random);
  BOOST_TEST(usual > 0.1);
  BOOST_TEST(usual < 0.2);
  std::uniform_real_distribution<double> spread(0, std::log(10.0));
  constexpr int kFew = 40;
  int slow = 0;
  for (int i = 0; i < kFew; ++i) {
    const double factor = i % 2 == 0 ? 8 : 1;
    SlowThreshold copy = threshold; // a canary hardly moves the threshold
    slow +=
      copy.Exceeds("label", factor * 50 * std::exp(spread(random))) ? 1 : 0;
  }
  BOOST_TEST(slow > kFew / 3);
}

BOOST_AUTO_TEST_CASE(FirstLatencyIsNotSlow)
{
  SlowThreshold threshold;
  BOOST_TEST(!threshold.Exceeds("label", 1000));
  BOOST_TEST(threshold.Exceeds("label", 9000));
}
