// Bounded memory of losses and of parts whose answer began.
#include "chivefront/routing/part_evidence.h"

#include "chivefront/base/ids.h"

namespace chivefront::routing {
namespace {

constexpr size_t kMaxLosses = 256;
// Parts per generation; about 1 MiB for both generations.
constexpr size_t kMaxParts = 8192;

} // namespace

PartKey
MakePartKey(const std::string& aService, const std::string& aPartId)
{
  return base::StableHash(aPartId, base::StableHash(aService));
}

void
PartEvidence::OnBegun(const std::vector<PartKey>& aParts, base::TimePoint aNow)
{
  for (const PartKey part : aParts) {
    m_recent[part] = aNow;
  }
  if (m_recent.size() >= kMaxParts) {
    m_older = std::move(m_recent);
    m_recent.clear();
  }
}

void
PartEvidence::OnLoss(const LostAttempt& aAttempt,
                     const std::vector<PartKey>& aParts)
{
  for (const PartKey part : aParts) {
    m_losses.push_back({ part, aAttempt });
    if (m_losses.size() > kMaxLosses) {
      m_losses.pop_front();
    }
  }
}

const base::TimePoint*
PartEvidence::FindBegun(PartKey aPart) const
{
  for (const Times* times : { &m_recent, &m_older }) {
    const auto found = times->find(aPart);
    if (found != times->end()) {
      return &found->second;
    }
  }
  return nullptr;
}

PartReport
PartEvidence::Report(const std::set<PartKey>& aSuspects, base::TimePoint aNow)
{
  while (!m_losses.empty() &&
         aNow - m_losses.front().m_attempt.m_lostAt > kLossMemory) {
    m_losses.pop_front();
  }
  PartReport report;
  report.m_losses.assign(m_losses.begin(), m_losses.end());
  std::set<PartKey> parts = aSuspects;
  for (const PartLoss& loss : m_losses) {
    parts.insert(loss.m_part);
  }
  for (const PartKey part : parts) {
    if (const base::TimePoint* begun = FindBegun(part)) {
      report.m_begun[part] = *begun;
    }
  }
  return report;
}

} // namespace chivefront::routing
