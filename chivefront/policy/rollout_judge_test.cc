// Tests of the roll-out judge and of the version monitor.
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

// Evaluates after every request until the roll-out stops or advances. aExposed
// is set to the number of exposed requests.
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

// Guards against a version with half the predecessor's acceptance rate that
// receives more requests than the exposure bound.
BOOST_AUTO_TEST_CASE(BadVersionIsStoppedWithinTheBound)
{
  for (uint64_t seed = 1; seed <= 300; ++seed) {
    uint64_t exposed = 0;
    const JudgeAction action = Run(seed, 0.4, 0, exposed);
    BOOST_TEST((action == JudgeAction::Stop), "seed " << seed);
    BOOST_TEST(exposed <= kMaxExposed);
  }
}

// Guards against false stops of good versions: with a test of fixed sample
// size, an evaluation after every request would raise their number far above
// the stated probability.
BOOST_AUTO_TEST_CASE(GoodVersionIsRarelyStoppedByRepeatedEvaluation)
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

// Guards against a decision at the exposure bound while ratings are missing.
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

// Guards against a roll-out that is held forever while pinned sessions add to
// its exposure.
BOOST_AUTO_TEST_CASE(HoldWithoutRatingsEnds)
{
  RolloutJudge judge;
  VersionCounts counts;
  counts.m_exposed = kMaxExposed;
  const auto evaluate = [&](int64_t aMs) {
    ++counts.m_exposed;
    return judge.Evaluate(counts, Counts(800, 200), 0, kMaxExposed, At(aMs));
  };
  (void)evaluate(0);
  const int64_t maxHold = policy::JudgeSettings().m_maxHold.Count();
  BOOST_TEST((evaluate(maxHold - 1).m_action == JudgeAction::Hold));
  const auto verdict = evaluate(maxHold);
  BOOST_TEST((verdict.m_action == JudgeAction::Stop));
  BOOST_TEST((verdict.m_reason == JudgeReason::NoRatings));
}

// Guards against errors, losses and latency that leave the ratings unchanged.
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

// Guards against a regression long after the roll-out that is hidden by a long
// good history, and against false alarms before it.
BOOST_AUTO_TEST_CASE(MonitorDetectsALateRegression)
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
  int requests = 0;
  while (requests < 200 && !step(0.4)) {
    ++requests;
  }
  BOOST_TEST(requests < 120);
}
