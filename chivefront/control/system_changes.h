// Changes that the control process itself proposes: quarantines and roll-out
// steps. Pure functions from the current state to change requests.
#pragma once

#include <functional>
#include <vector>

#include "chivefront/control/config_store.h"
#include "chivefront/control/rollout_judge.h"
#include "chivefront/ledger/ledger.h"

namespace chivefront::control {

// A change without entries, proposed by the control process itself. aName is
// unique among the changes that are made from the same revision.
wire::ChangeRequestT
MakeSystemChange(const std::string& aName, uint64_t aExpectedRevision);
void
AddEntry(wire::ChangeRequestT& aChange, std::string aKey, std::string aValue);

// One change per request that crashed often enough and is not quarantined.
// The change id contains the time of the last loss, so that a quarantine that
// an operator has lifted returns only after another loss.
std::vector<wire::ChangeRequestT>
QuarantineChanges(const ConfigStore& aStore,
                  const std::vector<ledger::QuarantineCandidate>& aCandidates);

// Evidence pooled over all watchers since the start of a roll-out; since the
// start of each watcher when aSince is 0.
using EvidenceLookup =
  std::function<wire::VersionEvidenceT(const std::string& aVersion,
                                       uint64_t aSince)>;

// One change per roll-out that is held, resumes, advances, ends or stops. Each
// change expects the current revision, so that it is never applied to another
// catalogue than the one it was made from.
std::vector<wire::ChangeRequestT>
RolloutChanges(const ConfigStore& aStore,
               RolloutJudge& aJudge,
               const EvidenceLookup& aEvidence,
               base::TimePoint aNow);

} // namespace chivefront::control
