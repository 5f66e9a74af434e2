// Sequential test of a version against its predecessor.
#include "chivefront/policy/rollout_judge.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>

namespace chivefront::policy {
namespace {

struct Alternative
{
  double m_ratio; // of the predecessor's rate
  double m_weight;
};

// Half the good ratings is the case to catch fast and has half the weight;
// smaller losses take longer.
constexpr std::array<Alternative, 4> kWorse{
  { { 0.5, 0.55 }, { 0.25, 0.1 }, { 0.7, 0.25 }, { 0.85, 0.1 } }
};
constexpr std::array<Alternative, 4> kMoreFailures{
  { { 2, 0.2 }, { 4, 0.3 }, { 10, 0.3 }, { 30, 0.2 } }
};
constexpr std::array<Alternative, 3> kSlower{
  { { 2, 0.4 }, { 3, 0.3 }, { 6, 0.3 } }
};
// A rate at 0 or 1 would make a single contrary answer a proof.
constexpr double kMinRate = 0.01;
constexpr double kMaxRate = 0.99;
// Errors and losses below these shares stop no roll-out, whatever the
// predecessor's share is.
constexpr double kToleratedErrors = 0.01;
constexpr double kToleratedLosses = 0.003;
constexpr double kToleratedSlowdown = 1.25;
// Ratios of the predecessor's rate that each stage rules out before it ends.
// The first must fit within its exposure bound; later stages see more.
constexpr std::array<double, 4> kStageRatio{ 0.5, 0.7, 0.8, 0.85 };
constexpr double kMoreFailuresCap = 0.9;
// Arrivals are about Poisson; the bound is to hold in nearly all cases.
constexpr double kArrivalDeviations = 2;
// Without a proof at the exposure bound, a version that is likelier half as
// good is stopped; another one stays in the first stage for this many more
// requests, then the question is asked again.
constexpr uint64_t kExtension = 10;
constexpr double kShortestRunMs = 1000;
constexpr int kRateSteps = 100; // of the search in LikelihoodRatioNonInferior
constexpr int kBisections = 40;

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

// Logarithm of the likelihood of the counts under the Jeffreys mixture of all
// rates.
double
LogMixture(double aGood, double aBad)
{
  return LogBeta(aGood + 0.5, aBad + 0.5) - LogBeta(0.5, 0.5);
}

// Evidence that latencies of mean aSum/aCount come from a mean above aMean.
// Exponential latencies are the worst case allowed for; real ones vary less
// around their mean, which only lowers the false alarms.
double
LikelihoodRatioSlower(double aSum, double aCount, double aMean)
{
  double evidence = 0;
  for (const Alternative& slower : kSlower) {
    const double log = -aCount * std::log(slower.m_ratio) +
                       aSum / aMean * (1 - 1 / slower.m_ratio);
    evidence += slower.m_weight * std::exp(log);
  }
  return evidence;
}

double
FailureRate(uint64_t aFailures, uint64_t aExposed, double aError)
{
  const uint64_t others = aExposed - std::min(aFailures, aExposed);
  return UpperBound(aFailures, others, aError);
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
  double evidence = 0;
  for (const Alternative& worse : kWorse) {
    evidence += worse.m_weight *
                std::exp(LogLikelihood(good, bad, worse.m_ratio * rate) - base);
  }
  return evidence;
}

double
LikelihoodRatioAbove(uint64_t aFailures, uint64_t aOthers, double aRate)
{
  const double rate = Clamped(aRate);
  const auto failures = static_cast<double>(aFailures);
  const auto others = static_cast<double>(aOthers);
  const double base = LogLikelihood(failures, others, rate);
  double evidence = 0;
  for (const Alternative& more : kMoreFailures) {
    const double higher =
      std::max(rate, std::min(more.m_ratio * rate, kMoreFailuresCap));
    evidence +=
      more.m_weight * std::exp(LogLikelihood(failures, others, higher) - base);
  }
  return evidence;
}

double
LowerBound(uint64_t aGood, uint64_t aBad, double aError)
{
  const auto good = static_cast<double>(aGood);
  const auto bad = static_cast<double>(aBad);
  if (aGood == 0) {
    return 0;
  }
  // A rate is outside while its likelihood is this far below the mixture's.
  const double limit = LogMixture(good, bad) + std::log(aError);
  double low = 0;
  double high = good / (good + bad);
  for (int i = 0; i < kBisections; ++i) {
    const double middle = (low + high) / 2;
    (LogLikelihood(good, bad, middle) <= limit ? low : high) = middle;
  }
  return low;
}

double
UpperBound(uint64_t aGood, uint64_t aBad, double aError)
{
  return 1 - LowerBound(aBad, aGood, aError);
}

double
LikelihoodRatioWorse(const VersionCounts& aVersion,
                     const VersionCounts& aPrevious,
                     double aEnough)
{
  const auto good = static_cast<double>(aPrevious.m_good);
  const auto bad = static_cast<double>(aPrevious.m_bad);
  const double known = LogMixture(good, bad);
  const auto at = [&](double aRate) {
    return std::log(
             LikelihoodRatioBelow(aVersion.m_good, aVersion.m_bad, aRate)) +
           known - LogLikelihood(good, bad, aRate);
  };
  // The rate as seen is near the least, and settles most looks.
  if (good + bad > 0) {
    const double seen = at(Clamped(good / (good + bad)));
    if (seen < std::log(aEnough)) {
      return std::exp(seen);
    }
  }
  // Both terms are convex in the rate, so a ternary search finds the least.
  double low = kMinRate;
  double high = kMaxRate;
  for (int i = 0; i < kBisections; ++i) {
    const double left = low + (high - low) / 3;
    const double right = high - (high - low) / 3;
    if (at(left) < at(right)) {
      high = right;
    } else {
      low = left;
    }
  }
  return std::exp(at(low));
}

double
LikelihoodRatioNonInferior(const VersionCounts& aVersion,
                           const VersionCounts& aPrevious,
                           double aRatio)
{
  const auto newGood = static_cast<double>(aVersion.m_good);
  const auto newBad = static_cast<double>(aVersion.m_bad);
  const auto good = static_cast<double>(aPrevious.m_good);
  const auto bad = static_cast<double>(aPrevious.m_bad);
  const double known = LogMixture(good, bad);
  double least = std::numeric_limits<double>::infinity();
  for (int i = 1; i < kRateSteps; ++i) {
    const double rate = static_cast<double>(i) / kRateSteps;
    const double evidence = LogLikelihood(newGood, newBad, rate) -
                            LogLikelihood(newGood, newBad, aRatio * rate) +
                            known - LogLikelihood(good, bad, rate);
    least = std::min(least, evidence);
  }
  return std::exp(least);
}

RolloutJudge::RolloutJudge(const JudgeSettings& aSettings)
  : m_settings(aSettings)
{
}

std::optional<Verdict>
RolloutJudge::Worse(const VersionCounts& aVersion,
                    const VersionCounts& aPrevious) const
{
  const auto stop = [](JudgeReason aReason, double aEvidence) {
    return Verdict{ JudgeAction::Stop, aReason, aEvidence };
  };
  const double enough = 1 / m_settings.m_ratingError;
  const double ratings = LikelihoodRatioWorse(aVersion, aPrevious, enough);
  if (ratings >= enough) {
    return stop(JudgeReason::Ratings, ratings);
  }
  const auto worseFailures =
    [&](uint64_t aNew, uint64_t aOld, double aTolerated) {
      const uint64_t others =
        aVersion.m_exposed - std::min(aNew, aVersion.m_exposed);
      const double known =
        aPrevious.m_exposed == 0
          ? aTolerated
          : FailureRate(aOld, aPrevious.m_exposed, m_settings.m_previousError);
      return LikelihoodRatioAbove(aNew, others, std::max(known, aTolerated));
    };
  const double errors =
    worseFailures(aVersion.m_errors, aPrevious.m_errors, kToleratedErrors);
  if (errors >= 1 / m_settings.m_errorsError) {
    return stop(JudgeReason::Errors, errors);
  }
  const double losses =
    worseFailures(aVersion.m_losses, aPrevious.m_losses, kToleratedLosses);
  if (losses >= 1 / m_settings.m_lossesError) {
    return stop(JudgeReason::Losses, losses);
  }
  const uint64_t answers =
    aVersion.m_exposed - std::min(aVersion.m_errors, aVersion.m_exposed);
  const uint64_t previousAnswers =
    aPrevious.m_exposed - std::min(aPrevious.m_errors, aPrevious.m_exposed);
  if (previousAnswers > 0 && answers > 0 && aPrevious.m_latencyMsSum > 0) {
    const double mean = static_cast<double>(aPrevious.m_latencyMsSum) /
                        static_cast<double>(previousAnswers);
    const double slower =
      LikelihoodRatioSlower(static_cast<double>(aVersion.m_latencyMsSum),
                            static_cast<double>(answers),
                            mean * kToleratedSlowdown);
    if (slower >= 1 / m_settings.m_latencyError) {
      return stop(JudgeReason::Latency, slower);
    }
  }
  return std::nullopt;
}

bool
RolloutJudge::GoodEnough(const VersionCounts& aVersion,
                         const VersionCounts& aPrevious,
                         uint32_t aStage) const
{
  const double ratio =
    kStageRatio[std::min<size_t>(aStage, kStageRatio.size() - 1)];
  return LikelihoodRatioNonInferior(aVersion, aPrevious, ratio) >=
         1 / m_settings.m_advanceError;
}

// The rate over all time in which the entries sent new sessions; shorter
// means vary too much at a few requests a second.
double
RolloutJudge::ExposedPerMs(const VersionCounts& aVersion, base::TimePoint aNow)
{
  if (!m_lastLook) {
    m_firstExposed = aVersion.m_exposed;
  } else if (!m_heldSince) {
    m_runningMs += static_cast<double>((aNow - *m_lastLook).Count());
  }
  m_lastLook = aNow;
  const uint64_t exposed =
    aVersion.m_exposed - std::min(m_firstExposed, aVersion.m_exposed);
  return static_cast<double>(exposed) / std::max(m_runningMs, kShortestRunMs);
}

Verdict
RolloutJudge::AtBound(const VersionCounts& aVersion,
                      const VersionCounts& aPrevious,
                      base::TimePoint aNow)
{
  if (!m_heldSince) {
    m_heldSince = aNow;
  }
  const uint64_t settled = aVersion.m_good + aVersion.m_bad + aVersion.m_errors;
  const bool complete = settled >= aVersion.m_exposed;
  const bool waited = aNow - *m_heldSince >= m_settings.m_ratingWait;
  const double rate =
    LowerBound(aPrevious.m_good, aPrevious.m_bad, m_settings.m_previousError);
  // Without ratings on both sides there is nothing to decide by; a missing
  // rating service must not let an unknown version through.
  const bool rated =
    2 * (aVersion.m_good + aVersion.m_bad) >= aVersion.m_exposed;
  if ((!complete && !waited) || !rated || rate <= kMinRate) {
    // Sessions that have the version go on while it is held, so a hold without
    // an end would let the exposure grow without bound.
    const bool isOver = aNow - *m_heldSince >= m_settings.m_longestHold;
    return isOver ? Verdict{ JudgeAction::Stop, JudgeReason::NoRatings, 0 }
                  : Verdict{ JudgeAction::Hold, JudgeReason::None, 0 };
  }
  const double known =
    Clamped(static_cast<double>(aPrevious.m_good) /
            static_cast<double>(aPrevious.m_good + aPrevious.m_bad));
  const auto good = static_cast<double>(aVersion.m_good);
  const auto bad = static_cast<double>(aVersion.m_bad);
  const double half =
    std::exp(LogLikelihood(good, bad, kStageRatio[0] * known) -
             LogLikelihood(good, bad, known));
  if (half > 1) {
    return { JudgeAction::Stop, JudgeReason::ExposureBound, half };
  }
  m_extension += kExtension;
  m_heldSince.reset();
  return { JudgeAction::Continue, JudgeReason::ExposureBound, half };
}

Verdict
RolloutJudge::Evaluate(const VersionCounts& aVersion,
                       const VersionCounts& aPrevious,
                       uint32_t aStage,
                       uint64_t aMaxExposed,
                       base::TimePoint aNow)
{
  const double perMs = ExposedPerMs(aVersion, aNow);
  if (const auto stop = Worse(aVersion, aPrevious)) {
    return *stop;
  }
  if (GoodEnough(aVersion, aPrevious, aStage)) {
    m_heldSince.reset();
    return { JudgeAction::Advance, JudgeReason::Ratings, 0 };
  }
  // Requests that are dispatched before a pause is in force count too.
  const double mean =
    perMs * static_cast<double>(m_settings.m_reaction.Count());
  const double coming = mean + kArrivalDeviations * std::sqrt(mean);
  if (aStage == 0 && static_cast<double>(aVersion.m_exposed) + coming >=
                       static_cast<double>(aMaxExposed + m_extension)) {
    return AtBound(aVersion, aPrevious, aNow);
  }
  m_heldSince.reset();
  return {};
}

VersionMonitor::VersionMonitor(const VersionCounts& aReference, double aError)
  : m_rate(Clamped(LowerBound(aReference.m_good, aReference.m_bad, 0.01)))
  , m_errorRate(
      std::max(FailureRate(aReference.m_errors, aReference.m_exposed, 0.01),
               kToleratedErrors))
  , m_error(aError)
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
  const VersionCounts news = aTotals - *m_last;
  m_last = aTotals;
  m_logRatings =
    std::max(0.0,
             m_logRatings +
               std::log(LikelihoodRatioBelow(news.m_good, news.m_bad, m_rate)));
  const uint64_t others =
    news.m_exposed - std::min(news.m_errors, news.m_exposed);
  m_logErrors = std::max(0.0,
                         m_logErrors + std::log(LikelihoodRatioAbove(
                                         news.m_errors, others, m_errorRate)));
  return std::max(m_logRatings, m_logErrors) >= -std::log(m_error);
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
