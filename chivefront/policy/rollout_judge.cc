// Mixtures of likelihood ratios, confidence sequences and the stage decisions.
#include "chivefront/policy/rollout_judge.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>

namespace chivefront::policy {
namespace {

// One alternative hypothesis of a mixture. The weights of a mixture sum to 1.
struct Alternative
{
  double m_ratio; // to the predecessor's rate
  double m_weight;
};

// Half the rate of good ratings must be detected fastest, so it has about half
// the weight; smaller regressions take longer to detect.
constexpr std::array<Alternative, 4> kLowerAcceptance{
  { { 0.5, 0.55 }, { 0.25, 0.1 }, { 0.7, 0.25 }, { 0.85, 0.1 } }
};
constexpr std::array<Alternative, 4> kMoreFailures{
  { { 2, 0.2 }, { 4, 0.3 }, { 10, 0.3 }, { 30, 0.2 } }
};
constexpr std::array<Alternative, 3> kSlower{
  { { 2, 0.4 }, { 3, 0.3 }, { 6, 0.3 } }
};
// With a rate of 0 or 1, a single contrary answer would be conclusive.
constexpr double kMinRate = 0.01;
constexpr double kMaxRate = 0.99;
// Error and loss rates below these, and latency ratios below
// kToleratedSlowdown, never stop a roll-out, however low the predecessor's
// rates are.
constexpr double kToleratedErrors = 0.01;
constexpr double kToleratedLosses = 0.003;
constexpr double kToleratedSlowdown = 1.25;
// Ratio to the predecessor's rate that each stage rules out before the next one
// starts. The first stage must reach its verdict within the exposure bound;
// later stages have more requests to decide by.
constexpr std::array<double, 4> kStageRatio{ 0.5, 0.7, 0.8, 0.85 };
constexpr double kMaxFailureRate = 0.9; // of the alternatives
// Standard deviations of margin for requests that arrive before a pause is in
// force. Arrivals are about Poisson, and the bound must hold in nearly all
// cases.
constexpr double kArrivalDeviations = 2;
// If no test is significant at the exposure bound, a version that is more
// likely half as good is stopped. Otherwise it may receive this many more
// requests in the first stage before it is evaluated at the bound again.
constexpr uint64_t kBoundExtension = 10;
constexpr double kMinRunMs = 1000;
constexpr int kRateSteps = 100;  // grid size of LikelihoodRatioNonInferior
constexpr int kSearchSteps = 40; // of bisections and ternary searches

double
Clamped(double aRate)
{
  return std::clamp(aRate, kMinRate, kMaxRate);
}

// Logarithm of the likelihood of the counts under a rate.
double
LogLikelihood(double aGood, double aBad, double aRate)
{
  return aGood * std::log(aRate) + aBad * std::log(1 - aRate);
}

double
LogBeta(double aFirst, double aSecond)
{
  return std::lgamma(aFirst) + std::lgamma(aSecond) -
         std::lgamma(aFirst + aSecond);
}

// Logarithm of the likelihood of the counts under a mixture of all rates, with
// the Jeffreys prior as weights.
double
LogMixture(double aGood, double aBad)
{
  return LogBeta(aGood + 0.5, aBad + 0.5) - LogBeta(0.5, 0.5);
}

// Likelihood ratio of a mean latency above aMean against aMean, for aCount
// latencies with the sum aSum. The latencies are modelled as exponential; real
// ones vary less around their mean, which only makes false alarms rarer.
double
LikelihoodRatioSlower(double aSum, double aCount, double aMean)
{
  double ratio = 0;
  for (const Alternative& slower : kSlower) {
    const double log = -aCount * std::log(slower.m_ratio) +
                       aSum / aMean * (1 - 1 / slower.m_ratio);
    ratio += slower.m_weight * std::exp(log);
  }
  return ratio;
}

// Upper bound of the failure rate.
double
MaxFailureRate(uint64_t aFailures, uint64_t aExposed, double aAlpha)
{
  const uint64_t successes = aExposed - std::min(aFailures, aExposed);
  return UpperBound(aFailures, successes, aAlpha);
}

} // namespace

VersionCounts
VersionCounts::operator-(const VersionCounts& aOther) const
{
  VersionCounts difference;
  difference.m_exposed = m_exposed - aOther.m_exposed;
  difference.m_good = m_good - aOther.m_good;
  difference.m_bad = m_bad - aOther.m_bad;
  difference.m_errors = m_errors - aOther.m_errors;
  difference.m_losses = m_losses - aOther.m_losses;
  difference.m_latencyMsSum = m_latencyMsSum - aOther.m_latencyMsSum;
  return difference;
}

double
LikelihoodRatioBelow(uint64_t aGood, uint64_t aBad, double aRate)
{
  const double rate = Clamped(aRate);
  const auto good = static_cast<double>(aGood);
  const auto bad = static_cast<double>(aBad);
  const double base = LogLikelihood(good, bad, rate);
  double ratio = 0;
  for (const Alternative& worse : kLowerAcceptance) {
    ratio += worse.m_weight *
             std::exp(LogLikelihood(good, bad, worse.m_ratio * rate) - base);
  }
  return ratio;
}

double
LikelihoodRatioAbove(uint64_t aFailures, uint64_t aSuccesses, double aRate)
{
  const double rate = Clamped(aRate);
  const auto failures = static_cast<double>(aFailures);
  const auto successes = static_cast<double>(aSuccesses);
  const double base = LogLikelihood(failures, successes, rate);
  double ratio = 0;
  for (const Alternative& more : kMoreFailures) {
    const double higher =
      std::max(rate, std::min(more.m_ratio * rate, kMaxFailureRate));
    ratio += more.m_weight *
             std::exp(LogLikelihood(failures, successes, higher) - base);
  }
  return ratio;
}

double
LowerBound(uint64_t aGood, uint64_t aBad, double aAlpha)
{
  const auto good = static_cast<double>(aGood);
  const auto bad = static_cast<double>(aBad);
  if (aGood == 0) {
    return 0;
  }
  // A rate is outside if its log likelihood is at most this limit. The log
  // likelihood rises up to the observed rate, so bisection finds the bound.
  const double limit = LogMixture(good, bad) + std::log(aAlpha);
  double low = 0;
  double high = good / (good + bad);
  for (int i = 0; i < kSearchSteps; ++i) {
    const double middle = (low + high) / 2;
    (LogLikelihood(good, bad, middle) <= limit ? low : high) = middle;
  }
  return low;
}

double
UpperBound(uint64_t aGood, uint64_t aBad, double aAlpha)
{
  return 1 - LowerBound(aBad, aGood, aAlpha);
}

double
LikelihoodRatioWorse(const VersionCounts& aVersion,
                     const VersionCounts& aPredecessor,
                     double aThreshold)
{
  const auto good = static_cast<double>(aPredecessor.m_good);
  const auto bad = static_cast<double>(aPredecessor.m_bad);
  const double mixture = LogMixture(good, bad);
  const auto logRatio = [&](double aRate) {
    return std::log(
             LikelihoodRatioBelow(aVersion.m_good, aVersion.m_bad, aRate)) +
           mixture - LogLikelihood(good, bad, aRate);
  };
  // The value at the observed rate is near the minimum. In most evaluations it
  // is below the threshold, which makes the search unnecessary.
  if (good + bad > 0) {
    const double observed = logRatio(Clamped(good / (good + bad)));
    if (observed < std::log(aThreshold)) {
      return std::exp(observed);
    }
  }
  // Both terms are convex in the rate, so a ternary search finds the minimum.
  double low = kMinRate;
  double high = kMaxRate;
  for (int i = 0; i < kSearchSteps; ++i) {
    const double left = low + (high - low) / 3;
    const double right = high - (high - low) / 3;
    if (logRatio(left) < logRatio(right)) {
      high = right;
    } else {
      low = left;
    }
  }
  return std::exp(logRatio(low));
}

double
LikelihoodRatioNonInferior(const VersionCounts& aVersion,
                           const VersionCounts& aPredecessor,
                           double aRatio)
{
  const auto newGood = static_cast<double>(aVersion.m_good);
  const auto newBad = static_cast<double>(aVersion.m_bad);
  const auto good = static_cast<double>(aPredecessor.m_good);
  const auto bad = static_cast<double>(aPredecessor.m_bad);
  const double mixture = LogMixture(good, bad);
  double minimum = std::numeric_limits<double>::infinity();
  for (int i = 1; i < kRateSteps; ++i) {
    const double rate = static_cast<double>(i) / kRateSteps;
    const double logRatio = LogLikelihood(newGood, newBad, rate) -
                            LogLikelihood(newGood, newBad, aRatio * rate) +
                            mixture - LogLikelihood(good, bad, rate);
    minimum = std::min(minimum, logRatio);
  }
  return std::exp(minimum);
}

RolloutJudge::RolloutJudge(const JudgeSettings& aSettings)
  : m_settings(aSettings)
{
}

std::optional<Verdict>
RolloutJudge::TestForRegression(const VersionCounts& aVersion,
                                const VersionCounts& aPredecessor) const
{
  const auto stop = [](JudgeReason aReason, double aRatio) {
    return Verdict{ JudgeAction::Stop, aReason, aRatio };
  };
  const double threshold = 1 / m_settings.m_ratingsAlpha;
  const double ratings =
    LikelihoodRatioWorse(aVersion, aPredecessor, threshold);
  if (ratings >= threshold) {
    return stop(JudgeReason::Ratings, ratings);
  }
  const auto failureRatio =
    [&](uint64_t aNew, uint64_t aOld, double aTolerated) {
      const uint64_t successes =
        aVersion.m_exposed - std::min(aNew, aVersion.m_exposed);
      const double predecessorRate =
        aPredecessor.m_exposed == 0
          ? aTolerated
          : MaxFailureRate(
              aOld, aPredecessor.m_exposed, m_settings.m_predecessorAlpha);
      return LikelihoodRatioAbove(
        aNew, successes, std::max(predecessorRate, aTolerated));
    };
  const double errors =
    failureRatio(aVersion.m_errors, aPredecessor.m_errors, kToleratedErrors);
  if (errors >= 1 / m_settings.m_errorsAlpha) {
    return stop(JudgeReason::Errors, errors);
  }
  const double losses =
    failureRatio(aVersion.m_losses, aPredecessor.m_losses, kToleratedLosses);
  if (losses >= 1 / m_settings.m_lossesAlpha) {
    return stop(JudgeReason::Losses, losses);
  }
  const uint64_t answers =
    aVersion.m_exposed - std::min(aVersion.m_errors, aVersion.m_exposed);
  const uint64_t predecessorAnswers =
    aPredecessor.m_exposed -
    std::min(aPredecessor.m_errors, aPredecessor.m_exposed);
  if (predecessorAnswers > 0 && answers > 0 &&
      aPredecessor.m_latencyMsSum > 0) {
    const double mean = static_cast<double>(aPredecessor.m_latencyMsSum) /
                        static_cast<double>(predecessorAnswers);
    const double slower =
      LikelihoodRatioSlower(static_cast<double>(aVersion.m_latencyMsSum),
                            static_cast<double>(answers),
                            mean * kToleratedSlowdown);
    if (slower >= 1 / m_settings.m_latencyAlpha) {
      return stop(JudgeReason::Latency, slower);
    }
  }
  return std::nullopt;
}

bool
RolloutJudge::PassesStage(const VersionCounts& aVersion,
                          const VersionCounts& aPredecessor,
                          uint32_t aStage) const
{
  const double ratio =
    kStageRatio[std::min<size_t>(aStage, kStageRatio.size() - 1)];
  return LikelihoodRatioNonInferior(aVersion, aPredecessor, ratio) >=
         1 / m_settings.m_advanceAlpha;
}

// The mean is over the whole time for which entries sent new sessions; means
// over shorter times vary too much at a few requests per second.
double
RolloutJudge::ExposedPerMs(const VersionCounts& aVersion, base::TimePoint aNow)
{
  if (!m_lastEvaluation) {
    m_firstExposed = aVersion.m_exposed;
  } else if (!m_heldSince) {
    m_runningMs += static_cast<double>((aNow - *m_lastEvaluation).Count());
  }
  m_lastEvaluation = aNow;
  const uint64_t exposed =
    aVersion.m_exposed - std::min(m_firstExposed, aVersion.m_exposed);
  return static_cast<double>(exposed) / std::max(m_runningMs, kMinRunMs);
}

Verdict
RolloutJudge::DecideAtBound(const VersionCounts& aVersion,
                            const VersionCounts& aPredecessor,
                            base::TimePoint aNow)
{
  if (!m_heldSince) {
    m_heldSince = aNow;
  }
  const uint64_t settled = aVersion.m_good + aVersion.m_bad + aVersion.m_errors;
  const bool complete = settled >= aVersion.m_exposed;
  const bool waited = aNow - *m_heldSince >= m_settings.m_ratingWait;
  const double predecessorBound = LowerBound(
    aPredecessor.m_good, aPredecessor.m_bad, m_settings.m_predecessorAlpha);
  // A decision needs ratings of both versions; a missing rating service must
  // not let an untested version pass.
  const bool rated =
    2 * (aVersion.m_good + aVersion.m_bad) >= aVersion.m_exposed;
  if ((!complete && !waited) || !rated || predecessorBound <= kMinRate) {
    // Sessions pinned to the version continue during a hold, so an endless hold
    // would let the exposure grow without bound.
    const bool holdExpired = aNow - *m_heldSince >= m_settings.m_maxHold;
    return holdExpired ? Verdict{ JudgeAction::Stop, JudgeReason::NoRatings, 0 }
                       : Verdict{ JudgeAction::Hold, JudgeReason::None, 0 };
  }
  const double predecessorRate =
    Clamped(static_cast<double>(aPredecessor.m_good) /
            static_cast<double>(aPredecessor.m_good + aPredecessor.m_bad));
  const auto good = static_cast<double>(aVersion.m_good);
  const auto bad = static_cast<double>(aVersion.m_bad);
  // Above 1 if half the predecessor's rate is more likely than its rate.
  const double halfRateRatio =
    std::exp(LogLikelihood(good, bad, kStageRatio[0] * predecessorRate) -
             LogLikelihood(good, bad, predecessorRate));
  if (halfRateRatio > 1) {
    return { JudgeAction::Stop, JudgeReason::ExposureBound, halfRateRatio };
  }
  m_extension += kBoundExtension;
  m_heldSince.reset();
  return { JudgeAction::Continue, JudgeReason::ExposureBound, halfRateRatio };
}

Verdict
RolloutJudge::Evaluate(const VersionCounts& aVersion,
                       const VersionCounts& aPredecessor,
                       uint32_t aStage,
                       uint64_t aMaxExposed,
                       base::TimePoint aNow)
{
  const double perMs = ExposedPerMs(aVersion, aNow);
  if (const auto stop = TestForRegression(aVersion, aPredecessor)) {
    return *stop;
  }
  if (PassesStage(aVersion, aPredecessor, aStage)) {
    m_heldSince.reset();
    return { JudgeAction::Advance, JudgeReason::Ratings, 0 };
  }
  // Requests that will be dispatched before a pause is in force count as well.
  const double mean =
    perMs * static_cast<double>(m_settings.m_reactionTime.Count());
  const double expected = mean + kArrivalDeviations * std::sqrt(mean);
  if (aStage == 0 && static_cast<double>(aVersion.m_exposed) + expected >=
                       static_cast<double>(aMaxExposed + m_extension)) {
    return DecideAtBound(aVersion, aPredecessor, aNow);
  }
  m_heldSince.reset();
  return {};
}

VersionMonitor::VersionMonitor(const VersionCounts& aReference, double aAlpha)
  : m_acceptanceRate(
      Clamped(LowerBound(aReference.m_good, aReference.m_bad, 0.01)))
  , m_errorRate(
      std::max(MaxFailureRate(aReference.m_errors, aReference.m_exposed, 0.01),
               kToleratedErrors))
  , m_alpha(aAlpha)
{
}

bool
VersionMonitor::Update(const VersionCounts& aTotals)
{
  if (!m_last || aTotals.m_exposed < m_last->m_exposed ||
      aTotals.m_good < m_last->m_good || aTotals.m_bad < m_last->m_bad ||
      aTotals.m_errors < m_last->m_errors) {
    m_last = aTotals;
    return false;
  }
  const VersionCounts added = aTotals - *m_last;
  m_last = aTotals;
  m_logRatings =
    std::max(0.0,
             m_logRatings + std::log(LikelihoodRatioBelow(
                              added.m_good, added.m_bad, m_acceptanceRate)));
  const uint64_t successes =
    added.m_exposed - std::min(added.m_errors, added.m_exposed);
  m_logErrors = std::max(
    0.0,
    m_logErrors +
      std::log(LikelihoodRatioAbove(added.m_errors, successes, m_errorRate)));
  return std::max(m_logRatings, m_logErrors) >= -std::log(m_alpha);
}

double
VersionMonitor::LikelihoodRatio() const
{
  return std::exp(std::max(m_logRatings, m_logErrors));
}

JudgeReason
VersionMonitor::Reason() const
{
  return m_logErrors > m_logRatings ? JudgeReason::Errors
                                    : JudgeReason::Ratings;
}

} // namespace chivefront::policy
