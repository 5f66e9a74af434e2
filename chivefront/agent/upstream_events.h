// What an upstream reports to its agent. upstream_http.h receives these reports
// over HTTP.
#pragma once

#include <string>

#include <absl/status/status.h>

#include "chivefront/agent/acceptance.h"

namespace chivefront::agent {

// Thread-safe. Each call returns BadRequest for invalid fields and NoUpstream
// for an upstream that was never announced.
class UpstreamEvents
{
public:
  virtual ~UpstreamEvents() = default;

  // Upstreams announce themselves every 500 ms. aRunning and aQueued are the
  // counts that the upstream itself reports.
  virtual absl::Status Announce(const UpstreamDescription& aDescription,
                                uint32_t aRunning,
                                uint32_t aQueued) = 0;
  virtual absl::Status ReportLoad(const std::string& aName,
                                  uint32_t aRunning,
                                  uint32_t aQueued) = 0;
  // Cache events arrive late and with gaps, which show in aSequence.
  virtual absl::Status ReportCacheEvents(const std::string& aName,
                                         uint64_t aSequence,
                                         size_t aCount) = 0;
  // The upstream is leaving: it finishes its running requests and gets no new
  // ones.
  virtual absl::Status Leave(const std::string& aName) = 0;
};

} // namespace chivefront::agent
