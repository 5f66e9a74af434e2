// The HTTP server for callers: authentication, routes and the list of models.
#pragma once

#include "chivefront/entry/flows.h"

namespace chivefront::entry {

class EntryServer
{
public:
  EntryServer(net::asio::io_context& aContext,
              FlowComponents& aComponents,
              const net::HttpLimits& aLimits);

  absl::Status Listen(const base::Endpoint& aEndpoint)
  {
    return m_server.Listen(aEndpoint);
  }
  base::Endpoint BoundEndpoint() const { return m_server.BoundEndpoint(); }
  net::HttpServer& Http() { return m_server; }

private:
  net::Task<void> Handle(net::HttpExchange& aExchange);
  absl::StatusOr<Caller> Authenticate(const net::HttpRequest& aRequest,
                                      std::string aRequestId) const;
  net::Task<void> ServeModels(const Caller& aCaller,
                              net::HttpExchange& aExchange);

  FlowComponents& m_components;
  base::Counter& m_received;
  net::HttpServer m_server;
};

} // namespace chivefront::entry
