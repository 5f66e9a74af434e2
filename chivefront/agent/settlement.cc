// Decides when the agent posts a result in place of its entry.
#include "chivefront/agent/settlement.h"

#include <algorithm>

namespace chivefront::agent {
namespace detail {

constexpr base::Millis kFirstBackoff{ 200 };
// During a drain, the time that an entry with a link has to settle a result.
constexpr base::Millis kDrainGrace{ 10000 };
constexpr uint32_t kMaxDoublings = 6; // a backoff of 12.8 s at most

} // namespace detail

void
PendingSettlements::Add(const SettlementKey& aKey,
                        Settlement aSettlement,
                        std::string aEntry,
                        base::TimePoint aNow)
{
  Record record;
  record.m_settlement = std::move(aSettlement);
  record.m_entry = std::move(aEntry);
  record.m_addedAt = aNow;
  m_records.insert_or_assign(aKey, std::move(record));
}

void
PendingSettlements::OnEntryDisconnected(const std::string& aEntry,
                                        base::TimePoint aNow)
{
  m_disconnectedAt.emplace(aEntry, aNow);
}

bool
PendingSettlements::IsDue(const Record& aRecord, base::TimePoint aNow) const
{
  if (aRecord.m_posting || aNow < aRecord.m_notBefore) {
    return false;
  }
  if (aRecord.m_graceExpired ||
      aNow - aRecord.m_addedAt >= kConnectedEntryGrace) {
    return true;
  }
  const auto gone = m_disconnectedAt.find(aRecord.m_entry);
  return gone != m_disconnectedAt.end() &&
         aNow - gone->second >= kDisconnectedEntryGrace;
}

std::vector<SettlementKey>
PendingSettlements::TakeDue(base::TimePoint aNow)
{
  std::vector<SettlementKey> due;
  for (auto& [key, record] : m_records) {
    if (IsDue(record, aNow)) {
      record.m_posting = true;
      due.push_back(key);
    }
  }
  return due;
}

const Settlement*
PendingSettlements::Find(const SettlementKey& aKey) const
{
  const auto found = m_records.find(aKey);
  return found == m_records.end() ? nullptr : &found->second.m_settlement;
}

void
PendingSettlements::PostFailed(const SettlementKey& aKey,
                               base::TimePoint aNow,
                               uint64_t aRandom)
{
  const auto found = m_records.find(aKey);
  if (found == m_records.end()) {
    return;
  }
  Record& record = found->second;
  const uint32_t doublings =
    std::min(record.m_failedPosts, detail::kMaxDoublings);
  const base::Millis ceiling =
    detail::kFirstBackoff * (int64_t{ 1 } << doublings);
  const auto span = static_cast<uint64_t>(ceiling.Count()) + 1;
  record.m_notBefore =
    aNow + base::Millis(static_cast<int64_t>(aRandom % span));
  ++record.m_failedPosts;
  record.m_posting = false;
}

base::Millis
PendingSettlements::OldestAge(base::TimePoint aNow) const
{
  base::Millis oldest;
  for (const auto& [key, record] : m_records) {
    oldest = std::max(oldest, aNow - record.m_addedAt);
  }
  return oldest;
}

void
PendingSettlements::ShortenGracePeriods(base::TimePoint aNow)
{
  for (auto& [key, record] : m_records) {
    record.m_graceExpired = record.m_graceExpired ||
                            aNow - record.m_addedAt >= detail::kDrainGrace ||
                            m_disconnectedAt.count(record.m_entry) != 0;
  }
}

} // namespace chivefront::agent
