// Evidence totals.
#include "chivefront/entry/evidence.h"

namespace chivefront::entry {

wire::VersionEvidenceT&
Evidence::Row(const std::string& aVersion)
{
  wire::VersionEvidenceT& row = m_rows[aVersion];
  row.version = aVersion;
  return row;
}

void
Evidence::Exposed(const std::string& aVersion)
{
  const std::lock_guard lock(m_lock);
  ++Row(aVersion).exposed;
}

void
Evidence::Answered(const std::string& aVersion, base::Millis aLatency)
{
  const std::lock_guard lock(m_lock);
  Row(aVersion).latency_ms_sum += static_cast<uint64_t>(aLatency.Count());
}

void
Evidence::Failed(const std::string& aVersion, bool aUpstreamLost)
{
  const std::lock_guard lock(m_lock);
  wire::VersionEvidenceT& row = Row(aVersion);
  ++(aUpstreamLost ? row.losses : row.errors);
}

void
Evidence::Rated(const std::string& aVersion, bool aAcceptable)
{
  const std::lock_guard lock(m_lock);
  wire::VersionEvidenceT& row = Row(aVersion);
  ++(aAcceptable ? row.good : row.bad);
}

std::vector<wire::VersionEvidenceT>
Evidence::Totals() const
{
  const std::lock_guard lock(m_lock);
  std::vector<wire::VersionEvidenceT> rows;
  rows.reserve(m_rows.size());
  for (const auto& [version, row] : m_rows) {
    rows.push_back(row);
  }
  return rows;
}

} // namespace chivefront::entry
