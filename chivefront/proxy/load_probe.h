// Asks an upstream for its load, by the path of its health check.
#pragma once

#include <string>

#include "chivefront/proxy/shared_state.h"

namespace chivefront::proxy {

// Records the load that aUpstream tells in its estimate. An upstream that does
// not answer in time gets no requests for a moment. Takes no longer than some
// tens of milliseconds; does nothing while another request asks the same.
net::Task<void>
ProbeLoad(SharedState& aShared,
          UpstreamPointer aUpstream,
          std::string aHealthPath,
          net::asio::any_io_executor aExecutor);

} // namespace chivefront::proxy
