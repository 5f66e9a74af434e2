// The admin port of a server process: /metrics, /healthz, /readyz, /events and
// /status.
#pragma once

#include <functional>

#include "chivefront/base/events.h"
#include "chivefront/base/metrics.h"
#include "chivefront/net/http_server.h"

namespace chivefront::net {

class AdminServer
{
public:
  // aReady: whether load balancers and operators may rely on this process;
  // served at /readyz.
  // aStatus: returns the JSON text served at /status.
  AdminServer(asio::io_context& aContext,
              const base::Metrics& aMetrics,
              const base::EventLog& aEvents,
              std::function<bool()> aReady,
              std::function<std::string()> aStatus);

  absl::Status Listen(const base::Endpoint& aEndpoint)
  {
    return m_server.Listen(aEndpoint);
  }
  base::Endpoint BoundEndpoint() const { return m_server.BoundEndpoint(); }

private:
  Task<void> Handle(HttpExchange& aExchange);

  const base::Metrics& m_metrics;
  const base::EventLog& m_events;
  const std::function<bool()> m_ready;
  const std::function<std::string()> m_status;
  HttpServer m_server;
};

} // namespace chivefront::net
