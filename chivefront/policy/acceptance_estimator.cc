// Decayed rating counts and their priors.
#include "chivefront/policy/acceptance_estimator.h"

#include <algorithm>
#include <cmath>

namespace chivefront::policy {
namespace {

// Weights are in ratings.
// Weight of the assumed mean where no team has ratings.
constexpr double kAssumedPriorWeight = 2;
// Largest weight of the first step's estimate as the prior of later steps.
constexpr double kFirstStepWeight = 4;
// Lower limit of both parameters of a Beta distribution, which must be above 0.
constexpr double kMinBetaParameter = 0.01;

} // namespace

double
AcceptanceEstimate::StandardDeviation() const
{
  const double total = m_alpha + m_beta;
  return std::sqrt(m_alpha * m_beta / (total * total * (total + 1)));
}

double
AcceptanceEstimate::Sample(std::mt19937_64& aRandom) const
{
  // With independent X ~ Gamma(alpha) and Y ~ Gamma(beta), X / (X + Y) has the
  // distribution Beta(alpha, beta).
  std::gamma_distribution<double> good(m_alpha, 1);
  std::gamma_distribution<double> bad(m_beta, 1);
  const double first = good(aRandom);
  const double sum = first + bad(aRandom);
  return sum > 0 ? first / sum : Mean();
}

AcceptanceEstimator::AcceptanceEstimator(const EstimatorSettings& aSettings)
  : m_settings(aSettings)
{
}

base::Millis
AcceptanceEstimator::RatingUptime(base::TimePoint aNow) const
{
  return m_ratingsUp ? m_uptimeBefore + (aNow - m_ratingsChanged)
                     : m_uptimeBefore;
}

void
AcceptanceEstimator::SetRatingsUp(bool aUp, base::TimePoint aNow)
{
  if (aUp == m_ratingsUp) {
    return;
  }
  m_uptimeBefore = RatingUptime(aNow);
  m_ratingsChanged = aNow;
  m_ratingsUp = aUp;
}

AcceptanceEstimator::Count
AcceptanceEstimator::Decayed(const Count& aCount, base::TimePoint aNow) const
{
  const auto elapsed =
    static_cast<double>((RatingUptime(aNow) - aCount.m_updatedAt).Count());
  const double factor =
    std::exp2(-elapsed / static_cast<double>(m_settings.m_halfLife.Count()));
  return { aCount.m_good * factor, aCount.m_bad * factor, RatingUptime(aNow) };
}

AcceptanceEstimator::Count
AcceptanceEstimator::Find(const Key& aKey, base::TimePoint aNow) const
{
  const auto found = m_counts.find(aKey);
  return found == m_counts.end() ? Count() : Decayed(found->second, aNow);
}

void
AcceptanceEstimator::AddRating(std::string_view aTeam,
                               std::string_view aTask,
                               std::string_view aVersion,
                               PlanStep aStep,
                               bool aAcceptable,
                               base::TimePoint aNow)
{
  for (const std::string_view team : { aTeam, std::string_view() }) {
    const Key key{ team, aTask, aVersion, aStep };
    Count count = Find(key, aNow);
    const double keep = 1 - 1 / m_settings.m_windowRatings;
    count.m_good = count.m_good * keep + (aAcceptable ? 1 : 0);
    count.m_bad = count.m_bad * keep + (aAcceptable ? 0 : 1);
    count.m_updatedAt = RatingUptime(aNow);
    m_counts.insert_or_assign(key, count);
  }
}

AcceptanceEstimate
AcceptanceEstimator::Prior(const Key& aPooled,
                           bool aBestRank,
                           base::TimePoint aNow) const
{
  const auto& [team, task, version, step] = aPooled;
  double mean =
    aBestRank ? m_settings.m_bestRankPrior : m_settings.m_lowerRankPrior;
  double weight = kAssumedPriorWeight;
  if (step == PlanStep::AfterRejection) {
    const AcceptanceEstimate first =
      Prior({ team, task, version, PlanStep::First }, aBestRank, aNow);
    mean = m_settings.m_laterStepFactor * first.Mean();
    weight = std::min(first.m_alpha + first.m_beta, kFirstStepWeight);
  }
  const Count pool = Find(aPooled, aNow);
  const double total = pool.m_good + pool.m_bad;
  const double scale = total > m_settings.m_maxPooledRatings
                         ? m_settings.m_maxPooledRatings / total
                         : 1;
  return { weight * mean + scale * pool.m_good,
           weight * (1 - mean) + scale * pool.m_bad,
           0 };
}

AcceptanceEstimate
AcceptanceEstimator::Estimate(std::string_view aTeam,
                              std::string_view aTask,
                              std::string_view aVersion,
                              PlanStep aStep,
                              bool aBestRank,
                              base::TimePoint aNow) const
{
  const Key pooled{
    std::string(), std::string(aTask), std::string(aVersion), aStep
  };
  AcceptanceEstimate result = Prior(pooled, aBestRank, aNow);
  Key own = pooled;
  std::get<0>(own) = aTeam;
  const Count count = Find(own, aNow);
  result.m_ratings = count.m_good + count.m_bad;
  // The pooled counts include the team's own ratings, which are thus counted
  // twice. With many own ratings the share of the prior becomes negligible.
  result.m_alpha = std::max(result.m_alpha + count.m_good, kMinBetaParameter);
  result.m_beta = std::max(result.m_beta + count.m_bad, kMinBetaParameter);
  return result;
}

void
AcceptanceEstimator::RemoveVersion(std::string_view aVersion)
{
  std::erase_if(m_counts, [&](const auto& aEntry) {
    return std::get<2>(aEntry.first) == aVersion;
  });
}

} // namespace chivefront::policy
