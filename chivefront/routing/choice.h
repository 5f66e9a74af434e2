// Chooses the upstream that gets a request: among those that may run it, the
// one where it is expected to be done soonest, counting the load there, the
// prompt parts that must be read, and how far away it is. Pure.
#pragma once

#include <string>
#include <vector>

#include "chivefront/routing/registry.h"
#include "chivefront/routing/upstream_estimate.h"

namespace chivefront::routing {

struct SharedPromptPart
{
  std::string m_key; // model and part
  uint32_t m_tokens = 0;
};

struct ChoiceCriteria
{
  std::string m_ownDomain;                     // failure domain of the entry
  std::vector<SharedPromptPart> m_sharedParts; // of the prompt, in order
  double m_tokensPerMs = 125;                  // that an idle upstream reads
};

struct Candidate
{
  const Instance* m_instance = nullptr;
  const UpstreamEstimate* m_estimate = nullptr;
  uint32_t m_slots = 1;
};

// Index into aCandidates; they must not be empty.
size_t
ChooseUpstream(const std::vector<Candidate>& aCandidates,
               const ChoiceCriteria& aNeed,
               base::TimePoint aNow);

} // namespace chivefront::routing
