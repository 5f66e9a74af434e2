// Per-team limits at one entry: rate, concurrency and tokens per minute.
//
//   auto result = admission.TryAdmit(team, estimatedTokens, load, now);
//   if (!result.m_admitted) ... RateLimited with result.m_retryAfter ...
//   ... run the request ...
//   admission.Finish(team, estimatedTokens, usedTokens, now);
//
// A team's limits hold over all entries together; each entry enforces its
// share of the live entries. Not thread-safe.
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
  FreeCapacity, // paying work needs what a free request asks for
};

inline constexpr base::NameTable<RefusalReason, 5> kRefusalReasonNames{ {
  { { RefusalReason::None, "none" },
    { RefusalReason::Rate, "rate" },
    { RefusalReason::Concurrency, "concurrency" },
    { RefusalReason::Tokens, "tokens" },
    { RefusalReason::FreeCapacity, "free_capacity" } },
} };

// What the entry sees of its own load, for the free class.
struct EntryLoad
{
  uint32_t m_payingWaiting = 0;
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
  // The number of live entries, this one included. A share shrinks at once
  // and grows after a delay, since an entry that is no longer counted may
  // admit work until its freshness lease has run out.
  void SetLiveEntries(uint32_t aCount, base::TimePoint aNow);

  // aTokens is what the request is expected to use at most, prompt included.
  AdmissionResult TryAdmit(const catalog::Team& aTeam,
                           uint64_t aTokens,
                           const EntryLoad& aLoad,
                           base::TimePoint aNow);
  // aUsed is 0 for a request that did not run; the difference to aTokens is
  // given back or charged.
  void Finish(const catalog::Team& aTeam,
              uint64_t aTokens,
              uint64_t aUsed,
              base::TimePoint aNow);

  // This entry's part of a concurrency limit: at least 1, so that a team with
  // a limit below the number of entries is not locked out.
  uint32_t ShareOf(uint32_t aConcurrency) const;
  uint32_t Running(const std::string& aTeam) const;
  // Drops the state of a team that left the catalogue.
  void RemoveTeam(const std::string& aTeam) { m_teams.erase(aTeam); }

private:
  struct Bucket
  {
    double m_level = 0;
    base::TimePoint m_filled;
    bool m_started = false;

    // aPerSecond and aCapacity may change between calls.
    void Fill(double aPerSecond, double aCapacity, base::TimePoint aNow);
    base::Millis TimeUntil(double aLevel, double aPerSecond) const;
  };
  struct TeamState
  {
    uint32_t m_running = 0;
    Bucket m_requests;
    Bucket m_tokens;
  };

  void ApplyPending(base::TimePoint aNow);
  void Fill(const catalog::Team& aTeam,
            TeamState& aState,
            base::TimePoint aNow) const;

  uint32_t m_entries = 1;
  uint32_t m_pendingEntries = 1; // smaller than m_entries while a growth waits
  base::TimePoint m_pendingSince;
  std::map<std::string, TeamState> m_teams;
};

} // namespace chivefront::policy
