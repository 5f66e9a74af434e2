// A token bucket and a retry budget that hold one entry's share of a bound on
// all entries together, so that the bound holds without messages between the
// entries. Do no I/O; not thread-safe.
#pragma once

#include <algorithm>
#include <array>
#include <cstdint>

#include "chivefront/base/clock.h"

namespace chivefront::routing {

// Allows aPerSecond events per second, with bursts of at most aBurst events.
class TokenBucket
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

// Bounds the retries, that is, all attempts after the first one, in any sliding
// window of time. The bound is a ratio of the requests plus a fixed number. The
// requests are those of that window, of the window that ends half a window
// earlier, or of the previous window, whichever has most. The bound holds over
// all entries because each entry counts the requests that it received itself
// and takes its share of the fixed number.
//
// Counts are kept for slices of the window. A retry is granted only if every
// window that will contain it stays within the bound, whatever happens later.
// For that, a slice that a window may cover only in part counts for the retries
// and not for the requests.
class WindowedRetryBudget
{
public:
  WindowedRetryBudget(double aRatio, base::Millis aWindow)
    : m_ratio(aRatio)
    , m_sliceMillis(std::max<int64_t>(1, aWindow.Count() / kSlicesPerWindow))
  {
  }

  void OnFirstAttempt(base::TimePoint aNow)
  {
    SliceAt(SliceIndex(aNow)).m_requests += 1;
  }

  // Takes a retry from the budget if the bound allows it. aExtra: this entry's
  // share of the fixed number of retries.
  bool Take(double aExtra, base::TimePoint aNow)
  {
    const int64_t now = SliceIndex(aNow);
    for (int64_t end = now; end < now + kSlicesPerWindow; ++end) {
      const double retries =
        Sum(end - kSlicesPerWindow, now, &Slice::m_retries);
      const double requests =
        std::max({ Sum(end - kSlicesPerWindow + 1, now, &Slice::m_requests),
                   MinRequestsOfWindowEndingIn(end - kSlicesPerWindow / 2),
                   MinRequestsOfWindowEndingIn(end - kSlicesPerWindow) });
      if (retries + 1 > m_ratio * requests + aExtra) {
        return false;
      }
    }
    SliceAt(now).m_retries += 1;
    return true;
  }

private:
  static constexpr int64_t kSlicesPerWindow = 20; // even, for half windows
  static constexpr int64_t kStoredSlices = 2 * kSlicesPerWindow + 1;
  static constexpr int64_t kUnused = -1000;

  struct Slice
  {
    int64_t m_index = kUnused; // since boot
    double m_requests = 0;
    double m_retries = 0;
  };

  int64_t SliceIndex(base::TimePoint aNow) const
  {
    return aNow.SinceBoot().Count() / m_sliceMillis;
  }

  Slice& SliceAt(int64_t aIndex)
  {
    Slice& slice = m_slices[static_cast<size_t>(aIndex % kStoredSlices)];
    if (slice.m_index != aIndex) {
      slice = { aIndex, 0, 0 };
    }
    return slice;
  }

  // Sum of a count over the slices aFirst to aLast, both included.
  double Sum(int64_t aFirst, int64_t aLast, double Slice::*aCount) const
  {
    double sum = 0;
    for (const Slice& slice : m_slices) {
      if (slice.m_index >= aFirst && slice.m_index <= aLast) {
        sum += slice.*aCount;
      }
    }
    return sum;
  }

  // Requests of the slices that every window ending in slice aEnd covers whole.
  double MinRequestsOfWindowEndingIn(int64_t aEnd) const
  {
    return Sum(aEnd - kSlicesPerWindow + 1, aEnd - 1, &Slice::m_requests);
  }

  const double m_ratio;
  const int64_t m_sliceMillis;
  std::array<Slice, kStoredSlices> m_slices;
};

} // namespace chivefront::routing
