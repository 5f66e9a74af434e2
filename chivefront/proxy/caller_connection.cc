// HTTP/1.1 server connection with Boost.Beast's parser.
#include "chivefront/proxy/caller_connection.h"

#include <charconv>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

#include "chivefront/base/errors.h"
#include "chivefront/net/lingering_close.h"

namespace chivefront::proxy {
namespace http = boost::beast::http;
using boost::system::error_code;
using Tcp = net::asio::ip::tcp;

namespace detail {

// Timeout of one write to a caller that does not read.
constexpr base::Millis kWriteTimeout{ 10000 };
constexpr size_t kReadBufferBytes = 4096;
constexpr int kServiceUnavailable = 503;
// Bodies that are under way end within some seconds; another entry may have
// room at once.
constexpr char kRetryHeader[] = "Retry-After: 0.5\r\n";
constexpr char kContinue[] = "HTTP/1.1 100 Continue\r\n\r\n";

// Status for a request that could not be read; 0 if the caller has
// disconnected. After the head, a read buffer overflows on chunk extensions or
// trailers.
int
StatusOfReadError(const error_code& aError, bool aHeadRead)
{
  if (aError == http::error::body_limit) {
    return 413;
  }
  if (aError == net::asio::error::no_buffer_space) {
    return kServiceUnavailable;
  }
  if (aError == http::error::header_limit ||
      aError == http::error::buffer_overflow) {
    return aHeadRead ? 400 : 431;
  }
  const bool disconnected =
    aError == http::error::end_of_stream ||
    aError == http::error::partial_message ||
    aError.category() !=
      http::make_error_code(http::error::bad_method).category();
  return disconnected ? 0 : 400;
}

std::string
ChunkHeader(size_t aSize)
{
  constexpr int kHexadecimal = 16;
  std::array<char, 20> digits{};
  const auto end = std::to_chars(
    digits.data(), digits.data() + digits.size(), aSize, kHexadecimal);
  return std::string(digits.data(), end.ptr) + "\r\n";
}

} // namespace detail

CallerConnection::CallerConnection(Tcp::socket aSocket,
                                   std::shared_ptr<HeldBytes> aHeldBytes)
  : m_stream(std::move(aSocket))
  , m_bodyClaim(std::move(aHeldBytes))
{
  error_code ignored; // only adds latency if it fails
  m_stream.socket().set_option(Tcp::no_delay(true), ignored);
}

net::Task<ReadResult>
CallerConnection::ReadRequest(const routing::CallerLimits& aLimits)
{
  m_idle = true;
  m_responseStarted = m_responseEnded = false;
  m_request = {};
  (void)m_bodyClaim.Resize(0);
  Parser parser;
  parser.header_limit(static_cast<uint32_t>(aLimits.m_headerBytes));
  parser.body_limit(aLimits.m_bodyBytes);
  m_buffer.AllowHead(aLimits.m_headerBytes);
  error_code error;
  if (m_buffer.size() == 0) {
    m_stream.expires_after(aLimits.m_idleTimeout.ToChrono());
    const size_t received = co_await m_stream.async_read_some(
      m_buffer.prepare(detail::kReadBufferBytes),
      net::asio::redirect_error(net::asio::use_awaitable, error));
    if (error || m_closed) {
      co_return ReadResult::Closed;
    }
    m_buffer.commit(received);
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
    error = co_await ReadBody(parser);
  }
  const bool unknownEncoding =
    !error && parser.get().count(http::field::transfer_encoding) > 0 &&
    !parser.chunked();
  if (error || unknownEncoding) {
    // With an unknown transfer encoding the end of the body is unknown, so the
    // connection cannot be reused.
    const int status =
      unknownEncoding
        ? 400
        : detail::StatusOfReadError(error, parser.is_header_done());
    if (status == 0) {
      co_return ReadResult::Closed;
    }
    co_await Refuse(status);
    co_return ReadResult::Refused;
  }
  if (m_closed) {
    co_return ReadResult::Closed;
  }
  m_stream.expires_never();
  m_keepAlive = parser.get().keep_alive();
  constexpr unsigned kHttp11 = 11;
  m_chunked = parser.get().version() >= kHttp11;
  m_request = parser.release();
  co_return ReadResult::Request;
}

net::Task<error_code>
CallerConnection::ReadBody(Parser& aParser)
{
  error_code error;
  aParser.eager(true);
  while (!error && !aParser.is_done()) {
    (void)co_await http::async_read_some(
      m_stream,
      m_buffer,
      aParser,
      net::asio::redirect_error(net::asio::use_awaitable, error));
    if (!m_bodyClaim.Resize(aParser.get().body().size())) {
      error = net::asio::error::no_buffer_space;
    }
  }
  co_return error;
}

net::Task<void>
CallerConnection::Refuse(int aStatus)
{
  m_refusedStatus = aStatus;
  std::string head = "HTTP/1.1 " + std::to_string(aStatus) + " Refused\r\n";
  if (aStatus == detail::kServiceUnavailable) {
    head += detail::kRetryHeader;
  }
  (void)co_await WriteResponse(std::move(head), "", true);
  co_await net::LingerBeforeClose(m_stream);
}

net::Task<absl::Status>
CallerConnection::Write(std::string aBytes)
{
  m_responseStarted = true;
  error_code error;
  m_stream.expires_after(detail::kWriteTimeout.ToChrono());
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
CallerConnection::WriteResponse(std::string aHead,
                                std::string aBody,
                                bool aClose)
{
  m_keepAlive = m_keepAlive && !aClose;
  aHead += "Content-Length: " + std::to_string(aBody.size()) + "\r\n";
  aHead += m_keepAlive ? "\r\n" : "Connection: close\r\n\r\n";
  if (m_request.method() != http::verb::head) {
    aHead += aBody;
  }
  const absl::Status status = co_await Write(std::move(aHead));
  m_responseEnded = status.ok();
  co_return status;
}

net::Task<absl::Status>
CallerConnection::BeginStream(std::string aHead, bool aClose)
{
  m_keepAlive = m_keepAlive && !aClose && m_chunked;
  aHead += m_chunked ? "Transfer-Encoding: chunked\r\n" : "";
  aHead += m_keepAlive ? "\r\n" : "Connection: close\r\n\r\n";
  co_return co_await Write(std::move(aHead));
}

net::Task<absl::Status>
CallerConnection::WriteChunk(std::string aChunk)
{
  if (aChunk.empty()) {
    co_return absl::OkStatus(); // an empty chunk would end the response
  }
  if (m_chunked) {
    aChunk.insert(0, detail::ChunkHeader(aChunk.size()));
    aChunk += "\r\n";
  }
  co_return co_await Write(std::move(aChunk));
}

net::Task<absl::Status>
CallerConnection::EndStream()
{
  absl::Status status;
  if (m_chunked) {
    status = co_await Write("0\r\n\r\n");
  }
  m_responseEnded = status.ok();
  co_return status;
}

void
CallerConnection::WatchForDisconnect(std::function<void()> aOnDisconnect)
{
  WaitForReadable(++m_watchNumber, std::move(aOnDisconnect));
}

void
CallerConnection::StopWatching()
{
  ++m_watchNumber;
}

void
CallerConnection::WaitForReadable(uint64_t aWatchNumber,
                                  std::function<void()> aOnDisconnect)
{
  if (m_buffer.size() != 0) {
    return; // the next request has arrived: still connected
  }
  m_stream.socket().async_wait(
    Tcp::socket::wait_read,
    [self = shared_from_this(),
     aWatchNumber,
     onDisconnect = std::move(aOnDisconnect)](const error_code& aError) {
      if (self->m_watchNumber != aWatchNumber || aError) {
        return;
      }
      char byte = 0;
      error_code error;
      self->m_stream.socket().non_blocking(true, error);
      const size_t received = self->m_stream.socket().receive(
        net::asio::buffer(&byte, 1), Tcp::socket::message_peek, error);
      if (error == net::asio::error::would_block) {
        self->WaitForReadable(aWatchNumber, onDisconnect);
      } else if (error || received == 0) {
        onDisconnect();
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
    // Ends the read that waits for a request. One that has taken bytes from the
    // socket, and has not been resumed, is not affected.
    m_stream.cancel();
  }
}

void
CallerConnection::Close()
{
  m_closed = true;
  if (m_responseStarted && !m_responseEnded && !m_chunked) {
    // The caller takes the end of the connection for the end of the response,
    // unless the connection is reset.
    error_code ignored; // closes in order if it fails
    m_stream.socket().set_option(net::asio::socket_base::linger(true, 0),
                                 ignored);
  }
  m_stream.close();
}

} // namespace chivefront::proxy
