// Counts of losses by request, bounded by dropping the oldest.
#include "chivefront/policy/suspects.h"

#include <algorithm>

namespace chivefront::policy {
namespace {

// Bounds of the state. A reporter repeats a loss for some seconds, and a
// cluster of the design size has about 3,200 losses a day.
constexpr size_t kMaxLossIds = 8192;
constexpr size_t kMaxSuspects = 65536;

} // namespace

SuspectCounts::Loss
SuspectCounts::OnLoss(const std::string& aLossId,
                      const std::vector<uint64_t>& aFingerprints)
{
  Loss result;
  if (!m_lossIds.insert(aLossId).second) {
    return result;
  }
  m_lossOrder.push_back(aLossId);
  if (m_lossOrder.size() > kMaxLossIds) {
    m_lossIds.erase(m_lossOrder.front());
    m_lossOrder.pop_front();
  }
  // A request may be listed twice; it is counted once.
  const std::set<uint64_t> distinct(aFingerprints.begin(), aFingerprints.end());
  uint32_t highest = 0;
  for (const uint64_t fingerprint : distinct) {
    highest = std::max(highest, Losses(fingerprint));
  }
  for (const uint64_t fingerprint : distinct) {
    if (m_rule == SuspectRule::HighestOnly && Losses(fingerprint) != highest) {
      continue;
    }
    const uint32_t losses = Losses(fingerprint) + 1;
    Set(fingerprint, losses);
    result.m_suspects.emplace_back(fingerprint, losses);
    if (losses == kQuarantineLosses) {
      result.m_quarantined.push_back(fingerprint);
    }
  }
  return result;
}

void
SuspectCounts::Set(uint64_t aFingerprint, uint32_t aLosses)
{
  Count& count = m_counts[aFingerprint];
  if (count.m_lastChange != 0) {
    m_byLastChange.erase(count.m_lastChange);
  }
  count.m_losses = aLosses;
  count.m_lastChange = ++m_changes;
  m_byLastChange.emplace(count.m_lastChange, aFingerprint);
  if (m_counts.size() > kMaxSuspects) {
    Clear(m_byLastChange.begin()->second);
  }
}

void
SuspectCounts::Clear(uint64_t aFingerprint)
{
  const auto found = m_counts.find(aFingerprint);
  if (found != m_counts.end()) {
    m_byLastChange.erase(found->second.m_lastChange);
    m_counts.erase(found);
  }
}

uint32_t
SuspectCounts::Losses(uint64_t aFingerprint) const
{
  const auto found = m_counts.find(aFingerprint);
  return found == m_counts.end() ? 0 : found->second.m_losses;
}

SuspectCounts::State
SuspectCounts::Save() const
{
  State state;
  for (const auto& [change, fingerprint] : m_byLastChange) {
    state.m_counts.emplace_back(fingerprint, Losses(fingerprint));
  }
  state.m_lossIds.assign(m_lossOrder.begin(), m_lossOrder.end());
  return state;
}

void
SuspectCounts::Load(const State& aState)
{
  *this = SuspectCounts(m_rule);
  for (const auto& [fingerprint, losses] : aState.m_counts) {
    Set(fingerprint, losses);
  }
  for (const std::string& id : aState.m_lossIds) {
    m_lossIds.insert(id);
    m_lossOrder.push_back(id);
  }
}

} // namespace chivefront::policy
