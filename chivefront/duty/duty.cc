// Numbers of usage windows.
#include "chivefront/duty/duty.h"

#include <algorithm>

namespace chivefront::duty {

uint64_t
WindowAt(int64_t aTrueTime, base::Millis aWindow)
{
  return static_cast<uint64_t>(std::max<int64_t>(aTrueTime, 0) /
                               aWindow.Count());
}

} // namespace chivefront::duty
