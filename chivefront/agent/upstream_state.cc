// Implements admission, losses and service time estimates of one upstream.
#include "chivefront/agent/upstream_state.h"

#include <algorithm>

#include "chivefront/base/errors.h"

namespace chivefront::agent {
namespace detail {

// The estimate before any attempt finished. It only affects the first expected
// waits and retry-after values.
constexpr base::Millis kInitialServiceTime{ 500 };
constexpr base::Millis kMinRetryAfter{ 100 };
constexpr int64_t kServiceTimeSmoothing = 8; // a new sample weighs 1/8
// How long a failed attempt counts towards a following loss. A restarted
// upstream announces its new incarnation within this time of the connection
// resets that its crash caused.
constexpr base::Millis kRecentFailureWindow{ 5000 };

policy::UpstreamLimiter::Result
LimiterResultOf(UpstreamOutcome aOutcome)
{
  using Result = policy::UpstreamLimiter::Result;
  switch (aOutcome) {
    case UpstreamOutcome::Succeeded:
      return Result::Success;
    case UpstreamOutcome::Overloaded:
      return Result::Refused;
    default:
      return Result::Neutral;
  }
}

} // namespace detail

UpstreamState::UpstreamState(const catalog::UpstreamRule& aRule)
  : m_limiter(aRule)
  , m_queue(aRule.m_queue)
  , m_serviceTime(detail::kInitialServiceTime)
{
}

void
UpstreamState::SetRule(const catalog::UpstreamRule& aRule)
{
  m_limiter.SetRule(aRule);
  m_queue.SetCapacity(aRule.m_queue);
}

std::optional<UpstreamLoss>
UpstreamState::Announce(const UpstreamDescription& aDescription,
                        base::TimePoint aNow)
{
  std::optional<UpstreamLoss> loss;
  const bool restarted =
    !m_description.m_incarnation.empty() &&
    m_description.m_incarnation != aDescription.m_incarnation;
  if (restarted) {
    loss = MarkLost("incarnation changed", aNow);
    m_running.clear();
  }
  m_limiter.OnIncarnation(aDescription.m_incarnation, aNow);
  const bool leaving = m_description.m_leaving && !restarted;
  m_description = aDescription;
  m_description.m_leaving = leaving;
  m_announcedAt = aNow;
  m_announced = true;
  return loss;
}

bool
UpstreamState::IsPresent(base::TimePoint aNow) const
{
  return m_announced && aNow - m_announcedAt < kAnnouncementTtl;
}

bool
UpstreamState::TakeAnnouncementExpired(base::TimePoint aNow)
{
  const bool expired = m_announced && !IsPresent(aNow);
  if (expired) {
    m_announced = false;
  }
  return expired;
}

std::optional<UpstreamLoss>
UpstreamState::MarkLost(std::string aReason, base::TimePoint aNow)
{
  UpstreamLoss loss;
  loss.m_reason = std::move(aReason);
  for (auto& [key, running] : m_running) {
    if (!running.m_lost) {
      running.m_lost = true;
      loss.m_attempts.push_back(key);
      loss.m_fingerprints.push_back(running.m_fingerprint);
    }
  }
  for (const RecentFailure& failure : m_recentFailures) {
    if (aNow - failure.m_at < detail::kRecentFailureWindow) {
      loss.m_fingerprints.push_back(failure.m_fingerprint);
    }
  }
  m_announced = false;
  m_limiter.OnLost(aNow);
  m_recentFailures.clear();
  auto& fingerprints = loss.m_fingerprints;
  std::sort(fingerprints.begin(), fingerprints.end());
  fingerprints.erase(std::unique(fingerprints.begin(), fingerprints.end()),
                     fingerprints.end());
  if (loss.m_fingerprints.empty()) {
    return std::nullopt;
  }
  return loss;
}

bool
UpstreamState::IsSuspectRunning() const
{
  return std::any_of(
    m_running.begin(), m_running.end(), [](const auto& aAttempt) {
      return aAttempt.second.m_ticket.m_work.m_suspect;
    });
}

bool
UpstreamState::TryStart(const WaitingAttempt& aAttempt, base::TimePoint aNow)
{
  if (m_running.size() >= Limit() ||
      (aAttempt.m_suspect && IsSuspectRunning())) {
    return false;
  }
  const auto ticket =
    m_limiter.TryAdmit({ aAttempt.m_suspect, aAttempt.m_stream }, aNow);
  if (!ticket) {
    return false;
  }
  m_running[aAttempt.m_key] = { aAttempt.m_fingerprint, *ticket, false };
  return true;
}

base::Millis
UpstreamState::ExpectedWait(catalog::CallerClass aClass) const
{
  const auto slots = std::max<int64_t>(Limit(), 1);
  const auto ahead = static_cast<int64_t>(m_queue.CountAhead(aClass)) + 1;
  return m_serviceTime * ahead / slots;
}

AdmissionDecision
UpstreamState::Admit(const WaitingAttempt& aAttempt, base::TimePoint aNow)
{
  AdmissionDecision admission;
  if (!IsPresent(aNow)) {
    admission.m_reason = base::MakeError(base::ErrorKind::NoUpstream,
                                         "upstream does not announce itself");
    return admission;
  }
  if (m_queue.Size() == 0 && TryStart(aAttempt, aNow)) {
    admission.m_kind = AdmissionDecision::Kind::Start;
    return admission;
  }
  const base::Millis wait = ExpectedWait(aAttempt.m_class);
  admission.m_retryAfter = std::max(wait, detail::kMinRetryAfter);
  if (aNow + wait > aAttempt.m_deadline) {
    admission.m_reason = base::MakeError(base::ErrorKind::Overloaded,
                                         "would wait longer than its deadline");
    return admission;
  }
  const WorkQueue::PushResult pushed = m_queue.Push(aAttempt);
  if (!pushed.m_accepted) {
    admission.m_reason =
      base::MakeError(base::ErrorKind::Overloaded, "queue is full");
    return admission;
  }
  admission.m_kind = AdmissionDecision::Kind::Wait;
  admission.m_displaced = pushed.m_displaced;
  return admission;
}

std::vector<AttemptKey>
UpstreamState::TakeStartable(base::TimePoint aNow)
{
  std::vector<AttemptKey> startable;
  while (IsPresent(aNow)) {
    const WaitingAttempt* attempt = m_queue.FirstStartable(!IsSuspectRunning());
    if (attempt == nullptr || !TryStart(*attempt, aNow)) {
      break;
    }
    startable.push_back(attempt->m_key);
    m_queue.Remove(startable.back());
  }
  return startable;
}

std::vector<AttemptKey>
UpstreamState::TakeOverdue(base::TimePoint aNow)
{
  return m_queue.TakeExpired(aNow);
}

void
UpstreamState::OnFirstByte(const AttemptKey& aKey, base::TimePoint aNow)
{
  const auto found = m_running.find(aKey);
  if (found != m_running.end()) {
    m_limiter.OnFirstByte(found->second.m_ticket, aNow);
  }
}

void
UpstreamState::Finish(const AttemptKey& aKey,
                      UpstreamOutcome aOutcome,
                      base::Millis aTook,
                      base::TimePoint aNow)
{
  const auto found = m_running.find(aKey);
  if (found == m_running.end()) {
    return; // a new incarnation of the upstream was announced
  }
  if (aOutcome == UpstreamOutcome::Failed && !found->second.m_lost) {
    m_recentFailures.push_back({ aNow, found->second.m_fingerprint });
    while (aNow - m_recentFailures.front().m_at >=
           detail::kRecentFailureWindow) {
      m_recentFailures.pop_front();
    }
  }
  if (aOutcome == UpstreamOutcome::Succeeded) {
    m_serviceTime =
      (m_serviceTime * (detail::kServiceTimeSmoothing - 1) + aTook) /
      detail::kServiceTimeSmoothing;
  }
  m_limiter.Finish(
    found->second.m_ticket, detail::LimiterResultOf(aOutcome), aNow);
  m_running.erase(found);
}

} // namespace chivefront::agent
