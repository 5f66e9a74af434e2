// Reports what a control process knows about its consensus group: a log record
// for each change of the leader or of the membership, and gauges for alerts.
//
//   site::GroupReporter reporter(wantedVoters, metrics, log);
//   reporter.Report(group.Status());
#pragma once

#include <string>

#include "chivefront/base/decision_log.h"
#include "chivefront/base/metrics.h"
#include "chivefront/consensus/group.h"

namespace chivefront::site {

class GroupReporter
{
public:
  // aMinVoters is the number of voters that the stated tolerance needs; the
  // group may want more, see GroupStatus::m_wantedVoters.
  GroupReporter(uint32_t aMinVoters,
                base::Metrics& aMetrics,
                base::DecisionLog& aLog);

  void Report(const consensus::GroupStatus& aStatus);

private:
  void ReportLeader(const consensus::GroupStatus& aStatus);
  void ReportMembers(const consensus::GroupStatus& aStatus);
  void ReportPause(const consensus::GroupStatus& aStatus);

  const uint32_t m_minVoters;
  base::DecisionLog& m_log;
  base::Gauge& m_votersGauge;
  base::Gauge& m_wantedVotersGauge;
  base::Gauge& m_pausedGauge;
  bool m_paused = false; // as reported last
  std::string m_leader;
  // The first membership is reported even if it is empty.
  bool m_membersReported = false;
  std::string m_members; // as in the log record
};

} // namespace chivefront::site
