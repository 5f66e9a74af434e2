// The estimate behind the choice of an upstream.
#include "chivefront/routing/choice.h"

#include "chivefront/routing/config.h"

namespace chivefront::routing {
namespace detail {

// Estimated delay of a request when all slots are taken, in milliseconds, in
// proportion to the share that is taken; beyond that it waits.
constexpr double kFullDelayMs = 120;
constexpr double kWaitPerRequestMs = 25;
// For each request that has not begun to run: its prompt is read first, and
// long prompts of large models take this much.
constexpr double kPromptAheadMs = 80;
// Another failure domain costs a round trip and priced bytes: more than reading
// a short prompt again, less than reading a long one or meeting a busy
// upstream.
constexpr double kFarMs = 20;
// Entries that know nothing of a part agree on where it goes by hashing it, so
// that it is read once and not once per entry.
constexpr double kAgreedShare = 0.5;
// Answers that take up to this many times as long as usual are taken for the
// requests' own; beyond it each further time counts like a loaded upstream.
constexpr double kTolerablePace = 1.6;
constexpr double kSlowPenaltyMs = 150;
// An upstream whose streams have stopped is the last to get new requests.
constexpr double kSilentPenaltyMs = 2000;
// Failures up to this share are taken for the requests' own.
constexpr double kTolerableFailures = 0.25;
constexpr double kFailurePenaltyMs = 2000;

// Rendezvous hashing: the upstream with the highest value for the part.
size_t
AgreedUpstream(const std::vector<Candidate>& aCandidates,
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
ReadingMs(const Candidate& aCandidate,
          const ChoiceCriteria& aNeed,
          bool aAgreed,
          base::TimePoint aNow)
{
  double tokens = 0;
  bool held = true; // a part counts only when all parts before it are held
  for (const SharedPromptPart& part : aNeed.m_sharedParts) {
    held = held && aCandidate.m_estimate->LikelyCaches(part.m_key, aNow);
    if (!held) {
      tokens += aAgreed ? part.m_tokens * kAgreedShare : part.m_tokens;
    }
  }
  return tokens / aNeed.m_tokensPerMs;
}

double
CostMs(const Candidate& aCandidate,
       const ChoiceCriteria& aNeed,
       bool aAgreed,
       base::TimePoint aNow)
{
  const UpstreamEstimate& estimate = *aCandidate.m_estimate;
  const double load = estimate.Load(aNow);
  const double slots = aCandidate.m_slots > 0 ? aCandidate.m_slots : 1;
  double cost = ReadingMs(aCandidate, aNeed, aAgreed, aNow);
  cost += kFullDelayMs * load / slots;
  cost += load > slots ? (load - slots) * kWaitPerRequestMs : 0;
  cost += kPromptAheadMs * estimate.Waiting(aNow);
  cost += aCandidate.m_instance->m_domain == aNeed.m_ownDomain ? 0 : kFarMs;
  if (const double pace = estimate.Slowdown(aNow); pace > kTolerablePace) {
    cost += kSlowPenaltyMs * (pace - 1);
  }
  cost += estimate.IsSilent(aNow) ? kSilentPenaltyMs : 0;
  if (estimate.FailureShare() > kTolerableFailures) {
    cost += kFailurePenaltyMs * (estimate.FailureShare() - kTolerableFailures);
  }
  return cost;
}

} // namespace detail

size_t
ChooseUpstream(const std::vector<Candidate>& aCandidates,
               const ChoiceCriteria& aNeed,
               base::TimePoint aNow)
{
  size_t agreed = aCandidates.size();
  if (!aNeed.m_sharedParts.empty()) {
    agreed =
      detail::AgreedUpstream(aCandidates, aNeed.m_sharedParts.back().m_key);
  }
  size_t best = 0;
  double bestCost = 0;
  for (size_t i = 0; i < aCandidates.size(); ++i) {
    const double cost =
      detail::CostMs(aCandidates[i], aNeed, i == agreed, aNow);
    if (i == 0 || cost < bestCost) {
      best = i;
      bestCost = cost;
    }
  }
  return best;
}

} // namespace chivefront::routing
