// Limit of one upstream: ramp by successes, immediate drops.
#include "chivefront/policy/limiter.h"

#include <algorithm>
#include <cmath>

namespace chivefront::policy {
namespace {

// Weight of the newest sample in the running mean.
constexpr double kSampleWeight = 0.05;
// Samples before a step is judged; fewer give no usable deviation.
constexpr uint32_t kMinSamples = 12;
// Three in a row above two deviations are chance in about 1 of 100,000 cases.
constexpr uint32_t kRunLength = 3;
constexpr double kDeviations = 2;
// A rise below this ratio is ordinary batching, whatever the deviation.
constexpr double kMinRatio = 2;
// Pause after refused work; doubles with each refusal in a row, so that an
// upstream that refuses everything is not asked hundreds of times a second.
constexpr base::Millis kFirstPause{ 50 };
constexpr uint32_t kMaxDoublings = 5;

} // namespace

bool
LatencyStepDetector::IsHigh(base::Millis aWaited) const
{
  const double value =
    std::log(static_cast<double>(std::max<int64_t>(aWaited.Count(), 1)));
  const double margin =
    std::max(std::log(kMinRatio), kDeviations * std::sqrt(m_variance));
  return m_samples >= kMinSamples && value > m_mean + margin;
}

bool
LatencyStepDetector::Add(base::Millis aLatency)
{
  if (IsHigh(aLatency)) {
    // High samples stay out of the mean until they prove to be a step, else
    // the first ones would hide the rest.
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
  // An agent often hears of an upstream before its rule; an upstream that is
  // still at the cold limit follows the new rule in both directions.
  if (m_limit == m_rule.m_coldLimit) {
    m_limit = aRule.m_coldLimit;
  }
  m_rule = aRule;
  m_limit = std::min(m_limit, aRule.m_fullLimit);
}

std::optional<UpstreamLimiter::Ticket>
UpstreamLimiter::TryAdmit(const Work& aWork, base::TimePoint aNow)
{
  if (m_limit > m_rule.m_coldLimit && Overdue(aNow)) {
    Drop(m_rule.m_coldLimit);
  }
  if (m_running >= m_limit || aNow < m_pausedUntil ||
      (aWork.m_suspect && m_suspectRunning)) {
    return std::nullopt;
  }
  ++m_running;
  if (aWork.m_stream) {
    m_awaiting.insert(aNow);
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
  if (aTicket.m_work.m_stream && !aTicket.m_timed) {
    NoteFirstByte(aTicket);
    AddLatency(aTicket, aNow);
    aTicket.m_timed = true;
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
  if (aTicket.m_work.m_stream && !aTicket.m_timed) {
    NoteFirstByte(aTicket);
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
    // Refused at the cold limit already: even that was too much.
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
  Forget();
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
    Forget();
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
  // A cold upstream is slower; its latencies must not look like a new step.
  m_streamLatency.Reset();
  m_unaryLatency.Reset();
}

void
UpstreamLimiter::Forget()
{
  ++m_generation;
  m_running = 0;
  m_awaiting.clear();
  m_suspectRunning = false;
}

void
UpstreamLimiter::NoteFirstByte(const Ticket& aTicket)
{
  const auto found = m_awaiting.find(aTicket.m_admitted);
  if (aTicket.m_generation == m_generation && found != m_awaiting.end()) {
    m_awaiting.erase(found);
  }
}

// A stalled upstream gives no samples, so those still waited for count too.
bool
UpstreamLimiter::Overdue(base::TimePoint aNow) const
{
  uint32_t high = m_streamLatency.HighRun();
  for (const base::TimePoint admitted : m_awaiting) {
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
  // Work admitted before a drop says nothing about the state after it.
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
