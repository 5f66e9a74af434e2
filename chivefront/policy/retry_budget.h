// Bounds the retries of one entry to a share of its new requests, so that an
// outage is not made worse by its own retries.
//
//   budget.OnNewRequest(now);
//   if (budget.TryRetry(catalog::CallerClass::Paying, now)) ... retry ...
#pragma once

#include "chivefront/base/clock.h"
#include "chivefront/catalog/catalog.h"

namespace chivefront::policy {

struct RetryBudgetRule
{
  // Retries per new request. With what is saved up, and over the minutes of
  // an outage, the goal of 10% holds.
  double m_ratio = 0.08;
  // Retries per second that an entry with little traffic may make at least.
  double m_floorPerSecond = 0.05;
  // Saved retries bound the burst when an outage begins: the share of this
  // much traffic, so that the burst is small against the outage itself, but
  // at least m_minCap.
  base::Millis m_saving{ 10000 };
  double m_minCap = 3;
};

class RetryBudget
{
public:
  explicit RetryBudget(const RetryBudgetRule& aRule = {});

  void OnNewRequest(base::TimePoint aNow);
  // Takes one retry from the budget. The free class may only use the upper
  // half of what is saved, so that its failures never exhaust the budget.
  bool TryRetry(catalog::CallerClass aClass, base::TimePoint aNow);
  double Available() const { return m_tokens; }

private:
  void Refill(base::TimePoint aNow);
  double Cap() const;

  RetryBudgetRule m_rule;
  double m_tokens = 1;
  double m_recent = 0; // decayed count of new requests
  double m_earned = 0; // by new requests, not yet set against the floor
  base::TimePoint m_refilled;
  bool m_started = false;
};

} // namespace chivefront::policy
