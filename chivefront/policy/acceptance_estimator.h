// Decayed rating evidence per team, task kind and version, pooled over teams
// as a prior. Used by the cascade.
#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <tuple>

#include "chivefront/base/clock.h"

namespace chivefront::policy {

// The first version of a plan meets all requests; a later one only those
// that a cheaper version failed, which are harder.
enum class PlanStep
{
  First,
  AfterRejection,
};

// A Beta distribution of an acceptance rate.
struct AcceptanceEstimate
{
  double m_good = 1; // including the prior's weight
  double m_bad = 1;
  double m_ratings = 0; // decayed count of ratings, without the prior

  double Mean() const { return m_good / (m_good + m_bad); }
  double Weight() const { return m_good + m_bad; }
  double Deviation() const;
  double Sample(std::mt19937_64& aRandom) const;
};

struct EstimatorSettings
{
  double m_window = 400; // effective number of ratings remembered
  // Most ratings that the pool of teams counts for. Teams whose rates differ
  // by 0.06 (one deviation) are as alike as 40 ratings can tell.
  double m_maxPooledRatings = 40;
  // Time with ratings up after which half the evidence is forgotten, so that
  // a version that was given up is tried again.
  base::Millis m_halfLife{ 6 * 3600 * 1000 };
  double m_bestPrior = 0.8;  // mean acceptance of the highest rank, untried
  double m_otherPrior = 0.5; // of the others
  double m_hardness = 0.8;   // of a later step relative to the first, untried
};

class AcceptanceEstimator
{
public:
  explicit AcceptanceEstimator(const EstimatorSettings& aSettings = {});

  void Add(std::string_view aTeam,
           std::string_view aTask,
           std::string_view aVersion,
           PlanStep aStep,
           bool aAcceptable,
           base::TimePoint aNow);
  AcceptanceEstimate Estimate(std::string_view aTeam,
                              std::string_view aTask,
                              std::string_view aVersion,
                              PlanStep aStep,
                              bool aBestRank,
                              base::TimePoint aNow) const;

  // While ratings are down, evidence does not age.
  void SetRatingsUp(bool aUp, base::TimePoint aNow);
  bool RatingsUp() const { return m_up; }
  // Drops all evidence of a withdrawn version.
  void RemoveVersion(std::string_view aVersion);

private:
  struct Count
  {
    double m_good = 0;
    double m_bad = 0;
    base::Millis m_at; // on the clock that runs while ratings are up
  };
  using Key = std::tuple<std::string, std::string, std::string, PlanStep>;

  base::Millis UpTime(base::TimePoint aNow) const;
  Count Aged(const Count& aCount, base::TimePoint aNow) const;
  Count Find(const Key& aKey, base::TimePoint aNow) const;
  AcceptanceEstimate Prior(const Key& aPooled,
                           bool aBestRank,
                           base::TimePoint aNow) const;

  const EstimatorSettings m_settings;
  std::map<Key, Count> m_counts; // the pool has an empty team
  bool m_up = true;
  base::Millis m_upBefore; // up time until m_since
  base::TimePoint m_since;
};

} // namespace chivefront::policy
