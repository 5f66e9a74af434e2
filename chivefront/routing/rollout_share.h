// The share of a service's traffic that a version gets while it is rolled out:
// a small canary share of the sessions for most of the time, so that few
// requests are exposed to a version that turns bad late, and all traffic in a
// last phase, which shows whether the version carries the load. Does no I/O.
#pragma once

#include <cstdint>

#include "chivefront/base/clock.h"

namespace chivefront::routing {

namespace detail {

constexpr int kPercent = 100;
// Share of the sessions that are on the new version before the last phase.
constexpr int kCanaryPercent = 6;
// Share of the span in which sessions stay on the old version, because their
// callers expect one version and no entry knows which sessions began before the
// roll-out. A little more than half, because entries learn of the roll-out at
// different times.
constexpr int kSessionsPinnedPercent = 51;
// Start of the last phase and end of the roll-out, as shares of its span. The
// canary and the last phase together expose fewer than 15 of 100 requests.
constexpr int kLastPhasePercent = 89;
constexpr int kEndPercent = 96;

} // namespace detail

// Time from the operator's order until a roll-out without failures is complete.
constexpr base::Millis
RolloutEnd(base::Millis aSpan)
{
  return aSpan * detail::kEndPercent / detail::kPercent;
}

// Identifies the requests that move to the new version together.
struct RolloutKey
{
  uint64_t m_hash = 0;      // of the session, or of a request without one
  bool m_inSession = false; // the request belongs to a session
};

// Whether requests with aKey go to the version that is rolled out. The share
// only grows, so a session moves at most once.
constexpr bool
IsOnNewVersion(const RolloutKey& aKey,
               base::Millis aElapsed,
               base::Millis aSpan)
{
  if (aElapsed >= aSpan * detail::kLastPhasePercent / detail::kPercent) {
    return true;
  }
  if (aKey.m_inSession &&
      aElapsed < aSpan * detail::kSessionsPinnedPercent / detail::kPercent) {
    return false;
  }
  return aKey.m_hash % detail::kPercent < detail::kCanaryPercent;
}

} // namespace chivefront::routing
