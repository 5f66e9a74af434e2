// Team limits.
#include "chivefront/entry/admission.h"

#include "chivefront/base/errors.h"

namespace chivefront::entry {

void
TeamLimits::SetLiveEntries(uint32_t aCount)
{
  const std::lock_guard lock(m_lock);
  m_admission.SetLiveEntries(aCount, m_parts.m_clock.Now());
}

absl::StatusOr<TeamLimits::Ticket>
TeamLimits::Admit(const catalog::Team& aTeam,
                  uint64_t aTokens,
                  base::Millis& aRetryAfter)
{
  policy::EntryLoad load;
  if (aTeam.m_class == catalog::CallerClass::Free) {
    load.m_payingWaiting = m_parts.m_placer.PayingWaiting();
    load.m_running = static_cast<uint32_t>(m_parts.m_running.Size());
    load.m_capacity = load.m_running + m_parts.m_placer.FreeCredits();
  }
  const std::lock_guard lock(m_lock);
  const policy::AdmissionResult result =
    m_admission.TryAdmit(aTeam, aTokens, load, m_parts.m_clock.Now());
  if (result.m_admitted) {
    return Ticket(this, aTeam.m_id, aTokens);
  }
  aRetryAfter = result.m_retryAfter;
  const std::string reason(policy::kRefusalReasonNames.Name(result.m_reason));
  if (result.m_reason == policy::RefusalReason::FreeCapacity) {
    return base::MakeError(base::ErrorKind::Overloaded,
                           "the capacity is needed by paying requests");
  }
  return base::MakeError(base::ErrorKind::RateLimited,
                         "the team is over its limit: " + reason);
}

void
TeamLimits::Finish(const std::string& aTeam, uint64_t aTokens, uint64_t aUsed)
{
  const auto view = m_parts.m_watcher.LastView();
  const std::lock_guard lock(m_lock);
  if (const catalog::Team* team = view->m_catalog->FindTeam(aTeam)) {
    m_admission.Finish(*team, aTokens, aUsed, m_parts.m_clock.Now());
  } else {
    m_admission.RemoveTeam(aTeam);
  }
}

TeamLimits::Ticket::~Ticket()
{
  if (m_limits != nullptr) {
    m_limits->Finish(m_team, m_tokens, m_used);
  }
}

} // namespace chivefront::entry
