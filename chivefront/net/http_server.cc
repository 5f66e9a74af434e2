// The HTTP server on Boost.Beast.
#include "chivefront/net/http_server.h"

#include <array>
#include <optional>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "chivefront/base/errors.h"
#include "chivefront/base/log.h"
#include "chivefront/net/accept_pending.h"
#include "chivefront/net/lingering_close.h"
#include "chivefront/net/read_buffer.h"

namespace chivefront::net {
namespace beast = boost::beast;
namespace http = beast::http;
using Tcp = asio::ip::tcp;

struct HttpServer::Shared
{
  Shared(asio::io_context& aContext,
         HttpLimits aLimits,
         HttpHandler aHandler,
         HttpErrorBody aErrorBody)
    : m_context(aContext)
    , m_limits(aLimits)
    , m_handler(std::move(aHandler))
    , m_errorBody(std::move(aErrorBody))
    , m_acceptor(asio::make_strand(aContext))
  {
  }

  asio::io_context& m_context;
  const HttpLimits m_limits;
  const HttpHandler m_handler;
  const HttpErrorBody m_errorBody;
  Tcp::acceptor m_acceptor;
  std::atomic<bool> m_draining{ false };
  std::atomic<size_t> m_active{ 0 };
  size_t CountConnections()
  {
    const std::lock_guard lock(m_lock);
    return m_connections.size();
  }

  std::mutex m_lock;
  std::set<Connection*> m_connections; // guarded by m_lock
};

namespace detail {

HttpResponse
DefaultErrorBody(int aStatus, std::string_view aReason)
{
  return { aStatus, "text/plain", {}, std::string(aReason) + "\n" };
}

HttpRequest
FromBeast(http::request<http::string_body>&& aMessage)
{
  HttpRequest request;
  request.m_method = std::string(aMessage.method_string());
  request.m_target = std::string(aMessage.target());
  for (const auto& field : aMessage) {
    request.m_headers.emplace_back(field.name_string(), field.value());
  }
  request.m_body = std::move(aMessage.body());
  return request;
}

// The HTTP status for a request that is malformed or exceeds a limit of the
// parser. After the head, a read buffer overflows on chunk extensions or
// trailers.
int
StatusOfParseError(const beast::error_code& aError, bool aHeadRead)
{
  if (aError == http::error::body_limit) {
    return 413;
  }
  if (aError == http::error::header_limit ||
      aError == http::error::buffer_overflow) {
    return aHeadRead ? 400 : 431;
  }
  return 400;
}

absl::Status
ToStatus(const beast::error_code& aError)
{
  if (!aError) {
    return absl::OkStatus();
  }
  const auto kind = aError == beast::error::timeout
                      ? base::ErrorKind::Timeout
                      : base::ErrorKind::LinkClosed;
  return base::MakeError(kind, aError.message());
}

} // namespace detail

// One accepted connection. All its functions run on the strand of its socket.
struct HttpServer::Connection final
  : HttpExchange
  , std::enable_shared_from_this<HttpServer::Connection>
{
  Connection(std::shared_ptr<Shared> aShared, Tcp::socket aSocket)
    : m_shared(std::move(aShared))
    , m_stream(std::move(aSocket))
  {
  }

  const HttpRequest& Request() const override { return m_request; }
  bool IsResponseStarted() const override { return m_started; }

  template<typename BodyT>
  void FillHead(http::response<BodyT>& aMessage,
                const std::string& aContentType,
                const HttpHeaders& aHeaders)
  {
    aMessage.version(11);
    aMessage.keep_alive(m_keepAlive);
    aMessage.set(http::field::server, "chivefront");
    aMessage.set(http::field::content_type, aContentType);
    for (const auto& [name, value] : aHeaders) {
      aMessage.set(name, value);
    }
  }

  Task<absl::Status> Respond(HttpResponse aResponse) override
  {
    m_started = true;
    m_ended = true;
    m_keepAlive = m_keepAlive && !m_shared->m_draining;
    http::response<http::string_body> message;
    message.result(static_cast<unsigned>(aResponse.m_status));
    FillHead(message, aResponse.m_contentType, aResponse.m_headers);
    message.body() = std::move(aResponse.m_body);
    message.prepare_payload();
    m_stream.expires_after(m_shared->m_limits.m_writeTimeout.ToChrono());
    beast::error_code error;
    co_await http::async_write(
      m_stream, message, asio::redirect_error(asio::use_awaitable, error));
    m_broken = m_broken || error;
    co_return detail::ToStatus(error);
  }

  Task<absl::Status> BeginStream(int aStatus,
                                 std::string aContentType,
                                 HttpHeaders aHeaders) override
  {
    m_started = true;
    m_streaming = true;
    m_keepAlive = m_keepAlive && !m_shared->m_draining;
    http::response<http::empty_body> message;
    message.result(static_cast<unsigned>(aStatus));
    FillHead(message, aContentType, aHeaders);
    message.chunked(true);
    http::response_serializer<http::empty_body> serializer(message);
    m_stream.expires_after(m_shared->m_limits.m_writeTimeout.ToChrono());
    beast::error_code error;
    co_await http::async_write_header(
      m_stream, serializer, asio::redirect_error(asio::use_awaitable, error));
    m_broken = m_broken || error;
    co_return detail::ToStatus(error);
  }

  Task<absl::Status> Write(std::string aData) override
  {
    if (aData.empty()) {
      // An empty chunk would end the response.
      co_return absl::OkStatus();
    }
    m_stream.expires_after(m_shared->m_limits.m_writeTimeout.ToChrono());
    beast::error_code error;
    co_await asio::async_write(
      m_stream,
      http::make_chunk(asio::buffer(aData)),
      asio::redirect_error(asio::use_awaitable, error));
    m_broken = m_broken || error;
    co_return detail::ToStatus(error);
  }

  Task<absl::Status> EndStream() override
  {
    m_ended = true;
    m_stream.expires_after(m_shared->m_limits.m_writeTimeout.ToChrono());
    beast::error_code error;
    co_await asio::async_write(
      m_stream,
      http::make_chunk_last(),
      asio::redirect_error(asio::use_awaitable, error));
    m_broken = m_broken || error;
    co_return detail::ToStatus(error);
  }

  void ForgetRequest()
  {
    // An assignment would keep the memory of the body.
    const HttpRequest ended = std::move(m_request);
  }

  // Waits until a request begins to arrive. Returns false when the connection
  // should be closed. Nearly all connections are here at most times, so nothing
  // large may be held meanwhile.
  Task<bool> AwaitRequest()
  {
    ForgetRequest();
    if (m_buffer.size() > 0) {
      m_busy = true;
      co_return true;
    }
    m_buffer.shrink_to_fit();
    m_stream.expires_after(m_shared->m_limits.m_idleTimeout.ToChrono());
    beast::error_code error;
    const size_t size = co_await m_stream.async_read_some(
      asio::buffer(m_firstBytes),
      asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      co_return false;
    }
    m_busy = true;
    asio::buffer_copy(m_buffer.prepare(kReadBytes),
                      asio::buffer(m_firstBytes, size));
    m_buffer.commit(size);
    co_return true;
  }

  // Reads one request into m_request, after its beginning has arrived. Returns
  // false when the connection should be closed.
  Task<bool> ReadRequest()
  {
    http::request_parser<http::string_body> parser;
    parser.header_limit(
      static_cast<std::uint32_t>(m_shared->m_limits.m_headerBytes));
    parser.body_limit(m_shared->m_limits.m_bodyBytes);
    m_buffer.AllowHead(m_shared->m_limits.m_headerBytes);
    beast::error_code error;
    auto token = asio::redirect_error(asio::use_awaitable, error);
    // The idle timeout has applied until the first byte arrived; from then on
    // the whole request has to arrive within the receive timeout.
    m_stream.expires_after(m_shared->m_limits.m_receiveTimeout.ToChrono());
    co_await http::async_read_header(m_stream, m_buffer, parser, token);
    if (!error && parser.get()[http::field::expect] == "100-continue") {
      co_await asio::async_write(
        m_stream, asio::buffer(kContinue, sizeof(kContinue) - 1), token);
    }
    if (!error) {
      co_await http::async_read(m_stream, m_buffer, parser, token);
    }
    if (error) {
      co_await RespondToParseError(error, parser.is_header_done());
      co_return false;
    }
    m_keepAlive = parser.keep_alive();
    m_request = detail::FromBeast(parser.release());
    co_return true;
  }

  // Responds to a request that could not be parsed. Sends nothing when the peer
  // has closed the connection or timed out.
  Task<void> RespondToParseError(beast::error_code aError, bool aHeadRead)
  {
    const bool disconnected =
      aError == http::error::end_of_stream ||
      aError == http::error::partial_message ||
      aError == beast::error::timeout ||
      aError.category() == asio::error::get_system_category();
    if (disconnected) {
      co_return;
    }
    m_keepAlive = false;
    const int status = detail::StatusOfParseError(aError, aHeadRead);
    HttpResponse response =
      m_shared->m_errorBody
        ? m_shared->m_errorBody(status, aError.message())
        : detail::DefaultErrorBody(status, aError.message());
    (void)co_await Respond(std::move(response));
    co_await LingerBeforeClose(m_stream);
  }

  Task<void> Run()
  {
    do {
      m_busy = false;
      m_started = m_ended = m_streaming = false;
      const bool begun = co_await AwaitRequest();
      if (!begun) {
        break;
      }
      const bool isRead = co_await ReadRequest();
      if (!isRead) {
        break;
      }
      ++m_shared->m_active;
      try {
        co_await m_shared->m_handler(*this);
      } catch (const std::exception& error) {
        base::LogError("http",
                       "request handler threw an exception",
                       { { "what", error.what() } });
        m_broken = true;
      }
      --m_shared->m_active;
      // When the handler did not end its response, the connection is closed, so
      // that the peer doesn't take the response for complete.
    } while (!m_broken && m_ended && m_keepAlive && !m_shared->m_draining);
    beast::error_code ignored;
    m_stream.socket().shutdown(Tcp::socket::shutdown_both, ignored);
    m_stream.close();
  }

  static constexpr size_t kReadBytes = 4096;
  static constexpr size_t kFirstBytes = 128; // read without a buffer
  static constexpr char kContinue[] = "HTTP/1.1 100 Continue\r\n\r\n";

  std::shared_ptr<Shared> m_shared;
  beast::tcp_stream m_stream;
  std::array<char, kFirstBytes> m_firstBytes; // of a request
  ReadBuffer m_buffer;
  HttpRequest m_request;
  std::atomic<bool> m_busy{ false }; // a request is arriving or running
  bool m_keepAlive = true;
  bool m_started = false;
  bool m_streaming = false;
  bool m_ended = false;  // the response is complete
  bool m_broken = false; // the connection can't carry another response
};

HttpServer::HttpServer(asio::io_context& aContext,
                       HttpLimits aLimits,
                       HttpHandler aHandler,
                       HttpErrorBody aErrorBody)
  : m_shared(std::make_shared<Shared>(aContext,
                                      aLimits,
                                      std::move(aHandler),
                                      std::move(aErrorBody)))
{
}

HttpServer::~HttpServer() = default;

absl::Status
HttpServer::Listen(const base::Endpoint& aEndpoint)
{
  beast::error_code error;
  const auto address = asio::ip::make_address(aEndpoint.m_address, error);
  if (error) {
    return base::MakeError(base::ErrorKind::Unavailable, error.message());
  }
  const Tcp::endpoint endpoint(address, aEndpoint.m_port);
  Tcp::acceptor& acceptor = m_shared->m_acceptor;
  acceptor.open(endpoint.protocol(), error);
  acceptor.set_option(asio::socket_base::reuse_address(true), error);
  acceptor.bind(endpoint, error);
  if (!error) {
    acceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return base::MakeError(base::ErrorKind::Unavailable,
                           aEndpoint.ToString() + ": " + error.message());
  }
  Spawn(acceptor.get_executor(), "http", [this]() -> Task<void> {
    return AcceptLoop();
  });
  return absl::OkStatus();
}

base::Endpoint
HttpServer::BoundEndpoint() const
{
  beast::error_code error;
  const auto endpoint = m_shared->m_acceptor.local_endpoint(error);
  if (error) {
    return {};
  }
  return { endpoint.address().to_string(), endpoint.port() };
}

Task<void>
HttpServer::AcceptLoop()
{
  constexpr base::Millis kAcceptRetryDelay{ 100 };
  const auto shared = m_shared;
  while (shared->m_acceptor.is_open()) {
    beast::error_code error;
    auto strand = asio::make_strand(shared->m_context);
    Tcp::socket socket = co_await shared->m_acceptor.async_accept(
      strand, asio::redirect_error(asio::use_awaitable, error));
    if (error == asio::error::operation_aborted) {
      co_return;
    }
    if (error) {
      base::LogWarning("http", "accept failed", { { "why", error.message() } });
      co_await Sleep(kAcceptRetryDelay);
      continue;
    }
    Admit(shared, std::move(socket));
  }
}

void
HttpServer::Admit(const std::shared_ptr<Shared>& aShared, Tcp::socket aSocket)
{
  const HttpLimits& limits = aShared->m_limits;
  beast::error_code error; // without its options, the socket works too
  aSocket.set_option(Tcp::no_delay(true), error);
  if (limits.m_sendBufferBytes > 0) {
    aSocket.set_option(
      asio::socket_base::send_buffer_size(limits.m_sendBufferBytes), error);
  }
  const auto connection =
    std::make_shared<Connection>(aShared, std::move(aSocket));
  {
    const std::lock_guard lock(aShared->m_lock);
    if (aShared->m_connections.size() >= limits.m_maxConnections) {
      return; // the destructor of the socket closes the connection
    }
    aShared->m_connections.insert(connection.get());
  }
  const auto executor = connection->m_stream.get_executor();
  Spawn(executor, "http", [connection]() -> Task<void> {
    co_await connection->Run();
    const std::lock_guard lock(connection->m_shared->m_lock);
    connection->m_shared->m_connections.erase(connection.get());
  });
}

void
HttpServer::StopAccepting()
{
  m_shared->m_draining = true;
  asio::post(m_shared->m_acceptor.get_executor(), [shared = m_shared] {
    for (Tcp::socket& socket : AcceptPending(shared->m_acceptor)) {
      Admit(shared, std::move(socket));
    }
    beast::error_code ignored;
    shared->m_acceptor.close(ignored);
  });
}

Task<void>
HttpServer::Drain(base::Millis aTimeout)
{
  constexpr base::Millis kPollPeriod{ 10 };
  const auto shared = m_shared;
  const base::Clock& clock = base::SteadyClock::Instance();
  const base::TimePoint deadline = clock.Now() + aTimeout;
  StopAccepting();
  do {
    co_await Sleep(kPollPeriod);
    CloseIdle();
  } while (shared->CountConnections() > 0 && clock.Now() < deadline);
}

size_t
HttpServer::ActiveRequests() const
{
  return m_shared->m_active;
}

void
HttpServer::CloseIdle()
{
  const std::lock_guard lock(m_shared->m_lock);
  for (Connection* connection : m_shared->m_connections) {
    asio::post(connection->m_stream.get_executor(),
               [self = connection->shared_from_this()] {
                 beast::error_code error;
                 const bool arriving =
                   self->m_stream.socket().available(error) > 0;
                 // Does not affect a read that has taken bytes from the
                 // socket and has not been resumed.
                 if (!self->m_busy && !arriving) {
                   self->m_stream.cancel();
                 }
               });
  }
}

} // namespace chivefront::net
