// Plans and ratings.
#include "chivefront/entry/cascade.h"

#include "chivefront/base/errors.h"
#include "chivefront/base/ids.h"
#include "chivefront/entry/sessions.h"

namespace chivefront::entry {
namespace detail {

constexpr double kLatencyWeight = 0.1; // of the newest answer
constexpr double kRatedShare = 0.05;   // of answers outside roll-outs
// While the rating service is down, one call per second probes it.
constexpr base::Millis kProbe{ 1000 };

} // namespace detail

std::vector<policy::CascadeOption>
OptionsOf(const catalog::Catalog& aCatalog,
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

CascadeChoice::CascadeChoice(EntryParts& aParts, Evidence& aEvidence)
  : m_parts(aParts)
  , m_evidence(aEvidence)
  , m_client(aParts.m_limits.m_rating, aParts.m_limits.m_ratingTimeout)
  , m_ratings(aParts.m_metrics.AddCounter("chivefront_entry_ratings_total",
                                          "Verdicts of the rating service."))
  , m_failures(
      aParts.m_metrics.AddCounter("chivefront_entry_rating_failures_total",
                                  "Ratings without a verdict."))
  , m_cascade({}, base::RandomBits())
  , m_random(base::RandomBits())
{
  NoteRatings(m_client.Configured());
}

void
CascadeChoice::NoteRatings(bool aUp)
{
  const std::lock_guard lock(m_lock);
  const base::TimePoint now = m_parts.m_clock.Now();
  m_askAgain = now + detail::kProbe;
  m_ratingsUp = aUp;
  m_cascade.SetRatingsUp(aUp, now);
}

policy::CascadePlan
CascadeChoice::Plan(const catalog::Catalog& aCatalog,
                    const std::string& aTeam,
                    policy::CascadeRequest aRequest,
                    uint64_t aHash)
{
  aRequest.m_team = aTeam;
  aRequest.m_options = OptionsOf(aCatalog, aTeam, aHash);
  const std::lock_guard lock(m_lock);
  for (policy::CascadeOption& option : aRequest.m_options) {
    const auto known = m_latencyMs.find(option.m_version);
    if (known != m_latencyMs.end()) {
      option.m_latency = base::Millis(static_cast<int64_t>(known->second));
    }
  }
  return m_cascade.Plan(aRequest, m_parts.m_clock.Now());
}

bool
CascadeChoice::WantsRating(const catalog::Catalog& aCatalog,
                           const std::string& aVersion)
{
  if (!m_client.Configured()) {
    return false;
  }
  const catalog::Version* version = aCatalog.FindVersion(aVersion);
  const catalog::Rollout* rollout =
    version == nullptr ? nullptr : aCatalog.FindRollout(version->m_model);
  const std::lock_guard lock(m_lock);
  if (!m_ratingsUp && m_parts.m_clock.Now() < m_askAgain) {
    return false;
  }
  // A roll-out that is held goes on or ends by the ratings of the sessions that
  // have the new version.
  if (!m_ratingsUp || (rollout != nullptr &&
                       (rollout->m_state == catalog::RolloutState::Running ||
                        (rollout->m_state == catalog::RolloutState::Paused &&
                         rollout->m_reason == catalog::kHeldReason)))) {
    return true;
  }
  return std::uniform_real_distribution<double>(0, 1)(m_random) <
         detail::kRatedShare;
}

net::Task<absl::StatusOr<bool>>
CascadeChoice::Rate(const std::string& aTeam,
                    policy::PlanStep aStep,
                    const RatingInput& aInput)
{
  auto verdict = co_await m_client.Rate(aInput);
  NoteRatings(verdict.ok());
  if (!verdict.ok()) {
    m_failures.Increment();
    co_return verdict;
  }
  m_ratings.Increment();
  m_evidence.Rated(aInput.m_version, *verdict);
  m_parts.m_events.Record("rated",
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
                     m_parts.m_clock.Now());
  co_return verdict;
}

void
CascadeChoice::NoteLatency(const std::string& aVersion, base::Millis aLatency)
{
  const std::lock_guard lock(m_lock);
  const auto latency = static_cast<double>(aLatency.Count());
  const auto [known, fresh] = m_latencyMs.emplace(aVersion, latency);
  if (!fresh) {
    known->second += detail::kLatencyWeight * (latency - known->second);
  }
}

} // namespace chivefront::entry
