// Admission of requests by team limits at this entry. Combines
// policy::Admission, a lock and the current load. Thread-safe.
#pragma once

#include <mutex>
#include <utility>

#include "chivefront/entry/components.h"
#include "chivefront/policy/admission.h"

namespace chivefront::entry {

class TeamLimits
{
public:
  explicit TeamLimits(EntryComponents& aComponents)
    : m_components(aComponents)
  {
  }

  // Number of live entries, which share the limits of a team.
  void SetLiveEntries(uint32_t aCount);

  // Represents one admitted request; ends it on destruction. The team is then
  // charged the tokens given to AddUsedTokens instead of the expected ones,
  // and none without such a call.
  class AdmissionGuard
  {
  public:
    AdmissionGuard() = default;
    AdmissionGuard(TeamLimits* aLimits,
                   std::string aTeam,
                   uint64_t aExpectedTokens)
      : m_limits(aLimits)
      , m_team(std::move(aTeam))
      , m_expectedTokens(aExpectedTokens)
    {
    }
    AdmissionGuard(AdmissionGuard&& aOther) noexcept
      : m_limits(std::exchange(aOther.m_limits, nullptr))
      , m_team(std::move(aOther.m_team))
      , m_expectedTokens(aOther.m_expectedTokens)
      , m_usedTokens(aOther.m_usedTokens)
    {
    }
    AdmissionGuard& operator=(AdmissionGuard&&) = delete;
    ~AdmissionGuard();

    void AddUsedTokens(uint64_t aTokens) { m_usedTokens += aTokens; }

  private:
    TeamLimits* m_limits = nullptr;
    std::string m_team;
    uint64_t m_expectedTokens = 0;
    uint64_t m_usedTokens = 0;
  };

  // Admits a request that is expected to use at most aExpectedTokens. Errors:
  // RateLimited, or Overloaded for a request of the free class while requests
  // of the paying class need the capacity. Sets aRetryAfter on an error.
  absl::StatusOr<AdmissionGuard> Admit(const catalog::Team& aTeam,
                                       uint64_t aExpectedTokens,
                                       base::Millis& aRetryAfter);

private:
  void Finish(const std::string& aTeam,
              uint64_t aExpectedTokens,
              uint64_t aUsedTokens);

  EntryComponents& m_components;
  std::mutex m_lock;
  policy::Admission m_admission; // guarded by m_lock
};

} // namespace chivefront::entry
