// Fencing numbers of orders to engines (load, unload, change of role).
//
// The number is the configuration revision under which the order was given:
// the configuration group makes it durable and monotonic, so no agent needs a
// disk. Pure; thread-compatible.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include <absl/status/statusor.h>

#include "chivefront/base/clock.h"
#include "chivefront/client/lease.h"

namespace chivefront::agent {

class FencingTokens
{
public:
  // aStartedAt: when this agent started. Its predecessor at the same engines
  // may give orders until its lease ended, counted from at most that time.
  explicit FencingTokens(base::TimePoint aStartedAt)
    : m_startedAt(aStartedAt)
  {
  }

  // The number to send with an order given under aRevision. Conflict when a
  // newer order went to the same upstream; NotFresh when the engine does not
  // check numbers and the former agent's lease may still run.
  absl::StatusOr<uint64_t> TokenFor(const std::string& aUpstream,
                                    uint64_t aRevision,
                                    bool aEngineChecks,
                                    base::TimePoint aNow);

private:
  const base::TimePoint m_startedAt;
  std::map<std::string, uint64_t> m_highestSent; // highest number by upstream
};

} // namespace chivefront::agent
