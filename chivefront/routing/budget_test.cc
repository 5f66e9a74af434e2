// Bounds on retries and on requests to cold upstreams.
#define BOOST_TEST_MODULE routing_budget
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <deque>
#include <random>

#include "chivefront/routing/budget.h"

using namespace chivefront;
using namespace chivefront::routing;

namespace {

constexpr base::Millis kWindow{ 10000 };

base::TimePoint
At(int64_t aMillis)
{
  return base::TimePoint(base::Millis(aMillis));
}

} // namespace

// Guards against a budget that counts only the newest requests: after a time
// with few requests an upstream with many streams fails, and all streams need a
// retry at the same moment.
BOOST_AUTO_TEST_CASE(BurstOfFailedStreamsIsRetried)
{
  WindowedRetryBudget budget(0.75, kWindow);
  int64_t now = 100000;
  for (int i = 0; i < 60; ++i) {
    now += 100;
    budget.OnFirstAttempt(At(now));
  }
  int retried = 0;
  for (int i = 0; i < 30; ++i) {
    retried += budget.Take(0, At(now)) ? 1 : 0;
  }
  BOOST_TEST(retried == 30);
}

// Under random load no sliding window has more retries than the bound allows.
// The requests that the bound refers to are those of the window, of the window
// that ends half a window earlier, or of the previous one, whichever has most.
BOOST_AUTO_TEST_CASE(NoWindowExceedsTheBound)
{
  constexpr double kRatio = 0.5;
  constexpr double kExtra = 5;
  const int64_t window = kWindow.Count();
  const auto countIn = [&](const std::deque<int64_t>& aTimes, int64_t aEnd) {
    return std::count_if(aTimes.begin(), aTimes.end(), [&](int64_t aTime) {
      return aTime > aEnd - window && aTime <= aEnd;
    });
  };
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    std::mt19937_64 random(seed);
    WindowedRetryBudget budget(kRatio, kWindow);
    std::deque<int64_t> requests;
    std::deque<int64_t> retries;
    int64_t now = 50000;
    for (int i = 0; i < 5000; ++i) {
      // Alternates between low rates and bursts.
      now += static_cast<int64_t>(random() % (i / 500 % 2 == 0 ? 10 : 200));
      if (random() % 3 == 0) {
        budget.OnFirstAttempt(At(now));
        requests.push_back(now);
      }
      if (budget.Take(kExtra, At(now))) {
        retries.push_back(now);
      }
      while (!requests.empty() && now - requests.front() >= 2 * window) {
        requests.pop_front();
      }
      while (!retries.empty() && now - retries.front() >= window) {
        retries.pop_front();
      }
      const auto most = std::max({ countIn(requests, now),
                                   countIn(requests, now - window / 2),
                                   countIn(requests, now - window) });
      BOOST_REQUIRE_LE(static_cast<double>(retries.size()),
                       kRatio * static_cast<double>(most) + kExtra);
    }
  }
}

// Guards against a cold upstream that gets more than its rate because every
// entry has requests for it.
BOOST_AUTO_TEST_CASE(ColdUpstreamGetsItsRateFromAllEntries)
{
  constexpr int kEntries = 8;
  constexpr double kPerSecond = 16;
  std::vector<TokenBucket> buckets(kEntries);
  std::deque<int64_t> sent;
  size_t most = 0;
  for (int64_t now = 1000; now < 11000; now += 5) {
    for (TokenBucket& bucket : buckets) {
      if (bucket.Take(kPerSecond / kEntries, 1, At(now))) {
        sent.push_back(now);
      }
    }
    while (!sent.empty() && now - sent.front() >= 1000) {
      sent.pop_front();
    }
    most = std::max(most, sent.size());
  }
  // The rate, plus a burst of one request from each entry.
  BOOST_TEST(most <= kPerSecond + kEntries);
  BOOST_TEST(most >= kPerSecond);
}
