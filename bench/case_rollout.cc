// Case rollout: requests exposed until a bad version is stopped, false stops
// of good roll-outs, and a version that becomes bad long after its roll-out.
// Ratings arrive late and kRatingError of them are wrong. The judge evaluates
// pooled counts every 200 ms, and its decisions take effect with a delay.
#include "bench/cases.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <random>

#include "chivefront/policy/rollout_judge.h"

namespace chivefront::bench {
namespace {

using policy::JudgeAction;
using policy::RolloutJudge;
using policy::VersionCounts;

constexpr double kEvaluationPeriodMs = 200;
// From an evaluation until its decision is in force at every entry: a commit
// and a watch interval; the freshness lease is the upper bound.
constexpr double kInForceMs = 800;
constexpr double kReportAgeMs = 200; // age of the pooled counts
constexpr double kRatingMeanMs = 1500;
constexpr double kRatingError = 0.03;
constexpr uint64_t kMaxExposed = 50;
constexpr uint64_t kGoodRunExposed = 3000;
constexpr int kGoodRunsPerSeed = 50; // 20 seeds make 1,000 good roll-outs
constexpr int kBadRunsPerSeed = 50;
constexpr double kShares[] = { 0.02, 0.1, 0.3, 1.0 };
constexpr double kMaxRunMs = 3600 * 1000.0;

constexpr double kStrongRate = 0.8;

enum class Method
{
  Judge,
  NaiveTest, // a test at the 1% level, repeated at every evaluation
};

struct Outcome
{
  bool m_stopped = false;
  bool m_finished = false;
  uint64_t m_exposed = 0;
  double m_endMs = 0;
  uint32_t m_stage = 0;
};

struct PendingRating
{
  double m_at;
  bool m_new;
  bool m_good;
  bool operator<(const PendingRating& aOther) const
  {
    return m_at < aOther.m_at;
  }
};

bool
NaiveStops(const VersionCounts& aNew, const VersionCounts& aOld)
{
  const auto first = static_cast<double>(aNew.m_good + aNew.m_bad);
  const auto second = static_cast<double>(aOld.m_good + aOld.m_bad);
  if (first < 5 || second < 5) {
    return false;
  }
  const double newRate = static_cast<double>(aNew.m_good) / first;
  const double oldRate = static_cast<double>(aOld.m_good) / second;
  const double pooled =
    static_cast<double>(aNew.m_good + aOld.m_good) / (first + second);
  const double error =
    std::sqrt(pooled * (1 - pooled) * (1 / first + 1 / second));
  constexpr double kOnePercent = 2.326; // one-sided normal quantile
  return error > 0 && (oldRate - newRate) / error > kOnePercent;
}

// One roll-out with steady traffic.
Outcome
RunRollout(double aOldRate,
           double aNewRate,
           double aPerSecond,
           Method aMethod,
           uint64_t aMaxExposed,
           uint64_t aSeed)
{
  std::mt19937_64 random(aSeed);
  std::uniform_real_distribution<double> uniform(0, 1);
  const auto drawRating = [&](double aRate) {
    const bool good = uniform(random) < aRate;
    return good != (uniform(random) < kRatingError);
  };
  RolloutJudge judge;
  Outcome outcome;
  VersionCounts newCounts;
  VersionCounts oldCounts;
  // Sampled ratings of the predecessor from before the roll-out.
  for (int i = 0; i < 300; ++i) {
    ++oldCounts.m_exposed;
    ++(drawRating(aOldRate) ? oldCounts.m_good : oldCounts.m_bad);
    oldCounts.m_latencyMsSum += 1000;
  }
  std::vector<PendingRating> pending; // a heap, earliest first
  const auto later = [](const PendingRating& aLeft,
                        const PendingRating& aRight) { return aRight < aLeft; };
  std::deque<std::pair<double, JudgeAction>> decisions; // not yet in force
  std::deque<std::pair<double, std::pair<VersionCounts, VersionCounts>>>
    reported;
  bool paused = false;
  uint32_t stage = 0;      // the stage that is in force at the entries
  uint32_t judgeStage = 0; // the stage that the judge has decided on
  const double stepMs = 1000 / aPerSecond;
  double nextEvaluationMs = 0;
  for (double now = 0; now < kMaxRunMs; now += stepMs) {
    while (!decisions.empty() && decisions.front().first <= now) {
      const JudgeAction action = decisions.front().second;
      decisions.pop_front();
      if (action == JudgeAction::Stop) {
        outcome.m_stopped = true;
        outcome.m_endMs = now;
        outcome.m_stage = stage;
        return outcome;
      }
      paused = action == JudgeAction::Hold;
      stage += action == JudgeAction::Advance ? 1 : 0;
    }
    if (stage >= std::size(kShares) || outcome.m_exposed >= aMaxExposed) {
      outcome.m_finished = true;
      outcome.m_endMs = now;
      outcome.m_stage = stage;
      return outcome;
    }
    const bool toNew = !paused && uniform(random) < kShares[stage];
    VersionCounts& counts = toNew ? newCounts : oldCounts;
    ++counts.m_exposed;
    counts.m_latencyMsSum += static_cast<uint64_t>(
      std::lognormal_distribution<double>(std::log(900), 0.5)(random));
    outcome.m_exposed += toNew ? 1 : 0;
    // All answers of a version under roll-out are rated; of its predecessor
    // only a sample is.
    if (toNew || uniform(random) < policy::kPredecessorSampleShare) {
      const double delay =
        std::exponential_distribution<double>(1 / kRatingMeanMs)(random);
      pending.push_back(
        { now + delay, toNew, drawRating(toNew ? aNewRate : aOldRate) });
      std::push_heap(pending.begin(), pending.end(), later);
    }
    while (!pending.empty() && pending.front().m_at <= now) {
      std::pop_heap(pending.begin(), pending.end(), later);
      const PendingRating rating = pending.back();
      pending.pop_back();
      VersionCounts& target = rating.m_new ? newCounts : oldCounts;
      ++(rating.m_good ? target.m_good : target.m_bad);
    }
    if (now < nextEvaluationMs) {
      continue;
    }
    nextEvaluationMs = now + kEvaluationPeriodMs;
    reported.push_back({ now, { newCounts, oldCounts } });
    while (reported.size() > 1 && reported[1].first <= now - kReportAgeMs) {
      reported.pop_front();
    }
    const auto& [reportedNew, reportedOld] = reported.front().second;
    const base::TimePoint at{ base::Millis(static_cast<int64_t>(now)) };
    JudgeAction action = JudgeAction::Continue;
    if (aMethod == Method::Judge) {
      action =
        judge.Evaluate(reportedNew, reportedOld, judgeStage, kMaxExposed, at)
          .m_action;
    } else if (NaiveStops(reportedNew, reportedOld)) {
      action = JudgeAction::Stop;
    }
    judgeStage += action == JudgeAction::Advance ? 1 : 0;
    const bool repeated =
      !decisions.empty() && decisions.back().second == action;
    if (!repeated || action == JudgeAction::Advance) {
      decisions.emplace_back(now + kInForceMs, action);
    }
  }
  outcome.m_endMs = kMaxRunMs;
  outcome.m_stage = stage;
  return outcome;
}

double
DrawRate(std::mt19937_64& aRandom)
{
  return std::uniform_real_distribution<double>(0.6, 0.97)(aRandom);
}

double
DrawTraffic(std::mt19937_64& aRandom)
{
  // 5 to 200 requests per second, log-uniform.
  return 5 *
         std::pow(40, std::uniform_real_distribution<double>(0, 1)(aRandom));
}

void
RunBadVersions(uint64_t aSeed, Report& aReport)
{
  std::mt19937_64 random(aSeed);
  std::vector<double> exposed;
  double passed = 0;
  double within = 0;
  double strong = 0;
  double strongWithin = 0;
  for (int run = 0; run < kBadRunsPerSeed; ++run) {
    const double rate = DrawRate(random);
    const double traffic = DrawTraffic(random);
    const Outcome outcome =
      RunRollout(rate, rate / 2, traffic, Method::Judge, 100000, random());
    exposed.push_back(static_cast<double>(outcome.m_exposed));
    passed += outcome.m_stage > 0 || !outcome.m_stopped ? 1 : 0;
    const bool inTime = outcome.m_stopped && outcome.m_exposed <= kMaxExposed;
    within += inTime ? 1 : 0;
    strong += rate >= kStrongRate ? 1 : 0;
    strongWithin += inTime && rate >= kStrongRate ? 1 : 0;
  }
  const auto add = [&](const char* aName,
                       double aValue,
                       std::optional<Goal> aGoal = std::nullopt) {
    aReport.Add("rollout", "bad version", aName, aValue, aGoal);
  };
  add("exposed until stopped, median", QuantileOf(exposed, 0.5));
  add("exposed until stopped, highest",
      QuantileOf(exposed, 1),
      Goal{ GoalKind::AtMost, static_cast<double>(kMaxExposed) });
  add("stopped within 50 exposed, share", within / kBadRunsPerSeed);
  add("same, predecessor at least 80% good", strongWithin / strong);
  add("passed the first stage, share", passed / kBadRunsPerSeed);
}

void
RunGoodVersions(uint64_t aSeed, Report& aReport)
{
  for (const Method method : { Method::Judge, Method::NaiveTest }) {
    std::mt19937_64 random(aSeed);
    const char* name =
      method == Method::Judge ? "good version" : "good, repeated z-test";
    double stopped = 0;
    double finished = 0;
    std::vector<double> minutes;
    for (int run = 0; run < kGoodRunsPerSeed; ++run) {
      const double rate = DrawRate(random);
      const double traffic = DrawTraffic(random);
      const Outcome outcome =
        RunRollout(rate, rate, traffic, method, kGoodRunExposed, random());
      stopped += outcome.m_stopped ? 1 : 0;
      finished += outcome.m_finished ? 1 : 0;
      minutes.push_back(outcome.m_endMs / 60000);
    }
    aReport.Add("rollout",
                name,
                "stopped, share",
                stopped / kGoodRunsPerSeed,
                method == Method::Judge
                  ? std::optional<Goal>({ GoalKind::AtMost, 0.01 })
                  : std::nullopt);
    aReport.Add(
      "rollout", name, "passed all stages, share", finished / kGoodRunsPerSeed);
    aReport.Add("rollout",
                name,
                "minutes until the end, median",
                QuantileOf(minutes, 0.5));
  }
}

// Counts the ratings until VersionMonitor raises an alarm for a version whose
// rate of good ratings falls to half, and the false alarms in 100,000 ratings
// before that.
void
RunLateRegression(uint64_t aSeed, Report& aReport)
{
  std::mt19937_64 random(aSeed);
  const double rate = DrawRate(random);
  VersionCounts counts;
  const auto addRating = [&](double aRate) {
    ++counts.m_exposed;
    ++(std::bernoulli_distribution(aRate)(random) ? counts.m_good
                                                  : counts.m_bad);
  };
  for (int i = 0; i < 3000; ++i) {
    addRating(rate);
  }
  policy::VersionMonitor monitor(counts);
  monitor.Update(counts);
  double alarms = 0;
  for (int i = 0; i < 100000; ++i) {
    addRating(rate);
    alarms += i % 10 == 0 && monitor.Update(counts) ? 1 : 0;
  }
  aReport.Add("rollout", "late turn", "false alarms in 100,000", alarms);
  int until = 0;
  while (until < 2000) {
    addRating(rate / 2);
    if (++until % 10 == 0 && monitor.Update(counts)) {
      break;
    }
  }
  aReport.Add("rollout", "late turn", "ratings until the alarm", until);
}

} // namespace

void
RunRollout(const Seeds& aSeeds, Report& aReport)
{
  for (uint64_t i = 0; i < aSeeds.m_count; ++i) {
    const uint64_t seed = aSeeds.m_first + i;
    RunBadVersions(seed, aReport);
    RunGoodVersions(seed, aReport);
    RunLateRegression(seed, aReport);
  }
}

} // namespace chivefront::bench
