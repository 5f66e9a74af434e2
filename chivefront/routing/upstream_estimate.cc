// Updates of the belief about one upstream.
#include "chivefront/routing/upstream_estimate.h"

#include <algorithm>

namespace chivefront::routing {
namespace detail {

// A report older than this says nothing of the other entries' requests.
constexpr base::Millis kReportLife{ 1500 };
constexpr base::Millis kFirstPause{ 200 };
constexpr base::Millis kLongestPause{ 2000 };
constexpr uint32_t kMostDoublings = 4;
constexpr base::Millis kFullPause{ 50 };
// Weight of the newest answer in the moving averages.
constexpr double kNewest = 0.1;
// Prompts differ much, so one slow answer is no proof.
constexpr double kNewestPace = 0.2;
// After this much silence an upstream is taken to be as fast as the others.
constexpr double kPaceLifeMs = 8000;
// How long an unused part is likely to stay in an upstream's memory.
constexpr base::Millis kPartLife{ 20000 };
constexpr size_t kMostParts = 4096;

} // namespace detail

void
UpstreamEstimate::OnLoad(uint32_t aRunning,
                         uint32_t aWaiting,
                         base::TimePoint aNow)
{
  m_reported = { aRunning, aWaiting, aNow, m_inFlight, m_awaited };
}

// The requests of other entries as reported, plus this one's own of now.
double
UpstreamEstimate::Load(base::TimePoint aNow) const
{
  if (aNow - m_reported.m_at > detail::kReportLife) {
    return m_inFlight;
  }
  const double all = static_cast<double>(m_reported.m_running) +
                     static_cast<double>(m_reported.m_waiting);
  const double others = std::max(0.0, all - m_reported.m_ownThen);
  return others + m_inFlight;
}

// What others had waiting as reported, less and less of it with the report's
// age, plus this entry's own.
double
UpstreamEstimate::Waiting(base::TimePoint aNow) const
{
  const auto age = static_cast<double>((aNow - m_reported.m_at).Count());
  const auto life = static_cast<double>(detail::kReportLife.Count());
  const double kept = std::max(0.0, 1 - age / life);
  const double others = std::max(0.0,
                                 static_cast<double>(m_reported.m_waiting) -
                                   m_reported.m_ownWaitingThen);
  return others * kept + m_awaited;
}

void
UpstreamEstimate::OnAnswer()
{
  m_failures = 0;
  m_backoffUntil = base::TimePoint();
}

void
UpstreamEstimate::OnFailure(base::TimePoint aNow)
{
  const uint32_t doublings = std::min(m_failures, detail::kMostDoublings);
  const base::Millis pause = detail::kFirstPause * (int64_t(1) << doublings);
  ++m_failures;
  m_backoffUntil = aNow + std::min(pause, detail::kLongestPause);
}

void
UpstreamEstimate::OnOverloaded(base::TimePoint aNow)
{
  m_backoffUntil = std::max(m_backoffUntil, aNow + detail::kFullPause);
}

void
UpstreamEstimate::OnOutcome(bool aGood)
{
  m_failureShare += detail::kNewest * ((aGood ? 0.0 : 1.0) - m_failureShare);
}

void
UpstreamEstimate::OnLatencyRatio(double aRatio, base::TimePoint aNow)
{
  const double pace = Slowdown(aNow);
  m_slowdown = pace + detail::kNewestPace * (aRatio - pace);
  m_slowdownAt = aNow;
}

double
UpstreamEstimate::Slowdown(base::TimePoint aNow) const
{
  const auto silent = static_cast<double>((aNow - m_slowdownAt).Count());
  const double kept = std::max(0.0, 1 - silent / detail::kPaceLifeMs);
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
  if (m_parts.size() >= detail::kMostParts) {
    std::erase_if(m_parts, [&](const auto& aPart) {
      return aNow - aPart.second > detail::kPartLife;
    });
    if (m_parts.size() >= detail::kMostParts) {
      m_parts.clear();
    }
  }
  m_parts[aModelAndPart] = aNow;
}

bool
UpstreamEstimate::LikelyCaches(const std::string& aModelAndPart,
                               base::TimePoint aNow) const
{
  const auto found = m_parts.find(aModelAndPart);
  return found != m_parts.end() && aNow - found->second < detail::kPartLife;
}

} // namespace chivefront::routing
