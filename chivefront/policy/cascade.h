// Model cascade: chooses, per team and task, which version answers a request
// and to which versions the request escalates when an answer is rejected. A
// plan has the lowest expected cost that meets the quality target within the
// latency budget.
//
//   CascadePlan plan = cascade.Plan(request, now);
//
// The caller runs plan.m_versions in order. The answer of each version but the
// last is a draft: it is rated, and returned if acceptable; otherwise the next
// version runs. The answer of the last version is returned in any case, and
// rated only if plan.m_rateLastAnswer is set. The caller reports every rating:
//
//   cascade.OnRating(team, task, version, step, acceptable, now);
//
// Acceptance rates are estimated from the ratings of drafts and of last
// answers. Without ratings, plans use the version of the highest rank. Streamed
// requests get exactly one version. Not thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "chivefront/base/clock.h"
#include "chivefront/catalog/catalog.h"
#include "chivefront/policy/acceptance_estimator.h"

namespace chivefront::policy {

enum class CascadeRule
{
  FixedThreshold, // cheapest version, then the most expensive; a baseline
  Index,          // lower bounds of the rates; upper bounds to explore
  Thompson,       // lower bounds of the rates; samples of them to explore
};

struct CascadeSettings
{
  CascadeRule m_rule = CascadeRule::Thompson;
  // Number of standard deviations below the mean at which the lower bound of
  // an acceptance rate lies. Plans are compared with the target by it.
  double m_lowerBoundDeviations = 0.3;
  double m_exploreShare = 1; // upper limit on requests that may explore
  // Upper limit of the exploration budget of a team and task, in answers. The
  // budget grows by the acceptable answers expected beyond the target, by the
  // lower bounds of the rates, and exploration spends it. The expected quality
  // thus stays at the target (conservative bandits, Wu et al., ICML 2016).
  double m_maxExplorationBudget = 5;
  // Ratings, including the prior's weight, that a version of a lower rank needs
  // to be used outside exploration.
  double m_minRatingsToUse = 10;
  double m_sampleShare = 0.05; // of last answers that are rated
  // A version with fewer ratings than this has all its last answers rated. If
  // no plan meets the target, the version of the highest rank is used until it
  // has this many ratings.
  double m_sufficientRatings = 60;
  double m_ratingCost = 0; // per rating, in millionths of a currency unit
  base::Millis m_ratingLatency{ 300 };
  // Probability that a rating is wrong, equal in both directions.
  double m_ratingError = 0.03;
  double m_cachedTokenPrice = 0.25; // as a share of the prompt price
  size_t m_maxPlanLength = 3;       // in versions
  EstimatorSettings m_estimator;
};

// A version that the team may use now.
struct CascadeOption
{
  std::string m_version;
  int m_rank = 0; // of its model; a higher rank is expected to answer better
  // Costs in millionths of a currency unit per 1000 tokens.
  uint64_t m_promptCost = 0;
  uint64_t m_answerCost = 0;
  uint32_t m_cachedTokens = 0; // tokens of this prompt cached at its upstreams
  base::Millis m_latency;      // expected time to a complete answer
};

struct CascadeRequest
{
  std::string m_team;
  std::string m_task;
  catalog::TaskTarget m_target;
  bool m_stream = false;
  uint32_t m_promptTokens = 0;
  uint32_t m_answerTokens = 0; // expected
  std::vector<CascadeOption> m_options;
};

struct CascadePlan
{
  std::vector<std::string> m_versions; // empty only if there are no options
  bool m_rateLastAnswer = false;
  bool m_explores = false;      // chosen to learn about its versions
  double m_expectedCost = 0;    // in millionths, ratings included
  double m_expectedQuality = 0; // expected acceptance rate
};

class Cascade
{
public:
  explicit Cascade(const CascadeSettings& aSettings = {}, uint64_t aSeed = 1);

  CascadePlan Plan(const CascadeRequest& aRequest, base::TimePoint aNow);

  // aStep is First for m_versions[0], else AfterRejection.
  void OnRating(std::string_view aTeam,
                std::string_view aTask,
                std::string_view aVersion,
                PlanStep aStep,
                bool aAcceptable,
                base::TimePoint aNow);
  // While the rating service is down, estimates do not change, no request
  // explores and plans have one version.
  void SetRatingsUp(bool aUp, base::TimePoint aNow);

  const AcceptanceEstimator& Estimator() const { return m_estimator; }
  void RemoveVersion(std::string_view aVersion)
  {
    m_estimator.RemoveVersion(aVersion);
  }

private:
  // One version with its cost and its estimates for one request. All rates
  // here are rates of acceptable ratings; TrueRate removes the rating error.
  struct Arm
  {
    const CascadeOption* m_option = nullptr;
    double m_cost = 0; // in millionths, for the whole request
    AcceptanceEstimate m_firstEstimate;
    AcceptanceEstimate m_laterEstimate;
    // Rates by which ScoreChain compares plans, set by SetRates or SampleRates.
    double m_firstRate = 0;
    double m_laterRate = 0;
  };
  using Chain = std::vector<const Arm*>; // a plan, in the order of its versions
  struct ScoredChain
  {
    Chain m_chain;
    double m_cost = 0;    // expected, in millionths
    double m_quality = 0; // expected rate of answers that are truly acceptable
  };

  // The options of aRequest in rising order of cost.
  std::vector<Arm> BuildArms(const CascadeRequest& aRequest,
                             base::TimePoint aNow);
  // Sets the rates to the mean plus aDeviations standard deviations.
  void SetRates(std::vector<Arm>& aArms, double aDeviations);
  // Draws the rates from their distributions.
  void SampleRates(std::vector<Arm>& aArms);
  ScoredChain ScoreChain(const Chain& aChain) const;
  // All chains within the latency budget, or the fastest version if none is.
  std::vector<Chain> BuildChains(const std::vector<Arm>& aArms,
                                 const CascadeRequest& aRequest) const;
  bool FitsLatencyBudget(const Chain& aChain,
                         const CascadeRequest& aRequest) const;
  // The cheapest chain that meets the quality target by the present rates.
  ScoredChain ChooseChain(const std::vector<Chain>& aChains,
                          const std::vector<Arm>& aArms,
                          const CascadeRequest& aRequest) const;
  bool HasEnoughRatings(const Chain& aChain, int aBestRank) const;
  // A chain that would be chosen by optimistic or sampled rates; empty if the
  // rule finds none worth exploring.
  ScoredChain ExplorationCandidate(std::vector<Arm>& aArms,
                                   const std::vector<Chain>& aChains,
                                   const CascadeRequest& aRequest,
                                   double aChosenCost);
  // Replaces aChosen and returns true if the request explores; also updates the
  // exploration budget.
  bool Explore(std::vector<Arm>& aArms,
               const std::vector<Chain>& aChains,
               const CascadeRequest& aRequest,
               ScoredChain& aChosen);
  double TrueRate(double aRated) const;
  double Uniform();

  const CascadeSettings m_settings;
  std::mt19937_64 m_random;
  AcceptanceEstimator m_estimator;
  // By team and task; see CascadeSettings::m_maxExplorationBudget.
  std::map<std::pair<std::string, std::string>, double> m_explorationBudget;
};

} // namespace chivefront::policy
