// Everything the agent decides about one upstream: whether it is there, how
// many requests it may hold, who waits, what is in flight and what was in
// flight when it was lost. Pure; the owner holds one lock per upstream.
//
// Invariant: RunningCount() never grows beyond Limit(), which comes from
// policy::UpstreamLimiter. The limit may fall below the running count; then
// nothing starts until the count is below it again.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <absl/status/status.h>

#include "chivefront/agent/acceptance.h"
#include "chivefront/agent/attempt_key.h"
#include "chivefront/agent/work_queue.h"
#include "chivefront/base/clock.h"
#include "chivefront/policy/limiter.h"

namespace chivefront::agent {

// An announcement is renewed every 500 ms; several may be lost in a row.
inline constexpr base::Millis kAnnouncementTtl{ 2000 };

// How a run left its upstream.
enum class UpstreamOutcome
{
  Succeeded,
  Failed,     // an error or incomplete answer from an upstream that is there
  Overloaded, // the upstream said that it is overloaded
  NotSent,    // no byte reached the upstream
  Canceled,   // by the entry or because the entry was lost
};

// Requests that were at an upstream when it was lost.
struct UpstreamLoss
{
  std::string m_reason;
  std::vector<uint64_t> m_fingerprints;
  std::vector<AttemptKey> m_attempts; // still in flight; the owner ends them
};

struct AdmissionDecision
{
  enum class Kind
  {
    Start,
    Wait,
    Refuse,
  };
  Kind m_kind = Kind::Refuse;
  absl::Status m_reason;     // for Refuse
  base::Millis m_retryAfter; // for Refuse
  std::optional<AttemptKey> m_displaced;
};

class UpstreamState
{
public:
  explicit UpstreamState(const catalog::UpstreamRule& aRule);

  // --- The upstream's own reports -----------------------------------------

  // Takes an announcement. A changed incarnation is a loss of the former one.
  std::optional<UpstreamLoss> Announce(const UpstreamDescription& aDescription,
                                       base::TimePoint aNow);
  // True while announcements arrive. Absent upstreams get no new work.
  bool IsPresent(base::TimePoint aNow) const;
  // True once after the announcement ran out; the owner then probes.
  bool TakeAnnouncementExpired(base::TimePoint aNow);
  // The upstream is gone: everything in flight is lost, and it is absent
  // until it announces itself again. Nothing when nothing was lost.
  std::optional<UpstreamLoss> MarkLost(std::string aReason,
                                       base::TimePoint aNow);

  // --- Work ------------------------------------------------------------------

  AdmissionDecision Admit(const WaitingAttempt& aAttempt, base::TimePoint aNow);
  // Waiting runs that may start now; they count as running from here on.
  std::vector<AttemptKey> TakeStartable(base::TimePoint aNow);
  // Waiting runs whose deadline passed.
  std::vector<AttemptKey> TakeOverdue(base::TimePoint aNow);
  // All waiting runs, to be refused: the upstream is leaving.
  std::vector<AttemptKey> TakeWaiting() { return m_queue.TakeAll(); }
  // False when aKey was not waiting.
  bool Withdraw(const AttemptKey& aKey) { return m_queue.Remove(aKey); }
  // The first byte of the answer to aKey came.
  void OnFirstByte(const AttemptKey& aKey, base::TimePoint aNow);
  // A run left the upstream after aTook.
  void Finish(const AttemptKey& aKey,
              UpstreamOutcome aOutcome,
              base::Millis aTook,
              base::TimePoint aNow);

  // --- Facts
  // -------------------------------------------------------------------

  void SetRule(const catalog::UpstreamRule& aRule);
  void SetLeaving() { m_description.m_leaving = true; }
  const UpstreamDescription& Description() const { return m_description; }
  uint32_t Limit() const { return m_limiter.Limit(); }
  size_t RunningCount() const { return m_running.size(); }
  size_t WaitingCount() const { return m_queue.Size(); }
  // How long a new run of aClass would wait for a slot, by recent runs.
  base::Millis ExpectedWait(catalog::CallerClass aClass) const;

private:
  struct RunningAttempt
  {
    uint64_t m_fingerprint = 0;
    policy::UpstreamLimiter::Ticket m_ticket;
    // Reported in a loss. It keeps its slot until its connection has ended or
    // a new incarnation came, because a frozen upstream may come back to life
    // with everything that it held.
    bool m_lost = false;
  };
  // A run whose connection failed; a loss noticed shortly after includes it.
  struct RecentFailure
  {
    base::TimePoint m_at;
    uint64_t m_fingerprint = 0;
  };

  bool IsSuspectRunning() const;
  // False when the limit does not allow aRun now.
  bool TryStart(const WaitingAttempt& aAttempt, base::TimePoint aNow);

  policy::UpstreamLimiter m_limiter;
  UpstreamDescription m_description;
  base::TimePoint m_announcedAt;
  bool m_announced = false; // false before the first and after a loss
  WorkQueue m_queue;
  std::map<AttemptKey, RunningAttempt> m_running;
  std::deque<RecentFailure> m_recentFailures; // oldest first
  base::Millis m_serviceTime;                 // decayed mean of recent runs
};

} // namespace chivefront::agent
