// Team limits at this entry: policy::Admission with a lock and the load it
// asks for.
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

  void SetLiveEntries(uint32_t aCount);

  // Holds one admitted request until it is destroyed. Used() tells what it
  // cost; without it the expected tokens are given back.
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

  // RateLimited, or Overloaded for a free request while paying work needs the
  // capacity. aRetryAfter is set on refusal. aTokens is the most the request
  // is expected to use.
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
