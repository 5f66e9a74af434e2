// Updates and decay of the estimate of one upstream.
#include "chivefront/routing/upstream_estimate.h"

#include <algorithm>
#include <cmath>

namespace chivefront::routing {
namespace detail {

// Time constant of the count of recent answers, about the longest time to the
// head of an answer of an upstream that is not overloaded.
constexpr double kAnswerDecayMs = 1000;
// Requests that may await their answers for each recent answer, so that the
// rate can double within the time of an answer.
constexpr double kRequestsPerAnswer = 2;

// A load report older than this says nothing about other entries' requests.
constexpr base::Millis kLoadReportTtl{ 1500 };
constexpr base::Millis kFirstBackoff{ 200 };
constexpr base::Millis kMaxBackoff{ 2000 };
constexpr uint32_t kMaxDoublings = 4;
constexpr base::Millis kOverloadBackoff{ 50 };
// Weight of the newest answer in the failure share.
constexpr double kFailureSmoothing = 0.1;
// Weight of the newest answer in the slowdown. It is small because prompts
// differ in length, so one slow answer proves little.
constexpr double kSlowdownSmoothing = 0.2;
// After this long without samples an upstream counts as fast as the others.
constexpr double kSlowdownDecayMs = 8000;
// How long an unused prompt part is likely to stay in an upstream's cache.
constexpr base::Millis kPromptPartTtl{ 20000 };
constexpr size_t kMaxPromptParts = 4096;
// Weight of the newest request in the means of requests.
constexpr double kRequestSmoothing = 0.1;
// A reported slowdown outside these bounds is a fault of the report.
constexpr double kMinHostSlowdown = 0.25;
constexpr double kMaxHostSlowdown = 20;

size_t
PriorityIndex(int aPriority, size_t aCount)
{
  return std::min(static_cast<size_t>(std::max(aPriority, 0)), aCount - 1);
}

} // namespace detail

UpstreamEstimate::Pending&
UpstreamEstimate::PendingOf(int aPriority)
{
  return m_pending[detail::PriorityIndex(aPriority, kPriorities)];
}

void
UpstreamEstimate::OnSent(const RequestCost& aCost)
{
  ++m_inFlight;
  ++m_awaitingHead;
  Pending& pending = PendingOf(aCost.m_priority);
  ++pending.m_count;
  pending.m_readMs += aCost.m_readMs;
  m_meanReadMs += detail::kRequestSmoothing * (aCost.m_readMs - m_meanReadMs);
  if (aCost.m_memoryTokens > 0) {
    m_ownTokens += aCost.m_memoryTokens;
    m_meanTokens = m_meanTokens > 0
                     ? m_meanTokens + detail::kRequestSmoothing *
                                        (aCost.m_memoryTokens - m_meanTokens)
                     : aCost.m_memoryTokens;
  }
}

void
UpstreamEstimate::OnHead(const RequestCost& aCost)
{
  m_awaitingHead -= m_awaitingHead > 0 ? 1 : 0;
  Pending& pending = PendingOf(aCost.m_priority);
  pending.m_count -= pending.m_count > 0 ? 1 : 0;
  pending.m_readMs =
    pending.m_count > 0 ? std::max(0.0, pending.m_readMs - aCost.m_readMs) : 0;
}

void
UpstreamEstimate::OnEnded(const RequestCost& aCost)
{
  m_inFlight -= m_inFlight > 0 ? 1 : 0;
  m_ownTokens =
    m_inFlight > 0 ? std::max(0.0, m_ownTokens - aCost.m_memoryTokens) : 0;
}

void
UpstreamEstimate::OnLoad(uint32_t aRunning,
                         uint32_t aWaiting,
                         base::TimePoint aNow,
                         std::optional<double> aSlowdown)
{
  m_reported = {
    aRunning, aWaiting, aNow, m_inFlight, m_awaitingHead, aSlowdown
  };
}

// The requests of other entries as last reported, plus this entry's current
// ones.
double
UpstreamEstimate::Load(base::TimePoint aNow) const
{
  if (aNow - m_reported.m_receivedAt > detail::kLoadReportTtl) {
    return m_inFlight;
  }
  const double all = static_cast<double>(m_reported.m_running) +
                     static_cast<double>(m_reported.m_waiting);
  const double others = std::max(0.0, all - m_reported.m_ownInFlight);
  return others + m_inFlight;
}

// Decreases linearly with the age of the report.
double
UpstreamEstimate::ReportWeight(base::TimePoint aNow) const
{
  const auto age =
    static_cast<double>((aNow - m_reported.m_receivedAt).Count());
  const auto ttl = static_cast<double>(detail::kLoadReportTtl.Count());
  return std::clamp(1 - age / ttl, 0.0, 1.0);
}

double
UpstreamEstimate::OthersWaiting(base::TimePoint aNow) const
{
  const double others = std::max(0.0,
                                 static_cast<double>(m_reported.m_waiting) -
                                   m_reported.m_ownAwaitingHead);
  return others * ReportWeight(aNow);
}

double
UpstreamEstimate::Waiting(base::TimePoint aNow) const
{
  return OthersWaiting(aNow) + m_awaitingHead;
}

double
UpstreamEstimate::WorkAheadMs(int aPriority, base::TimePoint aNow) const
{
  const size_t index = detail::PriorityIndex(aPriority, kPriorities);
  double own = 0;
  double lessUrgent = 0;
  uint32_t lessUrgentCount = 0;
  for (size_t i = 0; i < kPriorities; ++i) {
    (i <= index ? own : lessUrgent) += m_pending[i].m_readMs;
    lessUrgentCount += i <= index ? 0 : m_pending[i].m_count;
  }
  if (lessUrgentCount > 0) {
    own += lessUrgent / lessUrgentCount;
  }
  return own + OthersWorkMs(aNow);
}

double
UpstreamEstimate::OthersWorkMs(base::TimePoint aNow) const
{
  return OthersWaiting(aNow) * m_meanReadMs;
}

double
UpstreamEstimate::OccupiedTokens(base::TimePoint aNow) const
{
  const double others = std::max(0.0, Load(aNow) - m_inFlight);
  return m_ownTokens + others * m_meanTokens;
}

bool
UpstreamEstimate::ReportsSlowdown(base::TimePoint aNow) const
{
  return m_reported.m_slowdown && ReportWeight(aNow) > 0;
}

double
UpstreamEstimate::HostSlowdown(base::TimePoint aNow) const
{
  const double reported = std::clamp(m_reported.m_slowdown.value_or(1),
                                     detail::kMinHostSlowdown,
                                     detail::kMaxHostSlowdown);
  return 1 + (reported - 1) * ReportWeight(aNow);
}

void
UpstreamEstimate::OnAnswer(base::TimePoint aNow)
{
  m_consecutiveFailures = 0;
  m_backoffUntil = base::TimePoint();
  m_recentAnswers = RecentAnswers(aNow) + 1;
  m_answeredAt = aNow;
}

double
UpstreamEstimate::RecentAnswers(base::TimePoint aNow) const
{
  const auto age = static_cast<double>((aNow - m_answeredAt).Count());
  return m_recentAnswers * std::exp(-age / detail::kAnswerDecayMs);
}

uint32_t
UpstreamEstimate::PacedAllowance(base::TimePoint aNow) const
{
  const double allowed = 1 + detail::kRequestsPerAnswer * RecentAnswers(aNow);
  return static_cast<uint32_t>(std::max(0.0, allowed - m_awaitingHead));
}

void
UpstreamEstimate::OnFailure(base::TimePoint aNow)
{
  const uint32_t doublings =
    std::min(m_consecutiveFailures, detail::kMaxDoublings);
  const base::Millis backoff =
    detail::kFirstBackoff * (int64_t(1) << doublings);
  ++m_consecutiveFailures;
  m_backoffUntil = aNow + std::min(backoff, detail::kMaxBackoff);
}

void
UpstreamEstimate::OnOverloaded(base::TimePoint aNow)
{
  m_backoffUntil = std::max(m_backoffUntil, aNow + detail::kOverloadBackoff);
}

void
UpstreamEstimate::OnOutcome(bool aSucceeded)
{
  m_failureShare +=
    detail::kFailureSmoothing * ((aSucceeded ? 0.0 : 1.0) - m_failureShare);
}

void
UpstreamEstimate::OnLatencyRatio(double aRatio, base::TimePoint aNow)
{
  const double slowdown = Slowdown(aNow);
  m_slowdown = slowdown + detail::kSlowdownSmoothing * (aRatio - slowdown);
  m_slowdownAt = aNow;
}

double
UpstreamEstimate::Slowdown(base::TimePoint aNow) const
{
  const auto age = static_cast<double>((aNow - m_slowdownAt).Count());
  const double kept = std::max(0.0, 1 - age / detail::kSlowdownDecayMs);
  return 1 + (m_slowdown - 1) * kept;
}

void
UpstreamEstimate::OnStreamBegun(base::TimePoint aNow)
{
  ++m_streams;
  m_lastReceivedAt = aNow;
}

bool
UpstreamEstimate::IsSilent(base::TimePoint aNow) const
{
  return m_streams > 0 && aNow - m_lastReceivedAt > kSilenceTimeout;
}

void
UpstreamEstimate::OnPromptPartSent(const std::string& aModelAndPart,
                                   base::TimePoint aNow)
{
  if (m_promptParts.size() >= detail::kMaxPromptParts) {
    std::erase_if(m_promptParts, [&](const auto& aItem) {
      return aNow - aItem.second > detail::kPromptPartTtl;
    });
    if (m_promptParts.size() >= detail::kMaxPromptParts) {
      m_promptParts.clear();
    }
  }
  m_promptParts[aModelAndPart] = aNow;
}

bool
UpstreamEstimate::LikelyCaches(const std::string& aModelAndPart,
                               base::TimePoint aNow) const
{
  const auto found = m_promptParts.find(aModelAndPart);
  return found != m_promptParts.end() &&
         aNow - found->second < detail::kPromptPartTtl;
}

} // namespace chivefront::routing
