// One connection of a caller: reads its requests one after the other and writes
// their responses.
//
// The connection closes itself if the caller sends a request too slowly, does
// not read its response, or stays idle. Not thread-safe: use it on the thread
// of its context.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include <absl/status/status.h>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "chivefront/net/read_buffer.h"
#include "chivefront/net/task.h"
#include "chivefront/proxy/held_bytes.h"
#include "chivefront/routing/config.h"

namespace chivefront::proxy {

using CallerRequest =
  boost::beast::http::request<boost::beast::http::string_body>;

// Result of ReadRequest.
enum class ReadResult
{
  Request, // a request was read
  Closed,  // the caller disconnected or was idle for too long
  Refused, // the request exceeded a limit or was malformed; it was answered
};

class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
  CallerConnection(net::asio::ip::tcp::socket aSocket,
                   std::shared_ptr<HeldBytes> aHeldBytes);

  net::Task<ReadResult> ReadRequest(const routing::CallerLimits& aLimits);
  // Status of the answer to a refused request.
  int RefusedStatus() const { return m_refusedStatus; }
  const CallerRequest& Request() const { return m_request; }
  CallerRequest& Request() { return m_request; }

  // aHead: status line and header lines, without framing headers and without
  // the final empty line. aClose: close the connection after the response.
  net::Task<absl::Status> WriteResponse(std::string aHead,
                                        std::string aBody,
                                        bool aClose);
  net::Task<absl::Status> BeginStream(std::string aHead, bool aClose);
  net::Task<absl::Status> WriteChunk(std::string aChunk);
  // Completes the response. Without it the caller sees a truncated response.
  net::Task<absl::Status> EndStream();

  // Whether writing of the response has begun.
  bool ResponseStarted() const { return m_responseStarted; }
  // Whether the response was written to its end.
  bool ResponseEnded() const { return m_responseEnded; }
  bool KeepAlive() const { return m_keepAlive && m_responseEnded; }

  // Calls aOnDisconnect once if the caller closes the connection before
  // StopWatching is called.
  void WatchForDisconnect(std::function<void()> aOnDisconnect);
  void StopWatching();

  net::asio::any_io_executor Executor() { return m_stream.get_executor(); }
  // Closes the connection unless a request has started to arrive.
  void CloseIfIdle();
  // Closes the connection so that a response that has not ended looks
  // truncated.
  void Close();

private:
  net::Task<absl::Status> Write(std::string aBytes);
  using Parser =
    boost::beast::http::request_parser<boost::beast::http::string_body>;

  // Reads the rest of a body. Returns no_buffer_space if the entry holds too
  // much.
  net::Task<boost::system::error_code> ReadBody(Parser& aParser);
  net::Task<void> Refuse(int aStatus);
  void WaitForReadable(uint64_t aWatchNumber,
                       std::function<void()> aOnDisconnect);

  boost::beast::tcp_stream m_stream;
  net::ReadBuffer m_buffer;
  CallerRequest m_request;
  HeldBytes::Claim m_bodyClaim; // of m_request, or of the one that arrives
  int m_refusedStatus = 0;
  uint64_t m_watchNumber = 0; // identifies the current WatchForDisconnect
  bool m_idle = true;
  // Set by Close. A request that was read before must not be served afterwards.
  bool m_closed = false;
  bool m_keepAlive = true;
  bool m_responseStarted = false;
  bool m_responseEnded = false;
  // Response encoding; HTTP/1.0 callers cannot decode it.
  bool m_chunked = true;
};

} // namespace chivefront::proxy
