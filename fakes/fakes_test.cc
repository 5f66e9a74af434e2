// Tests of the fakes' decisions. Other tests rely on them: a fake that misses
// an overload or a repeated run would let those tests pass.
#define BOOST_TEST_MODULE fakes
#include <boost/test/unit_test.hpp>

#include "fakes/engine.h"
#include "fakes/rating.h"
#include "fakes/weights.h"

using namespace chivefront;

namespace {

base::TimePoint
At(int64_t aMs)
{
  return base::TimePoint(base::Millis(aMs));
}

fakes::EngineLimits
Limits()
{
  fakes::EngineLimits limits;
  limits.m_batch = 2;
  limits.m_maxHeld = 4;
  limits.m_coldMaxHeld = 1;
  limits.m_coldRequests = 2;
  return limits;
}

} // namespace

// Guards against an overload that the fake engine doesn't detect.
BOOST_AUTO_TEST_CASE(EngineNoticesTooMuchLoadWhileColdAndWarm)
{
  fakes::EngineModel model(Limits(), At(0));
  for (const char* id : { "a", "b" }) {
    BOOST_TEST(model.Add(id, false, At(0)));
    model.Remove(id, true);
  }
  for (const char* id : { "c", "d", "e", "f" }) {
    BOOST_TEST(model.Add(id, false, At(0)));
  }
  BOOST_TEST(!model.Exceeded());
  BOOST_TEST(!model.Add("g", false, At(0)));
  BOOST_TEST(model.Exceeded());
  BOOST_TEST(model.LargestHeld() == 5U);

  fakes::EngineModel cold(Limits(), At(0));
  BOOST_TEST(cold.Add("a", false, At(0)));
  BOOST_TEST(!cold.Add("b", false, At(0)));
}

// Guards against a batch that ignores priority, or that generates as fast with
// many requests as with one.
BOOST_AUTO_TEST_CASE(EngineBatchesByPriority)
{
  fakes::EngineLimits limits = Limits();
  limits.m_maxHeld = 100;
  limits.m_coldRequests = 0;
  fakes::EngineModel model(limits, At(0));
  model.Add("a", false, At(0));
  const base::Millis alone = model.TokenTime();
  for (const char* id : { "b", "c" }) {
    model.Add(id, false, At(0));
  }
  model.Add("paying", true, At(0));
  BOOST_TEST((model.TokenTime() > alone));
  model.Remove("a", true);
  BOOST_TEST(model.InBatch("paying"));
  BOOST_TEST(!model.InBatch("c"));
  BOOST_TEST(model.Ran().count("c") == 0U);
}

// Guards against cached tokens of prompts that were never cached or have been
// evicted.
BOOST_AUTO_TEST_CASE(PrefixCacheFindsTheLongestPrefix)
{
  fakes::PrefixCache cache(4);
  std::vector<uint64_t> added;
  const std::string prompt(200, 'x');
  BOOST_TEST(cache.Use(prompt, added) == 0U);
  BOOST_TEST(added.size() == 3U);
  BOOST_TEST(cache.Use(prompt.substr(0, 128) + "other tail", added) == 128U);
  cache.Use(std::string(256, 'y'), added);
  BOOST_TEST(cache.Use(prompt, added) == 0U);
}

// Guards against ratings that don't follow the quality of their version, or
// that accept an answer with the marker.
BOOST_AUTO_TEST_CASE(RatingFollowsQualityAndMarker)
{
  fakes::RatingOptions options;
  options.m_quality["v"] = 0.7;
  constexpr int kRequests = 10000;
  int good = 0;
  int marked = 0;
  for (int i = 0; i < kRequests; ++i) {
    const std::string id = std::to_string(i);
    good += fakes::RateAnswer(options, id, "v", "fine").m_acceptable ? 1 : 0;
    marked +=
      fakes::RateAnswer(options, id, "v", "[bad] w1").m_acceptable ? 1 : 0;
  }
  BOOST_TEST(good > kRequests * 68 / 100);
  BOOST_TEST(good < kRequests * 72 / 100);
  BOOST_TEST(marked == 0);
}

// Guards against downloads over the rate, and against wrong retry times.
BOOST_AUTO_TEST_CASE(DownloadsAreRateLimited)
{
  fakes::DownloadRate rate(2, 1);
  BOOST_TEST(rate.TryStart(At(10000)).Count() == 0);
  BOOST_TEST(rate.TryStart(At(10000)).Count() == 500);
  BOOST_TEST(rate.TryStart(At(10500)).Count() == 0);
}
