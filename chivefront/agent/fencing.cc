// Implements fencing tokens.
#include "chivefront/agent/fencing.h"

#include "chivefront/base/errors.h"

namespace chivefront::agent {

absl::StatusOr<uint64_t>
FencingTokens::TokenFor(const std::string& aUpstream,
                        uint64_t aRevision,
                        bool aEngineChecks,
                        base::TimePoint aNow)
{
  if (!aEngineChecks && aNow - m_startedAt < client::kLeaseDuration) {
    return base::MakeError(base::ErrorKind::NotFresh,
                           "the former agent's lease may still run");
  }
  uint64_t& sent = m_highestSent[aUpstream];
  if (aRevision < sent) {
    return base::MakeError(base::ErrorKind::Conflict,
                           "a newer order was sent to this upstream");
  }
  sent = aRevision;
  return sent;
}

} // namespace chivefront::agent
