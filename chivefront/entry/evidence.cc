// Counts of evidence and the rows of roll-outs.
#include "chivefront/entry/evidence.h"

namespace chivefront::entry {

template<typename Count>
void
Evidence::UpdateRows(const std::string& aVersion, const Count& aCount)
{
  const std::lock_guard lock(m_lock);
  wire::VersionEvidenceT& row = m_rows[aVersion];
  row.version = aVersion;
  aCount(row);
  for (auto& [model, rollout] : m_rollouts) {
    const auto found = rollout.m_rows.find(aVersion);
    if (found != rollout.m_rows.end()) {
      aCount(found->second);
    }
  }
}

void
Evidence::SetRollouts(const catalog::Catalog& aCatalog)
{
  const std::lock_guard lock(m_lock);
  std::erase_if(m_rollouts, [&aCatalog](const auto& aRow) {
    return aCatalog.FindRollout(aRow.first) == nullptr;
  });
  for (const auto& [model, rollout] : aCatalog.m_rollouts) {
    RolloutCounts& rows = m_rollouts[model];
    const bool isSame =
      rows.m_from == rollout.m_from && rows.m_to == rollout.m_to &&
      (rows.m_started == 0 || rows.m_started == rollout.m_started);
    if (!isSame) {
      rows.m_rows.clear();
    }
    rows.m_started = rollout.m_started;
    rows.m_from = rollout.m_from;
    rows.m_to = rollout.m_to;
    for (const std::string& version : { rollout.m_from, rollout.m_to }) {
      wire::VersionEvidenceT& row = rows.m_rows[version];
      row.version = version;
      row.since = rollout.m_started;
    }
  }
}

void
Evidence::OnDispatched(const std::string& aVersion)
{
  UpdateRows(aVersion, [](wire::VersionEvidenceT& aRow) { ++aRow.exposed; });
}

void
Evidence::OnAnswered(const std::string& aVersion, base::Millis aLatency)
{
  UpdateRows(aVersion, [aLatency](wire::VersionEvidenceT& aRow) {
    aRow.latency_ms_sum += static_cast<uint64_t>(aLatency.Count());
  });
}

void
Evidence::OnFailed(const std::string& aVersion, bool aUpstreamLost)
{
  UpdateRows(aVersion, [aUpstreamLost](wire::VersionEvidenceT& aRow) {
    ++(aUpstreamLost ? aRow.losses : aRow.errors);
  });
}

void
Evidence::OnRated(const std::string& aVersion, bool aAcceptable)
{
  UpdateRows(aVersion, [aAcceptable](wire::VersionEvidenceT& aRow) {
    ++(aAcceptable ? aRow.good : aRow.bad);
  });
}

std::vector<wire::VersionEvidenceT>
Evidence::Totals() const
{
  const std::lock_guard lock(m_lock);
  std::vector<wire::VersionEvidenceT> totals;
  totals.reserve(m_rows.size() + 2 * m_rollouts.size());
  for (const auto& [version, row] : m_rows) {
    totals.push_back(row);
  }
  for (const auto& [model, rollout] : m_rollouts) {
    if (rollout.m_started == 0) {
      continue;
    }
    for (const auto& [version, row] : rollout.m_rows) {
      totals.push_back(row);
    }
  }
  return totals;
}

} // namespace chivefront::entry
