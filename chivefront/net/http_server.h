// An HTTP/1.1 server for callers, upstream announcements and admin pages.
//
//   net::HttpServer server(context, limits,
//     [](net::HttpExchange& exchange) -> net::Task<void> {
//       co_await exchange.Respond({ 200, "text/plain", {}, "hello\n" });
//     });
//   absl::Status status = server.Listen(endpoint);
//
// HttpLimits limits the size of headers and body, the time to receive them, the
// idle time of a connection, the number of connections, and the time of one
// write to a slow reader. A request that exceeds a limit never reaches the
// handler.
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
  // Size of the kernel's send buffer per connection. With a small buffer, a
  // Write to a slow reader waits instead of filling the kernel's memory. 0
  // keeps the system's default.
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

  // Sends a whole response. LinkClosed when the peer has closed the
  // connection, Timeout when it does not read.
  virtual Task<absl::Status> Respond(HttpResponse aResponse) = 0;

  // BeginStream, Write and EndStream send a response piece by piece with
  // chunked encoding. The response is complete for the peer only after
  // EndStream; if the connection closes earlier, the peer sees that the
  // response is truncated. Write waits until the kernel has accepted the data,
  // at most HttpLimits::m_writeTimeout.
  virtual Task<absl::Status> BeginStream(int aStatus,
                                         std::string aContentType,
                                         HttpHeaders aHeaders) = 0;
  virtual Task<absl::Status> Write(std::string aData) = 0;
  virtual Task<absl::Status> EndStream() = 0;

  // True once the server has begun to send a response.
  virtual bool IsResponseStarted() const = 0;
};

using HttpHandler = std::function<Task<void>(HttpExchange&)>;

// Makes the response to a request that could not be parsed or exceeded a limit,
// from its HTTP status (400, 413 or 431) and a reason.
using HttpErrorBody = std::function<HttpResponse(int, std::string_view)>;

class HttpServer
{
public:
  HttpServer(asio::io_context& aContext,
             HttpLimits aLimits,
             HttpHandler aHandler,
             HttpErrorBody aErrorBody = {});
  ~HttpServer();

  // Unavailable when the endpoint can't be bound. Port 0 chooses a free port.
  absl::Status Listen(const base::Endpoint& aEndpoint);
  base::Endpoint BoundEndpoint() const;

  // Stops accepting connections. Requests on open connections still run; their
  // responses carry "Connection: close".
  void StopAccepting();
  // Stops accepting connections and waits until all requests that have arrived
  // are answered, for at most aTimeout.
  Task<void> Drain(base::Millis aTimeout);
  // The number of requests whose handler has not returned.
  size_t ActiveRequests() const;
  // Closes the connections that are waiting for a request.
  void CloseIdle();

private:
  struct Connection;
  struct Shared;

  Task<void> AcceptLoop();
  static void Admit(const std::shared_ptr<Shared>& aShared,
                    asio::ip::tcp::socket aSocket);

  std::shared_ptr<Shared> m_shared;
};

} // namespace chivefront::net
