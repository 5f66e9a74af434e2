// HTTP/1.1 calls to upstreams and other services. Each call opens its own
// connection, so that a failure to connect proves that no byte was sent.
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
  // Size of the kernel's receive buffer; small when the kernel must not accept
  // much more data than the caller has read. 0 keeps the system's default.
  int m_receiveBufferBytes = 0;
  // Until the response header has arrived, the connection ends by a reset, so
  // that the kernel does not send the rest of a request that was ended.
  bool m_resetUnlessAnswered = false;
};

class HttpClientStream
{
public:
  virtual ~HttpClientStream() = default;

  // Called after connecting and directly before the first byte is sent. When
  // the function returns an error, Open returns that error and has sent
  // nothing. aAbort aborts an Open that waits for the response; it may be
  // called on Open's executor only, and only until Open returns.
  using BeforeSend = std::function<absl::Status(std::function<void()> aAbort)>;

  // Connects, sends aRequest, and reads the response header. Errors:
  // NoUpstream when no byte was sent; Timeout or LinkClosed afterwards.
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

  // Closes the connection; a pending Read fails. To be called on the stream's
  // strand.
  virtual void Cancel() = 0;
};

// Reads a whole response into memory. BodyTooLarge when its body exceeds
// aMaxBodyBytes; other errors as from Open and Read.
Task<absl::StatusOr<HttpResponse>>
HttpCall(base::Endpoint aEndpoint,
         HttpRequest aRequest,
         HttpTimeouts aTimeouts,
         size_t aMaxBodyBytes = 8 * 1024 * 1024);

} // namespace chivefront::net
