// Limits the retries of one entry to a share of its new requests, so that
// retries do not amplify an outage.
//
//   budget.OnNewRequest(now);
//   if (budget.TryRetry(catalog::CallerClass::Paying, now)) ... retry ...
#pragma once

#include "chivefront/base/clock.h"
#include "chivefront/catalog/catalog.h"

namespace chivefront::policy {

struct RetryBudgetRule
{
  // Retries earned per new request. Together with the saved retries, the total
  // over an outage of some minutes stays below the goal of 10%.
  double m_ratio = 0.08;
  // Retries per second that an entry with little traffic can make in any case.
  double m_floorPerSecond = 0.05;
  // Retries saved up are the burst at the start of an outage. They are capped
  // at m_ratio of the new requests of about this time, so that the burst is
  // small compared with the outage, but at least at m_minCap.
  base::Millis m_savingWindow{ 10000 };
  double m_minCap = 3;
};

class RetryBudget
{
public:
  explicit RetryBudget(const RetryBudgetRule& aRule = {});

  void OnNewRequest(base::TimePoint aNow);
  // Takes one retry from the budget, if there is one. The free class can only
  // use the upper half of the cap, so that its failures never exhaust the
  // budget.
  bool TryRetry(catalog::CallerClass aClass, base::TimePoint aNow);
  double Available() const { return m_tokens; }

private:
  void Refill(base::TimePoint aNow);
  double Cap() const;

  RetryBudgetRule m_rule;
  double m_tokens = 1;         // retries available
  double m_recentRequests = 0; // decayed count of new requests
  double m_earned = 0;         // retries earned by new requests, see Refill
  base::TimePoint m_refilled;
  bool m_started = false;
};

} // namespace chivefront::policy
