// Estimates the acceptance rate of each version per team and task from decayed
// counts of ratings. The counts pooled over all teams serve as the prior of
// each team. Used by the cascade.
#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <tuple>

#include "chivefront/base/clock.h"

namespace chivefront::policy {

// Position of a version in a plan. The first version receives all requests;
// later versions receive only those on which a cheaper version failed, which
// are harder, so the two cases have separate counts.
enum class PlanStep
{
  First,
  AfterRejection,
};

// The Beta distribution of an acceptance rate.
struct AcceptanceEstimate
{
  double m_alpha = 1;   // acceptable ratings, including the prior's weight
  double m_beta = 1;    // other ratings, including the prior's weight
  double m_ratings = 0; // decayed count of ratings, without the prior

  double Mean() const { return m_alpha / (m_alpha + m_beta); }
  // Total weight in ratings, including the prior's weight.
  double Weight() const { return m_alpha + m_beta; }
  double StandardDeviation() const;
  double Sample(std::mt19937_64& aRandom) const;
};

struct EstimatorSettings
{
  // Effective number of ratings in a count: each new rating scales the older
  // ones by 1 - 1 / m_windowRatings.
  double m_windowRatings = 400;
  // Upper limit on the weight of the pooled counts, in ratings. The rates of
  // teams differ by about 0.06 (one standard deviation), which is also the
  // precision of an estimate from 40 ratings.
  double m_maxPooledRatings = 40;
  // Half-life of the counts, in time during which the rating service is up.
  // The decay makes a version that performed badly eligible again.
  base::Millis m_halfLife{ 6 * 3600 * 1000 };
  // Assumed mean acceptance of a version without ratings.
  double m_bestRankPrior = 0.8;  // for the highest rank
  double m_lowerRankPrior = 0.5; // for the other ranks
  // Assumed acceptance of a later step relative to the first one, for a version
  // without ratings of later steps.
  double m_laterStepFactor = 0.8;
};

class AcceptanceEstimator
{
public:
  explicit AcceptanceEstimator(const EstimatorSettings& aSettings = {});

  void AddRating(std::string_view aTeam,
                 std::string_view aTask,
                 std::string_view aVersion,
                 PlanStep aStep,
                 bool aAcceptable,
                 base::TimePoint aNow);
  // aBestRank: whether the version has the highest rank of those that may
  // answer; it selects the prior.
  AcceptanceEstimate Estimate(std::string_view aTeam,
                              std::string_view aTask,
                              std::string_view aVersion,
                              PlanStep aStep,
                              bool aBestRank,
                              base::TimePoint aNow) const;

  // While the rating service is down, the counts do not decay.
  void SetRatingsUp(bool aUp, base::TimePoint aNow);
  bool RatingsUp() const { return m_ratingsUp; }
  // Drops all counts of a withdrawn version.
  void RemoveVersion(std::string_view aVersion);

private:
  struct Count
  {
    double m_good = 0;
    double m_bad = 0;
    base::Millis m_updatedAt; // rating uptime, see RatingUptime
  };
  using Key = std::tuple<std::string, std::string, std::string, PlanStep>;

  // Total time for which the rating service has been up.
  base::Millis RatingUptime(base::TimePoint aNow) const;
  Count Decayed(const Count& aCount, base::TimePoint aNow) const;
  Count Find(const Key& aKey, base::TimePoint aNow) const;
  AcceptanceEstimate Prior(const Key& aPooled,
                           bool aBestRank,
                           base::TimePoint aNow) const;

  const EstimatorSettings m_settings;
  std::map<Key, Count> m_counts; // pooled counts have an empty team
  bool m_ratingsUp = true;
  base::Millis m_uptimeBefore;      // rating uptime until m_ratingsChanged
  base::TimePoint m_ratingsChanged; // when m_ratingsUp last changed
};

} // namespace chivefront::policy
