// Chooses the upstream that gets a request: among those that may run it, the
// one where it is expected to be done soonest, counting the load there, the
// prompt parts that must be read, and how far away it is. Pure.
#pragma once

#include <string>
#include <vector>

#include "chivefront/routing/belief.h"
#include "chivefront/routing/registry.h"

namespace chivefront::routing {

struct PartNeed
{
  std::string m_key; // model and part
  uint32_t m_tokens = 0;
};

struct ChoiceNeed
{
  std::string m_ownDomain;        // failure domain of the entry
  std::vector<PartNeed> m_shared; // of the prompt, in order
  double m_tokensPerMs = 125;     // that an idle upstream reads
};

struct Candidate
{
  const Instance* m_instance = nullptr;
  const Belief* m_belief = nullptr;
  uint32_t m_slots = 1;
};

// Index into aCandidates; they must not be empty.
size_t
ChooseUpstream(const std::vector<Candidate>& aCandidates,
               const ChoiceNeed& aNeed,
               base::TimePoint aNow);

} // namespace chivefront::routing
