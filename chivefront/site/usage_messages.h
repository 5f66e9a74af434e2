// Conversion of usage reports to and from watch messages.
#pragma once

#include "chivefront/duty/usage_counter.h"
#include "chivefront/wire/protocol_generated.hpp"

namespace chivefront::site {

// Adds aReport to a poll.
void
AddUsageReport(const duty::UsageReport& aReport, wire::WatchRequestT& aRequest);
// Reads the report of a poll, which holds no more than the poll itself.
duty::UsageReport
ReadUsageReport(const wire::WatchRequestT& aRequest);

} // namespace chivefront::site
