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
inline constexpr base::Millis kDetachedGrace{ 5000 };
// The same for an entry that has a link but does not settle.
inline constexpr base::Millis kAttachedGrace{ 60000 };

struct Settlement
{
  std::optional<wire::BillLineT> m_bill;
  std::optional<wire::FinishClaimT> m_claim;
};

// Request id and run, as bills are deduplicated.
using SettlementKey = std::pair<std::string, uint32_t>;

class SettlementBook
{
public:
  explicit SettlementBook(size_t aBound)
    : m_bound(aBound)
  {
  }

  // At the bound new work must be refused: its results could not be kept.
  bool Full() const { return m_records.size() >= m_bound; }

  void Add(const SettlementKey& aKey,
           Settlement aWhat,
           std::string aEntry,
           base::TimePoint aNow);
  // The ledger holds it, by word of the entry or after an own post.
  void Settle(const SettlementKey& aKey) { m_records.erase(aKey); }

  void EntryGone(const std::string& aEntry, base::TimePoint aNow);
  void EntryBack(const std::string& aEntry) { m_gone.erase(aEntry); }

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
  void ExpireGraces(base::TimePoint aNow);

private:
  struct Record
  {
    Settlement m_what;
    std::string m_entry;
    base::TimePoint m_added;
    base::TimePoint m_notBefore; // after a failed post
    uint32_t m_failures = 0;
    bool m_posting = false;
    bool m_graceOver = false;
  };
  bool Due(const Record& aRecord, base::TimePoint aNow) const;

  const size_t m_bound;
  std::map<SettlementKey, Record> m_records;
  std::map<std::string, base::TimePoint> m_gone; // entries without a link
};

} // namespace chivefront::agent
