// Chooses the upstream for a request: among the candidates, the one with the
// lowest expected time to the first token. It counts the prompt parts that the
// upstream has to read because they aren't in its cache, the prompts that it
// reads before, its load and memory, the slowdown of its host, and its
// distance. Does no I/O.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "chivefront/routing/domain_choice.h"
#include "chivefront/routing/reading_pace.h"
#include "chivefront/routing/registry.h"
#include "chivefront/routing/upstream_estimate.h"

namespace chivefront::routing {

// A part of a prompt that other requests are likely to have too.
struct SharedPromptPart
{
  std::string m_key; // model and part
  uint32_t m_tokens = 0;
};

// What the choice depends on besides the candidates.
struct ChoiceCriteria
{
  std::string m_ownDomain;                     // failure domain of the entry
  std::vector<SharedPromptPart> m_sharedParts; // in the order of the prompt
  // Prompt tokens of the request's model that an idle upstream reads.
  double m_tokensPerMs = kInitialTokensPerMs;
  // Tokens of the whole prompt, and of the longest possible answer. 0: unknown,
  // or the request has no model.
  double m_promptTokens = 0;
  double m_maxAnswerTokens = 0;
  int m_priority = 0;        // 0 is the most urgent
  double m_memoryTokens = 0; // memory of an upstream; 0: unknown
  // Decides between upstreams of about the same delay; differs between requests
  // and between entries. Without it the first one is chosen.
  std::optional<uint64_t> m_random;
  // What it costs to leave m_ownDomain; null: a constant.
  const DomainChoice* m_domainChoice = nullptr;
  CrossingRequest m_crossing; // of the request, for m_domainChoice
};

struct Candidate
{
  const Instance* m_instance = nullptr;
  const UpstreamEstimate* m_estimate = nullptr;
  uint32_t m_slots = 1;
};

// What the request takes at the upstream of aEstimate.
RequestCost
CostAt(const UpstreamEstimate& aEstimate,
       const ChoiceCriteria& aCriteria,
       base::TimePoint aNow);

// What a request without a prompt is expected to wait at aCandidate because of
// its load and its slowness.
double
ExpectedWaitMs(const Candidate& aCandidate, base::TimePoint aNow);

// The means over the candidates of each domain.
std::vector<DomainSummary>
SummarizeDomains(const std::vector<Candidate>& aCandidates,
                 base::TimePoint aNow);

// Returns an index into aCandidates, which must not be empty.
size_t
ChooseUpstream(const std::vector<Candidate>& aCandidates,
               const ChoiceCriteria& aCriteria,
               base::TimePoint aNow);

} // namespace chivefront::routing
