// The seam to the decision whether a roll-out goes on, advances or stops.
#pragma once

#include <string>

#include "chivefront/catalog/catalog.h"
#include "chivefront/wire/protocol_generated.hpp"

namespace chivefront::control {

enum class RolloutVerdict
{
  Wait,    // not enough evidence yet
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

  // aFrom and aTo are totals over all holders since they started. Called for
  // running roll-outs only, as often as evidence arrives, so the decision must
  // be valid at any time it is asked for.
  virtual RolloutDecision Judge(const catalog::Rollout& aRollout,
                                const wire::VersionEvidenceT& aFrom,
                                const wire::VersionEvidenceT& aTo) = 0;
};

// Never decides; roll-outs stay where the operator put them.
class WaitingJudge final : public RolloutJudge
{
public:
  RolloutDecision Judge(const catalog::Rollout&,
                        const wire::VersionEvidenceT&,
                        const wire::VersionEvidenceT&) override
  {
    return {};
  }
};

} // namespace chivefront::control
