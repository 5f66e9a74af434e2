// Reads the system's steady clock and wall clock.
#include "chivefront/base/clock.h"

#include <time.h>

namespace chivefront::base {
namespace detail {

int64_t
ReadMillis(clockid_t aClock)
{
  constexpr int64_t kMillisPerSecond = 1000;
  constexpr int64_t kNanosPerMilli = 1000000;
  timespec spec{};
  clock_gettime(aClock, &spec);
  return spec.tv_sec * kMillisPerSecond + spec.tv_nsec / kNanosPerMilli;
}

} // namespace detail

TimePoint
SteadyClock::Now() const
{
  return TimePoint(Millis(detail::ReadMillis(CLOCK_BOOTTIME)));
}

const SteadyClock&
SteadyClock::Instance()
{
  static const SteadyClock kInstance;
  return kInstance;
}

int64_t
WallClockMillis()
{
  return detail::ReadMillis(CLOCK_REALTIME);
}

} // namespace chivefront::base
