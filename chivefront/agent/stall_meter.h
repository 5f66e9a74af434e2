// Detection of an upstream that sends bytes, but no more of its answer. Does no
// I/O.
#pragma once

#include <cstdint>

#include "chivefront/base/clock.h"

namespace chivefront::agent {

// Adds up the time for which the reader has waited without progress. Time that
// it spends otherwise, as when its own caller reads slowly, does not count.
class StallMeter
{
public:
  // aProgress counts what has arrived of the answer; see
  // AnswerScanner::Progress.
  void OnRead(base::Millis aWaited, uint64_t aProgress)
  {
    m_waited = aProgress == m_progress ? m_waited + aWaited : base::Millis(0);
    m_progress = aProgress;
  }

  bool IsStalled(base::Millis aTimeout) const { return m_waited >= aTimeout; }

private:
  uint64_t m_progress = 0;
  base::Millis m_waited{ 0 }; // since the last progress
};

} // namespace chivefront::agent
