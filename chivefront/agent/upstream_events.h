// What an upstream tells its agent. HTTP is one form of it (upstream_http.h).
#pragma once

#include <string>

#include <absl/status/status.h>

#include "chivefront/agent/acceptance.h"

namespace chivefront::agent {

// Thread-safe. Each call returns BadRequest for fields that make no sense and
// NoUpstream for an upstream that is not announced.
class UpstreamEvents
{
public:
  virtual ~UpstreamEvents() = default;

  // Renewed every 500 ms; aRunning and aQueued are the upstream's own figures.
  virtual absl::Status Announce(const UpstreamDescription& aDescription,
                                uint32_t aRunning,
                                uint32_t aQueued) = 0;
  virtual absl::Status Load(const std::string& aName,
                            uint32_t aRunning,
                            uint32_t aQueued) = 0;
  // Cache events arrive late and with gaps; aSequence shows the gaps.
  virtual absl::Status CacheEvents(const std::string& aName,
                                   uint64_t aSequence,
                                   size_t aCount) = 0;
  // The upstream is leaving: it finishes what runs and gets nothing new.
  virtual absl::Status Leave(const std::string& aName) = 0;
};

} // namespace chivefront::agent
