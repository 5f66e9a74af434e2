// Fits a line to the lower edge of the latest samples.
#include "chivefront/routing/reading_pace.h"

#include <algorithm>
#include <cmath>

namespace chivefront::routing {
namespace detail {

constexpr size_t kWindowSize = 96;
constexpr size_t kMinSamples = 12;
constexpr size_t kSamplesPerFit = 8;
// One in so many of the samples that have queued is used. They are not left out
// altogether, so that a wrong value is corrected under constant load as well.
constexpr size_t kQueuedPerSample = 8;
// Share of the samples below the line.
constexpr double kFastShare = 0.15;
// Weight of the fixed delay in the loss, relative to that of a sample. If all
// prompts are of about one length, the samples can't tell the fixed delay from
// the reading; this attributes their time to reading.
constexpr double kFixedDelayWeight = 0.01;
// Bounds of the search, in tokens per millisecond.
constexpr double kMinTokensPerMs = 1;
constexpr double kMaxTokensPerMs = 1000;
constexpr int kSearchSteps = 30;
// A prompt with fewer tokens is read within the resolution of the samples.
constexpr double kMinTokens = 100;

// Loss of one sample at aAbove milliseconds above the line.
double
QuantileLoss(double aAbove)
{
  return aAbove >= 0 ? kFastShare * aAbove : (kFastShare - 1) * aAbove;
}

// Loss of the best line with the slope aMsPerToken.
template<class Samples>
double
LossOfSlope(const Samples& aSamples, double aMsPerToken)
{
  std::vector<double> rest;
  rest.reserve(aSamples.size());
  for (const auto& sample : aSamples) {
    rest.push_back(sample.m_waitedMs - aMsPerToken * sample.m_tokens);
  }
  const auto rank = static_cast<ptrdiff_t>((kFastShare - kFixedDelayWeight) *
                                           static_cast<double>(rest.size()));
  std::nth_element(rest.begin(), rest.begin() + rank, rest.end());
  const double fixedDelay = std::max(0.0, rest[static_cast<size_t>(rank)]);
  double loss =
    kFixedDelayWeight * fixedDelay * static_cast<double>(rest.size());
  for (const double value : rest) {
    loss += QuantileLoss(value - fixedDelay);
  }
  return loss;
}

} // namespace detail

// The loss is convex in the slope, so a ternary search finds its minimum.
double
ReadingPace::Fit(const std::vector<Sample>& aSamples)
{
  double low = std::log(1 / detail::kMaxTokensPerMs);
  double high = std::log(1 / detail::kMinTokensPerMs);
  for (int i = 0; i < detail::kSearchSteps; ++i) {
    const double third = (high - low) / 3;
    const double lossAtLower =
      detail::LossOfSlope(aSamples, std::exp(low + third));
    const double lossAtHigher =
      detail::LossOfSlope(aSamples, std::exp(high - third));
    // With equal losses the flatter line, which has the higher pace.
    if (lossAtLower <= lossAtHigher) {
      high -= third;
    } else {
      low += third;
    }
  }
  return 1 / std::exp((low + high) / 2);
}

void
ReadingPace::Record(const ModelKey& aModel,
                    double aTokens,
                    double aWaitedMs,
                    bool aQueued)
{
  if (aTokens < detail::kMinTokens) {
    return;
  }
  Window& window = m_windows[aModel];
  if (aQueued && window.m_samples.size() >= detail::kMinSamples &&
      window.m_queuedCount++ % detail::kQueuedPerSample != 0) {
    return;
  }
  const Sample sample{ aTokens, aWaitedMs };
  if (window.m_samples.size() < detail::kWindowSize) {
    window.m_samples.push_back(sample);
  } else {
    window.m_samples[window.m_next] = sample;
    window.m_next = (window.m_next + 1) % detail::kWindowSize;
  }
  ++window.m_sinceFit;
  if (window.m_samples.size() >= detail::kMinSamples &&
      window.m_sinceFit >= detail::kSamplesPerFit) {
    window.m_sinceFit = 0;
    window.m_tokensPerMs = Fit(window.m_samples);
  }
}

double
ReadingPace::TokensPerMs(const ModelKey& aModel) const
{
  const auto found = m_windows.find(aModel);
  return found == m_windows.end() ? kInitialTokensPerMs
                                  : found->second.m_tokensPerMs;
}

} // namespace chivefront::routing
