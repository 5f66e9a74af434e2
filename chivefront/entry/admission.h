// Team limits at this entry: policy::Admission with a lock and the load it
// asks for.
#pragma once

#include <mutex>
#include <utility>

#include "chivefront/entry/parts.h"
#include "chivefront/policy/admission.h"

namespace chivefront::entry {

class TeamLimits
{
public:
  explicit TeamLimits(EntryParts& aParts)
    : m_parts(aParts)
  {
  }

  void SetLiveEntries(uint32_t aCount);

  // Holds one admitted request until it is destroyed. Used() tells what it
  // cost; without it the expected tokens are given back.
  class Ticket
  {
  public:
    Ticket() = default;
    Ticket(TeamLimits* aLimits, std::string aTeam, uint64_t aTokens)
      : m_limits(aLimits)
      , m_team(std::move(aTeam))
      , m_tokens(aTokens)
    {
    }
    Ticket(Ticket&& aOther) noexcept
      : m_limits(std::exchange(aOther.m_limits, nullptr))
      , m_team(std::move(aOther.m_team))
      , m_tokens(aOther.m_tokens)
      , m_used(aOther.m_used)
    {
    }
    Ticket& operator=(Ticket&&) = delete;
    ~Ticket();

    void Used(uint64_t aTokens) { m_used += aTokens; }

  private:
    TeamLimits* m_limits = nullptr;
    std::string m_team;
    uint64_t m_tokens = 0;
    uint64_t m_used = 0;
  };

  // RateLimited, or Overloaded for a free request while paying work needs the
  // capacity. aRetryAfter is set on refusal. aTokens is the most the request
  // is expected to use.
  absl::StatusOr<Ticket> Admit(const catalog::Team& aTeam,
                               uint64_t aTokens,
                               base::Millis& aRetryAfter);

private:
  void Finish(const std::string& aTeam, uint64_t aTokens, uint64_t aUsed);

  EntryParts& m_parts;
  std::mutex m_lock;
  policy::Admission m_admission; // guarded by m_lock
};

} // namespace chivefront::entry
