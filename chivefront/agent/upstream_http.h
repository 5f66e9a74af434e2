// Serves UpstreamEvents over HTTP.
#pragma once

#include "chivefront/agent/upstream_events.h"
#include "chivefront/net/http_server.h"

namespace chivefront::agent {

class UpstreamHttpServer
{
public:
  UpstreamHttpServer(net::asio::io_context& aContext, UpstreamEvents& aEvents);

  absl::Status Listen(const base::Endpoint& aEndpoint)
  {
    return m_server.Listen(aEndpoint);
  }
  base::Endpoint BoundEndpoint() const { return m_server.BoundEndpoint(); }

private:
  net::Task<void> Handle(net::HttpExchange& aExchange);

  UpstreamEvents& m_events;
  net::HttpServer m_server;
};

} // namespace chivefront::agent
