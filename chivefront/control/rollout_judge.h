// The seam to the decision whether a roll-out goes on, advances or stops.
#pragma once

#include <string>

#include "chivefront/catalog/catalog.h"
#include "chivefront/wire/protocol_generated.hpp"

namespace chivefront::control {

enum class RolloutVerdict
{
  Wait,    // not enough evidence yet
  Hold,    // no new sessions until ratings of those exposed have come in
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

  // aFrom and aTo are totals over all holders since the roll-out started.
  // Called for running roll-outs and those held by an earlier verdict, as often
  // as evidence arrives, so the decision must be valid whenever it is asked
  // for.
  virtual RolloutDecision Judge(const catalog::Rollout& aRollout,
                                const wire::VersionEvidenceT& aFrom,
                                const wire::VersionEvidenceT& aTo,
                                base::TimePoint aNow) = 0;
};

} // namespace chivefront::control
