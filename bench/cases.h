// The cases of policy-bench. Each runs its models once per seed and adds its
// measures to the report.
#pragma once

#include <cstdint>

#include "bench/report.h"

namespace chivefront::bench {

struct Seeds
{
  uint64_t m_first = 1;
  uint64_t m_count = 20;
};

// Cost at the quality target against an oracle and simple rules.
void
RunCascade(const Seeds& aSeeds, Report& aReport);
// Paying latency beside a free tier at 10 times capacity.
void
RunClasses(const Seeds& aSeeds, Report& aReport);
// Exposure until a bad version is stopped, false stops, late turns.
void
RunRollout(const Seeds& aSeeds, Report& aReport);
// Placement rules under late load reports.
void
RunPlacement(const Seeds& aSeeds, Report& aReport);
// Work sent to an engine that becomes cold without warning.
void
RunLimiterCase(const Seeds& aSeeds, Report& aReport);
// Attempts per request in an outage and its recovery.
void
RunRetries(const Seeds& aSeeds, Report& aReport);
// Quarantine of crashing requests and of innocent ones.
void
RunSuspects(const Seeds& aSeeds, Report& aReport);
// A failure domain taken out and brought back at 70% load.
void
RunDomain(const Seeds& aSeeds, Report& aReport);

} // namespace chivefront::bench
