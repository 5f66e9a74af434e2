// Token bucket filled by new requests.
#include "chivefront/policy/retry_budget.h"

#include <algorithm>
#include <cmath>

namespace chivefront::policy {
namespace {

constexpr double kMillisPerSecond = 1000;
constexpr double kFreeReserve = 0.5; // share of the cap kept for paying work

} // namespace

RetryBudget::RetryBudget(const RetryBudgetRule& aRule)
  : m_rule(aRule)
{
}

// The floor applies only as far as new requests have not earned as much, so
// that it does not add to the share of a busy entry.
void
RetryBudget::Refill(base::TimePoint aNow)
{
  if (m_started) {
    const auto elapsed = static_cast<double>((aNow - m_refilled).Count());
    const double floor = m_rule.m_floorPerSecond * elapsed / kMillisPerSecond;
    const double covered = std::min(floor, m_earned);
    m_earned -= covered;
    m_recent *=
      std::exp(-elapsed / static_cast<double>(m_rule.m_saving.Count()));
    m_tokens = std::min(m_tokens + floor - covered, Cap());
  }
  m_started = true;
  m_refilled = aNow;
}

double
RetryBudget::Cap() const
{
  return std::max(m_rule.m_minCap, m_rule.m_ratio * m_recent);
}

void
RetryBudget::OnNewRequest(base::TimePoint aNow)
{
  Refill(aNow);
  m_recent += 1;
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
