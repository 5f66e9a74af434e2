// Counts observations by bucket.
#include "chivefront/base/histogram.h"

#include <algorithm>

namespace chivefront::base {

void
Histogram::Observe(double aMillis)
{
  const auto bound =
    std::lower_bound(kBoundsMs.begin(), kBoundsMs.end(), aMillis);
  m_counts[static_cast<size_t>(bound - kBoundsMs.begin())] += 1;
  m_sum += aMillis;
}

uint64_t
Histogram::Count() const
{
  return CountUpTo(kBoundsMs.size());
}

uint64_t
Histogram::CountUpTo(size_t aBucket) const
{
  uint64_t count = 0;
  for (size_t i = 0; i <= aBucket; ++i) {
    count += m_counts[i];
  }
  return count;
}

} // namespace chivefront::base
