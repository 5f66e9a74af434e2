// When a request leaves an upstream that sends nothing, so that another one can
// answer it in time. Pure.
#pragma once

#include <algorithm>

#include "chivefront/routing/upstream_estimate.h"

namespace chivefront::routing {

// For streams whose pauses nobody bounds.
inline constexpr base::Millis kDefaultPauseGoal{ 2000 };
// An upstream that sends to others has put this stream back; it is left only
// after so many times the pause that is tolerated of a silent one.
inline constexpr int64_t kAliveFactor = 4;

// The pause of a stream after which its upstream is doubted: half of the goal
// is left for going on elsewhere.
inline base::Millis
StallTimeout(base::Millis aPauseGoal)
{
  const base::Millis goal =
    aPauseGoal > base::Millis(0) ? aPauseGoal : kDefaultPauseGoal;
  return std::max(goal / 2, kSilenceTimeout);
}

// Whether a stream that has paused since aLastEvent goes on elsewhere.
inline bool
IsStreamStalled(const UpstreamEstimate& aUpstream,
                base::Millis aPauseGoal,
                base::TimePoint aLastEvent,
                base::TimePoint aNow)
{
  const base::Millis pause = aNow - aLastEvent;
  const base::Millis tolerable = StallTimeout(aPauseGoal);
  const bool alive = aNow - aUpstream.LastReceivedAt() < tolerable;
  return pause >= (alive ? tolerable * kAliveFactor : tolerable);
}

// Whether a request that waits since aSent for the head of its answer is made
// again elsewhere. aPatience: how long a sound upstream may take.
inline bool
IsHeadOverdue(const UpstreamEstimate& aUpstream,
              base::Millis aPatience,
              base::TimePoint aSent,
              base::TimePoint aNow)
{
  const base::Millis waited = aNow - aSent;
  return waited >= aPatience ||
         (waited >= kSilenceTimeout && aUpstream.IsSilent(aNow));
}

} // namespace chivefront::routing
