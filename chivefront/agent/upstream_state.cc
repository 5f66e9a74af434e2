// Admission, loss and limits of one upstream.
#include "chivefront/agent/upstream_state.h"

#include <algorithm>

#include "chivefront/base/errors.h"

namespace chivefront::agent {
namespace detail {

// Before any run finished; only shapes the first retry-after figures.
constexpr base::Millis kFirstServiceTime{ 500 };
constexpr base::Millis kShortestRetryAfter{ 100 };
constexpr int64_t kServiceTimeDecay = 8; // weight of the old mean, in eighths
// A restarted upstream announces its new incarnation within this time of the
// resets that its crash caused.
constexpr base::Millis kFailureMemory{ 5000 };

policy::UpstreamLimiter::Result
ResultOf(Ending aEnding)
{
  using Result = policy::UpstreamLimiter::Result;
  switch (aEnding) {
    case Ending::Succeeded:
      return Result::Success;
    case Ending::Refused:
      return Result::Refused;
    default:
      return Result::Neutral;
  }
}

} // namespace detail

UpstreamState::UpstreamState(const catalog::UpstreamRule& aRule)
  : m_limiter(aRule)
  , m_queue(aRule.m_queue)
  , m_serviceTime(detail::kFirstServiceTime)
{
}

void
UpstreamState::SetRule(const catalog::UpstreamRule& aRule)
{
  m_limiter.SetRule(aRule);
  m_queue.SetBound(aRule.m_queue);
}

std::optional<Loss>
UpstreamState::Announce(const UpstreamFacts& aFacts, base::TimePoint aNow)
{
  std::optional<Loss> loss;
  const bool restarted = !m_facts.m_incarnation.empty() &&
                         m_facts.m_incarnation != aFacts.m_incarnation;
  if (restarted) {
    loss = MarkLost("incarnation changed", aNow);
    m_running.clear();
  }
  m_limiter.OnIncarnation(aFacts.m_incarnation, aNow);
  const bool leaving = m_facts.m_leaving && !restarted;
  m_facts = aFacts;
  m_facts.m_leaving = leaving;
  m_announcedAt = aNow;
  m_announced = true;
  return loss;
}

bool
UpstreamState::Present(base::TimePoint aNow) const
{
  return m_announced && aNow - m_announcedAt < kAnnouncementTtl;
}

bool
UpstreamState::TakeExpired(base::TimePoint aNow)
{
  const bool expired = m_announced && !Present(aNow);
  if (expired) {
    m_announced = false;
  }
  return expired;
}

std::optional<Loss>
UpstreamState::MarkLost(std::string aWhy, base::TimePoint aNow)
{
  Loss loss;
  loss.m_why = std::move(aWhy);
  for (auto& [key, running] : m_running) {
    if (!running.m_lost) {
      running.m_lost = true;
      loss.m_runs.push_back(key);
      loss.m_fingerprints.push_back(running.m_fingerprint);
    }
  }
  for (const RecentFailure& failure : m_failures) {
    if (aNow - failure.m_at < detail::kFailureMemory) {
      loss.m_fingerprints.push_back(failure.m_fingerprint);
    }
  }
  m_announced = false;
  m_limiter.OnLost(aNow);
  m_failures.clear();
  auto& prints = loss.m_fingerprints;
  std::sort(prints.begin(), prints.end());
  prints.erase(std::unique(prints.begin(), prints.end()), prints.end());
  if (loss.m_fingerprints.empty()) {
    return std::nullopt;
  }
  return loss;
}

bool
UpstreamState::SuspectRunning() const
{
  return std::any_of(m_running.begin(), m_running.end(), [](const auto& aRun) {
    return aRun.second.m_ticket.m_work.m_suspect;
  });
}

bool
UpstreamState::TryStart(const WaitingRun& aRun, base::TimePoint aNow)
{
  if (m_running.size() >= Limit() || (aRun.m_suspect && SuspectRunning())) {
    return false;
  }
  const auto ticket =
    m_limiter.TryAdmit({ aRun.m_suspect, aRun.m_stream }, aNow);
  if (!ticket) {
    return false;
  }
  m_running[aRun.m_key] = { aRun.m_fingerprint, *ticket, false };
  return true;
}

base::Millis
UpstreamState::ExpectedWait(catalog::CallerClass aClass) const
{
  const auto slots = std::max<int64_t>(Limit(), 1);
  const auto ahead = static_cast<int64_t>(m_queue.AheadOf(aClass)) + 1;
  return m_serviceTime * ahead / slots;
}

Admission
UpstreamState::Admit(const WaitingRun& aRun, base::TimePoint aNow)
{
  Admission admission;
  if (!Present(aNow)) {
    admission.m_why = base::MakeError(base::ErrorKind::NoUpstream,
                                      "upstream does not announce itself");
    return admission;
  }
  if (m_queue.Size() == 0 && TryStart(aRun, aNow)) {
    admission.m_kind = Admission::Kind::Start;
    return admission;
  }
  const base::Millis wait = ExpectedWait(aRun.m_class);
  admission.m_retryAfter = std::max(wait, detail::kShortestRetryAfter);
  if (aNow + wait > aRun.m_deadline) {
    admission.m_why = base::MakeError(base::ErrorKind::Overloaded,
                                      "would wait longer than its deadline");
    return admission;
  }
  const WorkQueue::PushResult pushed = m_queue.Push(aRun);
  if (!pushed.m_accepted) {
    admission.m_why =
      base::MakeError(base::ErrorKind::Overloaded, "queue is full");
    return admission;
  }
  admission.m_kind = Admission::Kind::Wait;
  admission.m_displaced = pushed.m_displaced;
  return admission;
}

std::vector<RunKey>
UpstreamState::TakeStartable(base::TimePoint aNow)
{
  std::vector<RunKey> startable;
  while (Present(aNow)) {
    const WaitingRun* run = m_queue.Front(!SuspectRunning());
    if (run == nullptr || !TryStart(*run, aNow)) {
      break;
    }
    startable.push_back(run->m_key);
    m_queue.Remove(startable.back());
  }
  return startable;
}

std::vector<RunKey>
UpstreamState::TakeOverdue(base::TimePoint aNow)
{
  return m_queue.TakeExpired(aNow);
}

void
UpstreamState::FirstByte(const RunKey& aKey, base::TimePoint aNow)
{
  const auto found = m_running.find(aKey);
  if (found != m_running.end()) {
    m_limiter.OnFirstByte(found->second.m_ticket, aNow);
  }
}

void
UpstreamState::Finish(const RunKey& aKey,
                      Ending aEnding,
                      base::Millis aTook,
                      base::TimePoint aNow)
{
  const auto found = m_running.find(aKey);
  if (found == m_running.end()) {
    return; // its upstream was lost meanwhile
  }
  if (aEnding == Ending::Failed && !found->second.m_lost) {
    m_failures.push_back({ aNow, found->second.m_fingerprint });
    while (aNow - m_failures.front().m_at >= detail::kFailureMemory) {
      m_failures.pop_front();
    }
  }
  if (aEnding == Ending::Succeeded) {
    m_serviceTime = (m_serviceTime * (detail::kServiceTimeDecay - 1) + aTook) /
                    detail::kServiceTimeDecay;
  }
  m_limiter.Finish(found->second.m_ticket, detail::ResultOf(aEnding), aNow);
  m_running.erase(found);
}

} // namespace chivefront::agent
