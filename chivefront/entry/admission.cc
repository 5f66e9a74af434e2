// Admission of requests by team limits.
#include "chivefront/entry/admission.h"

#include "chivefront/base/errors.h"

namespace chivefront::entry {

void
TeamLimits::SetLiveEntries(uint32_t aCount)
{
  const std::lock_guard lock(m_lock);
  m_admission.SetLiveEntries(aCount, m_components.m_clock.Now());
}

absl::StatusOr<TeamLimits::AdmissionGuard>
TeamLimits::Admit(const catalog::Team& aTeam,
                  uint64_t aExpectedTokens,
                  base::Millis& aRetryAfter)
{
  policy::EntryLoad load;
  if (aTeam.m_class == catalog::CallerClass::Free) {
    load.m_payingWaiting = m_components.m_placementQueue.PayingWaiting();
    load.m_running = static_cast<uint32_t>(m_components.m_running.Size());
    load.m_capacity =
      load.m_running + m_components.m_placementQueue.FreeCredits();
  }
  const std::lock_guard lock(m_lock);
  const policy::AdmissionResult result = m_admission.TryAdmit(
    aTeam, aExpectedTokens, load, m_components.m_clock.Now());
  if (result.m_admitted) {
    return AdmissionGuard(this, aTeam.m_id, aExpectedTokens);
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
TeamLimits::Finish(const std::string& aTeam,
                   uint64_t aExpectedTokens,
                   uint64_t aUsedTokens)
{
  const auto view = m_components.m_watcher.LastView();
  const std::lock_guard lock(m_lock);
  if (const catalog::Team* team = view->m_catalog->FindTeam(aTeam)) {
    m_admission.Finish(
      *team, aExpectedTokens, aUsedTokens, m_components.m_clock.Now());
  } else {
    m_admission.RemoveTeam(aTeam);
  }
}

TeamLimits::AdmissionGuard::~AdmissionGuard()
{
  if (m_limits != nullptr) {
    m_limits->Finish(m_team, m_expectedTokens, m_usedTokens);
  }
}

} // namespace chivefront::entry
