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

// Cost at the quality target, compared with an oracle and with simple rules.
void
RunCascade(const Seeds& aSeeds, Report& aReport);
// Latency of paying requests while the free load is 10 times the capacity.
void
RunClasses(const Seeds& aSeeds, Report& aReport);
// Requests exposed until a bad version is stopped, false stops of good
// versions, and versions that become bad after their roll-out.
void
RunRollout(const Seeds& aSeeds, Report& aReport);
// Placement rules when load reports arrive late.
void
RunPlacement(const Seeds& aSeeds, Report& aReport);
// Requests sent to an engine that becomes cold without a new incarnation.
void
RunLimiterCase(const Seeds& aSeeds, Report& aReport);
// Attempts per request in an outage and its recovery.
void
RunRetries(const Seeds& aSeeds, Report& aReport);
// Quarantine of requests that crash upstreams, and of harmless requests that
// are quarantined by mistake.
void
RunSuspects(const Seeds& aSeeds, Report& aReport);
// A failure domain taken out and brought back at 70% load.
void
RunDomain(const Seeds& aSeeds, Report& aReport);

} // namespace chivefront::bench
