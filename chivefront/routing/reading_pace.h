// How many prompt tokens the upstreams of a service read per millisecond with
// each of their models, learned from the times between sends and the heads of
// their answers.
//
// Most of these times include delays that have nothing to do with reading: the
// request waits behind other prompts, and its first token is computed in a
// batch with others. The pace is therefore fitted to the fastest answers: a
// line, fixed delay + tokens / pace, below which a small share of the samples
// lies (quantile regression). Only the latest samples count, so that a wrong
// value is corrected by as many new ones. Does no I/O; not thread-safe.
//
//   ReadingPace pace;
//   pace.Record({ "service", "model" }, 1500, 40);
//   const double ms = tokens / pace.TokensPerMs({ "service", "model" });
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace chivefront::routing {

// The pace of a model until it is known.
inline constexpr double kInitialTokensPerMs = 125;

// The service and the model.
using ModelKey = std::pair<std::string, std::string>;

class ReadingPace
{
public:
  // aTokens: prompt tokens that the upstream certainly read for the answer. A
  // part that it may have cached must not count, because the answer would
  // appear to be faster than any upstream is. Few tokens show nothing and are
  // ignored. aWaitedMs: on a host that is not slowed down.
  // aQueued: requests waited at the upstream when the answer began, so this one
  // is likely to have waited as well. Most of such samples are left out.
  void Record(const ModelKey& aModel,
              double aTokens,
              double aWaitedMs,
              bool aQueued = false);

  // kInitialTokensPerMs if there are too few samples.
  double TokensPerMs(const ModelKey& aModel) const;

private:
  struct Sample
  {
    double m_tokens = 0;
    double m_waitedMs = 0;
  };
  struct Window
  {
    std::vector<Sample> m_samples; // at most detail::kWindowSize
    size_t m_next = 0;             // index that the next sample replaces
    size_t m_sinceFit = 0;         // samples since the last fit
    size_t m_queuedCount = 0;      // samples seen that had queued
    double m_tokensPerMs = kInitialTokensPerMs;
  };

  static double Fit(const std::vector<Sample>& aSamples);

  std::map<ModelKey, Window> m_windows;
};

} // namespace chivefront::routing
