// Token bucket that is filled by new requests.
#include "chivefront/policy/retry_budget.h"

#include <algorithm>
#include <cmath>

namespace chivefront::policy {
namespace {

constexpr double kMillisPerSecond = 1000;
// Share of the cap that is reserved for paying requests.
constexpr double kFreeReserve = 0.5;

} // namespace

RetryBudget::RetryBudget(const RetryBudgetRule& aRule)
  : m_rule(aRule)
{
}

// The floor is reduced by the retries that new requests have earned, so that it
// does not add to the share of an entry with much traffic.
void
RetryBudget::Refill(base::TimePoint aNow)
{
  if (m_started) {
    const auto elapsed = static_cast<double>((aNow - m_refilled).Count());
    const double floor = m_rule.m_floorPerSecond * elapsed / kMillisPerSecond;
    const double covered = std::min(floor, m_earned);
    m_earned -= covered;
    m_recentRequests *=
      std::exp(-elapsed / static_cast<double>(m_rule.m_savingWindow.Count()));
    m_tokens = std::min(m_tokens + floor - covered, Cap());
  }
  m_started = true;
  m_refilled = aNow;
}

double
RetryBudget::Cap() const
{
  return std::max(m_rule.m_minCap, m_rule.m_ratio * m_recentRequests);
}

void
RetryBudget::OnNewRequest(base::TimePoint aNow)
{
  Refill(aNow);
  m_recentRequests += 1;
  m_tokens = std::min(m_tokens + m_rule.m_ratio, Cap());
  m_earned = std::min(m_earned + m_rule.m_ratio, Cap());
}

bool
RetryBudget::TryRetry(catalog::CallerClass aClass, base::TimePoint aNow)
{
  Refill(aNow);
  const double reserve =
    aClass == catalog::CallerClass::Free ? kFreeReserve * Cap() : 0.0;
  if (m_tokens < reserve + 1) {
    return false;
  }
  m_tokens -= 1;
  return true;
}

} // namespace chivefront::policy
