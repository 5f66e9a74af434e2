// The delay estimate behind the choice of an upstream.
#include "chivefront/routing/choice.h"

#include <algorithm>
#include <functional>
#include <map>
#include <utility>

#include "chivefront/routing/config.h"

namespace chivefront::routing {
namespace detail {

// Delay of a request when all slots are in use; below that, the delay is
// proportional to the share of slots in use. Each request beyond the slots adds
// queueing delay.
constexpr double kDelayAtFullSlotsMs = 120;
constexpr double kQueueDelayPerRequestMs = 25;
// Work for the first tokens of an answer on an idle upstream. Counts only
// through the slowdown of a host.
constexpr double kAnswerWorkMs = 60;
// Requests beyond this share of an upstream's memory are rejected, or others
// are preempted and their prompts read again. Below 1, because the answers
// grow and the requests of other entries are estimated.
constexpr double kUsableMemoryShare = 0.9;
// Share of the longest possible answer that a running request has in memory.
constexpr double kExpectedAnswerShare = 0.5;
// An upstream in another failure domain costs a round trip and charged traffic.
// The penalty exceeds the cost of reading a short prompt again, and is below
// the cost of reading a long prompt or of a busy upstream.
constexpr double kOtherDomainPenaltyMs = 20;
// Share of the prompt-reading time that counts for the upstream that rendezvous
// hashing ranks first for a prompt. Entries that have not sent the prompt yet
// thus choose the same upstream, and the prompt is read once and not once per
// entry. While that upstream is loaded the second and then the third rank have
// the same advantage, so that few upstreams keep a prompt of many requests.
constexpr double kAffinityReadShare = 0.5;
constexpr size_t kAffinityRanks = 3;
// Weight of the time in which any other upstream reads the shared parts of a
// prompt for a model. Above 1, because it also delays the requests there and
// takes room from other parts.
constexpr double kOtherReadShare = 1.5;
// Upstreams whose delays differ by less count as equal, because the load of the
// others' requests is known from reports only.
constexpr double kEqualDelayMs = 8;
// A slowdown up to this factor is attributed to the requests themselves. Beyond
// it the penalty grows with the slowdown, like the delay of a loaded upstream.
constexpr double kTolerableSlowdown = 1.6;
constexpr double kSlowPenaltyMs = 150;
// Large enough that an upstream whose streams stalled is chosen last.
constexpr double kSilentPenaltyMs = 2000;
// A failure share up to this is attributed to the requests themselves.
constexpr double kTolerableFailureShare = 0.25;
constexpr double kFailurePenaltyMs = 2000;

// The candidates with the highest rendezvous hashes for the part, highest
// first.
std::vector<size_t>
AffinityRanks(const std::vector<Candidate>& aCandidates,
              const std::string& aPart)
{
  std::vector<std::pair<uint64_t, size_t>> hashes;
  hashes.reserve(aCandidates.size());
  for (size_t i = 0; i < aCandidates.size(); ++i) {
    hashes.emplace_back(
      StableHash(aPart + "@" + aCandidates[i].m_instance->m_id), i);
  }
  const size_t count = std::min(hashes.size(), kAffinityRanks);
  std::partial_sort(hashes.begin(),
                    hashes.begin() + static_cast<ptrdiff_t>(count),
                    hashes.end(),
                    std::greater<>());
  std::vector<size_t> ranks;
  for (size_t i = 0; i < count; ++i) {
    ranks.push_back(hashes[i].second);
  }
  return ranks;
}

// Tokens of the shared parts that the upstream has to read.
double
SharedTokensToRead(const UpstreamEstimate& aEstimate,
                   const ChoiceCriteria& aCriteria,
                   base::TimePoint aNow)
{
  double tokens = 0;
  // A part saves reading only if all parts before it are cached as well.
  bool cached = true;
  for (const SharedPromptPart& part : aCriteria.m_sharedParts) {
    cached = cached && aEstimate.LikelyCaches(part.m_key, aNow);
    tokens += cached ? 0 : part.m_tokens;
  }
  return tokens;
}

// Tokens of the prompt that no other request has.
double
UnsharedTokens(const ChoiceCriteria& aCriteria)
{
  double tokens = aCriteria.m_promptTokens;
  for (const SharedPromptPart& part : aCriteria.m_sharedParts) {
    tokens -= part.m_tokens;
  }
  return std::max(0.0, tokens);
}

double
MemoryTokens(const ChoiceCriteria& aCriteria)
{
  return aCriteria.m_promptTokens +
         kExpectedAnswerShare * aCriteria.m_maxAnswerTokens;
}

// Time to read again what has to leave the memory for the request.
double
MemoryDelayMs(const UpstreamEstimate& aEstimate,
              const ChoiceCriteria& aCriteria,
              base::TimePoint aNow)
{
  if (aCriteria.m_memoryTokens <= 0) {
    return 0;
  }
  const double excess = aEstimate.OccupiedTokens(aNow) +
                        MemoryTokens(aCriteria) -
                        aCriteria.m_memoryTokens * kUsableMemoryShare;
  return std::max(0.0, excess) / aCriteria.m_tokensPerMs;
}

// What other entries have at an upstream, as the mean of those whose reports
// count. It is assumed for the others, which would otherwise appear to be idle.
struct OthersAtUpstream
{
  double m_load = 0;
  double m_workMs = 0;
};

// Nothing is assumed for requests without a model.
OthersAtUpstream
MeanOfOthers(const std::vector<Candidate>& aCandidates,
             const ChoiceCriteria& aCriteria,
             base::TimePoint aNow)
{
  OthersAtUpstream mean;
  double weights = 0;
  if (aCriteria.m_promptTokens <= 0) {
    return mean;
  }
  for (const Candidate& candidate : aCandidates) {
    const UpstreamEstimate& estimate = *candidate.m_estimate;
    const double weight = estimate.ReportWeight(aNow);
    if (weight > 0) {
      mean.m_load += weight * (estimate.Load(aNow) - estimate.InFlight());
      mean.m_workMs += estimate.OthersWorkMs(aNow);
      weights += weight;
    }
  }
  if (weights > 0) {
    mean.m_load /= weights;
    mean.m_workMs /= weights;
  }
  return mean;
}

// Delay before the candidate begins to read the prompt, on a host that is not
// slowed down.
double
LoadDelayMs(const Candidate& aCandidate,
            const ChoiceCriteria& aCriteria,
            const OthersAtUpstream& aMean,
            base::TimePoint aNow)
{
  const UpstreamEstimate& estimate = *aCandidate.m_estimate;
  const double unreported = 1 - estimate.ReportWeight(aNow);
  const double load = estimate.Load(aNow) + (unreported < 1 ? 0 : aMean.m_load);
  const double slots = aCandidate.m_slots > 0 ? aCandidate.m_slots : 1;
  double delay = kDelayAtFullSlotsMs * load / slots;
  delay += load > slots ? (load - slots) * kQueueDelayPerRequestMs : 0;
  delay += estimate.WorkAheadMs(aCriteria.m_priority, aNow);
  delay += unreported * aMean.m_workMs;
  return delay + MemoryDelayMs(estimate, aCriteria, aNow);
}

// For each candidate the share that counts of the time in which it reads the
// shared parts.
std::vector<double>
SharedReadShares(const std::vector<Candidate>& aCandidates,
                 const ChoiceCriteria& aCriteria,
                 const OthersAtUpstream& aMean,
                 base::TimePoint aNow)
{
  std::vector<double> shares(
    aCandidates.size(), aCriteria.m_promptTokens > 0 ? kOtherReadShare : 1);
  if (aCriteria.m_sharedParts.empty()) {
    return shares;
  }
  double sharedMs = 0;
  for (const SharedPromptPart& part : aCriteria.m_sharedParts) {
    sharedMs += part.m_tokens / aCriteria.m_tokensPerMs;
  }
  for (const size_t index :
       AffinityRanks(aCandidates, aCriteria.m_sharedParts.back().m_key)) {
    shares[index] = kAffinityReadShare;
    if (LoadDelayMs(aCandidates[index], aCriteria, aMean, aNow) <=
        (1 - kAffinityReadShare) * sharedMs) {
      break;
    }
  }
  return shares;
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
                 const OthersAtUpstream& aMean,
                 double aReadShare,
                 base::TimePoint aNow)
{
  const UpstreamEstimate& estimate = *aCandidate.m_estimate;
  const double hostSlowdown = estimate.HostSlowdown(aNow);
  const double tokens =
    aReadShare * SharedTokensToRead(estimate, aCriteria, aNow) +
    UnsharedTokens(aCriteria);
  double delay = tokens / aCriteria.m_tokensPerMs;
  delay += LoadDelayMs(aCandidate, aCriteria, aMean, aNow);
  delay = delay * hostSlowdown + kAnswerWorkMs * (hostSlowdown - 1);
  delay += DomainPenaltyMs(aCandidate, aCriteria, aNow);
  // The host's slowdown has been counted above.
  if (const double slowdown =
        estimate.Slowdown(aNow) / std::max(1.0, hostSlowdown);
      slowdown > kTolerableSlowdown) {
    delay += kSlowPenaltyMs * (slowdown - 1);
  }
  delay += estimate.IsSilent(aNow) ? kSilentPenaltyMs : 0;
  if (estimate.FailureShare() > kTolerableFailureShare) {
    delay +=
      kFailurePenaltyMs * (estimate.FailureShare() - kTolerableFailureShare);
  }
  return delay;
}

// Power of two choices: of the candidates whose delay is about that of aBest,
// two are drawn and the better one is chosen. Entries with the same reports
// thus choose different upstreams. Those that would have to read more of the
// prompt are not drawn.
size_t
ChooseAmongEqual(const std::vector<Candidate>& aCandidates,
                 const std::vector<double>& aDelays,
                 const ChoiceCriteria& aCriteria,
                 size_t aBest,
                 base::TimePoint aNow)
{
  const auto toRead = [&](size_t aIndex) {
    return SharedTokensToRead(*aCandidates[aIndex].m_estimate, aCriteria, aNow);
  };
  const double tokens = toRead(aBest);
  std::vector<size_t> equal;
  for (size_t i = 0; i < aCandidates.size(); ++i) {
    if (aDelays[i] <= aDelays[aBest] + kEqualDelayMs && toRead(i) <= tokens) {
      equal.push_back(i);
    }
  }
  constexpr unsigned kHalfBits = 32;
  const uint64_t random = *aCriteria.m_random;
  const size_t one = equal[(random >> kHalfBits) % equal.size()];
  const size_t other = equal[(random & UINT32_MAX) % equal.size()];
  return aDelays[one] <= aDelays[other] ? one : other;
}

} // namespace detail

RequestCost
CostAt(const UpstreamEstimate& aEstimate,
       const ChoiceCriteria& aCriteria,
       base::TimePoint aNow)
{
  RequestCost cost;
  if (aCriteria.m_promptTokens > 0) {
    cost.m_priority = aCriteria.m_priority;
    cost.m_readMs = (detail::SharedTokensToRead(aEstimate, aCriteria, aNow) +
                     detail::UnsharedTokens(aCriteria)) /
                    aCriteria.m_tokensPerMs;
    cost.m_memoryTokens = detail::MemoryTokens(aCriteria);
  }
  return cost;
}

double
ExpectedWaitMs(const Candidate& aCandidate, base::TimePoint aNow)
{
  const UpstreamEstimate& estimate = *aCandidate.m_estimate;
  double wait = detail::LoadDelayMs(aCandidate, ChoiceCriteria(), {}, aNow) *
                estimate.HostSlowdown(aNow);
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
  const detail::OthersAtUpstream mean =
    detail::MeanOfOthers(aCandidates, aCriteria, aNow);
  const std::vector<double> readShares =
    detail::SharedReadShares(aCandidates, aCriteria, mean, aNow);
  std::vector<double> delays;
  delays.reserve(aCandidates.size());
  for (size_t i = 0; i < aCandidates.size(); ++i) {
    delays.push_back(detail::EstimatedDelayMs(
      aCandidates[i], aCriteria, mean, readShares[i], aNow));
  }
  const auto best = static_cast<size_t>(
    std::min_element(delays.begin(), delays.end()) - delays.begin());
  if (aCriteria.m_random &&
      (aCriteria.m_promptTokens > 0 ||
       aCandidates[best].m_estimate->ReportsSlowdown(aNow))) {
    return detail::ChooseAmongEqual(aCandidates, delays, aCriteria, best, aNow);
  }
  return best;
}

} // namespace chivefront::routing
