// Pages of the admin port.
#include "chivefront/net/admin.h"

namespace chivefront::net {
namespace detail {

HttpLimits
AdminLimits()
{
  HttpLimits limits;
  limits.m_bodyBytes = 64 * 1024;
  limits.m_maxConnections = 64;
  return limits;
}

} // namespace detail

AdminServer::AdminServer(asio::io_context& aContext,
                         const base::Metrics& aMetrics,
                         const base::EventLog& aEvents,
                         std::function<bool()> aReady,
                         std::function<std::string()> aStatus)
  : m_metrics(aMetrics)
  , m_events(aEvents)
  , m_ready(std::move(aReady))
  , m_status(std::move(aStatus))
  , m_server(aContext, detail::AdminLimits(), [this](HttpExchange& aExchange) {
    return Handle(aExchange);
  })
{
}

Task<void>
AdminServer::Handle(HttpExchange& aExchange)
{
  const std::string_view path = aExchange.Request().Path();
  HttpResponse response;
  response.m_contentType = "text/plain; version=0.0.4";
  if (path == "/metrics") {
    response.m_body = m_metrics.Render();
  } else if (path == "/healthz") {
    response.m_body = "ok\n";
  } else if (path == "/readyz") {
    const bool ready = m_ready();
    response.m_status = ready ? 200 : 503;
    response.m_body = ready ? "ready\n" : "not ready\n";
  } else if (path == "/events") {
    response.m_contentType = "application/x-ndjson";
    response.m_body = m_events.Dump();
  } else if (path == "/status") {
    response.m_contentType = "application/json";
    response.m_body = m_status();
  } else {
    response.m_status = 404;
    response.m_body = "no such page\n";
  }
  (void)co_await aExchange.Respond(std::move(response));
}

} // namespace chivefront::net
