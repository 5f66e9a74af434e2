// Plans of versions at the lowest expected cost for a quality target.
#include "chivefront/policy/cascade.h"

#include <algorithm>
#include <cmath>

namespace chivefront::policy {
namespace {

constexpr double kTokensPerPrice = 1000;
// An exploring plan must promise this much lower a cost than the chosen one;
// smaller gains do not repay the ratings.
constexpr double kWorthExploring = 0.95;
constexpr double kFreeDrafts = 0.02;
constexpr double kOptimism = 1.5; // deviations above the mean

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
  m_estimator.Add(aTeam, aTask, aVersion, aStep, aAcceptable, aNow);
}

// Undoes the symmetric error of the rating service.
double
Cascade::TrueRate(double aRated) const
{
  const double error = m_settings.m_ratingError;
  return std::clamp((aRated - error) / (1 - 2 * error), 0.0, 1.0);
}

std::vector<Cascade::Arm>
Cascade::Arms(const CascadeRequest& aRequest, base::TimePoint aNow)
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
    const auto of = [&](PlanStep aStep) {
      return m_estimator.Estimate(
        aRequest.m_team, aRequest.m_task, option.m_version, aStep, best, aNow);
    };
    arm.m_first = of(PlanStep::First);
    arm.m_later = of(PlanStep::AfterRejection);
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
  const auto at = [&](const AcceptanceEstimate& aRate) {
    return std::clamp(aRate.Mean() + aDeviations * aRate.Deviation(), 0.0, 1.0);
  };
  for (Arm& arm : aArms) {
    arm.m_firstRate = at(arm.m_first);
    arm.m_laterRate = at(arm.m_later);
  }
}

void
Cascade::SampleRates(std::vector<Arm>& aArms)
{
  for (Arm& arm : aArms) {
    arm.m_firstRate = arm.m_first.Sample(m_random);
    arm.m_laterRate = arm.m_later.Sample(m_random);
  }
}

Cascade::Weighed
Cascade::Weigh(const Chain& aChain) const
{
  Weighed weighed{ aChain };
  const double error = m_settings.m_ratingError;
  double reach = 1;
  for (size_t i = 0; i < aChain.size(); ++i) {
    const Arm& arm = *aChain[i];
    const double rated = i == 0 ? arm.m_firstRate : arm.m_laterRate;
    const double good = TrueRate(rated);
    weighed.m_cost += reach * arm.m_cost;
    if (i + 1 == aChain.size()) {
      weighed.m_quality += reach * good;
      break;
    }
    weighed.m_cost += reach * m_settings.m_ratingCost;
    weighed.m_quality += reach * good * (1 - error); // good and rated so
    reach *= 1 - rated;
  }
  return weighed;
}

bool
Cascade::InBudget(const Chain& aChain, const CascadeRequest& aRequest) const
{
  base::Millis total =
    m_settings.m_ratingLatency * static_cast<int64_t>(aChain.size() - 1);
  for (const Arm* arm : aChain) {
    total = total + arm->m_option->m_latency;
  }
  return total <= aRequest.m_target.m_latencyBudget;
}

bool
Cascade::Known(const Chain& aChain, int aBestRank) const
{
  return std::all_of(aChain.begin(), aChain.end(), [&](const Arm* aArm) {
    return aArm->m_option->m_rank == aBestRank ||
           aArm->m_first.Weight() >= m_settings.m_leastKnown;
  });
}

std::vector<Cascade::Chain>
Cascade::Chains(const std::vector<Arm>& aArms,
                const CascadeRequest& aRequest) const
{
  // A version that costs no less than the next one of its chain is no draft
  // worth making, so chains run in rising order of cost.
  const bool drafts = !aRequest.m_stream && m_estimator.RatingsUp();
  const size_t longest = drafts ? m_settings.m_longestPlan : 1;
  std::vector<Chain> chains;
  std::vector<Chain> growing{ {} };
  for (const Arm& arm : aArms) {
    const size_t known = growing.size();
    for (size_t i = 0; i < known; ++i) {
      if (growing[i].size() < longest) {
        Chain chain = growing[i];
        chain.push_back(&arm);
        growing.push_back(std::move(chain));
      }
    }
  }
  for (Chain& chain : growing) {
    if (!chain.empty() && InBudget(chain, aRequest)) {
      chains.push_back(std::move(chain));
    }
  }
  if (chains.empty()) {
    // Nothing fits the budget: the fastest version is the least late.
    const auto fastest = std::min_element(
      aArms.begin(), aArms.end(), [](const Arm& aLeft, const Arm& aRight) {
        return aLeft.m_option->m_latency < aRight.m_option->m_latency;
      });
    chains.push_back({ &*fastest });
  }
  return chains;
}

Cascade::Weighed
Cascade::Choose(const std::vector<Chain>& aChains,
                const std::vector<Arm>& aArms,
                const CascadeRequest& aRequest) const
{
  Weighed cheapest;
  Weighed best; // for a target that nothing reaches
  for (const Chain& chain : aChains) {
    Weighed weighed = Weigh(chain);
    if (best.m_chain.empty() || weighed.m_quality > best.m_quality) {
      best = weighed;
    }
    if (weighed.m_quality >= aRequest.m_target.m_quality &&
        (cheapest.m_chain.empty() || weighed.m_cost < cheapest.m_cost)) {
      cheapest = std::move(weighed);
    }
  }
  if (!cheapest.m_chain.empty()) {
    return cheapest;
  }
  // Little evidence: start from the version of the highest rank.
  const Arm* top = nullptr;
  for (const Arm& arm : aArms) {
    if ((top == nullptr || arm.m_option->m_rank > top->m_option->m_rank) &&
        InBudget({ &arm }, aRequest)) {
      top = &arm;
    }
  }
  if (top != nullptr && top->m_first.m_ratings < m_settings.m_wellKnown) {
    return Weigh({ top });
  }
  return best;
}

Cascade::Weighed
Cascade::Hoped(std::vector<Arm>& aArms,
               const std::vector<Chain>& aChains,
               const CascadeRequest& aRequest,
               double aChosenCost)
{
  if (m_settings.m_rule == CascadeRule::Thompson) {
    SampleRates(aArms);
    return Choose(aChains, aArms, aRequest);
  }
  SetRates(aArms, kOptimism);
  Weighed best;
  best.m_cost = kWorthExploring * aChosenCost;
  for (const Chain& chain : aChains) {
    Weighed hoped = Weigh(chain);
    if (hoped.m_quality >= aRequest.m_target.m_quality &&
        hoped.m_cost < best.m_cost) {
      best = std::move(hoped);
    }
  }
  return best;
}

bool
Cascade::Explore(std::vector<Arm>& aArms,
                 const std::vector<Chain>& aChains,
                 const CascadeRequest& aRequest,
                 Weighed& aChosen)
{
  if (!m_estimator.RatingsUp()) {
    return false;
  }
  const double target = aRequest.m_target.m_quality;
  double& slack = m_slack[{ aRequest.m_team, aRequest.m_task }];
  slack = std::min(slack, m_settings.m_mostSlack);
  Weighed hoped;
  if (Uniform() < m_settings.m_exploreShare) {
    hoped = Hoped(aArms, aChains, aRequest, aChosen.m_cost);
  }
  SetRates(aArms, -m_settings.m_lowerBoundDeviations);
  if (!hoped.m_chain.empty() && hoped.m_chain != aChosen.m_chain) {
    const Weighed careful = Weigh(hoped.m_chain);
    const double left = slack + careful.m_quality - target;
    // A draft before the same last version risks little quality. A few such
    // plans need no slack, or a target that the best version alone misses
    // would never be reached.
    const bool draft = !aRequest.m_stream &&
                       careful.m_chain.back() == aChosen.m_chain.back() &&
                       Uniform() < kFreeDrafts;
    if (left >= 0 || draft) {
      slack = std::max(left, 0.0);
      aChosen = careful;
      return true;
    }
  }
  slack += Weigh(aChosen.m_chain).m_quality - target;
  slack = std::max(slack, 0.0);
  return false;
}

CascadePlan
Cascade::Plan(const CascadeRequest& aRequest, base::TimePoint aNow)
{
  CascadePlan plan;
  if (aRequest.m_options.empty()) {
    return plan;
  }
  std::vector<Arm> arms = Arms(aRequest, aNow);
  const std::vector<Chain> chains = Chains(arms, aRequest);
  Weighed chosen;
  if (m_settings.m_rule == CascadeRule::FixedThreshold) {
    SetRates(arms, 0);
    const bool drafts =
      !aRequest.m_stream && m_estimator.RatingsUp() && arms.size() > 1;
    chosen = Weigh(drafts ? Chain{ &arms.front(), &arms.back() }
                          : Chain{ &arms.back() });
  } else {
    std::vector<Chain> known;
    int bestRank = arms.front().m_option->m_rank;
    for (const Arm& arm : arms) {
      bestRank = std::max(bestRank, arm.m_option->m_rank);
    }
    for (const Chain& chain : chains) {
      if (Known(chain, bestRank)) {
        known.push_back(chain);
      }
    }
    SetRates(arms, -m_settings.m_lowerBoundDeviations);
    chosen = Choose(known.empty() ? chains : known, arms, aRequest);
    plan.m_explores = Explore(arms, chains, aRequest, chosen);
  }
  const Arm& last = *chosen.m_chain.back();
  const AcceptanceEstimate& known =
    chosen.m_chain.size() == 1 ? last.m_first : last.m_later;
  const double share =
    known.m_ratings < m_settings.m_wellKnown ? 1.0 : m_settings.m_sampleShare;
  plan.m_rateLastAnswer = m_estimator.RatingsUp() && Uniform() < share;
  for (const Arm* arm : chosen.m_chain) {
    plan.m_versions.push_back(arm->m_option->m_version);
  }
  plan.m_expectedCost = chosen.m_cost;
  plan.m_expectedQuality = chosen.m_quality;
  return plan;
}

} // namespace chivefront::policy
