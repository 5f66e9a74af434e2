// The pace at which upstreams read prompts, learned from answers that were
// delayed by other things as well.
#define BOOST_TEST_MODULE routing_reading_pace
#include <boost/test/unit_test.hpp>

#include <cmath>
#include <random>

#include "chivefront/routing/reading_pace.h"

using namespace chivefront::routing;

namespace {

const ModelKey kLarge{ "llm", "large" };
const ModelKey kSmall{ "llm", "small" };

struct Load
{
  double m_tokensPerMs = 20;
  double m_minTokens = 2000;
  double m_maxTokens = 30000;
  double m_queuedShare = 0.7; // share of the requests that wait for others
  bool m_isReported = false;  // the upstreams report what waits
  double m_cachedShare = 0;   // share whose prompt turns out to be cached
};

void
Record(ReadingPace& aPace,
       const ModelKey& aModel,
       const Load& aLoad,
       int aCount)
{
  constexpr double kMaxQueueMs = 3000;
  constexpr double kMaxBatchMs = 30;
  std::minstd_rand random(7);
  std::uniform_real_distribution<double> share(0, 1);
  std::uniform_real_distribution<double> length(aLoad.m_minTokens,
                                                aLoad.m_maxTokens);
  for (int i = 0; i < aCount; ++i) {
    const double tokens = length(random);
    const bool cached = share(random) < aLoad.m_cachedShare;
    double waited = cached ? 0 : tokens / aLoad.m_tokensPerMs;
    waited += 10 + share(random) * kMaxBatchMs;
    const bool queued = share(random) < aLoad.m_queuedShare;
    waited += queued ? share(random) * kMaxQueueMs : 0;
    aPace.Record(
      aModel, tokens, std::round(waited), aLoad.m_isReported && queued);
  }
}

} // namespace

BOOST_AUTO_TEST_CASE(InitialPaceUntilThereAreSamples)
{
  ReadingPace pace;
  BOOST_TEST(pace.TokensPerMs(kLarge) == kInitialTokensPerMs);
  pace.Record(kLarge, 1000, 5000);
  BOOST_TEST(pace.TokensPerMs(kLarge) == kInitialTokensPerMs);
}

// Load: most requests wait behind others for up to three seconds. Guards
// against a pace that includes the queue.
BOOST_AUTO_TEST_CASE(QueueingIsNotReading)
{
  ReadingPace pace;
  Record(pace, kLarge, {}, 200);
  Record(pace, kSmall, { .m_tokensPerMs = 200 }, 200);
  BOOST_TEST(pace.TokensPerMs(kLarge) > 16);
  BOOST_TEST(pace.TokensPerMs(kLarge) < 25);
  BOOST_TEST(pace.TokensPerMs(kSmall) > 130);
  BOOST_TEST(pace.TokensPerMs(kSmall) < 300);
}

// Load: nearly all requests wait, as the upstreams report, for longer than the
// prompts of a fast model take. Guards against a pace that falls by overload.
BOOST_AUTO_TEST_CASE(OverloadDoesNotLowerThePace)
{
  ReadingPace pace;
  Record(pace, kSmall, { .m_tokensPerMs = 200, .m_queuedShare = 0.3 }, 200);
  Record(pace,
         kSmall,
         { .m_tokensPerMs = 200, .m_queuedShare = 0.95, .m_isReported = true },
         1000);
  BOOST_TEST(pace.TokensPerMs(kSmall) > 120);
  // Still a wrong value is corrected.
  Record(pace,
         kSmall,
         { .m_tokensPerMs = 2, .m_queuedShare = 1, .m_isReported = true },
         800);
  BOOST_TEST(pace.TokensPerMs(kSmall) < 4);
}

// Load: prompts of a fast model, most of whose answers take longer for the
// batch than for reading. Guards against a pace that includes the batch.
BOOST_AUTO_TEST_CASE(BatchDelayIsNotReading)
{
  ReadingPace pace;
  Record(pace,
         kSmall,
         { .m_tokensPerMs = 200, .m_minTokens = 800, .m_maxTokens = 10000 },
         200);
  BOOST_TEST(pace.TokensPerMs(kSmall) > 120);
}

// Load: callers repeat requests whose whole prompt is still cached. Guards
// against a few such answers that set the pace.
BOOST_AUTO_TEST_CASE(FewCachedPromptsChangeLittle)
{
  ReadingPace pace;
  Record(pace, kLarge, { .m_queuedShare = 0.5, .m_cachedShare = 0.05 }, 200);
  BOOST_TEST(pace.TokensPerMs(kLarge) > 14);
  BOOST_TEST(pace.TokensPerMs(kLarge) < 30);
}

// Guards against a wrong early value, too high or too low, that stays.
BOOST_AUTO_TEST_CASE(WrongEarlyValueIsCorrected)
{
  ReadingPace pace;
  Record(pace, kLarge, { .m_tokensPerMs = 400, .m_queuedShare = 0 }, 96);
  BOOST_TEST(pace.TokensPerMs(kLarge) > 200);
  Record(pace, kLarge, {}, 104);
  BOOST_TEST(pace.TokensPerMs(kLarge) < 25);
  Record(pace, kSmall, { .m_tokensPerMs = 2 }, 96);
  BOOST_TEST(pace.TokensPerMs(kSmall) < 4);
  Record(pace, kSmall, { .m_tokensPerMs = 200 }, 104);
  BOOST_TEST(pace.TokensPerMs(kSmall) > 130);
}
