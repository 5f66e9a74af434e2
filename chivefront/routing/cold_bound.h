// The bound on the requests of all entries together to an upstream that has
// just started and is slow until it is warm.
#pragma once

#include "chivefront/base/ids.h"
#include "chivefront/routing/registry.h"
#include "chivefront/routing/send_permits.h"

namespace chivefront::routing {
namespace detail {

// A cold upstream tolerates little above its rate, in any second, so few
// permits may be held unused: a fixed number and those of some time.
inline constexpr double kMaxColdHeld = 2;
inline constexpr double kMaxColdHeldSeconds = 0.2;

} // namespace detail

// aPerSecond: requests per second that the upstream takes while it is cold,
// above 0.
inline RateBound
MakeColdBound(const Instance& aInstance, double aPerSecond)
{
  const auto maxHeld = static_cast<uint32_t>(
    detail::kMaxColdHeld + aPerSecond * detail::kMaxColdHeldSeconds);
  return { base::StableHash("cold/" + aInstance.m_id, aInstance.m_born),
           aPerSecond,
           maxHeld };
}

} // namespace chivefront::routing
