// When a caller that was refused may come back.
#pragma once

#include "chivefront/base/clock.h"

namespace chivefront::proxy::detail {

// Another entry takes the request now.
inline constexpr base::Millis kRetryElsewhere{ 20 };
// A refused caller has a third of its time left to come back.
inline constexpr base::Millis kRetrySoon{ 250 };
inline constexpr base::Millis kRetryLater{ 1000 };

} // namespace chivefront::proxy::detail
