// One connection to an upstream: connects, sends a request, and reads the head
// and the body of the response.
//
// Errors are those of http_client.h. NoUpstream: no byte was sent. LinkClosed
// and AnswerIncomplete: the request may have run.
#pragma once

#include <array>
#include <memory>
#include <optional>
#include <string>

#include <absl/status/statusor.h>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include "chivefront/base/clock.h"
#include "chivefront/base/settings.h"
#include "chivefront/net/read_buffer.h"
#include "chivefront/net/task.h"

namespace chivefront::proxy {

class UpstreamConnection
{
public:
  using Parser =
    boost::beast::http::response_parser<boost::beast::http::buffer_body>;

  explicit UpstreamConnection(const net::asio::any_io_executor& aExecutor);

  net::Task<absl::Status> Connect(const base::Endpoint& aAddress,
                                  base::Millis aTimeout);
  // Writes aRequest and reads the head of the response, which may come before
  // the upstream has read the whole request. Interim responses (1xx) are
  // skipped.
  net::Task<absl::Status> SendRequest(
    std::shared_ptr<const std::string> aRequest);
  // Reads the head of the next response, after a response that was skipped.
  net::Task<absl::Status> ReadHead();
  // Returns the next part of the body, empty at its end. AnswerIncomplete if
  // the connection ends before the body.
  net::Task<absl::StatusOr<std::string>> ReadBody();

  // Head of the current response.
  const Parser::value_type& Head() const { return m_parser->get(); }
  // Whether the response was read to its end and the connection can carry
  // another request.
  bool Reusable() const;
  // Whether the response has neither a length nor chunks, so that its body ends
  // with the connection.
  bool EndsWithConnection() const;
  // Whether the connection is open and no byte has arrived since the last
  // response. Bytes that have arrived would be mistaken for the next response.
  bool IsIdle();

  // The smoothed round trip that the kernel has measured, in milliseconds.
  // Nothing if it has measured none.
  std::optional<double> RoundTripMs();
  // Closes the connection; pending operations fail. If the upstream has not
  // acknowledged all bytes, the connection is reset: a request that is given up
  // must not reach the upstream later, when the network lets its bytes through.
  void Close();
  // Bytes that the upstream has not acknowledged, including those not sent yet.
  size_t UnacknowledgedBytes();

  // Whether the last request was written in full.
  bool IsRequestWritten() const { return m_requestWritten; }
  // Whether a request has been sent on this connection.
  bool Used() const { return m_used; }
  void SetIdleSince(base::TimePoint aNow) { m_idleSince = aNow; }
  base::TimePoint IdleSince() const { return m_idleSince; }
  // Idle timeout from the upstream's Keep-Alive header; 0 if it sent none.
  base::Millis KeepAliveTimeout() const { return m_keepAliveTimeout; }

private:
  net::Task<void> WriteAll(std::shared_ptr<const std::string> aRequest);
  void ReadKeepAliveTimeout();

  net::asio::ip::tcp::socket m_socket;
  net::ReadBuffer m_buffer;
  std::optional<Parser> m_parser;
  std::array<char, 16 * 1024> m_bodyBuffer{};
  bool m_used = false;
  bool m_requestWritten = true; // the last request was written in full
  base::TimePoint m_idleSince;
  base::Millis m_keepAliveTimeout{ 0 };
};

} // namespace chivefront::proxy
