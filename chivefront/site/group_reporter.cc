// Comparison of a group's status with the one that was reported last.
#include "chivefront/site/group_reporter.h"

#include <algorithm>

namespace chivefront::site {
namespace {

uint64_t
CountVoters(const consensus::GroupStatus& aStatus)
{
  return static_cast<uint64_t>(
    std::count_if(aStatus.m_replicas.begin(),
                  aStatus.m_replicas.end(),
                  [](const auto& aReplica) { return aReplica.m_voter; }));
}

// One word for each member: name, failure domain, role and identity. The
// identity distinguishes a host that lost its disk from the host before. A
// newcomer is marked until an older member has left in its favour.
std::string
DescribeMembers(const consensus::GroupStatus& aStatus)
{
  std::string text;
  for (const consensus::Replica& replica : aStatus.m_replicas) {
    text += text.empty() ? "" : " ";
    text +=
      replica.m_name + "/" + replica.m_domain +
      (replica.m_voter      ? "/voter/"
       : replica.m_diskless ? "/diskless/"
                            : "/learner/") +
      std::to_string(replica.m_identity) +
      (replica.m_succession == consensus::Succession::Open ? "/newcomer" : "");
  }
  return text;
}

} // namespace

GroupReporter::GroupReporter(uint32_t aMinVoters,
                             base::Metrics& aMetrics,
                             base::DecisionLog& aLog)
  : m_minVoters(aMinVoters)
  , m_log(aLog)
  , m_votersGauge(
      aMetrics.AddGauge("chivefront_site_voters",
                        "Voters of the group as known to this process."))
  , m_wantedVotersGauge(
      aMetrics.AddGauge("chivefront_site_voters_wanted",
                        "Voters that the stated tolerance and the "
                        "number of hosts need."))
  , m_pausedGauge(aMetrics.AddGauge("chivefront_site_paused",
                                    "1 while the disk of this replica is "
                                    "full."))
{
  m_wantedVotersGauge.Set(aMinVoters);
}

void
GroupReporter::Report(const consensus::GroupStatus& aStatus)
{
  ReportLeader(aStatus);
  ReportMembers(aStatus);
  ReportPause(aStatus);
}

void
GroupReporter::ReportPause(const consensus::GroupStatus& aStatus)
{
  if (aStatus.m_paused == m_paused) {
    return;
  }
  m_paused = aStatus.m_paused;
  m_pausedGauge.Set(m_paused ? 1 : 0);
  m_log.Record(m_paused ? "replica_paused" : "replica_resumed",
               base::LogCategory::State,
               { { "why", m_paused ? "disk_full" : "disk_has_space" } });
}

void
GroupReporter::ReportLeader(const consensus::GroupStatus& aStatus)
{
  if (aStatus.m_leader == m_leader) {
    return;
  }
  m_leader = aStatus.m_leader;
  m_log.Record("leader_changed",
               base::LogCategory::State,
               { { "leader", aStatus.m_leader },
                 { "term", aStatus.m_term },
                 { "committed", aStatus.m_commitIndex } });
}

void
GroupReporter::ReportMembers(const consensus::GroupStatus& aStatus)
{
  std::string members = DescribeMembers(aStatus);
  if (m_membersReported && members == m_members) {
    return;
  }
  m_membersReported = true;
  m_members = std::move(members);
  const uint64_t voters = CountVoters(aStatus);
  const uint64_t wanted =
    std::max<uint64_t>(m_minVoters, aStatus.m_wantedVoters);
  m_votersGauge.Set(static_cast<int64_t>(voters));
  m_wantedVotersGauge.Set(static_cast<int64_t>(wanted));
  m_log.Record("members_changed",
               base::LogCategory::State,
               { { "voters", voters },
                 { "wanted", wanted },
                 { "members", m_members },
                 { "last_index", aStatus.m_lastIndex },
                 { "committed", aStatus.m_commitIndex } });
}

} // namespace chivefront::site
