// Decayed counts of ratings.
#include "chivefront/policy/acceptance_estimator.h"

#include <algorithm>
#include <cmath>

namespace chivefront::policy {
namespace {

// Weight of the assumptions used where no team has evidence.
constexpr double kAssumedWeight = 2;
// Weight of the first step's evidence as a guess for later steps.
constexpr double kFirstStepWeight = 4;
constexpr double kMinCount = 0.01;

} // namespace

double
AcceptanceEstimate::Deviation() const
{
  const double total = m_good + m_bad;
  return std::sqrt(m_good * m_bad / (total * total * (total + 1)));
}

double
AcceptanceEstimate::Sample(std::mt19937_64& aRandom) const
{
  // A Beta variate is a share of two Gamma variates.
  std::gamma_distribution<double> good(m_good, 1);
  std::gamma_distribution<double> bad(m_bad, 1);
  const double first = good(aRandom);
  const double sum = first + bad(aRandom);
  return sum > 0 ? first / sum : Mean();
}

AcceptanceEstimator::AcceptanceEstimator(const EstimatorSettings& aSettings)
  : m_settings(aSettings)
{
}

base::Millis
AcceptanceEstimator::UpTime(base::TimePoint aNow) const
{
  return m_up ? m_upBefore + (aNow - m_since) : m_upBefore;
}

void
AcceptanceEstimator::SetRatingsUp(bool aUp, base::TimePoint aNow)
{
  if (aUp == m_up) {
    return;
  }
  m_upBefore = UpTime(aNow);
  m_since = aNow;
  m_up = aUp;
}

AcceptanceEstimator::Count
AcceptanceEstimator::Aged(const Count& aCount, base::TimePoint aNow) const
{
  const auto elapsed =
    static_cast<double>((UpTime(aNow) - aCount.m_at).Count());
  const double factor =
    std::exp2(-elapsed / static_cast<double>(m_settings.m_halfLife.Count()));
  return { aCount.m_good * factor, aCount.m_bad * factor, UpTime(aNow) };
}

AcceptanceEstimator::Count
AcceptanceEstimator::Find(const Key& aKey, base::TimePoint aNow) const
{
  const auto found = m_counts.find(aKey);
  return found == m_counts.end() ? Count() : Aged(found->second, aNow);
}

void
AcceptanceEstimator::Add(std::string_view aTeam,
                         std::string_view aTask,
                         std::string_view aVersion,
                         PlanStep aStep,
                         bool aAcceptable,
                         base::TimePoint aNow)
{
  for (const std::string_view team : { aTeam, std::string_view() }) {
    const Key key{ team, aTask, aVersion, aStep };
    Count count = Find(key, aNow);
    const double keep = 1 - 1 / m_settings.m_window;
    count.m_good = count.m_good * keep + (aAcceptable ? 1 : 0);
    count.m_bad = count.m_bad * keep + (aAcceptable ? 0 : 1);
    count.m_at = UpTime(aNow);
    m_counts.insert_or_assign(key, count);
  }
}

AcceptanceEstimate
AcceptanceEstimator::Prior(const Key& aPooled,
                           bool aBestRank,
                           base::TimePoint aNow) const
{
  const auto& [team, task, version, step] = aPooled;
  double mean = aBestRank ? m_settings.m_bestPrior : m_settings.m_otherPrior;
  double weight = kAssumedWeight;
  if (step == PlanStep::AfterRejection) {
    const AcceptanceEstimate first =
      Prior({ team, task, version, PlanStep::First }, aBestRank, aNow);
    mean = m_settings.m_hardness * first.Mean();
    weight = std::min(first.m_good + first.m_bad, kFirstStepWeight);
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
  // The pool holds the team's own ratings too; with enough of its own the
  // prior's share vanishes.
  result.m_good = std::max(result.m_good + count.m_good, kMinCount);
  result.m_bad = std::max(result.m_bad + count.m_bad, kMinCount);
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
