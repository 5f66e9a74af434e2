// Chooses versions for requests that leave the model to the router, and learns
// from ratings of their answers. Combines policy::Cascade, a lock, the measured
// latency of each version and the rating service. Thread-safe.
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

// The versions that aTeam may use now, one for each of its models. aHash
// selects between the old and the new version of a roll-out.
std::vector<policy::CascadeOption>
CascadeOptionsFor(const catalog::Catalog& aCatalog,
                  const std::string& aTeam,
                  uint64_t aHash);

class CascadePlanner
{
public:
  CascadePlanner(EntryComponents& aComponents, Evidence& aEvidence);

  // The versions to run for one request. Empty when the team may use none.
  policy::CascadePlan Plan(const catalog::Catalog& aCatalog,
                           const std::string& aTeam,
                           policy::CascadeRequest aRequest,
                           uint64_t aHash);

  // Whether to rate an answer of aVersion that the cascade does not rate
  // anyway. During a roll-out of the model all answers are rated, because the
  // roll-out judge has to recognise a bad version within few requests;
  // otherwise a small sample is.
  bool ShouldRate(const catalog::Catalog& aCatalog,
                  const std::string& aVersion);

  // Has an answer rated, and adds the verdict to the cascade, the evidence and
  // the event log. Unavailable without a verdict.
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
  std::mutex m_lock; // guards the members below
  policy::Cascade m_cascade;
  std::mt19937_64 m_random;
  // Exponentially smoothed latency by version.
  std::map<std::string, double> m_latencyMs;
  // While the rating service is unavailable, it is not called before this time.
  base::TimePoint m_nextProbeAt;
  bool m_ratingsAvailable = true;
};

} // namespace chivefront::entry
