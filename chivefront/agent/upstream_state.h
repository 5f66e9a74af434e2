// The state of one upstream at its agent: whether it is present, how many
// requests it may hold, which attempts wait, which are in flight, and which
// were in flight when it was lost. Pure; the owner holds one lock per upstream.
//
// Invariant: an attempt starts only while RunningCount() is below Limit(),
// which comes from policy::UpstreamLimiter. The limit may fall below the
// running count; then nothing starts until the count is below the limit again.
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

// How long an upstream stays present after an announcement. Upstreams announce
// themselves every 500 ms, so several announcements in a row may be lost.
inline constexpr base::Millis kAnnouncementTtl{ 2000 };

// How the upstream ended an attempt, as far as limits and losses are concerned.
enum class UpstreamOutcome
{
  Succeeded,
  Failed,     // an error or an incomplete answer
  Overloaded, // the upstream reported that it is overloaded
  NotSent,    // no byte reached the upstream
  Canceled,   // by the entry, or because the entry or upstream was lost
};

// The requests that were at an upstream when it was lost.
struct UpstreamLoss
{
  std::string m_reason;
  std::vector<uint64_t> m_fingerprints;
  std::vector<AttemptKey> m_attempts; // still in flight; the owner stops them
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

  // --- Reports of the upstream -----------------------------------------------

  // Updates the state from an announcement. A changed incarnation means that
  // the former one was lost.
  std::optional<UpstreamLoss> Announce(const UpstreamDescription& aDescription,
                                       base::TimePoint aNow);
  // True while announcements arrive. An absent upstream gets no new work.
  bool IsPresent(base::TimePoint aNow) const;
  // True once after the announcements stopped; the owner then probes the
  // upstream.
  bool TakeAnnouncementExpired(base::TimePoint aNow);
  // Marks the upstream absent until it announces itself again. Returns the
  // requests in flight, which are lost, and those that failed shortly before;
  // nothing when there are none.
  std::optional<UpstreamLoss> MarkLost(std::string aReason,
                                       base::TimePoint aNow);

  // --- Work ------------------------------------------------------------------

  AdmissionDecision Admit(const WaitingAttempt& aAttempt, base::TimePoint aNow);
  // Waiting attempts that may start now. They count as running from here on.
  std::vector<AttemptKey> TakeStartable(base::TimePoint aNow);
  // Waiting attempts whose deadline passed.
  std::vector<AttemptKey> TakeOverdue(base::TimePoint aNow);
  // All waiting attempts, which the owner rejects because the upstream is
  // leaving.
  std::vector<AttemptKey> TakeWaiting() { return m_queue.TakeAll(); }
  // Removes a waiting attempt. False when aKey was not waiting.
  bool Withdraw(const AttemptKey& aKey) { return m_queue.Remove(aKey); }
  // The first byte of the answer to aKey arrived.
  void OnFirstByte(const AttemptKey& aKey, base::TimePoint aNow);
  // The attempt freed its slot at the upstream; aTook is the time since its
  // dispatch.
  void Finish(const AttemptKey& aKey,
              UpstreamOutcome aOutcome,
              base::Millis aTook,
              base::TimePoint aNow);

  // --- Properties ------------------------------------------------------------

  void SetRule(const catalog::UpstreamRule& aRule);
  void SetLeaving() { m_description.m_leaving = true; }
  const UpstreamDescription& Description() const { return m_description; }
  uint32_t Limit() const { return m_limiter.Limit(); }
  size_t RunningCount() const { return m_running.size(); }
  size_t WaitingCount() const { return m_queue.Size(); }
  // The expected wait of a new attempt of aClass for a slot, estimated from the
  // service time of recent attempts.
  base::Millis ExpectedWait(catalog::CallerClass aClass) const;

private:
  struct RunningAttempt
  {
    uint64_t m_fingerprint = 0;
    policy::UpstreamLimiter::Ticket m_ticket;
    // The attempt was reported in a loss. It keeps its slot until its
    // connection has ended or a new incarnation is announced, because a frozen
    // upstream may resume with all requests that it held.
    bool m_lost = false;
  };
  // An attempt whose connection failed. A loss that is noticed shortly after
  // includes it.
  struct RecentFailure
  {
    base::TimePoint m_at;
    uint64_t m_fingerprint = 0;
  };

  bool IsSuspectRunning() const;
  // False when the limiter, or another suspect in flight, does not allow
  // aAttempt to start now.
  bool TryStart(const WaitingAttempt& aAttempt, base::TimePoint aNow);

  policy::UpstreamLimiter m_limiter;
  UpstreamDescription m_description;
  base::TimePoint m_announcedAt;
  bool m_announced = false; // false before the first, after expiry and loss
  WorkQueue m_queue;
  std::map<AttemptKey, RunningAttempt> m_running;
  std::deque<RecentFailure> m_recentFailures; // oldest first
  base::Millis m_serviceTime; // moving average of recent attempts
};

} // namespace chivefront::agent
