// What the configuration says about a service that may be scaled.
#pragma once

#include <cstdint>

#include "chivefront/base/clock.h"

namespace chivefront::duty {

// Both numbers apply to each failure domain.
struct ScalingBounds
{
  uint32_t m_minUpstreams = 0;
  uint32_t m_maxUpstreams = 0; // not below m_minUpstreams
  base::Millis m_startup{ 0 }; // from an order until new upstreams serve
};

} // namespace chivefront::duty
