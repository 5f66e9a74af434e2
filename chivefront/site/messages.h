// Conversion of upstream records and of the replicated state to and from watch
// messages.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "chivefront/routing/crash_quarantine.h"
#include "chivefront/routing/registry.h"
#include "chivefront/site/store.h"
#include "chivefront/wire/protocol_generated.hpp"

namespace chivefront::site {

// Times are sent as durations, because the clocks of two hosts are not
// comparable.
wire::UpstreamInfoT
ToWire(const routing::Instance& aInstance, base::TimePoint aNow);
// Returns false when the address of an upstream that is not gone can't be
// parsed.
bool
FromWire(const wire::UpstreamInfoT& aInfo,
         base::TimePoint aNow,
         routing::Instance& aInstance);

using ConfigEntries = std::vector<std::unique_ptr<wire::ConfigEntryT>>;

// Encodes aState. The document is left out when the receiver already has its
// number or a higher one, aHaveNumber.
ConfigEntries
ToEntries(const State& aState, uint64_t aHaveNumber, base::TimePoint aNow);
// Decodes all fields of aState but its revision; its number is set only
// together with a document. Returns Invalid for unreadable entries, which are a
// fault because the sender is another chivefront process.
absl::Status
FromEntries(const ConfigEntries& aEntries, base::TimePoint aNow, State& aState);

// Adds what an entry has seen of crashes to a poll, and reads it.
void
AddCrashReport(const routing::CrashReport& aReport,
               base::TimePoint aNow,
               wire::WatchRequestT& aRequest);
routing::CrashReport
ReadCrashReport(const wire::WatchRequestT& aRequest, base::TimePoint aNow);

using QuarantinedRows = std::vector<std::unique_ptr<wire::QuarantinedPartT>>;

QuarantinedRows
ToWire(const routing::QuarantinedCauses& aCauses, base::TimePoint aNow);
routing::QuarantinedCauses
FromWire(const QuarantinedRows& aRows, base::TimePoint aNow);

} // namespace chivefront::site
