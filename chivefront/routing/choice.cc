// The delay estimate behind the choice of an upstream.
#include "chivefront/routing/choice.h"

#include <algorithm>
#include <map>

#include "chivefront/routing/config.h"

namespace chivefront::routing {
namespace detail {

// Delay of a request when all slots are in use; below that, the delay is
// proportional to the share of slots in use. Each request beyond the slots adds
// queueing delay.
constexpr double kDelayAtFullSlotsMs = 120;
constexpr double kQueueDelayPerRequestMs = 25;
// Delay per request that has not begun to run, because its prompt is read
// first. Long prompts of large models take this much.
constexpr double kDelayPerWaitingPromptMs = 80;
// An upstream in another failure domain costs a round trip and charged traffic.
// The penalty exceeds the cost of reading a short prompt again, and is below
// the cost of reading a long prompt or of a busy upstream.
constexpr double kOtherDomainPenaltyMs = 20;
// Share of the prompt-reading time that counts for the upstream that rendezvous
// hashing assigns to a prompt. Entries that have not sent the prompt yet thus
// choose the same upstream, and the prompt is read once and not once per entry.
constexpr double kAffinityReadShare = 0.5;
// A slowdown up to this factor is attributed to the requests themselves. Beyond
// it the penalty grows with the slowdown, like the delay of a loaded upstream.
constexpr double kTolerableSlowdown = 1.6;
constexpr double kSlowPenaltyMs = 150;
// Large enough that an upstream whose streams stalled is chosen last.
constexpr double kSilentPenaltyMs = 2000;
// A failure share up to this is attributed to the requests themselves.
constexpr double kTolerableFailureShare = 0.25;
constexpr double kFailurePenaltyMs = 2000;

// Rendezvous hashing: the upstream with the highest hash value for the part.
size_t
AffinityUpstream(const std::vector<Candidate>& aCandidates,
                 const std::string& aPart)
{
  size_t best = 0;
  uint64_t bestValue = 0;
  for (size_t i = 0; i < aCandidates.size(); ++i) {
    const uint64_t value =
      StableHash(aPart + "@" + aCandidates[i].m_instance->m_id);
    if (i == 0 || value > bestValue) {
      best = i;
      bestValue = value;
    }
  }
  return best;
}

double
PromptReadMs(const Candidate& aCandidate,
             const ChoiceCriteria& aCriteria,
             bool aHasAffinity,
             base::TimePoint aNow)
{
  double tokens = 0;
  // A part saves reading only if all parts before it are cached as well.
  bool cached = true;
  for (const SharedPromptPart& part : aCriteria.m_sharedParts) {
    cached = cached && aCandidate.m_estimate->LikelyCaches(part.m_key, aNow);
    if (!cached) {
      tokens +=
        aHasAffinity ? part.m_tokens * kAffinityReadShare : part.m_tokens;
    }
  }
  return tokens / aCriteria.m_tokensPerMs;
}

double
DomainPenaltyMs(const Candidate& aCandidate,
                const ChoiceCriteria& aCriteria,
                base::TimePoint aNow)
{
  const std::string& domain = aCandidate.m_instance->m_domain;
  if (aCriteria.m_domainChoice != nullptr) {
    return aCriteria.m_domainChoice->PenaltyMs(
      domain, aCriteria.m_crossing, aNow);
  }
  return domain == aCriteria.m_ownDomain ? 0 : kOtherDomainPenaltyMs;
}

double
EstimatedDelayMs(const Candidate& aCandidate,
                 const ChoiceCriteria& aCriteria,
                 bool aHasAffinity,
                 base::TimePoint aNow)
{
  const UpstreamEstimate& estimate = *aCandidate.m_estimate;
  double delay = PromptReadMs(aCandidate, aCriteria, aHasAffinity, aNow);
  delay += ExpectedWaitMs(aCandidate, aNow);
  delay += DomainPenaltyMs(aCandidate, aCriteria, aNow);
  delay += estimate.IsSilent(aNow) ? kSilentPenaltyMs : 0;
  if (estimate.FailureShare() > kTolerableFailureShare) {
    delay +=
      kFailurePenaltyMs * (estimate.FailureShare() - kTolerableFailureShare);
  }
  return delay;
}

} // namespace detail

double
ExpectedWaitMs(const Candidate& aCandidate, base::TimePoint aNow)
{
  const UpstreamEstimate& estimate = *aCandidate.m_estimate;
  const double load = estimate.Load(aNow);
  const double slots = aCandidate.m_slots > 0 ? aCandidate.m_slots : 1;
  double wait = detail::kDelayAtFullSlotsMs * load / slots;
  wait += load > slots ? (load - slots) * detail::kQueueDelayPerRequestMs : 0;
  wait += detail::kDelayPerWaitingPromptMs * estimate.Waiting(aNow);
  if (const double slowdown = estimate.Slowdown(aNow);
      slowdown > detail::kTolerableSlowdown) {
    wait += detail::kSlowPenaltyMs * (slowdown - 1);
  }
  return wait;
}

std::vector<DomainSummary>
SummarizeDomains(const std::vector<Candidate>& aCandidates,
                 base::TimePoint aNow)
{
  struct Sum
  {
    double m_count = 0;
    double m_waitMs = 0;
    double m_room = 0;
  };
  std::map<std::string, Sum> sums;
  for (const Candidate& candidate : aCandidates) {
    Sum& sum = sums[candidate.m_instance->m_domain];
    const double slots = candidate.m_slots > 0 ? candidate.m_slots : 1;
    sum.m_count += 1;
    sum.m_waitMs += ExpectedWaitMs(candidate, aNow);
    sum.m_room += std::max(0.0, 1 - candidate.m_estimate->Load(aNow) / slots);
  }
  std::vector<DomainSummary> summaries;
  for (const auto& [domain, sum] : sums) {
    DomainSummary summary;
    summary.m_domain = domain;
    summary.m_delayMs = sum.m_waitMs / sum.m_count;
    summary.m_room = sum.m_room / sum.m_count;
    summaries.push_back(std::move(summary));
  }
  return summaries;
}

size_t
ChooseUpstream(const std::vector<Candidate>& aCandidates,
               const ChoiceCriteria& aCriteria,
               base::TimePoint aNow)
{
  size_t affinityIndex = aCandidates.size();
  if (!aCriteria.m_sharedParts.empty()) {
    affinityIndex = detail::AffinityUpstream(
      aCandidates, aCriteria.m_sharedParts.back().m_key);
  }
  size_t best = 0;
  double bestDelay = 0;
  for (size_t i = 0; i < aCandidates.size(); ++i) {
    const double delay = detail::EstimatedDelayMs(
      aCandidates[i], aCriteria, i == affinityIndex, aNow);
    if (i == 0 || delay < bestDelay) {
      best = i;
      bestDelay = delay;
    }
  }
  return best;
}

} // namespace chivefront::routing
