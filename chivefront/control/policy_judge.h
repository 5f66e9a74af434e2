// Implements RolloutJudge with the sequential test of chivefront/policy.
#pragma once

#include <map>
#include <string>
#include <utility>

#include "chivefront/control/rollout_judge.h"
#include "chivefront/policy/rollout_judge.h"

namespace chivefront::control {

// The counts of a row of evidence, as the tests of chivefront/policy take them.
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
    base::TimePoint m_holdStart; // last evaluation before the hold
  };

  const policy::JudgeSettings m_settings;
  // By model: the revision at which its roll-out started, and the test of that
  // roll-out. A new leader starts with new tests; the watchers report all their
  // evidence again.
  std::map<std::string, std::pair<uint64_t, ModelTest>> m_tests;
};

} // namespace chivefront::control
