// Per-team limits at one entry: request rate, concurrent requests and tokens
// per minute.
//
//   auto result = admission.TryAdmit(team, estimatedTokens, load, now);
//   if (!result.m_admitted) ... answer RateLimited with result.m_retryAfter ...
//   ... run the request ...
//   admission.Finish(team, estimatedTokens, usedTokens, now);
//
// The limits of a team apply to all entries together. Each entry enforces an
// equal share of them, by the number of live entries. Not thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "chivefront/base/clock.h"
#include "chivefront/base/names.h"
#include "chivefront/catalog/catalog.h"

namespace chivefront::policy {

enum class RefusalReason
{
  None,
  Rate,
  Concurrency,
  Tokens,
  FreeCapacity, // the capacity is reserved for paying requests
};

inline constexpr base::NameTable<RefusalReason, 5> kRefusalReasonNames{ {
  { { RefusalReason::None, "none" },
    { RefusalReason::Rate, "rate" },
    { RefusalReason::Concurrency, "concurrency" },
    { RefusalReason::Tokens, "tokens" },
    { RefusalReason::FreeCapacity, "free_capacity" } },
} };

// The load of this entry, by which free requests are admitted.
struct EntryLoad
{
  uint32_t m_payingWaiting = 0; // queued paying requests
  uint32_t m_running = 0;
  uint32_t m_capacity = 0; // requests that upstreams can run for this entry
};

struct AdmissionResult
{
  bool m_admitted = false;
  RefusalReason m_reason = RefusalReason::None;
  base::Millis m_retryAfter;
};

class Admission
{
public:
  // The number of live entries, including this one. More entries reduce the
  // share at once. Fewer entries raise it after a delay, since an entry that is
  // no longer counted may admit requests until its freshness lease expires.
  void SetLiveEntries(uint32_t aCount, base::TimePoint aNow);

  // aTokens is an upper estimate of the tokens of the request, including the
  // prompt. They are charged at once and settled by Finish.
  AdmissionResult TryAdmit(const catalog::Team& aTeam,
                           uint64_t aTokens,
                           const EntryLoad& aLoad,
                           base::TimePoint aNow);
  // Ends an admitted request. aUsed is 0 for a request that did not run; the
  // difference to aTokens is refunded or charged.
  void Finish(const catalog::Team& aTeam,
              uint64_t aTokens,
              uint64_t aUsed,
              base::TimePoint aNow);

  // This entry's share of a concurrency limit. It is at least 1, so that a team
  // whose limit is below the number of entries can still send requests.
  uint32_t ShareOf(uint32_t aConcurrency) const;
  uint32_t Running(const std::string& aTeam) const;
  // Drops the state of a team that is no longer in the catalogue.
  void RemoveTeam(const std::string& aTeam) { m_teams.erase(aTeam); }

private:
  struct Bucket
  {
    double m_level = 0; // negative while in debt
    base::TimePoint m_refilled;
    bool m_started = false; // a bucket starts full

    // aPerSecond and aCapacity may change between calls.
    void Refill(double aPerSecond, double aCapacity, base::TimePoint aNow);
    // Time until the level reaches aLevel.
    base::Millis TimeUntil(double aLevel, double aPerSecond) const;
  };
  struct TeamState
  {
    uint32_t m_running = 0;
    Bucket m_requests;
    Bucket m_tokens;
  };

  // Adopts the pending number of entries when its delay has passed.
  void ApplyPendingEntries(base::TimePoint aNow);
  void Refill(const catalog::Team& aTeam,
              TeamState& aState,
              base::TimePoint aNow) const;

  uint32_t m_entries = 1; // by which limits are divided
  // The reported number of entries; below m_entries while its delay runs.
  uint32_t m_pendingEntries = 1;
  base::TimePoint m_pendingSince;
  std::map<std::string, TeamState> m_teams;
};

} // namespace chivefront::policy
