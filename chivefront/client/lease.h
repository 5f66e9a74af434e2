// The freshness lease: how old the holder's view of the configuration may be
// when it starts new work. Pure; thread-compatible.
//
// Example: a question was sent at 100 ms (local steady clock) and its answer
// says that the configuration was confirmed 30 ms before the answer was made.
// Whatever the network did, the view is no older than 100 - 30 = 70 ms; with
// kLeaseDuration = 1500 ms the lease ends at 1570 ms.
#pragma once

#include "chivefront/base/clock.h"

namespace chivefront::client {

// Bounds the time from a commit until no process works by the old
// configuration. Short enough for "a few seconds", long enough to bridge the
// election of a new control leader (about 1 s).
inline constexpr base::Millis kLeaseDuration{ 1500 };

class Lease
{
public:
  // Takes in an answer to a question sent at aAskedAt whose content was
  // confirmed aAge before it was answered. Never moves the lease backwards.
  void Confirm(base::TimePoint aAskedAt, base::Millis aAge)
  {
    const base::TimePoint asOf = aAskedAt - aAge;
    if (!m_held || asOf > m_asOf) {
      m_asOf = asOf;
      m_held = true;
    }
  }

  bool ValidAt(base::TimePoint aNow) const
  {
    return m_held && aNow - m_asOf < kLeaseDuration;
  }

  // How old the view is, to be passed on with it. Meaningful while held.
  base::Millis AgeAt(base::TimePoint aNow) const { return aNow - m_asOf; }
  bool Held() const { return m_held; }

private:
  bool m_held = false;
  base::TimePoint m_asOf; // local time at which the view was surely current
};

} // namespace chivefront::client
