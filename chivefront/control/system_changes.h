// Changes that the control process itself proposes: quarantines and roll-out
// steps. Pure: they take the current state and give the change requests.
#pragma once

#include <functional>
#include <vector>

#include "chivefront/control/config_store.h"
#include "chivefront/control/rollout_judge.h"
#include "chivefront/ledger/ledger.h"

namespace chivefront::control {

// An empty change proposed by the control process itself. aName is unique
// among changes made from the same revision.
wire::ChangeRequestT
MakeSystemChange(const std::string& aName, uint64_t aExpected);
void
AddEntry(wire::ChangeRequestT& aChange, std::string aKey, std::string aValue);

// One change per request that crashed often enough and is not quarantined.
// The change id holds the time of the last loss, so that a quarantine lifted
// by an operator returns only after another loss.
std::vector<wire::ChangeRequestT>
QuarantineChanges(const ConfigStore& aStore,
                  const std::vector<ledger::QuarantineCandidate>& aCandidates);

// Pooled evidence since the start of a roll-out, or of each process for 0.
using EvidenceLookup =
  std::function<wire::VersionEvidenceT(const std::string& aVersion,
                                       uint64_t aSince)>;

// One change per roll-out that is held, resumes, advances, ends or stops. Each
// expects the current revision, so that a step never meets a catalogue it was
// not made for.
std::vector<wire::ChangeRequestT>
RolloutChanges(const ConfigStore& aStore,
               RolloutJudge& aJudge,
               const EvidenceLookup& aEvidence,
               base::TimePoint aNow);

} // namespace chivefront::control
