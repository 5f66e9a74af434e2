// The sequential test of chivefront/policy behind the roll-out seam.
#pragma once

#include <map>
#include <string>
#include <utility>

#include "chivefront/control/rollout_judge.h"
#include "chivefront/policy/rollout_judge.h"

namespace chivefront::control {

policy::VersionCounts
CountsOf(const wire::VersionEvidenceT& aRow);

class PolicyJudge final : public RolloutJudge
{
public:
  explicit PolicyJudge(const policy::JudgeSettings& aSettings = {})
    : m_settings(aSettings)
  {
  }

  RolloutDecision Judge(const catalog::Rollout& aRollout,
                        const wire::VersionEvidenceT& aFrom,
                        const wire::VersionEvidenceT& aTo,
                        base::TimePoint aNow) override;

private:
  struct ModelTest
  {
    policy::RolloutJudge m_judge;
    base::TimePoint m_holdStart;
  };

  const policy::JudgeSettings m_settings;
  // By model and start of the roll-out; one of each model. A new leader starts
  // with fresh tests; the evidence itself comes again from the holders.
  std::map<std::string, std::pair<uint64_t, ModelTest>> m_tests;
};

} // namespace chivefront::control
