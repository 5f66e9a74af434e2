// The inputs of duty::Scaler, from the configuration, the registry, the
// replicated state and the loads that entries report. Does no I/O.
#pragma once

#include <map>
#include <vector>

#include "chivefront/duty/scaling.h"
#include "chivefront/routing/config.h"
#include "chivefront/routing/registry.h"
#include "chivefront/site/load_collector.h"
#include "chivefront/site/store.h"

namespace chivefront::site {

// One load for each service with scaling and each failure domain where the
// service has a ready upstream. A domain without one has no load, which the
// scaler takes for a lost domain. Prompt memory in use is not known.
std::vector<duty::ServiceLoad>
MakeServiceLoads(const routing::Config& aConfig,
                 const routing::Registry& aRegistry,
                 const State& aState,
                 const std::map<ServiceDomain, TotalLoad>& aTotals,
                 base::TimePoint aNow);

} // namespace chivefront::site
