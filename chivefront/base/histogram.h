// A histogram of durations with fixed buckets, for the metrics page.
// Thread-safe, without locks and with constant memory.
#pragma once

#include <array>
#include <atomic>
#include <cstdint>

namespace chivefront::base {

class Histogram
{
public:
  // Inclusive upper bounds of the buckets in milliseconds; a last bucket counts
  // longer durations. The bounds range from a fast response of an application
  // to a long stream.
  static constexpr std::array<double, 14> kBoundsMs = {
    1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000, 20000
  };

  void Observe(double aMillis);

  uint64_t Count() const;
  double Sum() const { return m_sum; }
  // The number of observations of at most kBoundsMs[aBucket]; of all
  // observations for the last bucket.
  uint64_t CountUpTo(size_t aBucket) const;

private:
  std::array<std::atomic<uint64_t>, kBoundsMs.size() + 1> m_counts{};
  std::atomic<double> m_sum{ 0 };
};

} // namespace chivefront::base
