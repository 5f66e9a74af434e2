// Which latencies are slow, by key: those above the upper quantile of the
// latencies seen so far. The share of slow answers is then the same for every
// kind of answer, so that the shares of two versions can be compared even if
// few of the answers are long. Does no I/O; not thread-safe.
//
//   SlowThreshold threshold;
//   if (threshold.Exceeds("label/small", millis)) ... slow ...
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace chivefront::routing {

class SlowThreshold
{
public:
  // Whether aValue is above the threshold of aKey. Moves the threshold
  // afterwards. The first value of a key sets it and is not above.
  bool Exceeds(const std::string& aKey, double aValue)
  {
    Quantile& quantile = m_quantiles[aKey];
    const double value = std::log(aValue + 1);
    if (quantile.m_count++ == 0) {
      quantile.m_estimate = value;
      return false;
    }
    const bool exceeds = value > quantile.m_estimate;
    const double step = std::max(
      kMinStep, kFirstStep / std::sqrt(static_cast<double>(quantile.m_count)));
    quantile.m_estimate += step * (exceeds ? kLevel : kLevel - 1);
    return exceeds;
  }

private:
  // Quantile that separates slow from usual latencies.
  static constexpr double kLevel = 0.85;
  // Steps of the stochastic approximation, of the logarithm of the latency.
  static constexpr double kFirstStep = 1.0;
  static constexpr double kMinStep = 0.05;

  struct Quantile
  {
    double m_estimate = 0; // logarithm of the threshold
    uint64_t m_count = 0;  // values seen
  };

  std::unordered_map<std::string, Quantile> m_quantiles;
};

} // namespace chivefront::routing
