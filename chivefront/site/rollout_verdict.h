// Decides from the answers that the entries counted whether a roll-out goes on,
// completes or is rolled back. Does no I/O.
#pragma once

#include <cstdint>
#include <optional>

#include "chivefront/site/store.h"

namespace chivefront::site {

// Answers of one or more versions of a service since the roll-out was ordered.
struct AnswerCounts
{
  uint64_t m_good = 0;
  uint64_t m_bad = 0; // failed, or came much later than usual
};

// Returns the stage that a roll-out in progress enters now, if any. aVersion:
// counts of the new version; aOthers: counts of the versions that it replaces.
std::optional<RolloutStage>
JudgeRollout(const Rollout& aRollout,
             const AnswerCounts& aVersion,
             const AnswerCounts& aOthers,
             base::TimePoint aNow);

} // namespace chivefront::site
