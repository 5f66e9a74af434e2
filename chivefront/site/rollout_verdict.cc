// Sequential test of the new version of a roll-out in progress.
#include "chivefront/site/rollout_verdict.h"

#include <algorithm>

#include "chivefront/policy/rollout_judge.h"
#include "chivefront/routing/rollout_share.h"

namespace chivefront::site {
namespace detail {

// Probability of ever rolling back a version that is as good as the others.
constexpr double kFalseRollbackProbability = 0.002;
// Likelihood ratio of a higher failure rate above which a version is not
// completed at the end of its span. Far lower than the one for a roll-back
// before, because a good version that is rolled back can be rolled out again,
// while a bad one that is completed has no old version to return to.
constexpr double kMaxDoubtAtEnd = 1;
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
  const double doubt =
    policy::LikelihoodRatioAbove(aVersion.m_bad, aVersion.m_good, baseline);
  if (doubt > 1 / detail::kFalseRollbackProbability) {
    return RolloutStage::RolledBack;
  }
  const base::Millis elapsed = aNow - aRollout.m_started;
  if (elapsed < routing::RolloutEnd(aRollout.m_span)) {
    return std::nullopt;
  }
  // With too few answers it is safer to keep the old version.
  const bool tooFew = aVersion.m_good + aVersion.m_bad < detail::kMinAnswers;
  return tooFew || doubt > detail::kMaxDoubtAtEnd ? RolloutStage::RolledBack
                                                  : RolloutStage::Completed;
}

} // namespace chivefront::site
