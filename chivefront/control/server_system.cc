// The part of the server that proposes system changes on the leader.
#include <utility>

#include "chivefront/control/server.h"
#include "chivefront/control/system_changes.h"

namespace chivefront::control {
namespace detail {

// Pooling the evidence of a version iterates over all watchers, so versions in
// general use are checked only every 2 s.
constexpr int kStepsPerVersionCheck = 8;

} // namespace detail

wire::VersionEvidenceT
Server::EvidenceFor(const std::string& aVersion, uint64_t aSince)
{
  const std::lock_guard lock(m_lock);
  return m_watchers.PooledEvidence(aVersion, aSince);
}

std::set<std::string>
Server::ServingVersions(const catalog::Catalog& aCatalog)
{
  const std::lock_guard lock(m_lock);
  std::set<std::string> versions;
  for (const wire::UpstreamInfoT& upstream : m_registry.All()) {
    if (!upstream.leaving && !upstream.version.empty() &&
        catalog::CheckInService(
          aCatalog, upstream.name, upstream.failure_domain)
          .ok()) {
      versions.insert(upstream.version);
    }
  }
  return versions;
}

std::vector<wire::ChangeRequestT>
Server::CheckVersions()
{
  VersionWatch::Outcome outcome = m_versionWatch.Evaluate(
    m_parts.m_store,
    [this](const std::string& aVersion, uint64_t aSince) {
      return EvidenceFor(aVersion, aSince);
    },
    [this](const catalog::Catalog& aCatalog) {
      return ServingVersions(aCatalog);
    });
  std::map<std::string, std::string> before;
  {
    const std::lock_guard lock(m_lock);
    before = std::exchange(m_unreplaced, outcome.m_unreplaced);
  }
  for (const auto& [version, measure] : outcome.m_unreplaced) {
    if (before.count(version) == 0) {
      m_parts.m_events.Record("version_turned_bad",
                              { { "version", version },
                                { "measure", measure },
                                { "withdrawn", "false" } });
    }
  }
  return std::move(outcome.m_changes);
}

net::Task<bool>
Server::ProposeSystemChanges()
{
  const bool leads =
    m_parts.m_configReplica.Status().m_role == consensus::RaftRole::Leader;
  if (!leads) {
    const std::lock_guard lock(m_lock);
    m_unreplaced.clear(); // the new leader reports them
  }
  if (!leads || m_systemChangePending || !IsFresh()) {
    co_return !m_stopped;
  }
  std::vector<wire::ChangeRequestT> changes =
    QuarantineChanges(m_parts.m_store, m_parts.m_ledger.QuarantineCandidates());
  if (changes.empty()) {
    changes = RolloutChanges(
      m_parts.m_store,
      m_parts.m_judge,
      [this](const std::string& aVersion, uint64_t aSince) {
        return EvidenceFor(aVersion, aSince);
      },
      m_parts.m_clock.Now());
  }
  ++m_systemChangeStep;
  if (changes.empty() &&
      m_systemChangeStep % detail::kStepsPerVersionCheck == 0) {
    changes = CheckVersions();
  }
  if (!changes.empty()) {
    // Proposes one change at a time. The next one is made from the
    // configuration that results from it.
    m_systemChangePending = true;
    m_changes.Submit(
      std::move(changes.front()),
      Proposer::System,
      [this](const wire::ChangeReplyT&) { m_systemChangePending = false; });
  }
  co_return !m_stopped;
}

} // namespace chivefront::control
