// Sequential test of a new version against its predecessor, from counts pooled
// over all entries. The test may be evaluated at any time and any number of
// times: the error probabilities hold over a whole roll-out.
//
//   RolloutJudge judge(settings);
//   Verdict verdict = judge.Evaluate(versionCounts, predecessorCounts,
//                                    rollout.m_stage, rollout.m_maxExposed,
//                                    now);
//   if (verdict.m_action == JudgeAction::Stop) ... commit "stopped" ...
//
// For each measure, the statistic is a mixture of likelihood ratios of "worse
// than the predecessor" against "as good as the predecessor". While the version
// is as good, this mixture is a nonnegative supermartingale that starts at 1,
// so by Ville's inequality it ever exceeds 1/alpha with probability at most
// alpha. The unknown rate of the predecessor is covered by a confidence
// sequence, which is valid at any time as well.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "chivefront/base/clock.h"
#include "chivefront/base/names.h"

namespace chivefront::policy {

// Totals of one version over all entries since the start of the roll-out.
struct VersionCounts
{
  uint64_t m_exposed = 0; // requests dispatched on this version
  uint64_t m_good = 0;    // rated acceptable
  uint64_t m_bad = 0;     // rated not acceptable
  uint64_t m_errors = 0;
  uint64_t m_losses = 0;       // upstreams lost while running the version
  uint64_t m_latencyMsSum = 0; // over all answers

  VersionCounts operator-(const VersionCounts& aOther) const;
};

// Share of the predecessor's answers that are rated during a roll-out. The
// precision of the predecessor's rate limits how early a verdict is possible.
inline constexpr double kPredecessorSampleShare = 0.2;

enum class JudgeAction
{
  Continue, // not enough evidence yet
  Hold,     // no new sessions on the version until more ratings have arrived
  Advance,  // good enough for the next stage
  Stop,
};

inline constexpr base::NameTable<JudgeAction, 4> kJudgeActionNames{ {
  { { JudgeAction::Continue, "continue" },
    { JudgeAction::Hold, "hold" },
    { JudgeAction::Advance, "advance" },
    { JudgeAction::Stop, "stop" } },
} };

enum class JudgeReason
{
  None,
  Ratings,
  Errors,
  Losses,
  Latency,
  ExposureBound, // not significant at the bound; the likelier case decided
  NoRatings,     // held for m_maxHold without enough ratings
};

inline constexpr base::NameTable<JudgeReason, 7> kJudgeReasonNames{ {
  { { JudgeReason::None, "none" },
    { JudgeReason::Ratings, "ratings" },
    { JudgeReason::Errors, "errors" },
    { JudgeReason::Losses, "losses" },
    { JudgeReason::Latency, "latency" },
    { JudgeReason::ExposureBound, "exposure_bound" },
    { JudgeReason::NoRatings, "no_ratings" } },
} };

struct JudgeSettings
{
  // Significance levels: by measure, the probability of ever stopping a version
  // that is as good as its predecessor. m_predecessorAlpha is the error of the
  // bounds on the predecessor's rates. The sum stays below the goal of 1%.
  double m_ratingsAlpha = 0.004;
  double m_errorsAlpha = 0.002;
  double m_lossesAlpha = 0.001;
  double m_latencyAlpha = 0.001;
  double m_predecessorAlpha = 0.001;
  // Probability of advancing a version whose rate is only the stage's ratio
  // (kStageRatio) of its predecessor's.
  double m_advanceAlpha = 0.001;
  // Time from the dispatch of a request until a pause that it caused is in
  // force at the entries: a report interval, an evaluation interval, a commit,
  // and at most the lease.
  base::Millis m_reactionTime{ 1500 };
  // At the exposure bound, time to wait for missing ratings before they count
  // as lost.
  base::Millis m_ratingWait{ 30000 };
  // Time after which a roll-out that is held without enough ratings is stopped.
  // A restart of the rating service fits within it.
  base::Millis m_maxHold{ 30LL * 60 * 1000 };
};

struct Verdict
{
  JudgeAction m_action = JudgeAction::Continue;
  JudgeReason m_reason = JudgeReason::None;
  double m_likelihoodRatio = 0; // the one that decided, else 0
};

// Likelihood ratio of a success rate below aRate against aRate, as a mixture
// over lower rates. Its expectation is at most 1 at any time while the true
// rate is at least aRate.
double
LikelihoodRatioBelow(uint64_t aGood, uint64_t aBad, double aRate);
// Likelihood ratio of a failure rate above aRate against aRate, likewise.
double
LikelihoodRatioAbove(uint64_t aFailures, uint64_t aOthers, double aRate);
// Likelihood ratio of an acceptance rate of the version below its predecessor's
// against one that is equal. The predecessor's rate is known only by its
// counts, so the result is a minimum over all rates r of the product of two
// ratios: that the version's rate is below r, and that the predecessor's rate
// isn't r. At the predecessor's true rate this product is a supermartingale,
// and the minimum can't exceed it. A result below aThreshold may be above the
// minimum.
double
LikelihoodRatioWorse(const VersionCounts& aVersion,
                     const VersionCounts& aPredecessor,
                     double aThreshold);
// Non-inferiority: likelihood ratio of an acceptance rate of the version equal
// to its predecessor's against one of aRatio times it, as a minimum over the
// predecessor's rates likewise.
double
LikelihoodRatioNonInferior(const VersionCounts& aVersion,
                           const VersionCounts& aPredecessor,
                           double aRatio);
// Lower and upper end of a confidence sequence for a success rate: the
// probability that the true rate is ever outside is at most aAlpha on each
// side.
double
LowerBound(uint64_t aGood, uint64_t aBad, double aAlpha);
double
UpperBound(uint64_t aGood, uint64_t aBad, double aAlpha);

class RolloutJudge
{
public:
  explicit RolloutJudge(const JudgeSettings& aSettings = {});

  // aStage counts from 0. aMaxExposed is the exposure bound: the number of
  // requests that the version may receive in the first stage.
  Verdict Evaluate(const VersionCounts& aVersion,
                   const VersionCounts& aPredecessor,
                   uint32_t aStage,
                   uint64_t aMaxExposed,
                   base::TimePoint aNow);

private:
  // A Stop verdict if any measure is significantly worse.
  std::optional<Verdict> TestForRegression(
    const VersionCounts& aVersion,
    const VersionCounts& aPredecessor) const;
  // Whether the version is non-inferior by the ratio of the stage.
  bool PassesStage(const VersionCounts& aVersion,
                   const VersionCounts& aPredecessor,
                   uint32_t aStage) const;
  // Mean rate of exposed requests while the roll-out is not held.
  double ExposedPerMs(const VersionCounts& aVersion, base::TimePoint aNow);
  // The verdict at the exposure bound, when no test is significant.
  Verdict DecideAtBound(const VersionCounts& aVersion,
                        const VersionCounts& aPredecessor,
                        base::TimePoint aNow);

  JudgeSettings m_settings;
  uint64_t m_firstExposed = 0; // m_exposed at the first evaluation
  uint64_t m_extension = 0;    // requests added to the exposure bound
  double m_runningMs = 0;      // time not held
  std::optional<base::TimePoint> m_lastEvaluation;
  std::optional<base::TimePoint> m_heldSince;
};

// Detects a regression of a version in general use against its own reference
// counts. The statistic is a CUSUM: a cumulative sum of log likelihood ratios
// that is reset to 0 when it falls below, so that a long good history does not
// hide a later regression. There is on average at most one false alarm in
// 1/aAlpha ratings.
class VersionMonitor
{
public:
  // aReference: counts by which the version passed its roll-out.
  explicit VersionMonitor(const VersionCounts& aReference,
                          double aAlpha = 1e-6);

  // aTotals are cumulative. A total lower than before, as after a change of the
  // control leader, becomes the new base without resetting the statistic. True
  // when a regression is significant.
  bool Update(const VersionCounts& aTotals);
  double LikelihoodRatio() const;
  // The measure with the larger likelihood ratio.
  JudgeReason Reason() const;

private:
  double m_acceptanceRate; // lower bound of the reference's acceptance rate
  double m_errorRate;      // upper bound of the reference's error rate
  double m_alpha;
  // CUSUM statistics of ratings and of errors, never below 0.
  double m_logRatings = 0;
  double m_logErrors = 0;
  std::optional<VersionCounts> m_last;
};

} // namespace chivefront::policy
