// The freshness lease bounds how old a process's view of the configuration may
// be when it starts new work. Pure; thread-compatible.
//
// Example: a request was sent at 100 ms (local steady clock). Its reply says
// that the configuration was confirmed 30 ms before the reply was made.
// Whatever the network delay was, the view is no older than 100 - 30 = 70 ms;
// with kLeaseDuration = 1500 ms the lease ends at 1570 ms.
#pragma once

#include "chivefront/base/clock.h"

namespace chivefront::client {

// Upper bound of the time from the commit of a configuration until no process
// starts work under the previous one. Short enough that a change takes effect
// within a few seconds, long enough to outlast the election of a new control
// leader (about 1 s).
inline constexpr base::Millis kLeaseDuration{ 1500 };

class Lease
{
public:
  // Extends the lease with a reply to a request sent at aSentAt, whose content
  // was confirmed aAge before the reply was made. Never shortens the lease.
  void Confirm(base::TimePoint aSentAt, base::Millis aAge)
  {
    const base::TimePoint asOf = aSentAt - aAge;
    if (!m_held || asOf > m_asOf) {
      m_asOf = asOf;
      m_held = true;
    }
  }

  bool ValidAt(base::TimePoint aNow) const
  {
    return m_held && aNow - m_asOf < kLeaseDuration;
  }

  // Upper bound of the age of the view. Only meaningful if Held().
  base::Millis AgeAt(base::TimePoint aNow) const { return aNow - m_asOf; }
  bool Held() const { return m_held; }

private:
  bool m_held = false;
  base::TimePoint m_asOf; // local time at which the view was current
};

} // namespace chivefront::client
