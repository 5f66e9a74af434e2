// The request limits that upstreams state in their answers: requests per second
// that an upstream accepts from all entries together. Merged from the answers
// that this process received and from observations of other processes.
//
//   RequestLimits limits;
//   limits.Record({ MakeUpstreamKey(instance), 2.5, now });
//   if (const auto perSecond = limits.Find(key)) ...
//
// Does no I/O; not thread-safe.
#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "chivefront/base/clock.h"
#include "chivefront/routing/registry.h"
#include "chivefront/routing/send_permits.h"

namespace chivefront::routing {

// Identifies one incarnation of an upstream. A restarted upstream has forgotten
// its limit and may state another one.
using UpstreamKey = PermitKey;

UpstreamKey
MakeUpstreamKey(const Instance& aInstance);

// Requests per second that are sent to an upstream with a smaller limit.
// Without any request it could not withdraw its limit.
inline constexpr double kMinRequestRate = 0.25;

// What an answer said about the limit of its upstream.
struct LimitObservation
{
  UpstreamKey m_upstream = 0;
  // Requests per second, at least 0. Unset: the upstream states no limit.
  std::optional<double> m_perSecond;
  // When an answer that states a limit arrived; when the request of an answer
  // without one was sent.
  base::TimePoint m_heardAt;
};

enum class LimitChange
{
  None,
  Stated,    // a limit where there was none, or another value
  Withdrawn, // the upstream states no limit any more
};

class RequestLimits
{
public:
  // Takes over aObservation if it is the newest one of its upstream.
  LimitChange Record(const LimitObservation& aObservation);

  // The current limit of an upstream in requests per second, if it has one.
  std::optional<double> Find(UpstreamKey aUpstream) const;
  // The bound on the requests to an upstream with a limit: the limit, or
  // kMinRequestRate if that is more.
  std::optional<RateBound> FindBound(UpstreamKey aUpstream) const;

  // All current limits, and the limits withdrawn recently, so that an older
  // observation of another process does not restore them.
  std::vector<LimitObservation> All() const;

  // Removes limits that were withdrawn before aWithdrawnBefore and, of those
  // for which aIsRegistered(key) is false, limits last stated before
  // aStatedBefore.
  template<typename Predicate>
  void Expire(base::TimePoint aWithdrawnBefore,
              base::TimePoint aStatedBefore,
              Predicate aIsRegistered)
  {
    std::erase_if(m_latest, [&](const auto& aItem) {
      const LimitObservation& latest = aItem.second;
      if (!latest.m_perSecond) {
        return latest.m_heardAt < aWithdrawnBefore;
      }
      return latest.m_heardAt < aStatedBefore && !aIsRegistered(aItem.first);
    });
  }

  // Expire for the upstreams that aRegistry does not name, with retentions that
  // cover late observations of other processes, and upstreams that come back
  // after their registration has expired.
  void ExpireUnregistered(const Registry& aRegistry, base::TimePoint aNow);

private:
  // Newest observation by upstream. Upstreams that never stated a limit have
  // none.
  std::unordered_map<UpstreamKey, LimitObservation> m_latest;
};

} // namespace chivefront::routing
