// Log time: the time in ms that a ledger group's log carries.
//
// Retention must not depend on clocks that jump or differ between hosts. The
// leader stamps each command with log time: the stamp of the last applied
// command plus the time since then by the leader's steady clock. While no
// leader proposes, log time does not advance, so a claim is kept for at least
// its retention, possibly longer but never shorter.
#pragma once

#include <algorithm>
#include <cstdint>

#include "chivefront/base/clock.h"

namespace chivefront::ledger {

// Not thread-safe.
class LogTime
{
public:
  // Records that a command stamped aLogTime was applied on this host at aNow.
  void Observe(uint64_t aLogTime, base::TimePoint aNow)
  {
    const int64_t offset =
      static_cast<int64_t>(aLogTime) - aNow.SinceBoot().Count();
    m_offset = m_isSet ? std::max(m_offset, offset) : offset;
    m_isSet = true;
  }

  // The stamp for a command proposed at aNow; 0 before the first Observe.
  uint64_t At(base::TimePoint aNow) const
  {
    const int64_t time = aNow.SinceBoot().Count() + m_offset;
    return m_isSet && time > 0 ? static_cast<uint64_t>(time) : 0;
  }

  bool IsSet() const { return m_isSet; }

private:
  bool m_isSet = false; // Observe has been called
  int64_t m_offset = 0; // log time minus local steady time; never decreases
};

} // namespace chivefront::ledger
