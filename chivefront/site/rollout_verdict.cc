// Sequential test of a roll-out in progress.
#include "chivefront/site/rollout_verdict.h"

#include <algorithm>

#include "chivefront/policy/rollout_judge.h"
#include "chivefront/routing/rollout_share.h"

namespace chivefront::site {
namespace detail {

// Chance of ever rolling back a version that is as good as the others.
constexpr double kFalseStop = 0.002;
// Failures beyond this share of all answers are never taken for normal.
constexpr double kHighestNormal = 0.25;
// A few failures of the others tell little about their rate.
constexpr double kLowestNormal = 0.03;
// Answers without which nothing is known of the version.
constexpr uint64_t kFewestAnswers = 10;

double
NormalFailures(const AnswerCounts& aOthers)
{
  const double total =
    static_cast<double>(aOthers.m_good) + static_cast<double>(aOthers.m_bad);
  // One failure more than seen, so that a short history is not taken for a
  // rate of zero.
  const double rate = (static_cast<double>(aOthers.m_bad) + 1) / (total + 1);
  return std::clamp(rate, kLowestNormal, kHighestNormal);
}

} // namespace detail

std::optional<RolloutStage>
JudgeRollout(const Rollout& aRollout,
             const AnswerCounts& aVersion,
             const AnswerCounts& aOthers,
             base::TimePoint aNow)
{
  const double normal = detail::NormalFailures(aOthers);
  if (policy::LikelihoodRatioAbove(aVersion.m_bad, aVersion.m_good, normal) >
      1 / detail::kFalseStop) {
    return RolloutStage::RolledBack;
  }
  const base::Millis elapsed = aNow - aRollout.m_started;
  if (elapsed < routing::RolloutEnd(aRollout.m_span)) {
    return std::nullopt;
  }
  // Without answers the old version is the safer one to keep.
  return aVersion.m_good + aVersion.m_bad < detail::kFewestAnswers
           ? RolloutStage::RolledBack
           : RolloutStage::Completed;
}

} // namespace chivefront::site
