// The limit of one upstream: a ramp by successes, immediate drops.
#include "chivefront/policy/limiter.h"

#include <algorithm>
#include <cmath>

namespace chivefront::policy {
namespace {

// Weight of the newest sample in the running mean.
constexpr double kSampleWeight = 0.05;
// Samples before steps are detected; fewer give no usable variance.
constexpr uint32_t kMinSamples = 12;
// Three consecutive samples above two standard deviations occur by chance in
// about 1 of 100,000 cases.
constexpr uint32_t kRunLength = 3;
constexpr double kDeviations = 2;
// An increase below this ratio is ordinary batching, however small the
// variance.
constexpr double kMinRatio = 2;
// Backoff after refused work. It doubles with each consecutive refusal, so that
// an upstream that refuses everything does not get hundreds of attempts a
// second.
constexpr base::Millis kFirstPause{ 50 };
constexpr uint32_t kMaxDoublings = 5;

} // namespace

bool
LatencyStepDetector::IsHigh(base::Millis aLatency) const
{
  const double value =
    std::log(static_cast<double>(std::max<int64_t>(aLatency.Count(), 1)));
  const double margin =
    std::max(std::log(kMinRatio), kDeviations * std::sqrt(m_variance));
  return m_samples >= kMinSamples && value > m_mean + margin;
}

bool
LatencyStepDetector::Add(base::Millis aLatency)
{
  if (IsHigh(aLatency)) {
    // High samples do not enter the mean; otherwise the first samples of a step
    // would raise the mean and hide the later ones.
    return ++m_highRun >= kRunLength;
  }
  m_highRun = 0;
  ++m_samples;
  const double weight = std::max(kSampleWeight, 1.0 / m_samples);
  const double value =
    std::log(static_cast<double>(std::max<int64_t>(aLatency.Count(), 1)));
  const double distance = value - m_mean;
  m_mean += weight * distance;
  m_variance = (1 - weight) * (m_variance + weight * distance * distance);
  return false;
}

UpstreamLimiter::UpstreamLimiter(const catalog::UpstreamRule& aRule)
  : m_rule(aRule)
  , m_limit(aRule.m_coldLimit)
{
}

void
UpstreamLimiter::SetRule(const catalog::UpstreamRule& aRule)
{
  // An agent often learns of an upstream before it has the upstream's rule. A
  // limit that is still the cold limit therefore follows the new rule both up
  // and down.
  if (m_limit == m_rule.m_coldLimit) {
    m_limit = aRule.m_coldLimit;
  }
  m_rule = aRule;
  m_limit = std::min(m_limit, aRule.m_fullLimit);
}

std::optional<UpstreamLimiter::Ticket>
UpstreamLimiter::TryAdmit(const Work& aWork, base::TimePoint aNow)
{
  if (m_limit > m_rule.m_coldLimit && AreFirstBytesOverdue(aNow)) {
    Drop(m_rule.m_coldLimit);
  }
  if (m_running >= m_limit || aNow < m_pausedUntil ||
      (aWork.m_suspect && m_suspectRunning)) {
    return std::nullopt;
  }
  ++m_running;
  if (aWork.m_stream) {
    m_awaitedFirstBytes.insert(aNow);
  }
  m_suspectRunning = m_suspectRunning || aWork.m_suspect;
  Ticket ticket;
  ticket.m_work = aWork;
  ticket.m_generation = m_generation;
  ticket.m_epoch = m_epoch;
  ticket.m_countsForRamp = 2 * m_running >= m_limit;
  ticket.m_admitted = aNow;
  return ticket;
}

void
UpstreamLimiter::OnFirstByte(Ticket& aTicket, base::TimePoint aNow)
{
  if (aTicket.m_work.m_stream && !aTicket.m_latencyAdded) {
    RemoveAwaitedFirstByte(aTicket);
    AddLatency(aTicket, aNow);
    aTicket.m_latencyAdded = true;
  }
}

void
UpstreamLimiter::Finish(const Ticket& aTicket,
                        Result aResult,
                        base::TimePoint aNow)
{
  if (aTicket.m_generation != m_generation) {
    return;
  }
  --m_running;
  if (aTicket.m_work.m_stream && !aTicket.m_latencyAdded) {
    RemoveAwaitedFirstByte(aTicket);
  }
  if (aTicket.m_work.m_suspect) {
    m_suspectRunning = false;
  }
  if (aResult == Result::Success) {
    m_refusals = 0;
    if (!aTicket.m_work.m_stream) {
      AddLatency(aTicket, aNow);
    }
    AddSuccess(aTicket);
  } else if (aResult == Result::Refused) {
    // An upstream that refuses work at the cold limit can't take even that.
    Drop(m_limit > m_rule.m_coldLimit ? m_rule.m_coldLimit : m_limit / 2);
    m_pausedUntil =
      aNow +
      kFirstPause * (int64_t{ 1 } << std::min(m_refusals, kMaxDoublings));
    ++m_refusals;
  }
}

void
UpstreamLimiter::OnLost(base::TimePoint)
{
  VoidTickets();
  Drop(m_rule.m_coldLimit);
}

void
UpstreamLimiter::OnIncarnation(std::string_view aIncarnation, base::TimePoint)
{
  if (aIncarnation == m_incarnation) {
    return;
  }
  const bool first = m_incarnation.empty();
  m_incarnation = aIncarnation;
  if (!first) {
    VoidTickets();
    Drop(m_rule.m_coldLimit);
    m_pausedUntil = {};
    m_refusals = 0;
  }
}

void
UpstreamLimiter::Drop(uint32_t aLimit)
{
  m_limit = std::max<uint32_t>(1, std::min(m_limit, aLimit));
  m_successes = 0;
  ++m_epoch;
  // A cold upstream is slower, which must not be detected as another step.
  m_streamLatency.Reset();
  m_unaryLatency.Reset();
}

void
UpstreamLimiter::VoidTickets()
{
  ++m_generation;
  m_running = 0;
  m_awaitedFirstBytes.clear();
  m_suspectRunning = false;
}

void
UpstreamLimiter::RemoveAwaitedFirstByte(const Ticket& aTicket)
{
  const auto found = m_awaitedFirstBytes.find(aTicket.m_admitted);
  if (aTicket.m_generation == m_generation &&
      found != m_awaitedFirstBytes.end()) {
    m_awaitedFirstBytes.erase(found);
  }
}

// A stalled upstream gives no latency samples, so the time waited for first
// bytes that are still missing counts as well.
bool
UpstreamLimiter::AreFirstBytesOverdue(base::TimePoint aNow) const
{
  uint32_t high = m_streamLatency.HighRun();
  for (const base::TimePoint admitted : m_awaitedFirstBytes) {
    if (high >= kRunLength || !m_streamLatency.IsHigh(aNow - admitted)) {
      break;
    }
    ++high;
  }
  return high >= kRunLength;
}

void
UpstreamLimiter::AddLatency(const Ticket& aTicket, base::TimePoint aNow)
{
  // Latencies of work admitted before a drop do not show the state after it.
  if (aTicket.m_epoch != m_epoch || aTicket.m_generation != m_generation) {
    return;
  }
  LatencyStepDetector& step =
    aTicket.m_work.m_stream ? m_streamLatency : m_unaryLatency;
  if (step.Add(aNow - aTicket.m_admitted)) {
    Drop(m_rule.m_coldLimit);
  }
}

void
UpstreamLimiter::AddSuccess(const Ticket& aTicket)
{
  if (aTicket.m_epoch != m_epoch || !aTicket.m_countsForRamp) {
    return;
  }
  if (++m_successes >= m_rule.m_rampSuccesses) {
    m_successes = 0;
    m_limit = std::min(m_limit + 1, m_rule.m_fullLimit);
  }
}

} // namespace chivefront::policy
