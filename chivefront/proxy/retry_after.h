// Values of the Retry-After header of refused requests.
#pragma once

#include "chivefront/base/clock.h"

namespace chivefront::proxy::detail {

// This entry is shutting down; another one accepts the request at once.
inline constexpr base::Millis kRetryElsewhere{ 20 };
// A caller that is refused has about a third of its time left for a retry.
inline constexpr base::Millis kRetrySoon{ 250 };
inline constexpr base::Millis kRetryLater{ 1000 };
// The longest time suggested while upstreams are limited or rest.
inline constexpr base::Millis kMaxRetryAfter{ 5000 };

} // namespace chivefront::proxy::detail
