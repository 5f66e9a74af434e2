// Numbers and limits of usage windows.
#include "chivefront/duty/duty.h"

#include <algorithm>

namespace chivefront::duty {

uint64_t
WindowAt(int64_t aTrueTime, base::Millis aWindow)
{
  return static_cast<uint64_t>(std::max<int64_t>(aTrueTime, 0) /
                               aWindow.Count());
}

int64_t
EndOfWindow(uint64_t aNumber, base::Millis aWindow)
{
  return (static_cast<int64_t>(aNumber) + 1) * aWindow.Count();
}

} // namespace chivefront::duty
