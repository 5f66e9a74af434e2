// Bills and claim results that this agent keeps until a majority of the ledger
// replicas holds them. Normally the entry posts them and reports that they are
// settled; when the entry stays disconnected, the agent posts them itself.
// Pure; the owner locks.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "chivefront/base/clock.h"
#include "chivefront/wire/protocol_generated.hpp"

namespace chivefront::agent {

// How long an entry without a link may take to reconnect before the agent posts
// in its place. Longer than the replacement of a link (silence of 1.5 s plus
// backoff), so that a replaced link causes no ledger commands.
inline constexpr base::Millis kDisconnectedEntryGrace{ 5000 };
// The same for an entry that has a link but does not report the result settled.
inline constexpr base::Millis kConnectedEntryGrace{ 60000 };

struct Settlement
{
  std::optional<wire::BillLineT> m_bill;
  std::optional<wire::FinishClaimT> m_claim;
};

// Request id and run number, by which the ledger deduplicates bills.
using SettlementKey = std::pair<std::string, uint32_t>;

class PendingSettlements
{
public:
  explicit PendingSettlements(size_t aCapacity)
    : m_capacity(aCapacity)
  {
  }

  // When full, the agent must reject new work, because its results could not be
  // kept.
  bool IsFull() const { return m_records.size() >= m_capacity; }

  void Add(const SettlementKey& aKey,
           Settlement aSettlement,
           std::string aEntry,
           base::TimePoint aNow);
  // The ledger holds the record: the entry said so, or the agent posted it.
  void OnSettled(const SettlementKey& aKey) { m_records.erase(aKey); }

  void OnEntryDisconnected(const std::string& aEntry, base::TimePoint aNow);
  void OnEntryConnected(const std::string& aEntry)
  {
    m_disconnectedAt.erase(aEntry);
  }

  // Records to post now. A returned record is not due again until PostFailed().
  std::vector<SettlementKey> TakeDue(base::TimePoint aNow);
  const Settlement* Find(const SettlementKey& aKey) const;
  // Schedules a retry after a random part of a backoff that doubles with each
  // failure. aRandom: any 64 random bits.
  void PostFailed(const SettlementKey& aKey,
                  base::TimePoint aNow,
                  uint64_t aRandom);

  size_t Size() const { return m_records.size(); }
  // Age of the oldest record; zero when there is none.
  base::Millis OldestAge(base::TimePoint aNow) const;
  // Shortens the grace periods for a drain: records of disconnected entries
  // become due at once, others 10 s after they were added.
  void ShortenGracePeriods(base::TimePoint aNow);

private:
  struct Record
  {
    Settlement m_settlement;
    std::string m_entry;
    base::TimePoint m_addedAt;
    base::TimePoint m_notBefore; // backoff after a failed post
    uint32_t m_failedPosts = 0;
    bool m_posting = false;
    bool m_graceExpired = false;
  };
  bool IsDue(const Record& aRecord, base::TimePoint aNow) const;

  const size_t m_capacity;
  std::map<SettlementKey, Record> m_records;
  // For each entry without a link, when its last link closed.
  std::map<std::string, base::TimePoint> m_disconnectedAt;
};

} // namespace chivefront::agent
