// Cascade plans, sampling and ratings of answers.
#include "chivefront/entry/cascade.h"

#include "chivefront/base/errors.h"
#include "chivefront/base/ids.h"
#include "chivefront/entry/sessions.h"

namespace chivefront::entry {
namespace detail {

constexpr double kLatencySmoothing = 0.1; // weight of the newest answer
constexpr double kSampledShare = 0.05;    // of the answers outside roll-outs
// While the rating service is unavailable, one call per second probes it.
constexpr base::Millis kProbeInterval{ 1000 };

} // namespace detail

std::vector<policy::CascadeOption>
CascadeOptionsFor(const catalog::Catalog& aCatalog,
                  const std::string& aTeam,
                  uint64_t aHash)
{
  std::vector<policy::CascadeOption> options;
  const catalog::Team* team = aCatalog.FindTeam(aTeam);
  if (team == nullptr) {
    return options;
  }
  for (const std::string& id : team->m_models) {
    const auto chosen = ProposeVersion(aCatalog, aTeam, id, aHash);
    if (!chosen.ok()) {
      continue;
    }
    const catalog::Version* version = aCatalog.FindVersion(*chosen);
    policy::CascadeOption option;
    option.m_version = *chosen;
    option.m_rank = aCatalog.FindModel(id)->m_rank;
    option.m_promptCost = version->m_promptCost;
    option.m_answerCost = version->m_answerCost;
    options.push_back(std::move(option));
  }
  return options;
}

CascadePlanner::CascadePlanner(EntryComponents& aComponents,
                               Evidence& aEvidence)
  : m_components(aComponents)
  , m_evidence(aEvidence)
  , m_client(aComponents.m_limits.m_ratingEndpoint,
             aComponents.m_limits.m_ratingTimeout)
  , m_ratings(
      aComponents.m_metrics.AddCounter("chivefront_entry_ratings_total",
                                       "Verdicts of the rating service."))
  , m_failures(
      aComponents.m_metrics.AddCounter("chivefront_entry_rating_failures_total",
                                       "Ratings without a verdict."))
  , m_cascade({}, base::RandomBits())
  , m_random(base::RandomBits())
{
  RecordRatingAvailability(m_client.Configured());
}

void
CascadePlanner::RecordRatingAvailability(bool aAvailable)
{
  const std::lock_guard lock(m_lock);
  const base::TimePoint now = m_components.m_clock.Now();
  m_nextProbeAt = now + detail::kProbeInterval;
  m_ratingsAvailable = aAvailable;
  m_cascade.SetRatingsUp(aAvailable, now);
}

policy::CascadePlan
CascadePlanner::Plan(const catalog::Catalog& aCatalog,
                     const std::string& aTeam,
                     policy::CascadeRequest aRequest,
                     uint64_t aHash)
{
  aRequest.m_team = aTeam;
  aRequest.m_options = CascadeOptionsFor(aCatalog, aTeam, aHash);
  const std::lock_guard lock(m_lock);
  for (policy::CascadeOption& option : aRequest.m_options) {
    const auto known = m_latencyMs.find(option.m_version);
    if (known != m_latencyMs.end()) {
      option.m_latency = base::Millis(static_cast<int64_t>(known->second));
    }
  }
  return m_cascade.Plan(aRequest, m_components.m_clock.Now());
}

bool
CascadePlanner::ShouldRate(const catalog::Catalog& aCatalog,
                           const std::string& aVersion)
{
  if (!m_client.Configured()) {
    return false;
  }
  const catalog::Version* version = aCatalog.FindVersion(aVersion);
  const catalog::Rollout* rollout =
    version == nullptr ? nullptr : aCatalog.FindRollout(version->m_model);
  const std::lock_guard lock(m_lock);
  if (!m_ratingsAvailable && m_components.m_clock.Now() < m_nextProbeAt) {
    return false;
  }
  // The ratings of the sessions on the new version decide whether a held
  // roll-out is continued or ended, so their answers are rated too.
  if (!m_ratingsAvailable ||
      (rollout != nullptr &&
       (rollout->m_state == catalog::RolloutState::Running ||
        (rollout->m_state == catalog::RolloutState::Paused &&
         rollout->m_reason == catalog::kHeldReason)))) {
    return true;
  }
  return std::uniform_real_distribution<double>(0, 1)(m_random) <
         detail::kSampledShare;
}

net::Task<absl::StatusOr<bool>>
CascadePlanner::Rate(const std::string& aTeam,
                     policy::PlanStep aStep,
                     const RatingInput& aInput)
{
  auto verdict = co_await m_client.Rate(aInput);
  RecordRatingAvailability(verdict.ok());
  if (!verdict.ok()) {
    m_failures.Increment();
    co_return verdict;
  }
  m_ratings.Increment();
  m_evidence.OnRated(aInput.m_version, *verdict);
  m_components.m_events.Record(
    "rated",
    { { "team", aTeam },
      { "version", aInput.m_version },
      { "acceptable", *verdict ? "true" : "false" } },
    aInput.m_requestId);
  const std::lock_guard lock(m_lock);
  m_cascade.OnRating(aTeam,
                     aInput.m_task,
                     aInput.m_version,
                     aStep,
                     *verdict,
                     m_components.m_clock.Now());
  co_return verdict;
}

void
CascadePlanner::RecordLatency(const std::string& aVersion,
                              base::Millis aLatency)
{
  const std::lock_guard lock(m_lock);
  const auto latency = static_cast<double>(aLatency.Count());
  const auto [known, fresh] = m_latencyMs.emplace(aVersion, latency);
  if (!fresh) {
    known->second += detail::kLatencySmoothing * (latency - known->second);
  }
}

} // namespace chivefront::entry
