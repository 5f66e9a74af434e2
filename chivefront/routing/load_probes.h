// Whether it pays to ask upstreams for their load right before a request is
// sent. Does no I/O; not thread-safe.
//
//   LoadProbes probes;
//   probes.OnReport(waiting);   // an answer told how many requests wait
//   if (probes.Pay(now)) ...    // ask the upstream that would be chosen
//   probes.OnProbe(answered, now);
//
// With many entries before many upstreams, the answers that one entry gets are
// too rare to tell it where the others have just sent long prompts. Where
// requests wait although upstreams have room, asking one or two candidates
// finds an idle one for a round trip.
#pragma once

#include "chivefront/base/clock.h"

namespace chivefront::routing {

class LoadProbes
{
public:
  // An answer to a request told how many requests wait at its upstream.
  void OnReport(uint32_t aWaiting)
  {
    m_waitingShare += kReportWeight * ((aWaiting > 0 ? 1 : 0) - m_waitingShare);
  }

  // A probe was answered with the load in time, or not.
  void OnProbe(bool aAnswered, base::TimePoint aNow)
  {
    m_failedShare += kProbeWeight * ((aAnswered ? 0 : 1) - m_failedShare);
    if (m_failedShare > kMaxFailedShare) {
      m_failedShare = 0;
      m_pausedUntil = aNow + kPause;
    }
  }

  bool Pay(base::TimePoint aNow) const
  {
    return m_waitingShare > kMinWaitingShare && aNow >= m_pausedUntil;
  }

private:
  // Below this share of upstreams with a queue, a request hardly ever waits.
  static constexpr double kMinWaitingShare = 0.05;
  static constexpr double kReportWeight = 0.02;
  static constexpr double kProbeWeight = 0.05;
  // With more failed probes than this, upstreams queue health checks like
  // requests, and asking them only delays the request.
  static constexpr double kMaxFailedShare = 0.5;
  static constexpr base::Millis kPause{ 10000 };

  double m_waitingShare = 0; // of the recent reports, 0 to 1
  double m_failedShare = 0;  // of the recent probes, 0 to 1
  base::TimePoint m_pausedUntil;
};

} // namespace chivefront::routing
