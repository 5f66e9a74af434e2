// Token buckets that split a bound of all entries into shares, so that the
// bound holds without a message between them. Pure; not thread-safe.
#pragma once

#include <algorithm>
#include <array>
#include <cstdint>

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

// A bound of repeats in any window of a given length: a part of the requests of
// that window, and a number beyond it. The sum over all entries keeps the bound
// because each entry counts the requests that it received itself and takes its
// share of the number. Counts are kept by slices of the window, and the window
// is taken one slice longer for repeats than for requests.
class RepeatBudget
{
public:
  RepeatBudget(double aRatio, base::Millis aWindow)
    : m_ratio(aRatio)
    , m_slice(aWindow / kSlices)
  {
  }

  void OnFirstAttempt(base::TimePoint aNow) { Slot(aNow).m_requests += 1; }

  // aExtra: this entry's share of the repeats beyond the part.
  bool Take(double aExtra, base::TimePoint aNow)
  {
    Slice& current = Slot(aNow);
    double requests = 0;
    double repeats = 0;
    const int64_t now = NumberOf(aNow);
    for (const Slice& slice : m_slices) {
      const int64_t age = now - slice.m_number;
      requests += age < kSlices ? slice.m_requests : 0;
      repeats += age <= kSlices ? slice.m_repeats : 0;
    }
    if (repeats + 1 > m_ratio * requests + aExtra) {
      return false;
    }
    current.m_repeats += 1;
    return true;
  }

private:
  static constexpr int64_t kSlices = 20;
  static constexpr int64_t kNever = -1000;

  struct Slice
  {
    int64_t m_number = kNever;
    double m_requests = 0;
    double m_repeats = 0;
  };

  int64_t NumberOf(base::TimePoint aNow) const
  {
    return aNow.SinceBoot().Count() / std::max<int64_t>(1, m_slice.Count());
  }

  Slice& Slot(base::TimePoint aNow)
  {
    const int64_t number = NumberOf(aNow);
    Slice& slice = m_slices[static_cast<size_t>(number) % m_slices.size()];
    if (slice.m_number != number) {
      slice = { number, 0, 0 };
    }
    return slice;
  }

  const double m_ratio;
  const base::Millis m_slice;
  std::array<Slice, kSlices + 1> m_slices;
};

} // namespace chivefront::routing
