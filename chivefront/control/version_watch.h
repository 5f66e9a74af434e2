// Watches versions in general use for a turn to the worse, from the evidence
// pooled at the leader, and gives the changes that withdraw them.
//
//   VersionWatch watch;
//   auto outcome = watch.Evaluate(store, evidence, serving);
//   ... propose outcome.m_changes, report outcome.m_unreplaced ...
//
// The reference of a version is its own record up to the time when it had
// enough of it here. A new leader starts with new references, taken from
// totals that may include bad times; it then notices a further fall only.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "chivefront/control/system_changes.h"
#include "chivefront/policy/rollout_judge.h"

namespace chivefront::control {

// Versions that some upstream in service can run.
using ServingVersionsLookup =
  std::function<std::set<std::string>(const catalog::Catalog& aCatalog)>;

// Not thread-safe.
class VersionWatch
{
public:
  struct Outcome
  {
    // One per bad version that another one can replace.
    std::vector<wire::ChangeRequestT> m_changes;
    // Bad versions without a replacement, with the measure that shows it.
    std::map<std::string, std::string> m_unreplaced;
  };

  // aServing is called only when a version has turned bad.
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
