// Moving averages of latencies by key, which serve as baselines to detect an
// upstream or a version that is slower than the others. Does no I/O; not
// thread-safe.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace chivefront::routing {

class LatencyBaselines
{
public:
  // Returns aValue divided by the baseline of aKey: 1 is usual, 2 takes twice
  // as long. Adds aValue to the baseline afterwards. The first value of a key
  // is its baseline.
  double Ratio(const std::string& aKey, double aValue)
  {
    Average& average = m_averages[aKey];
    if (average.m_count == 0) {
      average = { aValue, 1 };
      return 1;
    }
    const double ratio =
      average.m_mean > 0 ? std::min(aValue / average.m_mean, kMaxRatio) : 1;
    ++average.m_count;
    // An arithmetic mean at first, then an exponential moving average with a
    // weight so small that one slow upstream among many hardly changes it.
    const double weight =
      std::max(1.0 / static_cast<double>(average.m_count), kMinWeight);
    const double sample = std::min(ratio, kMaxSampleRatio) * average.m_mean;
    average.m_mean += weight * (sample - average.m_mean);
    return ratio;
  }

private:
  static constexpr double kMinWeight = 0.01;
  // Limits the influence of a single very late answer.
  static constexpr double kMaxRatio = 10;
  // Limits what a sample adds to the baseline, so that slow answers don't
  // become the baseline.
  static constexpr double kMaxSampleRatio = 2;

  struct Average
  {
    double m_mean = 0;
    uint64_t m_count = 0;
  };

  std::unordered_map<std::string, Average> m_averages;
};

} // namespace chivefront::routing
