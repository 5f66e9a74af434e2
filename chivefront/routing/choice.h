// Chooses the upstream for a request: among the candidates, the one with the
// lowest estimated delay, which counts the upstream's load, the prompt parts
// that it has to read because they aren't in its cache, and its distance. Does
// no I/O.
#pragma once

#include <string>
#include <vector>

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
};

struct Candidate
{
  const Instance* m_instance = nullptr;
  const UpstreamEstimate* m_estimate = nullptr;
  uint32_t m_slots = 1;
};

// Returns an index into aCandidates, which must not be empty.
size_t
ChooseUpstream(const std::vector<Candidate>& aCandidates,
               const ChoiceCriteria& aCriteria,
               base::TimePoint aNow);

} // namespace chivefront::routing
