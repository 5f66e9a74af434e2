// Judges the roll-outs in progress on the leading control process, from the
// evidence that the entries report.
//
//   site::RolloutSupervisor supervisor(watchers, propose, log);
//   supervisor.Judge(state, now);
#pragma once

#include <functional>
#include <string>

#include "chivefront/base/decision_log.h"
#include "chivefront/control/watcher_table.h"
#include "chivefront/site/rollout_verdict.h"
#include "chivefront/site/store.h"

namespace chivefront::site {

class RolloutSupervisor
{
public:
  // Proposes a command to the replicated log. A proposal may be lost.
  using ProposeFunction = std::function<void(const Command&)>;

  RolloutSupervisor(const control::WatcherTable& aWatchers,
                    ProposeFunction aPropose,
                    base::DecisionLog& aLog);

  // Proposes the end of each roll-out of aState that has come to a verdict. The
  // proposal is repeated with the next call while the roll-out is in progress.
  void Judge(const State& aState, base::TimePoint aNow);

private:
  AnswerCounts CountsOf(const std::string& aService,
                        const std::string& aVersion,
                        const Rollout& aRollout) const;
  void JudgeOne(const std::string& aService,
                const Rollout& aRollout,
                base::TimePoint aNow);

  const control::WatcherTable& m_watchers;
  const ProposeFunction m_propose;
  base::DecisionLog& m_log;
};

} // namespace chivefront::site
