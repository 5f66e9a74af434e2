// Usage and claim results that this agent keeps until a majority of the
// ledger holds them. Normally the entry settles them and says so; when the
// entry stays away, the agent posts them itself. Pure; the owner locks.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "chivefront/base/clock.h"
#include "chivefront/wire/protocol_generated.hpp"

namespace chivefront::agent {

// How long an entry without a link may take to come back before the agent
// posts for it. Longer than a link's replacement (silence of 1.5 s plus
// backoff), so that a replaced link costs no ledger commands.
inline constexpr base::Millis kDisconnectedEntryGrace{ 5000 };
// The same for an entry that has a link but does not settle.
inline constexpr base::Millis kConnectedEntryGrace{ 60000 };

struct Settlement
{
  std::optional<wire::BillLineT> m_bill;
  std::optional<wire::FinishClaimT> m_claim;
};

// Request id and run, as bills are deduplicated.
using SettlementKey = std::pair<std::string, uint32_t>;

class PendingSettlements
{
public:
  explicit PendingSettlements(size_t aCapacity)
    : m_capacity(aCapacity)
  {
  }

  // At the bound new work must be refused: its results could not be kept.
  bool IsFull() const { return m_records.size() >= m_capacity; }

  void Add(const SettlementKey& aKey,
           Settlement aSettlement,
           std::string aEntry,
           base::TimePoint aNow);
  // The ledger holds it, by word of the entry or after an own post.
  void OnSettled(const SettlementKey& aKey) { m_records.erase(aKey); }

  void OnEntryDisconnected(const std::string& aEntry, base::TimePoint aNow);
  void OnEntryConnected(const std::string& aEntry)
  {
    m_disconnectedAt.erase(aEntry);
  }

  // Records to post now; each is left out until PostFailed or Settle.
  std::vector<SettlementKey> TakeDue(base::TimePoint aNow);
  const Settlement* Find(const SettlementKey& aKey) const;
  // Tries again after a random part of a span that doubles with each failure.
  // aRandom: any 64 random bits.
  void PostFailed(const SettlementKey& aKey,
                  base::TimePoint aNow,
                  uint64_t aRandom);

  size_t Size() const { return m_records.size(); }
  // Age of the oldest record; zero when there is none.
  base::Millis OldestAge(base::TimePoint aNow) const;
  // Shortens the graces, for the end of a drain.
  void ShortenGracePeriods(base::TimePoint aNow);

private:
  struct Record
  {
    Settlement m_settlement;
    std::string m_entry;
    base::TimePoint m_addedAt;
    base::TimePoint m_notBefore; // after a failed post
    uint32_t m_failedPosts = 0;
    bool m_posting = false;
    bool m_graceExpired = false;
  };
  bool IsDue(const Record& aRecord, base::TimePoint aNow) const;

  const size_t m_capacity;
  std::map<SettlementKey, Record> m_records;
  std::map<std::string, base::TimePoint>
    m_disconnectedAt; // entries without a link
};

} // namespace chivefront::agent
