// Instances and replicated state as they travel in watch messages.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "chivefront/routing/registry.h"
#include "chivefront/site/store.h"
#include "chivefront/wire/protocol_generated.hpp"

namespace chivefront::site {

// Times travel as spans, because clocks of two hosts are not compared.
wire::UpstreamInfoT
ToWire(const routing::Instance& aInstance, base::TimePoint aNow);
// False for an address that is none.
bool
FromWire(const wire::UpstreamInfoT& aInfo,
         base::TimePoint aNow,
         routing::Instance& aInstance);

using ConfigEntries = std::vector<std::unique_ptr<wire::ConfigEntryT>>;

// All of aState but its document, and the document unless the receiver holds
// number aHaveNumber.
ConfigEntries
ToEntries(const State& aState, uint64_t aHaveNumber, base::TimePoint aNow);
// Fills everything but revision, and number only with a document. Entries that
// can't be read are an error: they come from a process of ours.
absl::Status
FromEntries(const ConfigEntries& aEntries, base::TimePoint aNow, State& aState);

} // namespace chivefront::site
