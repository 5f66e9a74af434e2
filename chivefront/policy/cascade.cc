// Scores all plans by expected cost and quality, and explores within a budget.
#include "chivefront/policy/cascade.h"

#include <algorithm>
#include <cmath>

namespace chivefront::policy {
namespace {

constexpr double kTokensPerPrice = 1000;
// Upper limit on the cost of an exploring plan relative to the chosen one,
// under the Index rule; smaller savings do not repay the ratings.
constexpr double kMaxExplorationCostShare = 0.95;
// Share of requests whose plan may explore a draft without exploration budget.
constexpr double kFreeDraftShare = 0.02;
// Standard deviations above the mean for the upper bounds of the Index rule.
constexpr double kUpperBoundDeviations = 1.5;

} // namespace

Cascade::Cascade(const CascadeSettings& aSettings, uint64_t aSeed)
  : m_settings(aSettings)
  , m_random(aSeed)
  , m_estimator(aSettings.m_estimator)
{
}

double
Cascade::Uniform()
{
  return std::uniform_real_distribution<double>(0, 1)(m_random);
}

void
Cascade::SetRatingsUp(bool aUp, base::TimePoint aNow)
{
  m_estimator.SetRatingsUp(aUp, aNow);
}

void
Cascade::OnRating(std::string_view aTeam,
                  std::string_view aTask,
                  std::string_view aVersion,
                  PlanStep aStep,
                  bool aAcceptable,
                  base::TimePoint aNow)
{
  m_estimator.AddRating(aTeam, aTask, aVersion, aStep, aAcceptable, aNow);
}

// The rate of truly acceptable answers behind a rate of acceptable ratings,
// with the symmetric error of the rating service removed.
double
Cascade::TrueRate(double aRated) const
{
  const double error = m_settings.m_ratingError;
  return std::clamp((aRated - error) / (1 - 2 * error), 0.0, 1.0);
}

std::vector<Cascade::Arm>
Cascade::BuildArms(const CascadeRequest& aRequest, base::TimePoint aNow)
{
  int bestRank = 0;
  for (const CascadeOption& option : aRequest.m_options) {
    bestRank = std::max(bestRank, option.m_rank);
  }
  std::vector<Arm> arms;
  for (const CascadeOption& option : aRequest.m_options) {
    Arm arm;
    arm.m_option = &option;
    const double cached =
      std::min(option.m_cachedTokens, aRequest.m_promptTokens);
    const double prompt =
      aRequest.m_promptTokens - cached * (1 - m_settings.m_cachedTokenPrice);
    arm.m_cost =
      (prompt * static_cast<double>(option.m_promptCost) +
       aRequest.m_answerTokens * static_cast<double>(option.m_answerCost)) /
      kTokensPerPrice;
    const bool best = option.m_rank == bestRank;
    const auto estimate = [&](PlanStep aStep) {
      return m_estimator.Estimate(
        aRequest.m_team, aRequest.m_task, option.m_version, aStep, best, aNow);
    };
    arm.m_firstEstimate = estimate(PlanStep::First);
    arm.m_laterEstimate = estimate(PlanStep::AfterRejection);
    arms.push_back(arm);
  }
  std::sort(arms.begin(), arms.end(), [](const Arm& aLeft, const Arm& aRight) {
    return aLeft.m_cost < aRight.m_cost;
  });
  return arms;
}

void
Cascade::SetRates(std::vector<Arm>& aArms, double aDeviations)
{
  const auto rateOf = [&](const AcceptanceEstimate& aEstimate) {
    return std::clamp(
      aEstimate.Mean() + aDeviations * aEstimate.StandardDeviation(), 0.0, 1.0);
  };
  for (Arm& arm : aArms) {
    arm.m_firstRate = rateOf(arm.m_firstEstimate);
    arm.m_laterRate = rateOf(arm.m_laterEstimate);
  }
}

void
Cascade::SampleRates(std::vector<Arm>& aArms)
{
  for (Arm& arm : aArms) {
    arm.m_firstRate = arm.m_firstEstimate.Sample(m_random);
    arm.m_laterRate = arm.m_laterEstimate.Sample(m_random);
  }
}

Cascade::ScoredChain
Cascade::ScoreChain(const Chain& aChain) const
{
  ScoredChain scored{ aChain };
  const double error = m_settings.m_ratingError;
  double reach = 1; // probability that the request reaches this version
  for (size_t i = 0; i < aChain.size(); ++i) {
    const Arm& arm = *aChain[i];
    const double rated = i == 0 ? arm.m_firstRate : arm.m_laterRate;
    const double good = TrueRate(rated);
    scored.m_cost += reach * arm.m_cost;
    if (i + 1 == aChain.size()) {
      scored.m_quality += reach * good;
      break;
    }
    scored.m_cost += reach * m_settings.m_ratingCost;
    scored.m_quality += reach * good * (1 - error); // rated correctly
    reach *= 1 - rated;
  }
  return scored;
}

bool
Cascade::FitsLatencyBudget(const Chain& aChain,
                           const CascadeRequest& aRequest) const
{
  base::Millis total =
    m_settings.m_ratingLatency * static_cast<int64_t>(aChain.size() - 1);
  for (const Arm* arm : aChain) {
    total = total + arm->m_option->m_latency;
  }
  return total <= aRequest.m_target.m_latencyBudget;
}

bool
Cascade::HasEnoughRatings(const Chain& aChain, int aBestRank) const
{
  return std::all_of(aChain.begin(), aChain.end(), [&](const Arm* aArm) {
    return aArm->m_option->m_rank == aBestRank ||
           aArm->m_firstEstimate.Weight() >= m_settings.m_minRatingsToUse;
  });
}

std::vector<Cascade::Chain>
Cascade::BuildChains(const std::vector<Arm>& aArms,
                     const CascadeRequest& aRequest) const
{
  // A draft is only worth its cost if it is cheaper than the next version, so
  // chains are built in rising order of cost.
  const bool drafts = !aRequest.m_stream && m_estimator.RatingsUp();
  const size_t longest = drafts ? m_settings.m_maxPlanLength : 1;
  std::vector<Chain> chains;
  std::vector<Chain> growing{ {} };
  for (const Arm& arm : aArms) {
    const size_t count = growing.size();
    for (size_t i = 0; i < count; ++i) {
      if (growing[i].size() < longest) {
        Chain chain = growing[i];
        chain.push_back(&arm);
        growing.push_back(std::move(chain));
      }
    }
  }
  for (Chain& chain : growing) {
    if (!chain.empty() && FitsLatencyBudget(chain, aRequest)) {
      chains.push_back(std::move(chain));
    }
  }
  if (chains.empty()) {
    // No chain fits the latency budget; the fastest version exceeds it least.
    const auto fastest = std::min_element(
      aArms.begin(), aArms.end(), [](const Arm& aLeft, const Arm& aRight) {
        return aLeft.m_option->m_latency < aRight.m_option->m_latency;
      });
    chains.push_back({ &*fastest });
  }
  return chains;
}

Cascade::ScoredChain
Cascade::ChooseChain(const std::vector<Chain>& aChains,
                     const std::vector<Arm>& aArms,
                     const CascadeRequest& aRequest) const
{
  ScoredChain cheapest;
  ScoredChain best; // used if no chain meets the target
  for (const Chain& chain : aChains) {
    ScoredChain scored = ScoreChain(chain);
    if (best.m_chain.empty() || scored.m_quality > best.m_quality) {
      best = scored;
    }
    if (scored.m_quality >= aRequest.m_target.m_quality &&
        (cheapest.m_chain.empty() || scored.m_cost < cheapest.m_cost)) {
      cheapest = std::move(scored);
    }
  }
  if (!cheapest.m_chain.empty()) {
    return cheapest;
  }
  // While there are few ratings, use the version of the highest rank.
  const Arm* top = nullptr;
  for (const Arm& arm : aArms) {
    if ((top == nullptr || arm.m_option->m_rank > top->m_option->m_rank) &&
        FitsLatencyBudget({ &arm }, aRequest)) {
      top = &arm;
    }
  }
  if (top != nullptr &&
      top->m_firstEstimate.m_ratings < m_settings.m_sufficientRatings) {
    return ScoreChain({ top });
  }
  return best;
}

Cascade::ScoredChain
Cascade::ExplorationCandidate(std::vector<Arm>& aArms,
                              const std::vector<Chain>& aChains,
                              const CascadeRequest& aRequest,
                              double aChosenCost)
{
  if (m_settings.m_rule == CascadeRule::Thompson) {
    SampleRates(aArms);
    return ChooseChain(aChains, aArms, aRequest);
  }
  SetRates(aArms, kUpperBoundDeviations);
  ScoredChain best;
  best.m_cost = kMaxExplorationCostShare * aChosenCost;
  for (const Chain& chain : aChains) {
    ScoredChain candidate = ScoreChain(chain);
    if (candidate.m_quality >= aRequest.m_target.m_quality &&
        candidate.m_cost < best.m_cost) {
      best = std::move(candidate);
    }
  }
  return best;
}

bool
Cascade::Explore(std::vector<Arm>& aArms,
                 const std::vector<Chain>& aChains,
                 const CascadeRequest& aRequest,
                 ScoredChain& aChosen)
{
  if (!m_estimator.RatingsUp()) {
    return false;
  }
  const double target = aRequest.m_target.m_quality;
  double& budget = m_explorationBudget[{ aRequest.m_team, aRequest.m_task }];
  budget = std::min(budget, m_settings.m_maxExplorationBudget);
  ScoredChain candidate;
  if (Uniform() < m_settings.m_exploreShare) {
    candidate = ExplorationCandidate(aArms, aChains, aRequest, aChosen.m_cost);
  }
  SetRates(aArms, -m_settings.m_lowerBoundDeviations);
  if (!candidate.m_chain.empty() && candidate.m_chain != aChosen.m_chain) {
    const ScoredChain lowerBound = ScoreChain(candidate.m_chain);
    const double remaining = budget + lowerBound.m_quality - target;
    // A draft before the same last version risks little quality. A small share
    // of such plans needs no budget: if the best version alone misses the
    // target, the budget stays empty, and the target could never be met.
    const bool draft = !aRequest.m_stream &&
                       lowerBound.m_chain.back() == aChosen.m_chain.back() &&
                       Uniform() < kFreeDraftShare;
    if (remaining >= 0 || draft) {
      budget = std::max(remaining, 0.0);
      aChosen = lowerBound;
      return true;
    }
  }
  budget += ScoreChain(aChosen.m_chain).m_quality - target;
  budget = std::max(budget, 0.0);
  return false;
}

CascadePlan
Cascade::Plan(const CascadeRequest& aRequest, base::TimePoint aNow)
{
  CascadePlan plan;
  if (aRequest.m_options.empty()) {
    return plan;
  }
  std::vector<Arm> arms = BuildArms(aRequest, aNow);
  const std::vector<Chain> chains = BuildChains(arms, aRequest);
  ScoredChain chosen;
  if (m_settings.m_rule == CascadeRule::FixedThreshold) {
    SetRates(arms, 0);
    const bool drafts =
      !aRequest.m_stream && m_estimator.RatingsUp() && arms.size() > 1;
    chosen = ScoreChain(drafts ? Chain{ &arms.front(), &arms.back() }
                               : Chain{ &arms.back() });
  } else {
    std::vector<Chain> usable;
    int bestRank = arms.front().m_option->m_rank;
    for (const Arm& arm : arms) {
      bestRank = std::max(bestRank, arm.m_option->m_rank);
    }
    for (const Chain& chain : chains) {
      if (HasEnoughRatings(chain, bestRank)) {
        usable.push_back(chain);
      }
    }
    SetRates(arms, -m_settings.m_lowerBoundDeviations);
    chosen = ChooseChain(usable.empty() ? chains : usable, arms, aRequest);
    plan.m_explores = Explore(arms, chains, aRequest, chosen);
  }
  const Arm& last = *chosen.m_chain.back();
  const AcceptanceEstimate& estimate =
    chosen.m_chain.size() == 1 ? last.m_firstEstimate : last.m_laterEstimate;
  const double share = estimate.m_ratings < m_settings.m_sufficientRatings
                         ? 1.0
                         : m_settings.m_sampleShare;
  plan.m_rateLastAnswer = m_estimator.RatingsUp() && Uniform() < share;
  for (const Arm* arm : chosen.m_chain) {
    plan.m_versions.push_back(arm->m_option->m_version);
  }
  plan.m_expectedCost = chosen.m_cost;
  plan.m_expectedQuality = chosen.m_quality;
  return plan;
}

} // namespace chivefront::policy
