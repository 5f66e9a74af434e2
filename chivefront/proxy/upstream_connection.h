// One connection to an upstream: connects, sends a request, reads the head and
// the body of its answer.
//
// Errors are those of http_client.h: NoUpstream proves that no byte was sent;
// LinkClosed and AnswerIncomplete leave open whether the request ran.
#pragma once

#include <array>
#include <memory>
#include <optional>
#include <string>

#include <absl/status/statusor.h>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include "chivefront/base/clock.h"
#include "chivefront/base/settings.h"
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
  // Writes aRequest and reads the head of the answer; the upstream may answer
  // before it has read everything. Interim answers (1xx) are skipped.
  net::Task<absl::Status> Send(std::shared_ptr<const std::string> aRequest);
  // Reads the head of a further answer, after one that was not wanted.
  net::Task<absl::Status> ReadHead();
  // The next piece of the body; empty at its end.
  net::Task<absl::StatusOr<std::string>> Read();

  // The head that was read last.
  const Parser::value_type& Head() const { return m_parser->get(); }
  // Nothing of the answer is missing and the connection can carry another
  // request.
  bool Reusable() const;
  // No byte has come since the last answer, so the next one belongs to the
  // next request. Also false for a connection that the upstream closed.
  bool Quiet();

  // Ends the connection; operations under way fail.
  void Close();

  // Whether a connection attempt or a request has been made on it before.
  bool Used() const { return m_used; }
  void SetIdleSince(base::TimePoint aNow) { m_idleSince = aNow; }
  base::TimePoint IdleSince() const { return m_idleSince; }
  // As the upstream promised for idle connections; 0 when it did not.
  base::Millis KeepAlive() const { return m_keepAlive; }

private:
  net::Task<void> WriteAll(std::shared_ptr<const std::string> aRequest);
  void NoteKeepAlive();

  net::asio::ip::tcp::socket m_socket;
  boost::beast::flat_buffer m_buffer;
  std::optional<Parser> m_parser;
  std::array<char, 16 * 1024> m_space{};
  bool m_used = false;
  bool m_written = true; // the last request, completely
  base::TimePoint m_idleSince;
  base::Millis m_keepAlive{ 0 };
};

} // namespace chivefront::proxy
