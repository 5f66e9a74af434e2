// HTTP/1.1 calls to upstreams and services. Each call uses a connection of
// its own, so that a failure to connect proves that no byte was sent.
//
//   auto stream = co_await net::HttpClientStream::Open(endpoint, request, {});
//   if (!stream.ok()) ...    // NoUpstream: nothing was sent
//   while (true) {
//     auto piece = co_await (*stream)->Read();
//     if (!piece.ok()) ...   // AnswerIncomplete, Timeout
//     if (piece->empty()) break;   // the whole response was read
//   }
#pragma once

#include <functional>
#include <memory>
#include <string>

#include <absl/status/statusor.h>

#include "chivefront/base/clock.h"
#include "chivefront/base/settings.h"
#include "chivefront/net/http.h"
#include "chivefront/net/task.h"

namespace chivefront::net {

struct HttpTimeouts
{
  base::Millis m_connect{ 1000 };
  // Until the response header arrives.
  base::Millis m_header{ 60000 };
  // Between two pieces of the response body.
  base::Millis m_piece{ 30000 };
  // Kernel receive buffer; small for a reader that must not run ahead. 0
  // leaves the system's default.
  int m_receiveBufferBytes = 0;
};

class HttpClientStream
{
public:
  virtual ~HttpClientStream() = default;

  // Called once connected and directly before the first byte is sent. An
  // error ends Open with it, and proves that nothing was sent. aAbort ends an
  // Open that waits for the response; call it on Open's executor and only
  // until Open returned.
  using BeforeSend = std::function<absl::Status(std::function<void()> aAbort)>;

  // Connects, sends aRequest, and reads the response header. Errors:
  // NoUpstream when no byte was sent; Timeout, LinkClosed or BadFrame after.
  static Task<absl::StatusOr<std::unique_ptr<HttpClientStream>>> Open(
    base::Endpoint aEndpoint,
    HttpRequest aRequest,
    HttpTimeouts aTimeouts,
    BeforeSend aBeforeSend = {});

  virtual int Status() const = 0;
  virtual const HttpHeaders& Headers() const = 0;

  // The next piece of the body, empty at its end. AnswerIncomplete when the
  // connection ended before the body did.
  virtual Task<absl::StatusOr<std::string>> Read() = 0;

  // Ends the connection; a Read under way fails. Call on the stream's strand.
  virtual void Cancel() = 0;
};

// A whole response. BodyTooLarge when its body exceeds aMaxBodyBytes.
Task<absl::StatusOr<HttpResponse>>
HttpCall(base::Endpoint aEndpoint,
         HttpRequest aRequest,
         HttpTimeouts aTimeouts,
         size_t aMaxBodyBytes = 8 * 1024 * 1024);

} // namespace chivefront::net
