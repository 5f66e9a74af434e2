// One connection of a caller: reads its requests one after the other and
// writes their answers.
//
// The connection closes itself when a caller is too slow with a request, does
// not read its answer, or stays idle. Use it on the context's single thread.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include <absl/status/status.h>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include "chivefront/net/task.h"
#include "chivefront/routing/config.h"

namespace chivefront::proxy {

using CallerRequest =
  boost::beast::http::request<boost::beast::http::string_body>;

// Why no request was read.
enum class ReadEnd
{
  Request, // one was read
  Closed,  // the caller left, or was idle for too long
  Refused, // it broke a bound or the protocol and was answered
};

class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
  explicit CallerConnection(net::asio::ip::tcp::socket aSocket);

  net::Task<ReadEnd> ReadRequest(const routing::CallerLimits& aLimits);
  const CallerRequest& Request() const { return m_request; }
  CallerRequest& Request() { return m_request; }

  // aHead: status line and header lines, without the framing headers and the
  // blank line. aLast: the connection closes after the answer.
  net::Task<absl::Status> WriteWhole(std::string aHead,
                                     std::string aBody,
                                     bool aLast);
  net::Task<absl::Status> BeginStream(std::string aHead, bool aLast);
  net::Task<absl::Status> WritePiece(std::string aPiece);
  // Completes the stream. Without it the caller sees that the answer is cut.
  net::Task<absl::Status> EndStream();

  // Bytes of an answer were written.
  bool Started() const { return m_started; }
  // The answer was written to its end.
  bool Ended() const { return m_ended; }
  bool KeepAlive() const { return m_keepAlive && m_ended; }

  // Calls aLeft once when the caller closes the connection before StopWatching.
  void WatchForLeave(std::function<void()> aLeft);
  void StopWatching();

  net::asio::any_io_executor Executor() { return m_stream.get_executor(); }
  // Closes the connection unless a request has begun to arrive.
  void CloseIfIdle();
  void Close();

private:
  net::Task<absl::Status> Write(std::string aBytes);
  net::Task<void> Refuse(int aStatus);
  void WaitForBytes(uint64_t aWatch, std::function<void()> aLeft);

  boost::beast::tcp_stream m_stream;
  boost::beast::flat_buffer m_buffer;
  CallerRequest m_request;
  uint64_t m_watch = 0; // number of the watch that holds
  bool m_idle = true;
  // Set by Close: what was read before it must not be served after it.
  bool m_closed = false;
  bool m_keepAlive = true;
  bool m_started = false;
  bool m_ended = false;
  bool m_chunked = true; // of the stream; a caller of HTTP/1.0 gets none
};

} // namespace chivefront::proxy
