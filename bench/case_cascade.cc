// Case cascade: cost at the quality target. Versions answer requests of
// varying difficulty; kRatingError of the ratings are wrong. The oracle
// knows every version's true acceptance rates and picks the cheapest plan of
// the same kinds that meets the target.
#include "bench/cases.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <random>

#include "chivefront/policy/cascade.h"

namespace chivefront::bench {
namespace {

using policy::Cascade;
using policy::CascadeOption;
using policy::CascadePlan;
using policy::CascadeRequest;
using policy::CascadeRule;
using policy::PlanStep;

constexpr size_t kVersions = 4;
constexpr size_t kTeams = 10;
constexpr size_t kTasks = 3;
constexpr size_t kRequests = 60000;
constexpr double kRatingError = 0.03;
constexpr double kRatingCost = 20;
constexpr double kStreamedShare = 0.3;
constexpr int kOracleDraws = 20000;
// Share of the variance of a request's difficulty that all versions have in
// common.
constexpr double kSharedDifficulty = 0.6;

const std::array<const char*, kTasks> kTaskNames{ "tag", "question", "sheet" };
const std::array<uint64_t, kVersions> kPromptCosts{ 50, 200, 750, 2000 };
const std::array<uint64_t, kVersions> kAnswerCosts{ 150, 600, 2250, 6000 };
const std::array<int64_t, kVersions> kLatencies{ 500, 900, 2000, 4000 };
const std::array<std::array<double, kVersions>, kTasks> kAcceptance{ {
  { 0.92, 0.95, 0.97, 0.98 },
  { 0.70, 0.84, 0.92, 0.95 },
  { 0.40, 0.66, 0.86, 0.94 },
} };
const std::array<double, kTasks> kLowestTarget{ 0.85, 0.80, 0.75 };

// One team's task with the true acceptance rates of all versions.
struct Bucket
{
  std::array<double, kVersions> m_thresholds; // of the normal difficulty
  double m_target = 0;
  double m_weight = 1;
  CascadeRequest m_request;
  std::vector<size_t> m_oracle[2]; // plans: drafts allowed, streamed
};

// The inverse of the normal distribution function, by bisection.
double
Probit(double aShare)
{
  double low = -8;
  double high = 8;
  for (int i = 0; i < 60; ++i) {
    const double middle = (low + high) / 2;
    (std::erfc(-middle / std::sqrt(2.0)) / 2 < aShare ? low : high) = middle;
  }
  return low;
}

// Whether each version's answer to one request is acceptable.
std::array<bool, kVersions>
DrawAnswers(const Bucket& aBucket, std::mt19937_64& aRandom)
{
  std::normal_distribution<double> normal;
  const double shared = std::sqrt(kSharedDifficulty) * normal(aRandom);
  std::array<bool, kVersions> answers{};
  for (size_t i = 0; i < kVersions; ++i) {
    const double own = std::sqrt(1 - kSharedDifficulty) * normal(aRandom);
    answers[i] = shared + own < aBucket.m_thresholds[i];
  }
  return answers;
}

struct Result
{
  double m_cost = 0;
  bool m_acceptable = false;
};

// Runs one plan on the given answers and calls aRate(version, step, rating)
// for each rating. With aSample the last answer is rated too.
template<typename Rate>
Result
RunPlan(const std::vector<size_t>& aPlan,
        const std::array<bool, kVersions>& aAnswers,
        const CascadeRequest& aRequest,
        bool aSample,
        std::mt19937_64& aRandom,
        Rate aRate)
{
  std::bernoulli_distribution wrong(kRatingError);
  Result result;
  for (size_t i = 0; i < aPlan.size(); ++i) {
    const size_t version = aPlan[i];
    result.m_cost += (aRequest.m_promptTokens * kPromptCosts[version] +
                      aRequest.m_answerTokens * kAnswerCosts[version]) /
                     1000.0;
    result.m_acceptable = aAnswers[version];
    const bool last = i + 1 == aPlan.size();
    if (last && !aSample) {
      break;
    }
    result.m_cost += kRatingCost;
    const bool rated = aAnswers[version] != wrong(aRandom);
    aRate(version, i, rated);
    if (rated) {
      break;
    }
  }
  return result;
}

// The cheapest plan by true rates, found by running every plan.
std::vector<size_t>
Oracle(const Bucket& aBucket, size_t aMaxSteps, uint64_t aSeed)
{
  std::vector<size_t> best{ kVersions - 1 };
  double bestCost = 0;
  double bestQuality = -1;
  for (size_t mask = 1; mask < (1U << kVersions); ++mask) {
    std::vector<size_t> plan;
    for (size_t i = 0; i < kVersions; ++i) {
      if ((mask >> i & 1U) != 0) {
        plan.push_back(i);
      }
    }
    if (plan.size() > aMaxSteps) {
      continue;
    }
    std::mt19937_64 random(aSeed);
    double cost = 0;
    double good = 0;
    for (int i = 0; i < kOracleDraws; ++i) {
      const auto answers = DrawAnswers(aBucket, random);
      const Result result = RunPlan(plan,
                                    answers,
                                    aBucket.m_request,
                                    false,
                                    random,
                                    [](size_t, size_t, bool) {});
      cost += result.m_cost;
      good += result.m_acceptable ? 1 : 0;
    }
    const double quality = good / kOracleDraws;
    const bool meets = quality >= aBucket.m_target;
    const bool bestMeets = bestQuality >= aBucket.m_target;
    if ((meets && (!bestMeets || cost < bestCost)) ||
        (!meets && !bestMeets && quality > bestQuality)) {
      best = plan;
      bestCost = cost;
      bestQuality = quality;
    }
  }
  return best;
}

std::vector<Bucket>
Buckets(uint64_t aSeed)
{
  std::mt19937_64 random(aSeed);
  std::normal_distribution<double> normal;
  std::uniform_real_distribution<double> uniform(0, 1);
  std::vector<Bucket> buckets;
  for (size_t team = 0; team < kTeams; ++team) {
    // The first two teams are large, as at the users' sites.
    const double weight = team < 2 ? 8 : 1 + uniform(random);
    for (size_t task = 0; task < kTasks; ++task) {
      Bucket bucket;
      const double jitter = 0.25 * normal(random);
      for (size_t i = 0; i < kVersions; ++i) {
        bucket.m_thresholds[i] =
          Probit(kAcceptance[task][i]) + jitter + 0.05 * normal(random);
      }
      bucket.m_target = kLowestTarget[task] + 0.1 * uniform(random);
      bucket.m_weight = weight;
      CascadeRequest& request = bucket.m_request;
      request.m_team = "team" + std::to_string(team);
      request.m_task = kTaskNames[task];
      request.m_target.m_quality = bucket.m_target;
      request.m_promptTokens = 800;
      request.m_answerTokens = 300;
      for (size_t i = 0; i < kVersions; ++i) {
        request.m_options.push_back({ std::to_string(i),
                                      static_cast<int>(i),
                                      kPromptCosts[i],
                                      kAnswerCosts[i],
                                      0,
                                      base::Millis(kLatencies[i]) });
      }
      bucket.m_oracle[0] = Oracle(bucket, 3, random());
      bucket.m_oracle[1] = Oracle(bucket, 1, random());
      buckets.push_back(bucket);
    }
  }
  return buckets;
}

struct Totals
{
  double m_cost = 0;
  double m_secondHalfCost = 0;
  double m_shortfall = 0; // target minus quality, mean over requests
  double m_secondHalfShortfall = 0;
  double m_largestShortfall = 0; // of a bucket in the second half
  double m_explored = 0;         // share of exploring requests
};

enum class Chooser
{
  Cascade,
  Oracle,
  Best,
  Cheapest,
};

Totals
RunChooser(std::vector<Bucket>& aBuckets,
           Chooser aChooser,
           const policy::CascadeSettings& aSettings,
           uint64_t aSeed)
{
  std::mt19937_64 random(aSeed);
  std::vector<double> weights;
  for (const Bucket& bucket : aBuckets) {
    weights.push_back(bucket.m_weight);
  }
  std::discrete_distribution<size_t> pick(weights.begin(), weights.end());
  std::bernoulli_distribution streams(kStreamedShare);
  Cascade cascade(aSettings, aSeed);
  Totals totals;
  std::vector<double> secondHalfShortfall(aBuckets.size());
  std::vector<double> secondHalfCount(aBuckets.size());
  // Ratings use their own random generator, so that every chooser gets the
  // same requests.
  std::mt19937_64 ratings(aSeed + 1);
  for (size_t n = 0; n < kRequests; ++n) {
    const size_t at = pick(random);
    Bucket& bucket = aBuckets[at];
    CascadeRequest& request = bucket.m_request;
    request.m_stream = streams(random);
    const auto answers = DrawAnswers(bucket, random);
    const base::TimePoint now{ base::Millis(static_cast<int64_t>(n) * 50) };
    std::vector<size_t> plan{ kVersions - 1 };
    bool sample = false;
    if (aChooser == Chooser::Oracle) {
      plan = bucket.m_oracle[request.m_stream ? 1 : 0];
    } else if (aChooser == Chooser::Cheapest) {
      plan = { 0 };
    } else if (aChooser == Chooser::Cascade) {
      const CascadePlan chosen = cascade.Plan(request, now);
      plan.clear();
      for (const std::string& version : chosen.m_versions) {
        plan.push_back(std::stoul(version));
      }
      sample = chosen.m_rateLastAnswer;
      totals.m_explored += chosen.m_explores ? 1 : 0;
    }
    const Result result =
      RunPlan(plan,
              answers,
              request,
              sample,
              ratings,
              [&](size_t aVersion, size_t aStep, bool aGood) {
                cascade.OnRating(request.m_team,
                                 request.m_task,
                                 std::to_string(aVersion),
                                 aStep == 0 ? PlanStep::First
                                            : PlanStep::AfterRejection,
                                 aGood,
                                 now);
              });
    const double shortfall = bucket.m_target - (result.m_acceptable ? 1 : 0);
    totals.m_cost += result.m_cost;
    totals.m_shortfall += shortfall;
    if (n >= kRequests / 2) {
      totals.m_secondHalfCost += result.m_cost;
      totals.m_secondHalfShortfall += shortfall;
      secondHalfShortfall[at] += shortfall;
      secondHalfCount[at] += 1;
    }
  }
  totals.m_shortfall /= kRequests;
  totals.m_secondHalfShortfall /= kRequests / 2.0;
  totals.m_explored /= kRequests;
  totals.m_largestShortfall = -1;
  for (size_t i = 0; i < aBuckets.size(); ++i) {
    totals.m_largestShortfall = std::max(
      totals.m_largestShortfall, secondHalfShortfall[i] / secondHalfCount[i]);
  }
  return totals;
}

struct Variant
{
  const char* m_name;
  Chooser m_chooser;
  CascadeRule m_rule;
  double m_lowerBoundDeviations =
    policy::CascadeSettings().m_lowerBoundDeviations;
  double m_exploreShare = policy::CascadeSettings().m_exploreShare;
  double m_maxPooledRatings = policy::EstimatorSettings().m_maxPooledRatings;
};

const std::vector<Variant> kVariants{
  { "oracle", Chooser::Oracle, CascadeRule::Index },
  { "always best", Chooser::Best, CascadeRule::Index },
  { "always cheapest", Chooser::Cheapest, CascadeRule::Index },
  { "fixed threshold", Chooser::Cascade, CascadeRule::FixedThreshold },
  { "index", Chooser::Cascade, CascadeRule::Index },
  { "thompson", Chooser::Cascade, CascadeRule::Thompson },
  { "thompson, caution 1", Chooser::Cascade, CascadeRule::Thompson, 1 },
  { "thompson, share 0.2", Chooser::Cascade, CascadeRule::Thompson, 0.3, 0.2 },
  { "thompson, pool 10", Chooser::Cascade, CascadeRule::Thompson, 0.3, 1, 10 },
};

} // namespace

void
RunCascade(const Seeds& aSeeds, Report& aReport)
{
  for (uint64_t i = 0; i < aSeeds.m_count; ++i) {
    const uint64_t seed = aSeeds.m_first + i;
    std::vector<Bucket> buckets = Buckets(seed);
    Totals oracle;
    Totals best;
    for (const Variant& variant : kVariants) {
      policy::CascadeSettings settings;
      settings.m_rule = variant.m_rule;
      settings.m_lowerBoundDeviations = variant.m_lowerBoundDeviations;
      settings.m_exploreShare = variant.m_exploreShare;
      settings.m_estimator.m_maxPooledRatings = variant.m_maxPooledRatings;
      settings.m_ratingCost = kRatingCost;
      settings.m_ratingError = kRatingError;
      const Totals totals =
        RunChooser(buckets, variant.m_chooser, settings, seed * 1000);
      if (variant.m_chooser == Chooser::Oracle) {
        oracle = totals;
      } else if (variant.m_chooser == Chooser::Best) {
        best = totals;
      }
      const bool hasGoal = variant.m_rule != CascadeRule::FixedThreshold &&
                           variant.m_chooser == Chooser::Cascade;
      const auto goal = [&](double aBound) {
        return hasGoal ? std::optional<Goal>({ GoalKind::AtMost, aBound })
                       : std::nullopt;
      };
      const auto add = [&](const char* aName,
                           double aValue,
                           std::optional<Goal> aGoal = std::nullopt) {
        aReport.Add("cascade", variant.m_name, aName, aValue, aGoal);
      };
      add("cost / oracle", totals.m_cost / oracle.m_cost, goal(1.1));
      add("cost / oracle, 2nd half",
          totals.m_secondHalfCost / oracle.m_secondHalfCost,
          goal(1.1));
      if (best.m_cost > 0) {
        add("cost / always best", totals.m_cost / best.m_cost, goal(0.5));
      }
      add("target - quality", totals.m_shortfall, goal(0));
      add("target - quality, 2nd half", totals.m_secondHalfShortfall, goal(0));
      add("same, worst team and task", totals.m_largestShortfall);
      if (variant.m_chooser == Chooser::Cascade) {
        add("share of exploring requests", totals.m_explored);
      }
    }
  }
}

} // namespace chivefront::bench
