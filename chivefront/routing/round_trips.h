// Round trips to the upstreams of each failure domain, learned from
// connections. Does no I/O; not thread-safe.
#pragma once

#include <algorithm>
#include <map>
#include <string>

#include "chivefront/base/clock.h"

namespace chivefront::routing {

class RoundTrips
{
public:
  void Record(const std::string& aDomain, double aMs, base::TimePoint aNow)
  {
    const auto [item, isNew] = m_means.try_emplace(aDomain, Mean{ aMs, aNow });
    Mean& mean = item->second;
    mean.m_ms = !isNew && IsKnown(mean, aNow)
                  ? mean.m_ms + kSmoothing * (aMs - mean.m_ms)
                  : aMs;
    mean.m_recordedAt = aNow;
  }

  // By how much the round trip to aDomain is longer than that within
  // aOwnDomain; 0 if it is not known, and at least kLeastMs otherwise.
  double BeyondOwnMs(const std::string& aOwnDomain,
                     const std::string& aDomain,
                     base::TimePoint aNow) const
  {
    const auto own = m_means.find(aOwnDomain);
    const auto other = m_means.find(aDomain);
    if (own == m_means.end() || other == m_means.end() ||
        !IsKnown(other->second, aNow)) {
      return 0;
    }
    return std::max(kLeastMs, other->second.m_ms - own->second.m_ms);
  }

private:
  struct Mean
  {
    double m_ms = 0;
    base::TimePoint m_recordedAt;
  };

  static constexpr double kSmoothing = 0.1; // weight of the newest round trip
  static constexpr double kLeastMs = 0.1;
  // A domain that gets no requests because of its round trip is tried again
  // after this time.
  static constexpr base::Millis kForgetAfter{ 20000 };

  static bool IsKnown(const Mean& aMean, base::TimePoint aNow)
  {
    return aNow - aMean.m_recordedAt <= kForgetAfter;
  }

  std::map<std::string, Mean> m_means; // by domain
};

} // namespace chivefront::routing
