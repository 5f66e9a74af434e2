// Collects the evidence for each roll-out and records the verdicts.
#include "chivefront/site/rollout_supervisor.h"

namespace chivefront::site {
namespace {

// Key of the evidence about all versions of a service except the one that is
// rolled out.
constexpr char kOtherVersions[] = "*";

} // namespace

RolloutSupervisor::RolloutSupervisor(const control::WatcherTable& aWatchers,
                                     ProposeFunction aPropose,
                                     base::DecisionLog& aLog)
  : m_watchers(aWatchers)
  , m_propose(std::move(aPropose))
  , m_log(aLog)
{
}

AnswerCounts
RolloutSupervisor::CountsOf(const std::string& aService,
                            const std::string& aVersion,
                            const Rollout& aRollout) const
{
  const auto since = static_cast<uint64_t>(aRollout.m_orderedAt);
  const wire::VersionEvidenceT row =
    m_watchers.PooledEvidence(aService + "/" + aVersion, since);
  return { row.good, row.bad };
}

void
RolloutSupervisor::Judge(const State& aState, base::TimePoint aNow)
{
  for (const auto& [service, rollout] : aState.m_rollouts) {
    if (rollout.m_stage == RolloutStage::InProgress) {
      JudgeOne(service, rollout, aNow);
    }
  }
}

void
RolloutSupervisor::JudgeOne(const std::string& aService,
                            const Rollout& aRollout,
                            base::TimePoint aNow)
{
  const AnswerCounts newVersion =
    CountsOf(aService, aRollout.m_version, aRollout);
  const AnswerCounts oldVersions = CountsOf(aService, kOtherVersions, aRollout);
  const auto stage = JudgeRollout(aRollout, newVersion, oldVersions, aNow);
  if (!stage) {
    return;
  }
  m_log.Record("rollout_judged",
               base::LogCategory::State,
               { { "service", aService },
                 { "version", aRollout.m_version },
                 { "stage", kRolloutStageNames.Name(*stage) },
                 { "good", newVersion.m_good },
                 { "bad", newVersion.m_bad },
                 { "others_good", oldVersions.m_good },
                 { "others_bad", oldVersions.m_bad },
                 { "elapsed_ms", (aNow - aRollout.m_started).Count() } });
  m_propose(EndRollout{ aService, aRollout.m_version, *stage });
}

} // namespace chivefront::site
