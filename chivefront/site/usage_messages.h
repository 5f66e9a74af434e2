// Conversion of usage reports to and from watch messages.
#pragma once

#include "chivefront/duty/usage_collector.h"
#include "chivefront/wire/protocol_generated.hpp"

namespace chivefront::site {

// Adds aReport to a poll.
void
AddUsageReport(const duty::UsageReport& aReport, wire::WatchRequestT& aRequest);
// Reads the report of a poll, which holds no more than the poll itself.
duty::UsageReport
ReadUsageReport(const wire::WatchRequestT& aRequest);

// Encodes what changed of holders, for other control processes. aWindow is the
// length of a window.
wire::UsageRelayT
MakeUsageRelay(base::Millis aWindow,
               const std::vector<duty::HolderUsage>& aHolders);
std::vector<duty::HolderUsage>
ReadUsageRelay(const wire::UsageRelayT& aRelay);

} // namespace chivefront::site
