// Fencing tokens for commands to engines (load, unload, change of role).
//
// The token is the configuration revision under which the command was given.
// The configuration group makes revisions durable and monotonic, so the agent
// stores nothing on disk. Pure; thread-compatible.
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
  // aStartedAt: when this agent started. The former agent of the same engines
  // may give commands until its lease ends, which is at most one lease duration
  // after aStartedAt.
  explicit FencingTokens(base::TimePoint aStartedAt)
    : m_startedAt(aStartedAt)
  {
  }

  // The token to send with a command given under aRevision. Conflict when a
  // command with a newer revision went to the same upstream; NotFresh when the
  // engine does not check tokens and the lease of the former agent may still be
  // valid.
  absl::StatusOr<uint64_t> TokenFor(const std::string& aUpstream,
                                    uint64_t aRevision,
                                    bool aEngineChecks,
                                    base::TimePoint aNow);

private:
  const base::TimePoint m_startedAt;
  std::map<std::string, uint64_t> m_highestSent; // highest token by upstream
};

} // namespace chivefront::agent
