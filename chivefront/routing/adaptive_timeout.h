// How long to wait for the next event of a stream before another upstream is
// tried. Does no I/O; not thread-safe.
//
//   AdaptiveTimeout timeout;
//   timeout.Record(waited);             // it arrived
//   if (waited > timeout.Value()) ...   // much longer than usual
//
// A fixed timeout below the pauses that are usual under load makes streams move
// to another upstream, which reads their prompts again and so adds to the load.
// The timeout therefore follows the mean and the mean deviation, like a
// retransmission timeout of TCP.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>

#include "chivefront/base/clock.h"

namespace chivefront::routing {

class AdaptiveTimeout
{
public:
  void Record(base::Millis aWaited)
  {
    const auto waited = static_cast<double>(aWaited.Count());
    if (!m_known) {
      m_known = true;
      m_meanMs = waited;
      m_deviationMs = waited / 2;
      return;
    }
    const double error = waited - m_meanMs;
    m_meanMs += kMeanWeight * error;
    m_deviationMs += kDeviationWeight * (std::abs(error) - m_deviationMs);
  }

  // Zero before the first record.
  base::Millis Value() const
  {
    return ToMillis(m_meanMs + kDeviations * m_deviationMs);
  }

private:
  static constexpr double kMeanWeight = 1.0 / 16;
  static constexpr double kDeviationWeight = 1.0 / 8;
  static constexpr double kDeviations = 4;

  static base::Millis ToMillis(double aMillis)
  {
    return base::Millis(static_cast<int64_t>(aMillis));
  }

  bool m_known = false;
  double m_meanMs = 0;      // moving average
  double m_deviationMs = 0; // moving average of the distance from m_meanMs
};

} // namespace chivefront::routing
