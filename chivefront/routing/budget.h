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

// A bound of repeats in any sliding window: a part of the requests of that
// window, of the one half a window earlier or of the one before it, whichever
// has most, and a number beyond it. The sum over all entries keeps the bound
// because each entry counts the requests that it received itself and takes its
// share of the number.
//
// Counts are kept by slices of the window. A repeat is granted only if no
// window that will contain it exceeds the bound, whatever comes; slices that a
// window may cover in part count for repeats and not for requests.
class WindowedRetryBudget
{
public:
  WindowedRetryBudget(double aRatio, base::Millis aWindow)
    : m_ratio(aRatio)
    , m_sliceMillis(std::max<int64_t>(1, aWindow.Count() / kSlices))
  {
  }

  void OnFirstAttempt(base::TimePoint aNow)
  {
    SliceAt(NumberOf(aNow)).m_requests += 1;
  }

  // aExtra: this entry's share of the repeats beyond the part.
  bool Take(double aExtra, base::TimePoint aNow)
  {
    const int64_t now = NumberOf(aNow);
    for (int64_t end = now; end < now + kSlices; ++end) {
      const double repeats = Sum(end - kSlices, now, &Slice::m_repeats);
      const double requests =
        std::max({ Sum(end - kSlices + 1, now, &Slice::m_requests),
                   RequestsBefore(end - kSlices / 2),
                   RequestsBefore(end - kSlices) });
      if (repeats + 1 > m_ratio * requests + aExtra) {
        return false;
      }
    }
    SliceAt(now).m_repeats += 1;
    return true;
  }

private:
  static constexpr int64_t kSlices = 20; // of a window; even
  static constexpr int64_t kKept = 2 * kSlices + 1;
  static constexpr int64_t kNever = -1000;

  struct Slice
  {
    int64_t m_number = kNever;
    double m_requests = 0;
    double m_repeats = 0;
  };

  int64_t NumberOf(base::TimePoint aNow) const
  {
    return aNow.SinceBoot().Count() / m_sliceMillis;
  }

  Slice& SliceAt(int64_t aNumber)
  {
    Slice& slice = m_slices[static_cast<size_t>(aNumber % kKept)];
    if (slice.m_number != aNumber) {
      slice = { aNumber, 0, 0 };
    }
    return slice;
  }

  // Of the slices aFirst to aLast, both included.
  double Sum(int64_t aFirst, int64_t aLast, double Slice::*aCount) const
  {
    double sum = 0;
    for (const Slice& slice : m_slices) {
      if (slice.m_number >= aFirst && slice.m_number <= aLast) {
        sum += slice.*aCount;
      }
    }
    return sum;
  }

  // Requests of the slices that every window contains that ends in slice aEnd.
  double RequestsBefore(int64_t aEnd) const
  {
    return Sum(aEnd - kSlices + 1, aEnd - 1, &Slice::m_requests);
  }

  const double m_ratio;
  const int64_t m_sliceMillis;
  std::array<Slice, kKept> m_slices;
};

} // namespace chivefront::routing
