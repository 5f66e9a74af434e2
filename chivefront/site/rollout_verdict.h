// Whether a roll-out goes on, ends well or is rolled back, from the answers
// that the entries counted. Pure.
#pragma once

#include <cstdint>
#include <optional>

#include "chivefront/site/store.h"

namespace chivefront::site {

// Answers of some versions of a service since the roll-out's order.
struct AnswerCounts
{
  uint64_t m_good = 0;
  uint64_t m_bad = 0; // failed, or came much later than usual
};

// The stage that a roll-out in progress enters now, if any. aVersion: counts of
// the version moved to; aOthers: of the versions it replaces.
std::optional<RolloutStage>
JudgeRollout(const Rollout& aRollout,
             const AnswerCounts& aVersion,
             const AnswerCounts& aOthers,
             base::TimePoint aNow);

} // namespace chivefront::site
