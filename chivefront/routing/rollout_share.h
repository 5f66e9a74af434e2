// How much of a service's traffic a version gets while it is rolled out: a
// small share of the sessions for most of the time, so that a version that
// turns bad late has met few requests, and all of it in a last phase that
// shows whether it carries the load. Pure.
#pragma once

#include <cstdint>

#include "chivefront/base/clock.h"

namespace chivefront::routing {

namespace detail {

constexpr int kPercent = 100;
// Of the sessions, in the first phase.
constexpr int kCanaryPercent = 6;
// Where the last phase starts and where the roll-out ends, of its span. The
// last phase and the canary together stay below 15 of 100 requests.
constexpr int kLastPhasePercent = 89;
constexpr int kEndPercent = 96;

} // namespace detail

// Time from the order until a roll-out without findings is completed.
constexpr base::Millis
RolloutEnd(base::Millis aSpan)
{
  return aSpan * detail::kEndPercent / detail::kPercent;
}

// Whether a session with hash aSession is on the version that is rolled out.
// The share only grows, so a session moves at most once.
constexpr bool
OnNewVersion(uint64_t aSession, base::Millis aElapsed, base::Millis aSpan)
{
  if (aElapsed >= aSpan * detail::kLastPhasePercent / detail::kPercent) {
    return true;
  }
  return aSession % detail::kPercent < detail::kCanaryPercent;
}

} // namespace chivefront::routing
