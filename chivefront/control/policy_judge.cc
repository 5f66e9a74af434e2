// Runs a sequential test for each roll-out and maps its verdicts to decisions.
#include "chivefront/control/policy_judge.h"

namespace chivefront::control {
namespace detail {

// A hold lasts at least this long, also when the test no longer asks for it.
// Otherwise hold and resume would alternate with every report.
constexpr base::Millis kMinHold{ 5000 };

} // namespace detail

policy::VersionCounts
CountsOf(const wire::VersionEvidenceT& aRow)
{
  policy::VersionCounts counts;
  counts.m_exposed = aRow.exposed;
  counts.m_good = aRow.good;
  counts.m_bad = aRow.bad;
  counts.m_errors = aRow.errors;
  counts.m_losses = aRow.losses;
  counts.m_latencyMsSum = aRow.latency_ms_sum;
  return counts;
}

RolloutDecision
PolicyJudge::Judge(const catalog::Rollout& aRollout,
                   const wire::VersionEvidenceT& aFrom,
                   const wire::VersionEvidenceT& aTo,
                   base::TimePoint aNow)
{
  const ModelTest fresh{ policy::RolloutJudge(m_settings), aNow };
  auto& [started, test] =
    m_tests.try_emplace(aRollout.m_id, aRollout.m_started, fresh).first->second;
  if (started != aRollout.m_started) {
    started = aRollout.m_started;
    test = fresh;
  }
  const policy::Verdict verdict = test.m_judge.Evaluate(CountsOf(aTo),
                                                        CountsOf(aFrom),
                                                        aRollout.m_stage,
                                                        aRollout.m_maxExposed,
                                                        aNow);
  const bool held = aRollout.m_state == catalog::RolloutState::Paused;
  if (!held) {
    test.m_holdStart = aNow;
  }
  RolloutDecision decision;
  decision.m_reason =
    std::string(policy::kJudgeReasonNames.Name(verdict.m_reason));
  switch (verdict.m_action) {
    case policy::JudgeAction::Stop:
      decision.m_verdict = RolloutVerdict::Stop;
      break;
    case policy::JudgeAction::Advance:
      decision.m_verdict = RolloutVerdict::Advance;
      break;
    case policy::JudgeAction::Hold:
      decision.m_verdict = held ? RolloutVerdict::Wait : RolloutVerdict::Hold;
      break;
    case policy::JudgeAction::Continue:
      if (held && aNow - test.m_holdStart >= detail::kMinHold) {
        decision.m_verdict = RolloutVerdict::Resume;
      }
      break;
  }
  return decision;
}

} // namespace chivefront::control
