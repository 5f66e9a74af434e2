// How long answers take as a rule, so that one upstream or version that is
// slower than the others shows. Pure; not thread-safe.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace chivefront::routing {

class LatencyBaselines
{
public:
  // How aValue compares with the usual value under aKey: 1 is usual, 2 takes
  // twice as long. aValue joins the average afterwards.
  double Ratio(const std::string& aKey, double aValue)
  {
    Average& average = m_averages[aKey];
    if (average.m_count == 0) {
      average = { aValue, 1 };
      return 1;
    }
    const double ratio =
      average.m_mean > 0 ? std::min(aValue / average.m_mean, kMostRatio) : 1;
    ++average.m_count;
    // The plain mean first, then a moving one in which a slow upstream among
    // many hardly counts.
    const double weight =
      std::max(1.0 / static_cast<double>(average.m_count), kNewest);
    const double joining = std::min(ratio, kMostJoining) * average.m_mean;
    average.m_mean += weight * (joining - average.m_mean);
    return ratio;
  }

private:
  static constexpr double kNewest = 0.01;
  // One answer that never seemed to come says no more than this.
  static constexpr double kMostRatio = 10;
  // Nor does a slow one make slowness usual.
  static constexpr double kMostJoining = 2;

  struct Average
  {
    double m_mean = 0;
    uint64_t m_count = 0;
  };

  std::unordered_map<std::string, Average> m_averages;
};

} // namespace chivefront::routing
