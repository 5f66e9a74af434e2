// Chooses, per team and task kind, the version that answers first and those a
// rejected draft escalates to, at the lowest expected cost that meets the
// quality target within the latency budget.
//
//   CascadePlan plan = cascade.Plan(request, now);
//   run plan.m_versions[0]; when plan.m_versions has more, rate the draft and
//   go on to the next version while it is not acceptable; the answer of the
//   last version is returned. Rate that one as well if plan.m_rateLastAnswer.
//   cascade.OnRating(team, task, version, step, acceptable, now);
//
// Acceptance rates come from ratings of both kinds. Without evidence
// plans start from the version of the highest rank. Streamed requests get
// exactly one version. Not thread-safe.
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
  FixedThreshold, // cheapest first, best after a rejection; a baseline
  Index,          // cautious estimates; exploration by upper bounds
  Thompson,       // likewise; exploration draws from the distributions
};

struct CascadeSettings
{
  CascadeRule m_rule = CascadeRule::Thompson;
  // Deviations below the mean at which a rate counts towards the target.
  double m_lowerBoundDeviations = 0.3;
  double m_exploreShare = 1; // most requests that may explore
  // Exploration is paid from the answers expected above target so far, by
  // cautious estimates; this many can be saved up per team and task. So the
  // expected quality stays at the target while it explores (conservative
  // bandits, Wu et al., ICML 2016).
  double m_mostSlack = 5;
  // Ratings, with the prior's weight, before a version of a lower rank is
  // used outside exploration.
  double m_leastKnown = 10;
  double m_sampleShare = 0.05; // finished answers rated for evidence
  // Below this many ratings, a version's answers are rated more often and
  // exploration may go to it.
  double m_wellKnown = 60;
  double m_ratingCost = 0; // in millionths of a currency unit per rating
  base::Millis m_ratingLatency{ 300 };
  // Share of ratings that are wrong, in either direction.
  double m_ratingError = 0.03;
  double m_cachedTokenPrice = 0.25; // of the prompt price
  size_t m_longestPlan = 3;
  EstimatorSettings m_estimator;
};

// A version that the team may use now.
struct CascadeOption
{
  std::string m_version;
  int m_rank = 0;            // of its model; higher answers better
  uint64_t m_promptCost = 0; // millionths per 1000 tokens
  uint64_t m_answerCost = 0;
  uint32_t m_cachedTokens = 0; // of this prompt, at its upstreams
  base::Millis m_latency;      // expected, of a whole answer
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
  std::vector<std::string> m_versions; // empty only without options
  bool m_rateLastAnswer = false;       // rate the last answer for evidence
  bool m_explores = false;
  double m_expectedCost = 0; // millionths, ratings included
  double m_expectedQuality = 0;
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
  // While ratings are down, estimates stay as they are, nothing is explored
  // and plans have one version.
  void SetRatingsUp(bool aUp, base::TimePoint aNow);

  const AcceptanceEstimator& Estimator() const { return m_estimator; }
  void RemoveVersion(std::string_view aVersion)
  {
    m_estimator.RemoveVersion(aVersion);
  }

private:
  // One version with everything known about it for the request at hand.
  struct Arm
  {
    const CascadeOption* m_option = nullptr;
    double m_cost = 0;
    AcceptanceEstimate m_first; // as rated
    AcceptanceEstimate m_later;
    // Rates used to weigh plans, as rated; set by the rule.
    double m_firstRate = 0;
    double m_laterRate = 0;
  };
  using Chain = std::vector<const Arm*>; // in running order
  struct Weighed
  {
    Chain m_chain;
    double m_cost = 0;
    double m_quality = 0; // true acceptance
  };

  std::vector<Arm> Arms(const CascadeRequest& aRequest, base::TimePoint aNow);
  void SetRates(std::vector<Arm>& aArms, double aDeviations);
  void SampleRates(std::vector<Arm>& aArms);
  Weighed Weigh(const Chain& aChain) const;
  std::vector<Chain> Chains(const std::vector<Arm>& aArms,
                            const CascadeRequest& aRequest) const;
  bool InBudget(const Chain& aChain, const CascadeRequest& aRequest) const;
  Weighed Choose(const std::vector<Chain>& aChains,
                 const std::vector<Arm>& aArms,
                 const CascadeRequest& aRequest) const;
  bool Known(const Chain& aChain, int aBestRank) const;
  // The plan that exploration would like to try.
  Weighed Hoped(std::vector<Arm>& aArms,
                const std::vector<Chain>& aChains,
                const CascadeRequest& aRequest,
                double aChosenCost);
  bool Explore(std::vector<Arm>& aArms,
               const std::vector<Chain>& aChains,
               const CascadeRequest& aRequest,
               Weighed& aChosen);
  double TrueRate(double aRated) const;
  double Uniform();

  const CascadeSettings m_settings;
  std::mt19937_64 m_random;
  AcceptanceEstimator m_estimator;
  // Acceptable answers expected beyond the target, by team and task.
  std::map<std::pair<std::string, std::string>, double> m_slack;
};

} // namespace chivefront::policy
