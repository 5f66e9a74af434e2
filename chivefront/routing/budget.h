// Token buckets that split a bound of all entries into shares, so that the
// bound holds without a message between them. Pure; not thread-safe.
#pragma once

#include <algorithm>

#include "chivefront/base/clock.h"

namespace chivefront::routing {

// Lets aPerSecond events pass, with a burst of at most aBurst.
class RateBucket
{
public:
  bool Take(double aPerSecond, double aBurst, base::TimePoint aNow)
  {
    Refill(aPerSecond, aBurst, aNow);
    if (m_tokens < 1) {
      return false;
    }
    m_tokens -= 1;
    return true;
  }

  // Whether Take would succeed.
  bool Ready(double aPerSecond, double aBurst, base::TimePoint aNow)
  {
    Refill(aPerSecond, aBurst, aNow);
    return m_tokens >= 1;
  }

private:
  void Refill(double aPerSecond, double aBurst, base::TimePoint aNow)
  {
    if (!m_started) {
      m_started = true;
      m_tokens = std::min(1.0, aBurst);
    } else {
      constexpr double kMillisPerSecond = 1000;
      m_tokens += aPerSecond * static_cast<double>((aNow - m_at).Count()) /
                  kMillisPerSecond;
    }
    m_at = aNow;
    m_tokens = std::min(m_tokens, aBurst);
  }

  bool m_started = false;
  double m_tokens = 0;
  base::TimePoint m_at;
};

// A budget of repeats that grows with the requests that need none: each first
// attempt earns a part of a repeat. The sum over all entries keeps the bound
// because each entry keeps it for the requests that it received itself.
class RepeatBudget
{
public:
  RepeatBudget(double aRatio, double aMost)
    : m_ratio(aRatio)
    , m_most(aMost)
    , m_left(aMost)
  {
  }

  void OnFirstAttempt() { m_left = std::min(m_most, m_left + m_ratio); }
  bool Take()
  {
    if (m_left < 1) {
      return false;
    }
    m_left -= 1;
    return true;
  }
  double Left() const { return m_left; }

private:
  const double m_ratio;
  const double m_most;
  double m_left;
};

} // namespace chivefront::routing
