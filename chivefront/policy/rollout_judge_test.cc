// Tests of the sequential test of a version against its predecessor.
#define BOOST_TEST_MODULE rollout_judge
#include <boost/test/unit_test.hpp>

#include <random>

#include "chivefront/policy/rollout_judge.h"

using namespace chivefront;
using policy::JudgeAction;
using policy::JudgeReason;
using policy::RolloutJudge;
using policy::VersionCounts;

namespace {

constexpr uint64_t kMaxExposed = 50;

base::TimePoint
At(int64_t aMs)
{
  return base::TimePoint(base::Millis(aMs));
}

VersionCounts
Counts(uint64_t aGood, uint64_t aBad)
{
  VersionCounts counts;
  counts.m_exposed = aGood + aBad;
  counts.m_good = aGood;
  counts.m_bad = aBad;
  counts.m_latencyMsSum = 1000 * counts.m_exposed;
  return counts;
}

// Looks after every request until a verdict; exposed requests are in aExposed.
JudgeAction
Run(uint64_t aSeed, double aRate, uint32_t aStage, uint64_t& aExposed)
{
  std::mt19937_64 random(aSeed);
  std::bernoulli_distribution good(aRate);
  RolloutJudge judge;
  VersionCounts counts;
  for (int64_t i = 1; i <= 2000; ++i) {
    const bool acceptable = good(random);
    counts = Counts(counts.m_good + (acceptable ? 1 : 0),
                    counts.m_bad + (acceptable ? 0 : 1));
    aExposed = counts.m_exposed;
    const auto verdict = judge.Evaluate(
      counts, Counts(800, 200), aStage, kMaxExposed, At(i * 1000));
    if (verdict.m_action == JudgeAction::Stop ||
        verdict.m_action == JudgeAction::Advance) {
      return verdict.m_action;
    }
  }
  return JudgeAction::Continue;
}

} // namespace

// Guards against a version with half the good ratings that is exposed to more
// than the bound.
BOOST_AUTO_TEST_CASE(BadVersionIsStoppedWithinTheBound)
{
  for (uint64_t seed = 1; seed <= 300; ++seed) {
    uint64_t exposed = 0;
    const JudgeAction action = Run(seed, 0.4, 0, exposed);
    BOOST_TEST((action == JudgeAction::Stop), "seed " << seed);
    BOOST_TEST(exposed <= kMaxExposed);
  }
}

// Guards against good roll-outs that are stopped because the test was looked
// at after every single request.
BOOST_AUTO_TEST_CASE(GoodVersionIsRarelyStoppedHoweverOftenLookedAt)
{
  int stopped = 0;
  for (uint64_t seed = 1; seed <= 1000; ++seed) {
    uint64_t exposed = 0;
    for (const uint32_t stage : { 0U, 3U }) {
      stopped += Run(seed, 0.8, stage, exposed) == JudgeAction::Stop ? 1 : 0;
    }
  }
  BOOST_TEST(stopped < 10);
}

// Guards against a verdict by exposure alone while ratings are missing.
BOOST_AUTO_TEST_CASE(HoldsAtTheBoundWithoutRatings)
{
  RolloutJudge judge;
  VersionCounts counts;
  counts.m_exposed = kMaxExposed;
  for (int64_t ms : { 0, 1000, 60000 }) {
    const auto verdict =
      judge.Evaluate(counts, Counts(800, 200), 0, kMaxExposed, At(ms));
    BOOST_TEST((verdict.m_action == JudgeAction::Hold));
  }
}

// Guards against a roll-out that is held for ever, with pinned sessions adding
// exposure.
BOOST_AUTO_TEST_CASE(HoldWithoutRatingsEnds)
{
  RolloutJudge judge;
  VersionCounts counts;
  counts.m_exposed = kMaxExposed;
  const auto look = [&](int64_t aMs) {
    ++counts.m_exposed;
    return judge.Evaluate(counts, Counts(800, 200), 0, kMaxExposed, At(aMs));
  };
  (void)look(0);
  const int64_t longest = policy::JudgeSettings().m_longestHold.Count();
  BOOST_TEST((look(longest - 1).m_action == JudgeAction::Hold));
  const auto verdict = look(longest);
  BOOST_TEST((verdict.m_action == JudgeAction::Stop));
  BOOST_TEST((verdict.m_reason == JudgeReason::NoRatings));
}

// Guards against failures that ratings do not show.
BOOST_AUTO_TEST_CASE(ErrorsLossesAndLatencyStop)
{
  const auto previous = Counts(800, 200);
  const auto reasonOf = [&](const VersionCounts& aCounts) {
    return RolloutJudge().Evaluate(aCounts, previous, 1, 50, At(0)).m_reason;
  };
  auto counts = Counts(24, 6);
  counts.m_errors = 10;
  BOOST_TEST((reasonOf(counts) == JudgeReason::Errors));
  counts = Counts(24, 6);
  counts.m_losses = 5;
  BOOST_TEST((reasonOf(counts) == JudgeReason::Losses));
  counts = Counts(24, 6);
  counts.m_latencyMsSum *= 4;
  BOOST_TEST((reasonOf(counts) == JudgeReason::Latency));
  BOOST_TEST((reasonOf(Counts(10, 2)) == JudgeReason::None));
}

// Guards against a version that turns bad long after its roll-out, when a
// long good history hides it, and against false alarms in good times.
BOOST_AUTO_TEST_CASE(MonitorCatchesALateTurn)
{
  std::mt19937_64 random(7);
  policy::VersionMonitor monitor(Counts(8000, 2000));
  VersionCounts counts;
  const auto step = [&](double aRate) {
    const bool good = std::bernoulli_distribution(aRate)(random);
    counts =
      Counts(counts.m_good + (good ? 1 : 0), counts.m_bad + (good ? 0 : 1));
    return monitor.Update(counts);
  };
  for (int i = 0; i < 50000; ++i) {
    BOOST_TEST_REQUIRE(!step(0.8));
  }
  int until = 0;
  while (until < 200 && !step(0.4)) {
    ++until;
  }
  BOOST_TEST(until < 120);
}
