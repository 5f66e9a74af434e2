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
// Sessions stay where they are for the first half and a little more, since
// entries learn of the roll-out at different times: their callers expect one
// version, and no entry knows which sessions began before.
constexpr int kSessionsStayPercent = 51;
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

// Which requests go together.
struct RolloutKey
{
  uint64_t m_hash = 0;      // of the session, or of a request without one
  bool m_inSession = false; // others of the same caller came before or follow
};

// Whether aKey is on the version that is rolled out. The share only grows,
// so a session moves at most once.
constexpr bool
IsOnNewVersion(const RolloutKey& aKey,
               base::Millis aElapsed,
               base::Millis aSpan)
{
  if (aElapsed >= aSpan * detail::kLastPhasePercent / detail::kPercent) {
    return true;
  }
  if (aKey.m_inSession &&
      aElapsed < aSpan * detail::kSessionsStayPercent / detail::kPercent) {
    return false;
  }
  return aKey.m_hash % detail::kPercent < detail::kCanaryPercent;
}

} // namespace chivefront::routing
