// Judges a version against its predecessor from counts pooled over all
// entries. The test may be evaluated at any time and as often as wanted: the
// stated error rates hold over the whole life of a roll-out.
//
//   RolloutJudge judge(settings);
//   Verdict verdict = judge.Evaluate(versionCounts, previousCounts,
//                                rollout.m_stage, rollout.m_maxExposed, now);
//   if (verdict.m_action == JudgeAction::Stop) ... commit "stopped" ...
//
// How it works: for each measure, a mixture of likelihood ratios of "worse"
// against "as good as the predecessor" is a supermartingale while the version
// is as good, so by Ville's inequality it ever exceeds 1/e with probability
// at most e. The predecessor's rate enters as the end of a confidence
// sequence, which is valid at any time as well.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "chivefront/base/clock.h"
#include "chivefront/base/names.h"

namespace chivefront::policy {

// Totals of one version since the roll-out began, over all entries.
struct VersionCounts
{
  uint64_t m_exposed = 0; // requests dispatched on this version
  uint64_t m_good = 0;    // rated acceptable
  uint64_t m_bad = 0;     // rated not acceptable
  uint64_t m_errors = 0;
  uint64_t m_losses = 0; // upstream losses while running it
  uint64_t m_latencyMsSum = 0;

  VersionCounts operator-(const VersionCounts& aOther) const;
};

// Share of the predecessor's answers to rate while a roll-out runs. What is
// known of the predecessor limits how soon a verdict can come.
inline constexpr double kPredecessorSampleShare = 0.2;

enum class JudgeAction
{
  Continue, // nothing proved yet
  Hold,     // no new sessions on the version until ratings have come in
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
  ExposureBound, // no proof at the bound; the likelier hypothesis decided
  NoRatings,     // held for the longest time without enough ratings
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
  // Probabilities of ever stopping a version that is as good as its
  // predecessor, by measure; their sum, with that of the confidence sequence,
  // is below the 1% of the goal.
  double m_ratingError = 0.004;
  double m_errorsError = 0.002;
  double m_lossesError = 0.001;
  double m_latencyError = 0.001;
  double m_previousError = 0.001;
  // Probability of advancing a version that is as bad as the stage's ratio.
  double m_advanceError = 0.001;
  // Time from a dispatch until a pause that it caused is in force at the
  // entries: report and look intervals, a commit, and at most the lease.
  base::Millis m_reaction{ 1500 };
  // Wait for missing ratings at the exposure bound before they are taken to
  // be lost.
  base::Millis m_ratingWait{ 30000 };
  // Hold without enough ratings after which the roll-out is stopped. Long
  // enough for a restart of the rating service.
  base::Millis m_longestHold{ 30LL * 60 * 1000 };
};

struct Verdict
{
  JudgeAction m_action = JudgeAction::Continue;
  JudgeReason m_reason = JudgeReason::None;
  double m_likelihoodRatio = 0; // the likelihood ratio that decided
};

// Evidence that a success rate is below aRate, as a mixture over ratios.
// At most 1 in expectation, at any time, while the rate is at least aRate.
double
LikelihoodRatioBelow(uint64_t aGood, uint64_t aBad, double aRate);
// Evidence that a failure rate is above aRate.
double
LikelihoodRatioAbove(uint64_t aFailures, uint64_t aOthers, double aRate);
// Evidence that a version's acceptance rate is below its predecessor's, when
// that is known by its counts only: the least product, over all rates, of the
// evidence that the version is below the rate and that the predecessor is not
// at it. The product at the true rate is a supermartingale. A result below
// aEnough may be above the least.
double
LikelihoodRatioWorse(const VersionCounts& aVersion,
                     const VersionCounts& aPrevious,
                     double aEnough);
// Evidence that a version's acceptance rate is above aRatio of its
// predecessor's, likewise.
double
LikelihoodRatioNonInferior(const VersionCounts& aVersion,
                           const VersionCounts& aPrevious,
                           double aRatio);
// Ends of a confidence sequence for a success rate: over all times, the true
// rate is ever outside with probability at most aError (each side).
double
LowerBound(uint64_t aGood, uint64_t aBad, double aError);
double
UpperBound(uint64_t aGood, uint64_t aBad, double aError);

class RolloutJudge
{
public:
  explicit RolloutJudge(const JudgeSettings& aSettings = {});

  // aStage counts from 0. aMaxExposed bounds the requests of the first stage.
  Verdict Evaluate(const VersionCounts& aVersion,
                   const VersionCounts& aPrevious,
                   uint32_t aStage,
                   uint64_t aMaxExposed,
                   base::TimePoint aNow);

private:
  std::optional<Verdict> Worse(const VersionCounts& aVersion,
                               const VersionCounts& aPrevious) const;
  bool GoodEnough(const VersionCounts& aVersion,
                  const VersionCounts& aPrevious,
                  uint32_t aStage) const;
  double ExposedPerMs(const VersionCounts& aVersion, base::TimePoint aNow);
  Verdict AtBound(const VersionCounts& aVersion,
                  const VersionCounts& aPrevious,
                  base::TimePoint aNow);

  JudgeSettings m_settings;
  uint64_t m_firstExposed = 0; // at the first look
  uint64_t m_extension = 0;    // of the exposure bound
  double m_runningMs = 0;      // time not held
  std::optional<base::TimePoint> m_lastLook;
  std::optional<base::TimePoint> m_heldSince;
};

// Watches a version in general use for a turn to the worse against its own
// reference, by a cumulative sum that forgets good times. A false alarm comes
// on average at most once in 1/aError ratings.
class VersionMonitor
{
public:
  // aReference: counts by which the version was judged good.
  explicit VersionMonitor(const VersionCounts& aReference,
                          double aError = 1e-6);

  // aTotals as reported, rising; a fall (a new control leader) restarts the
  // comparison without losing the sum. True when the version turned bad.
  bool Update(const VersionCounts& aTotals);
  double LikelihoodRatio() const;
  // The measure with the stronger evidence.
  JudgeReason Reason() const;

private:
  double m_rate;      // lower bound of the reference's acceptance
  double m_errorRate; // upper bound of its errors
  double m_error;
  double m_logRatings = 0;
  double m_logErrors = 0;
  std::optional<VersionCounts> m_last;
};

} // namespace chivefront::policy
