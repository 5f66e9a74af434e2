// Choice of versions for requests that leave the model to the router, and the
// ratings that teach it. policy::Cascade with a lock, the measured latency of
// each version, and the rating service. Thread-safe.
#pragma once

#include <map>
#include <mutex>
#include <random>
#include <string>
#include <vector>

#include "chivefront/entry/components.h"
#include "chivefront/entry/evidence.h"
#include "chivefront/entry/rating.h"
#include "chivefront/policy/cascade.h"

namespace chivefront::entry {

// The versions that aTeam may use now, one per model, by the roll-outs'
// choice for aHash.
std::vector<policy::CascadeOption>
CascadeOptionsFor(const catalog::Catalog& aCatalog,
                  const std::string& aTeam,
                  uint64_t aHash);

class CascadePlanner
{
public:
  CascadePlanner(EntryComponents& aComponents, Evidence& aEvidence);

  // The plan for one request; no versions when the team may use none.
  policy::CascadePlan Plan(const catalog::Catalog& aCatalog,
                           const std::string& aTeam,
                           policy::CascadeRequest aRequest,
                           uint64_t aHash);

  // Whether an answer of aVersion outside the cascade is to be rated: all of
  // them while a roll-out of its model runs, because the judge has to see a
  // bad version within few requests, else a small share.
  bool ShouldRate(const catalog::Catalog& aCatalog,
                  const std::string& aVersion);

  // Rates an answer and takes the verdict into account everywhere.
  net::Task<absl::StatusOr<bool>> Rate(const std::string& aTeam,
                                       policy::PlanStep aStep,
                                       const RatingInput& aInput);

  void RecordLatency(const std::string& aVersion, base::Millis aLatency);

private:
  void RecordRatingAvailability(bool aAvailable);

  EntryComponents& m_components;
  Evidence& m_evidence;
  const RatingClient m_client;
  base::Counter& m_ratings;
  base::Counter& m_failures;
  std::mutex m_lock; // guards what follows
  policy::Cascade m_cascade;
  std::mt19937_64 m_random;
  std::map<std::string, double> m_latencyMs; // decayed mean by version
  base::TimePoint m_nextProbeAt; // while ratings are down, not before
  bool m_ratingsAvailable = true;
};

} // namespace chivefront::entry
