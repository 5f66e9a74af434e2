// Tests of the concurrency limit of one upstream.
// Promises: cold-start
#define BOOST_TEST_MODULE limiter
#include <boost/test/unit_test.hpp>

#include <random>
#include <vector>

#include "chivefront/policy/limiter.h"

using namespace chivefront;
using policy::UpstreamLimiter;
using Result = UpstreamLimiter::Result;

namespace {

catalog::UpstreamRule
Rule()
{
  catalog::UpstreamRule rule;
  rule.m_coldLimit = 2;
  rule.m_fullLimit = 8;
  rule.m_rampSuccesses = 2;
  return rule;
}

base::TimePoint
At(int64_t aMs)
{
  return base::TimePoint(base::Millis(aMs));
}

// Runs full batches of unary requests, all taking aLatencyMs.
int64_t
RunBatches(UpstreamLimiter& aLimiter,
           int aBatches,
           int64_t aLatencyMs,
           int64_t aNow)
{
  for (int i = 0; i < aBatches; ++i) {
    std::vector<UpstreamLimiter::Ticket> tickets;
    while (auto ticket = aLimiter.TryAdmit({}, At(aNow))) {
      tickets.push_back(*ticket);
    }
    aNow += aLatencyMs;
    for (const auto& ticket : tickets) {
      aLimiter.Finish(ticket, Result::Success, At(aNow));
    }
  }
  return aNow;
}

} // namespace

// Guards against a limit that rises without successes, or above the full limit
// of the rule.
BOOST_AUTO_TEST_CASE(StartsColdAndRisesToFullBySuccesses)
{
  UpstreamLimiter limiter(Rule());
  BOOST_TEST(limiter.Limit() == 2U);
  for (int i = 0; i < 20; ++i) {
    const auto ticket = limiter.TryAdmit({}, At(i));
    limiter.Finish(*ticket, Result::Neutral, At(i));
  }
  BOOST_TEST(limiter.Limit() == 2U);
  RunBatches(limiter, 20, 100, 0);
  BOOST_TEST(limiter.Limit() == 8U);
}

// Guards against an upstream that keeps the default limit of 1 because its
// agent learned of it before its rule, and against a new rule that resets a
// limit that has ramped up.
BOOST_AUTO_TEST_CASE(ColdUpstreamFollowsItsRule)
{
  UpstreamLimiter limiter(catalog::UpstreamRule{});
  catalog::UpstreamRule rule = Rule();
  limiter.SetRule(rule);
  BOOST_TEST(limiter.Limit() == rule.m_coldLimit);
  RunBatches(limiter, 20, 100, 0);
  rule.m_coldLimit = 4;
  limiter.SetRule(rule);
  BOOST_TEST(limiter.Limit() == rule.m_fullLimit);
  rule.m_fullLimit = 5;
  limiter.SetRule(rule);
  BOOST_TEST(limiter.Limit() == 5U);
}

// Guards against admitting more work than the limit, with random sequences of
// admissions, results, losses and restarts.
BOOST_AUTO_TEST_CASE(NeverAdmitsMoreThanTheLimit)
{
  for (uint64_t seed = 1; seed <= 50; ++seed) {
    std::mt19937_64 random(seed);
    UpstreamLimiter limiter(Rule());
    std::vector<UpstreamLimiter::Ticket> open;
    for (int i = 0; i < 2000; ++i) {
      const auto now = At(i * 10);
      const uint64_t action = random() % 100;
      if (action < 50) {
        const auto ticket = limiter.TryAdmit({ random() % 4 == 0 }, now);
        if (ticket) {
          open.push_back(*ticket);
          BOOST_TEST_REQUIRE(limiter.Running() <= limiter.Limit());
        }
      } else if (action < 97 && !open.empty()) {
        const size_t at = random() % open.size();
        limiter.Finish(
          open[at], action < 94 ? Result::Success : Result::Refused, now);
        open.erase(open.begin() + static_cast<ptrdiff_t>(at));
      } else if (action == 98) {
        limiter.OnLost(now);
      } else if (action == 99) {
        limiter.OnIncarnation(std::to_string(i), now);
      }
      BOOST_TEST_REQUIRE(limiter.Limit() <= 8U);
    }
  }
}

// Guards against full load on an upstream that has restarted or was lost, and
// against late results of the old process that raise the limit of the new one.
BOOST_AUTO_TEST_CASE(NewIncarnationAndLossAreColdAgain)
{
  UpstreamLimiter limiter(Rule());
  limiter.OnIncarnation("a", At(0));
  const int64_t now = RunBatches(limiter, 20, 100, 0);
  std::vector<UpstreamLimiter::Ticket> old;
  while (auto ticket = limiter.TryAdmit({}, At(now))) {
    old.push_back(*ticket);
  }
  limiter.OnIncarnation("b", At(now));
  BOOST_TEST(limiter.Limit() == 2U);
  BOOST_TEST(limiter.Running() == 0U);
  for (const auto& ticket : old) {
    limiter.Finish(ticket, Result::Success, At(now));
  }
  BOOST_TEST(limiter.Limit() == 2U);
  const int64_t later = RunBatches(limiter, 20, 100, now);
  limiter.OnLost(At(later));
  BOOST_TEST(limiter.Limit() == 2U);
}

// Guards against an unchanged limit and immediate attempts after the upstream
// refused work.
BOOST_AUTO_TEST_CASE(RefusedWorkDropsTheLimitAndPauses)
{
  UpstreamLimiter limiter(Rule());
  const int64_t now = RunBatches(limiter, 20, 100, 0);
  const auto ticket = limiter.TryAdmit({}, At(now));
  limiter.Finish(*ticket, Result::Refused, At(now));
  BOOST_TEST(limiter.Limit() == 2U);
  BOOST_TEST(!limiter.TryAdmit({}, At(now)).has_value());
  BOOST_TEST(limiter.TryAdmit({}, limiter.PausedUntil()).has_value());
}

// Guards against full load on an upstream that became cold without a change of
// its incarnation, and against single slow answers that drop the limit.
BOOST_AUTO_TEST_CASE(LatencyStepDropsTheLimitButSingleOutliersDoNot)
{
  UpstreamLimiter limiter(Rule());
  int64_t now = RunBatches(limiter, 20, 100, 0);
  const auto slow = limiter.TryAdmit({}, At(now));
  limiter.Finish(*slow, Result::Success, At(now + 5000));
  BOOST_TEST(limiter.Limit() == 8U);
  now = RunBatches(limiter, 5, 110, now + 5000);
  BOOST_TEST(limiter.Limit() == 8U);
  RunBatches(limiter, 1, 800, now);
  BOOST_TEST(limiter.Limit() == 2U);
}

// Guards against new work for a stalled upstream: without a first byte there is
// no latency sample that could drop the limit.
BOOST_AUTO_TEST_CASE(OverdueFirstBytesDropTheLimit)
{
  auto rule = Rule();
  rule.m_coldLimit = 1;
  UpstreamLimiter limiter(rule);
  int64_t now = 0;
  while (limiter.Limit() < 8) {
    auto ticket = limiter.TryAdmit({ .m_stream = true }, At(now));
    auto other = limiter.TryAdmit({ .m_stream = true }, At(now));
    auto third = limiter.TryAdmit({ .m_stream = true }, At(now));
    auto fourth = limiter.TryAdmit({ .m_stream = true }, At(now));
    now += 100;
    for (auto* each : { &ticket, &other, &third, &fourth }) {
      if (*each) {
        limiter.OnFirstByte(**each, At(now));
        limiter.Finish(**each, Result::Success, At(now));
      }
    }
  }
  for (int i = 0; i < 3; ++i) {
    BOOST_TEST(limiter.TryAdmit({ .m_stream = true }, At(now)).has_value());
  }
  BOOST_TEST(limiter.TryAdmit({ .m_stream = true }, At(now + 150)).has_value());
  BOOST_TEST(
    !limiter.TryAdmit({ .m_stream = true }, At(now + 400)).has_value());
  BOOST_TEST(limiter.Limit() == 1U);
}

// Guards against two suspects on one upstream: if one of them crashes the
// upstream, the other one would be suspected for that as well.
BOOST_AUTO_TEST_CASE(OneSuspectAtATime)
{
  UpstreamLimiter limiter(Rule());
  const auto first = limiter.TryAdmit({ .m_suspect = true }, At(0));
  BOOST_TEST(first.has_value());
  BOOST_TEST(!limiter.TryAdmit({ .m_suspect = true }, At(0)).has_value());
  BOOST_TEST(limiter.TryAdmit({}, At(0)).has_value());
  limiter.Finish(*first, Result::Neutral, At(1));
  BOOST_TEST(limiter.TryAdmit({ .m_suspect = true }, At(1)).has_value());
}
