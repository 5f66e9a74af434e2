// HTTP/1.1 client connection with Boost.Beast's parser.
#include "chivefront/proxy/upstream_connection.h"

#include <charconv>

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

#include "chivefront/base/errors.h"
#include "chivefront/net/http.h"

namespace chivefront::proxy {
namespace http = boost::beast::http;
using boost::system::error_code;
using Tcp = net::asio::ip::tcp;

namespace detail {

// The kernel ends a connection whose peer acknowledges neither data nor probes
// for this long. Several times Exchange's kUnacknowledgedTimeout, counted from
// the last sign of the peer before the request: a connection that the kernel
// has ended can't be reset any more, and its request could still arrive.
constexpr int kUserTimeoutMs = 8000;
constexpr int kProbeIntervalSeconds = 1;
constexpr int kKeepAliveProbes = 7;
constexpr uint32_t kMaxHeadBytes = 16 * 1024;
constexpr int kMaxInterimResponses = 3;

void
SetOption(Tcp::socket& aSocket, int aLevel, int aName, int aValue)
{
  // Errors are ignored: without the option it only takes longer to detect an
  // unreachable peer.
  (void)setsockopt(
    aSocket.native_handle(), aLevel, aName, &aValue, sizeof(aValue));
}

void
EnableDeadPeerDetection(Tcp::socket& aSocket)
{
  SetOption(aSocket, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(aSocket, IPPROTO_TCP, TCP_USER_TIMEOUT, kUserTimeoutMs);
  SetOption(aSocket, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(aSocket, IPPROTO_TCP, TCP_KEEPIDLE, kProbeIntervalSeconds);
  SetOption(aSocket, IPPROTO_TCP, TCP_KEEPINTVL, kProbeIntervalSeconds);
  SetOption(aSocket, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
}

absl::Status
MakeNetworkError(base::ErrorKind aKind, const error_code& aError)
{
  return base::MakeError(aKind, aError.message());
}

} // namespace detail

UpstreamConnection::UpstreamConnection(
  const net::asio::any_io_executor& aExecutor)
  : m_socket(aExecutor)
{
}

net::Task<absl::Status>
UpstreamConnection::Connect(const base::Endpoint& aAddress,
                            base::Millis aTimeout)
{
  error_code error;
  const auto address = net::asio::ip::make_address(aAddress.m_address, error);
  if (error) {
    co_return detail::MakeNetworkError(base::ErrorKind::NoUpstream, error);
  }
  const Tcp::endpoint endpoint(address, aAddress.m_port);
  m_socket.open(endpoint.protocol(), error);
  if (error) {
    co_return detail::MakeNetworkError(base::ErrorKind::NoUpstream, error);
  }
  detail::EnableDeadPeerDetection(m_socket);
  net::asio::steady_timer timer(m_socket.get_executor());
  timer.expires_after(aTimeout.ToChrono());
  // When the timer is cancelled, its handler may already be queued and then
  // runs after this connection has been destroyed.
  const auto connecting = std::make_shared<bool>(true);
  timer.async_wait([this, connecting](const error_code& aError) {
    if (!aError && *connecting) {
      Close();
    }
  });
  co_await m_socket.async_connect(
    endpoint, net::asio::redirect_error(net::asio::use_awaitable, error));
  *connecting = false;
  timer.cancel();
  if (error) {
    co_return detail::MakeNetworkError(base::ErrorKind::NoUpstream, error);
  }
  co_return absl::OkStatus();
}

net::Task<void>
UpstreamConnection::WriteAll(std::shared_ptr<const std::string> aRequest)
{
  error_code error;
  co_await net::asio::async_write(
    m_socket,
    net::asio::buffer(*aRequest),
    net::asio::redirect_error(net::asio::use_awaitable, error));
  m_requestWritten = !error;
}

net::Task<absl::Status>
UpstreamConnection::SendRequest(std::shared_ptr<const std::string> aRequest)
{
  m_used = true;
  m_requestWritten = false;
  // Most requests fit into the socket's send buffer at once.
  error_code error;
  m_socket.non_blocking(true, error);
  const size_t sent = m_socket.write_some(net::asio::buffer(*aRequest), error);
  if (error && error != net::asio::error::would_block) {
    // The upstream had closed the connection; no byte was sent.
    co_return detail::MakeNetworkError(base::ErrorKind::NoUpstream, error);
  }
  if (sent == aRequest->size()) {
    m_requestWritten = true;
  } else {
    auto rest = std::make_shared<const std::string>(aRequest->substr(sent));
    co_await WriteAll(std::move(rest));
  }
  co_return co_await ReadHead();
}

net::Task<absl::Status>
UpstreamConnection::ReadHead()
{
  for (int i = 0; i <= detail::kMaxInterimResponses; ++i) {
    m_parser.emplace();
    m_parser->body_limit(boost::none);
    m_parser->header_limit(detail::kMaxHeadBytes);
    error_code error;
    co_await http::async_read_header(
      m_socket,
      m_buffer,
      *m_parser,
      net::asio::redirect_error(net::asio::use_awaitable, error));
    if (error) {
      co_return detail::MakeNetworkError(base::ErrorKind::LinkClosed, error);
    }
    const unsigned status = m_parser->get().result_int();
    if (!net::IsHttpStatus(status)) {
      co_return base::MakeError(base::ErrorKind::BadFrame,
                                "status " + std::to_string(status));
    }
    if (!net::IsInterimStatus(status)) {
      ReadKeepAliveTimeout();
      co_return absl::OkStatus();
    }
  }
  co_return base::MakeError(base::ErrorKind::BadFrame,
                            "too many interim answers");
}

void
UpstreamConnection::ReadKeepAliveTimeout()
{
  constexpr std::string_view kTimeout = "timeout=";
  const auto value = m_parser->get()[http::field::keep_alive];
  const std::string_view text(value.data(), value.size());
  const size_t at = text.find(kTimeout);
  int64_t seconds = 0;
  if (at != std::string_view::npos) {
    const char* begin = text.data() + at + kTimeout.size();
    (void)std::from_chars(begin, text.data() + text.size(), seconds);
    constexpr int64_t kMillisPerSecond = 1000;
    m_keepAliveTimeout = base::Millis(seconds * kMillisPerSecond);
  }
}

net::Task<absl::StatusOr<std::string>>
UpstreamConnection::ReadBody()
{
  std::string chunk;
  while (chunk.empty() && !m_parser->is_done()) {
    auto& body = m_parser->get().body();
    body.data = m_bodyBuffer.data();
    body.size = m_bodyBuffer.size();
    body.more = true;
    error_code error;
    co_await http::async_read_some(
      m_socket,
      m_buffer,
      *m_parser,
      net::asio::redirect_error(net::asio::use_awaitable, error));
    if (error && error != http::error::need_buffer) {
      co_return detail::MakeNetworkError(base::ErrorKind::AnswerIncomplete,
                                         error);
    }
    chunk.assign(m_bodyBuffer.data(), m_bodyBuffer.size() - body.size);
  }
  // The failed write has taken the socket's error, so a reset looks like the
  // end of the connection, which is all that ends such a body.
  if (chunk.empty() && !m_requestWritten && EndsWithConnection()) {
    co_return base::MakeError(base::ErrorKind::AnswerIncomplete,
                              "the request could not be written");
  }
  co_return chunk;
}

bool
UpstreamConnection::EndsWithConnection() const
{
  return !m_parser->chunked() && !m_parser->content_length();
}

bool
UpstreamConnection::Reusable() const
{
  return m_parser && m_parser->is_done() && m_requestWritten &&
         m_parser->get().keep_alive() && m_buffer.size() == 0 &&
         m_socket.is_open();
}

bool
UpstreamConnection::IsIdle()
{
  if (!m_socket.is_open() || m_buffer.size() != 0) {
    return false;
  }
  char byte = 0;
  error_code error;
  m_socket.non_blocking(true, error);
  (void)m_socket.receive(
    net::asio::buffer(&byte, 1), Tcp::socket::message_peek, error);
  return error == net::asio::error::would_block;
}

size_t
UpstreamConnection::UnacknowledgedBytes()
{
  int bytes = 0;
  if (!m_socket.is_open() ||
      ioctl(m_socket.native_handle(), SIOCOUTQ, &bytes) != 0) {
    return 0;
  }
  return static_cast<size_t>(bytes);
}

std::optional<double>
UpstreamConnection::RoundTripMs()
{
  constexpr double kMicrosPerMilli = 1000;
  tcp_info info{};
  socklen_t size = sizeof(info);
  if (!m_socket.is_open() ||
      getsockopt(
        m_socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0 ||
      info.tcpi_rtt == 0) {
    return std::nullopt;
  }
  return info.tcpi_rtt / kMicrosPerMilli;
}

void
UpstreamConnection::Close()
{
  error_code ignored; // the connection is unused in any case
  if (UnacknowledgedBytes() > 0) {
    m_socket.set_option(net::asio::socket_base::linger(true, 0), ignored);
  }
  m_socket.close(ignored);
}

} // namespace chivefront::proxy
