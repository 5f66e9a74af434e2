// Sequential test of the new version of a roll-out in progress.
#include "chivefront/site/rollout_verdict.h"

#include <algorithm>

#include "chivefront/policy/rollout_judge.h"
#include "chivefront/routing/rollout_share.h"

namespace chivefront::site {
namespace detail {

// Probability of ever rolling back a version that is as good as the others.
constexpr double kFalseRollbackProbability = 0.002;
// Upper bound of the failure rate that counts as normal.
constexpr double kMaxBaselineFailureRate = 0.25;
// Lower bound of that rate, because few failures of the others say little about
// their true rate.
constexpr double kMinBaselineFailureRate = 0.03;
// With fewer answers than this, the version is not judged as good.
constexpr uint64_t kMinAnswers = 10;

double
BaselineFailureRate(const AnswerCounts& aOthers)
{
  const double total =
    static_cast<double>(aOthers.m_good) + static_cast<double>(aOthers.m_bad);
  // Counts one failure more than seen, so that a short history doesn't yield a
  // rate of zero.
  const double rate = (static_cast<double>(aOthers.m_bad) + 1) / (total + 1);
  return std::clamp(rate, kMinBaselineFailureRate, kMaxBaselineFailureRate);
}

} // namespace detail

std::optional<RolloutStage>
JudgeRollout(const Rollout& aRollout,
             const AnswerCounts& aVersion,
             const AnswerCounts& aOthers,
             base::TimePoint aNow)
{
  const double baseline = detail::BaselineFailureRate(aOthers);
  if (policy::LikelihoodRatioAbove(aVersion.m_bad, aVersion.m_good, baseline) >
      1 / detail::kFalseRollbackProbability) {
    return RolloutStage::RolledBack;
  }
  const base::Millis elapsed = aNow - aRollout.m_started;
  if (elapsed < routing::RolloutEnd(aRollout.m_span)) {
    return std::nullopt;
  }
  // With too few answers it is safer to keep the old version.
  return aVersion.m_good + aVersion.m_bad < detail::kMinAnswers
           ? RolloutStage::RolledBack
           : RolloutStage::Completed;
}

} // namespace chivefront::site
