// An HTTP/1.1 server for callers, upstream announcements and admin pages.
//
//   net::HttpServer server(context, limits,
//     [](net::HttpExchange& exchange) -> net::Task<void> {
//       co_await exchange.Respond({ 200, "text/plain", {}, "hello\n" });
//     });
//   absl::Status status = server.Listen(endpoint);
//
// Bounds: header and body size, time to receive them, idle time of a
// connection, number of connections, and the time one write to a slow reader
// may take. A request that breaks a bound never reaches the handler.
#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <set>

#include <absl/status/statusor.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "chivefront/base/clock.h"
#include "chivefront/base/settings.h"
#include "chivefront/net/http.h"
#include "chivefront/net/task.h"

namespace chivefront::net {

struct HttpLimits
{
  size_t m_headerBytes = 16 * 1024;
  size_t m_bodyBytes = 8 * 1024 * 1024;
  size_t m_maxConnections = 20000;
  // Kernel send buffer per connection; small, so that a slow reader holds
  // its data at the sender. 0 leaves the system's default.
  int m_sendBufferBytes = 0;
  base::Millis m_receiveTimeout{ 10000 };
  base::Millis m_idleTimeout{ 60000 };
  base::Millis m_writeTimeout{ 30000 };
};

// One request and the response to it.
class HttpExchange
{
public:
  virtual ~HttpExchange() = default;

  virtual const HttpRequest& Request() const = 0;

  // Sends a whole response. LinkClosed or Timeout when the peer is gone or
  // does not read.
  virtual Task<absl::Status> Respond(HttpResponse aResponse) = 0;

  // Sends a response piece by piece with chunked encoding. The response is
  // complete for the peer only after EndStream; a connection that closes
  // before shows it the truncation. Write waits until the peer has taken the
  // data, at most HttpLimits::m_writeTimeout.
  virtual Task<absl::Status> BeginStream(int aStatus,
                                         std::string aContentType,
                                         HttpHeaders aHeaders) = 0;
  virtual Task<absl::Status> Write(std::string aData) = 0;
  virtual Task<absl::Status> EndStream() = 0;

  // True once any byte of a response was handed to the socket.
  virtual bool IsResponseStarted() const = 0;
};

using HttpHandler = std::function<Task<void>(HttpExchange&)>;

// The answer to a request that could not be parsed or broke a bound. Returns
// the body for an HTTP status (400, 413, 431) and a reason.
using HttpErrorBody = std::function<HttpResponse(int, std::string_view)>;

class HttpServer
{
public:
  HttpServer(asio::io_context& aContext,
             HttpLimits aLimits,
             HttpHandler aHandler,
             HttpErrorBody aErrorBody = {});
  ~HttpServer();

  // Unavailable when the endpoint can't be bound. Port 0 takes a free one.
  absl::Status Listen(const base::Endpoint& aEndpoint);
  base::Endpoint BoundEndpoint() const;

  // Stops accepting connections; requests on open ones still run, each with
  // "Connection: close".
  void StopAccepting();
  // Requests whose handler has not returned.
  size_t ActiveRequests() const;
  // Closes connections that have no request running.
  void CloseIdle();

private:
  struct Connection;
  struct Shared;

  Task<void> AcceptLoop();

  std::shared_ptr<Shared> m_shared;
};

} // namespace chivefront::net
