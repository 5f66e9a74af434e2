// Time carried by the log of a ledger group.
//
// Retention must not depend on clocks that differ between hosts or jump. The
// leader stamps each command with log time: the time of the last applied
// command plus what this host's steady clock says has passed since. While no
// leader proposes, log time stands still, so a claim is kept for at least its
// retention, possibly longer, never shorter.
#pragma once

#include <algorithm>
#include <cstdint>

#include "chivefront/base/clock.h"

namespace chivefront::ledger {

// Not thread-safe.
class LogTime
{
public:
  // A command stamped aLogTime was applied here at aNow.
  void Observe(uint64_t aLogTime, base::TimePoint aNow)
  {
    const int64_t offset =
      static_cast<int64_t>(aLogTime) - aNow.SinceBoot().Count();
    m_offset = m_held ? std::max(m_offset, offset) : offset;
    m_held = true;
  }

  // The stamp for a command proposed at aNow; 0 before the first command.
  uint64_t At(base::TimePoint aNow) const
  {
    const int64_t time = aNow.SinceBoot().Count() + m_offset;
    return m_held && time > 0 ? static_cast<uint64_t>(time) : 0;
  }

  bool Held() const { return m_held; }

private:
  bool m_held = false;
  int64_t m_offset = 0; // log time minus local steady time; never decreases
};

} // namespace chivefront::ledger
