// Detects versions in general use whose quality has dropped, from the evidence
// pooled at the leader, and makes the changes that withdraw them.
//
//   VersionWatch watch;
//   auto outcome = watch.Evaluate(store, evidence, serving);
//   ... propose outcome.m_changes, report outcome.m_unreplaced ...
//
// Each version is compared with its own earlier evidence: the reference is the
// evidence pooled when there is first enough of it at this process. A new
// leader takes new references from totals that may include a bad period, and
// then detects only a further drop.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "chivefront/control/system_changes.h"
#include "chivefront/policy/rollout_judge.h"

namespace chivefront::control {

// Returns the versions that at least one upstream in service can run.
using ServingVersionsLookup =
  std::function<std::set<std::string>(const catalog::Catalog& aCatalog)>;

// Not thread-safe.
class VersionWatch
{
public:
  struct Outcome
  {
    // One change per bad version that has a replacement.
    std::vector<wire::ChangeRequestT> m_changes;
    // Bad versions without a replacement, each with the measure that dropped.
    std::map<std::string, std::string> m_unreplaced;
  };

  // Updates the monitors with the current evidence. aServing is called only
  // when a version has been found bad.
  Outcome Evaluate(const ConfigStore& aStore,
                   const EvidenceLookup& aEvidence,
                   const ServingVersionsLookup& aServing);

private:
  using BadVersions = std::map<std::string, std::string>; // version to measure

  BadVersions FindBadVersions(const catalog::Catalog& aCatalog,
                              const EvidenceLookup& aEvidence);

  std::map<std::string, policy::VersionMonitor> m_monitors; // by version
};

} // namespace chivefront::control
