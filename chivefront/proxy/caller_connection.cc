// The caller's side on Boost.Beast's parser.
#include "chivefront/proxy/caller_connection.h"

#include <charconv>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>

#include "chivefront/base/errors.h"

namespace chivefront::proxy {
namespace http = boost::beast::http;
using boost::system::error_code;
using Tcp = net::asio::ip::tcp;

namespace detail {

// A caller that takes nothing for this long is given up.
constexpr base::Millis kWriteTime{ 10000 };
// How long bytes of a refused request are still read, so that the caller sees
// the answer and no reset.
constexpr base::Millis kLinger{ 500 };
constexpr size_t kReadBytes = 4096;
constexpr char kContinue[] = "HTTP/1.1 100 Continue\r\n\r\n";

// 0 when the caller has gone and needs no answer.
int
StatusOfReadError(const error_code& aError)
{
  if (aError == http::error::body_limit) {
    return 413;
  }
  if (aError == http::error::header_limit ||
      aError == http::error::buffer_overflow) {
    return 431;
  }
  const bool gone = aError == http::error::end_of_stream ||
                    aError == http::error::partial_message ||
                    aError.category() !=
                      http::make_error_code(http::error::bad_method).category();
  return gone ? 0 : 400;
}

std::string
ChunkHead(size_t aSize)
{
  constexpr int kHexadecimal = 16;
  std::array<char, 20> digits{};
  const auto end = std::to_chars(
    digits.data(), digits.data() + digits.size(), aSize, kHexadecimal);
  return std::string(digits.data(), end.ptr) + "\r\n";
}

} // namespace detail

CallerConnection::CallerConnection(Tcp::socket aSocket)
  : m_stream(std::move(aSocket))
{
  error_code ignored; // answers are only slower without it
  m_stream.socket().set_option(Tcp::no_delay(true), ignored);
}

net::Task<ReadEnd>
CallerConnection::ReadRequest(const routing::CallerLimits& aLimits)
{
  m_idle = true;
  m_started = m_ended = false;
  http::request_parser<http::string_body> parser;
  parser.header_limit(static_cast<uint32_t>(aLimits.m_headerBytes));
  parser.body_limit(aLimits.m_bodyBytes);
  error_code error;
  if (m_buffer.size() == 0) {
    m_stream.expires_after(aLimits.m_idleTimeout.ToChrono());
    const size_t got = co_await m_stream.async_read_some(
      m_buffer.prepare(detail::kReadBytes),
      net::asio::redirect_error(net::asio::use_awaitable, error));
    if (error || m_closed) {
      co_return ReadEnd::Closed;
    }
    m_buffer.commit(got);
  }
  m_idle = false;
  m_stream.expires_after(aLimits.m_headerTimeout.ToChrono());
  co_await http::async_read_header(
    m_stream,
    m_buffer,
    parser,
    net::asio::redirect_error(net::asio::use_awaitable, error));
  if (!error && parser.get()[http::field::expect] == "100-continue") {
    co_await net::asio::async_write(
      m_stream,
      net::asio::buffer(detail::kContinue, sizeof(detail::kContinue) - 1),
      net::asio::redirect_error(net::asio::use_awaitable, error));
  }
  if (!error && !parser.is_done()) {
    m_stream.expires_after(aLimits.m_idleTimeout.ToChrono());
    co_await http::async_read(
      m_stream,
      m_buffer,
      parser,
      net::asio::redirect_error(net::asio::use_awaitable, error));
  }
  const bool oddFraming =
    !error && parser.get().count(http::field::transfer_encoding) > 0 &&
    !parser.chunked();
  if (error || oddFraming) {
    // Where the body of a request with an unknown encoding ends is not known.
    const int status = oddFraming ? 400 : detail::StatusOfReadError(error);
    if (status == 0) {
      co_return ReadEnd::Closed;
    }
    co_await Refuse(status);
    co_return ReadEnd::Refused;
  }
  if (m_closed) {
    co_return ReadEnd::Closed;
  }
  m_stream.expires_never();
  m_keepAlive = parser.get().keep_alive();
  constexpr unsigned kHttp11 = 11;
  m_chunked = parser.get().version() >= kHttp11;
  m_request = parser.release();
  co_return ReadEnd::Request;
}

net::Task<void>
CallerConnection::Refuse(int aStatus)
{
  std::string head = "HTTP/1.1 " + std::to_string(aStatus) + " Refused\r\n";
  (void)co_await WriteWhole(std::move(head), "", true);
  error_code error;
  m_stream.socket().shutdown(Tcp::socket::shutdown_send, error);
  m_stream.expires_after(detail::kLinger.ToChrono());
  while (!error) {
    m_buffer.clear();
    (void)co_await m_stream.async_read_some(
      m_buffer.prepare(detail::kReadBytes),
      net::asio::redirect_error(net::asio::use_awaitable, error));
  }
}

net::Task<absl::Status>
CallerConnection::Write(std::string aBytes)
{
  m_started = true;
  error_code error;
  m_stream.expires_after(detail::kWriteTime.ToChrono());
  co_await net::asio::async_write(
    m_stream,
    net::asio::buffer(aBytes),
    net::asio::redirect_error(net::asio::use_awaitable, error));
  if (error) {
    co_return base::MakeError(base::ErrorKind::LinkClosed, error.message());
  }
  m_stream.expires_never();
  co_return absl::OkStatus();
}

net::Task<absl::Status>
CallerConnection::WriteWhole(std::string aHead, std::string aBody, bool aLast)
{
  m_keepAlive = m_keepAlive && !aLast;
  aHead += "Content-Length: " + std::to_string(aBody.size()) + "\r\n";
  aHead += m_keepAlive ? "\r\n" : "Connection: close\r\n\r\n";
  if (m_request.method() != http::verb::head) {
    aHead += aBody;
  }
  const absl::Status status = co_await Write(std::move(aHead));
  m_ended = status.ok();
  co_return status;
}

net::Task<absl::Status>
CallerConnection::BeginStream(std::string aHead, bool aLast)
{
  m_keepAlive = m_keepAlive && !aLast && m_chunked;
  aHead += m_chunked ? "Transfer-Encoding: chunked\r\n" : "";
  aHead += m_keepAlive ? "\r\n" : "Connection: close\r\n\r\n";
  co_return co_await Write(std::move(aHead));
}

net::Task<absl::Status>
CallerConnection::WritePiece(std::string aPiece)
{
  if (aPiece.empty()) {
    co_return absl::OkStatus(); // an empty chunk would end the answer
  }
  if (m_chunked) {
    aPiece.insert(0, detail::ChunkHead(aPiece.size()));
    aPiece += "\r\n";
  }
  co_return co_await Write(std::move(aPiece));
}

net::Task<absl::Status>
CallerConnection::EndStream()
{
  absl::Status status;
  if (m_chunked) {
    status = co_await Write("0\r\n\r\n");
  }
  m_ended = status.ok();
  co_return status;
}

void
CallerConnection::WatchForLeave(std::function<void()> aLeft)
{
  WaitForBytes(++m_watch, std::move(aLeft));
}

void
CallerConnection::StopWatching()
{
  ++m_watch;
}

void
CallerConnection::WaitForBytes(uint64_t aWatch, std::function<void()> aLeft)
{
  if (m_buffer.size() != 0) {
    return; // the next request has arrived already: the caller is there
  }
  m_stream.socket().async_wait(
    Tcp::socket::wait_read,
    [self = shared_from_this(), aWatch, left = std::move(aLeft)](
      const error_code& aError) {
      if (self->m_watch != aWatch || aError) {
        return;
      }
      char byte = 0;
      error_code error;
      self->m_stream.socket().non_blocking(true, error);
      const size_t got = self->m_stream.socket().receive(
        net::asio::buffer(&byte, 1), Tcp::socket::message_peek, error);
      if (error == net::asio::error::would_block) {
        self->WaitForBytes(aWatch, left);
      } else if (error || got == 0) {
        left();
      }
    });
}

void
CallerConnection::CloseIfIdle()
{
  error_code error;
  const bool arriving =
    m_buffer.size() > 0 || m_stream.socket().available(error) > 0;
  if (m_idle && !arriving) {
    Close();
  }
}

void
CallerConnection::Close()
{
  m_closed = true;
  m_stream.close();
}

} // namespace chivefront::proxy
