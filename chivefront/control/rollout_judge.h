// Interface to the decision whether a roll-out waits, advances or stops. Tests
// replace it by a fixed verdict.
#pragma once

#include <string>

#include "chivefront/catalog/catalog.h"
#include "chivefront/wire/protocol_generated.hpp"

namespace chivefront::control {

enum class RolloutVerdict
{
  Wait,    // not enough evidence yet
  Hold,    // no new sessions until the exposed requests have been rated
  Resume,  // end a hold without a further stage
  Advance, // to the next stage, or done after the last one
  Stop,    // the new version is bad: stop and withdraw it
};

struct RolloutDecision
{
  RolloutVerdict m_verdict = RolloutVerdict::Wait;
  std::string m_reason;
};

class RolloutJudge
{
public:
  virtual ~RolloutJudge() = default;

  // aFrom and aTo are totals over all watchers since the roll-out started.
  // Called as often as evidence arrives, for running roll-outs and for
  // roll-outs held by an earlier verdict, so the decision must be valid at
  // every call.
  virtual RolloutDecision Judge(const catalog::Rollout& aRollout,
                                const wire::VersionEvidenceT& aFrom,
                                const wire::VersionEvidenceT& aTo,
                                base::TimePoint aNow) = 0;
};

} // namespace chivefront::control
