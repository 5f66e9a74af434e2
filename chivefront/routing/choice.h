// Chooses the upstream for a request: among the candidates, the one with the
// lowest estimated delay, which counts the upstream's load, the prompt parts
// that it has to read because they aren't in its cache, and its distance. Does
// no I/O.
#pragma once

#include <string>
#include <vector>

#include "chivefront/routing/domain_choice.h"
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
  double m_tokensPerMs = 125; // prompt tokens that an idle upstream reads
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
