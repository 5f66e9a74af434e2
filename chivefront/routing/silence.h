// Detection of stalled streams and overdue answers, so that another upstream
// can answer in time. Does no I/O.
#pragma once

#include <algorithm>

#include "chivefront/routing/upstream_estimate.h"

namespace chivefront::routing {

// Pause goal of streams whose route sets none.
inline constexpr base::Millis kDefaultPauseGoal{ 2000 };
// An upstream that sends on other streams is likely to have only postponed this
// one, so the stall timeout is this many times that of a silent upstream.
inline constexpr int64_t kActiveUpstreamFactor = 4;

// The pause after which a stream of a silent upstream counts as stalled. Half
// of the goal remains for resuming the stream elsewhere.
inline base::Millis
StallTimeout(base::Millis aPauseGoal)
{
  const base::Millis goal =
    aPauseGoal > base::Millis(0) ? aPauseGoal : kDefaultPauseGoal;
  return std::max(goal / 2, kSilenceTimeout);
}

// Whether a stream without events since aLastEvent should be resumed at another
// upstream. aUsualPause: the longest pause that is usual at present; a stream
// that is resumed sooner gains nothing, as its prompt is read again.
inline bool
IsStreamStalled(const UpstreamEstimate& aEstimate,
                base::Millis aPauseGoal,
                base::TimePoint aLastEvent,
                base::TimePoint aNow,
                base::Millis aUsualPause = base::Millis(0))
{
  const base::Millis pause = aNow - aLastEvent;
  const base::Millis timeout = std::max(StallTimeout(aPauseGoal), aUsualPause);
  const bool active = aNow - aEstimate.LastReceivedAt() < timeout;
  return pause >= (active ? timeout * kActiveUpstreamFactor : timeout);
}

// Whether a request that has waited for the head of its answer since aSent
// should be retried elsewhere. aHeadTimeout: how long a healthy upstream may
// take. aUsualPause: as above; the streams of an upstream may pause while it
// reads a long prompt.
inline bool
IsHeadOverdue(const UpstreamEstimate& aEstimate,
              base::Millis aHeadTimeout,
              base::TimePoint aSent,
              base::TimePoint aNow,
              base::Millis aUsualPause = base::Millis(0))
{
  const base::Millis waited = aNow - aSent;
  return waited >= aHeadTimeout ||
         (waited >= kSilenceTimeout && aEstimate.IsSilent(aNow) &&
          aNow - aEstimate.LastReceivedAt() >= aUsualPause);
}

} // namespace chivefront::routing
