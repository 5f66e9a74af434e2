// The HTTP client on Boost.Beast.
#include "chivefront/net/http_client.h"

#include <array>
#include <optional>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "chivefront/base/errors.h"
#include "chivefront/net/read_buffer.h"

namespace chivefront::net {
namespace beast = boost::beast;
namespace http = beast::http;
using Tcp = asio::ip::tcp;

namespace detail {

constexpr size_t kReadBufferBytes = 16 * 1024;
constexpr int kMaxInterimAnswers = 3;

absl::Status
ClientError(base::ErrorKind aKind, const beast::error_code& aError)
{
  if (aError == beast::error::timeout) {
    return base::MakeError(base::ErrorKind::Timeout, aError.message());
  }
  return base::MakeError(aKind, aError.message());
}

class ClientStream final : public HttpClientStream
{
public:
  ClientStream(const asio::any_io_executor& aExecutor, HttpTimeouts aTimeouts)
    : m_stream(aExecutor)
    , m_timeouts(aTimeouts)
  {
  }

  Task<absl::Status> Connect(const base::Endpoint& aEndpoint)
  {
    beast::error_code error;
    const auto address = asio::ip::make_address(aEndpoint.m_address, error);
    if (error) {
      co_return base::MakeError(base::ErrorKind::NoUpstream, error.message());
    }
    const Tcp::endpoint endpoint(address, aEndpoint.m_port);
    if (m_timeouts.m_receiveBufferBytes > 0) {
      // The size must be set before connecting, because the TCP handshake
      // announces the receive window.
      m_stream.socket().open(endpoint.protocol(), error);
      m_stream.socket().set_option(
        asio::socket_base::receive_buffer_size(m_timeouts.m_receiveBufferBytes),
        error);
    }
    m_stream.expires_after(m_timeouts.m_connect.ToChrono());
    co_await m_stream.async_connect(
      endpoint, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      // This also holds for a timeout: no byte of the request was written.
      co_return base::MakeError(base::ErrorKind::NoUpstream, error.message());
    }
    m_stream.socket().set_option(Tcp::no_delay(true), error);
    if (m_timeouts.m_resetUnlessAnswered) {
      SetResetOnClose(true);
    }
    co_return absl::OkStatus();
  }

  Task<absl::Status> Send(const base::Endpoint& aEndpoint, HttpRequest aRequest)
  {
    http::request<http::string_body> message;
    message.method_string(aRequest.m_method);
    message.target(aRequest.m_target);
    message.version(11);
    message.set(http::field::host, aEndpoint.ToString());
    message.set(http::field::connection, "close");
    for (const auto& [name, value] : aRequest.m_headers) {
      message.set(name, value);
    }
    message.body() = std::move(aRequest.m_body);
    message.prepare_payload();
    m_stream.expires_after(m_timeouts.m_header.ToChrono());
    beast::error_code error;
    co_await http::async_write(
      m_stream, message, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      co_return ClientError(base::ErrorKind::LinkClosed, error);
    }
    co_return co_await ReadHead();
  }

  // Reads the head of the final answer.
  Task<absl::Status> ReadHead()
  {
    for (int i = 0; i <= kMaxInterimAnswers; ++i) {
      m_parser.emplace();
      m_parser->body_limit(boost::none);
      beast::error_code error;
      co_await http::async_read_header(
        m_stream,
        m_buffer,
        *m_parser,
        asio::redirect_error(asio::use_awaitable, error));
      if (error) {
        co_return ClientError(base::ErrorKind::LinkClosed, error);
      }
      const unsigned status = m_parser->get().result_int();
      if (!IsHttpStatus(status)) {
        break;
      }
      if (IsInterimStatus(status)) {
        continue;
      }
      if (m_timeouts.m_resetUnlessAnswered) {
        SetResetOnClose(false);
      }
      for (const auto& field : m_parser->get()) {
        m_headers.emplace_back(field.name_string(), field.value());
      }
      co_return absl::OkStatus();
    }
    co_return base::MakeError(base::ErrorKind::LinkClosed,
                              "no final status of HTTP");
  }

  int Status() const override
  {
    return static_cast<int>(m_parser->get().result_int());
  }
  const HttpHeaders& Headers() const override { return m_headers; }

  Task<absl::StatusOr<std::string>> Read() override
  {
    std::string piece;
    while (piece.empty() && !m_parser->is_done()) {
      auto& body = m_parser->get().body();
      body.data = m_readBuffer.data();
      body.size = m_readBuffer.size();
      m_stream.expires_after(m_timeouts.m_piece.ToChrono());
      beast::error_code error;
      co_await http::async_read_some(
        m_stream,
        m_buffer,
        *m_parser,
        asio::redirect_error(asio::use_awaitable, error));
      if (error && error != http::error::need_buffer) {
        co_return ClientError(base::ErrorKind::AnswerIncomplete, error);
      }
      piece.assign(m_readBuffer.data(), m_readBuffer.size() - body.size);
    }
    co_return piece;
  }

  void Cancel() override { m_stream.close(); }

private:
  void SetResetOnClose(bool aReset)
  {
    beast::error_code ignored; // the socket may be closed already
    m_stream.socket().set_option(Tcp::socket::linger(aReset, 0), ignored);
  }

  beast::tcp_stream m_stream;
  const HttpTimeouts m_timeouts;
  ReadBuffer m_buffer;
  // Of the current head; set once the request has been written.
  std::optional<http::response_parser<http::buffer_body>> m_parser;
  HttpHeaders m_headers;
  std::array<char, kReadBufferBytes> m_readBuffer{};
};

} // namespace detail

Task<absl::StatusOr<std::unique_ptr<HttpClientStream>>>
HttpClientStream::Open(base::Endpoint aEndpoint,
                       HttpRequest aRequest,
                       HttpTimeouts aTimeouts,
                       BeforeSend aBeforeSend)
{
  auto stream = std::make_unique<detail::ClientStream>(
    co_await asio::this_coro::executor, aTimeouts);
  if (const absl::Status status = co_await stream->Connect(aEndpoint);
      !status.ok()) {
    co_return status;
  }
  if (aBeforeSend) {
    const absl::Status status =
      aBeforeSend([raw = stream.get()] { raw->Cancel(); });
    if (!status.ok()) {
      co_return status;
    }
  }
  if (const absl::Status status =
        co_await stream->Send(aEndpoint, std::move(aRequest));
      !status.ok()) {
    co_return status;
  }
  co_return std::unique_ptr<HttpClientStream>(std::move(stream));
}

Task<absl::StatusOr<HttpResponse>>
HttpCall(base::Endpoint aEndpoint,
         HttpRequest aRequest,
         HttpTimeouts aTimeouts,
         size_t aMaxBodyBytes)
{
  auto stream = co_await HttpClientStream::Open(
    std::move(aEndpoint), std::move(aRequest), aTimeouts);
  if (!stream.ok()) {
    co_return stream.status();
  }
  HttpResponse response;
  response.m_status = (*stream)->Status();
  response.m_headers = (*stream)->Headers();
  response.m_contentType = FindHeader(response.m_headers, "Content-Type");
  while (true) {
    auto piece = co_await (*stream)->Read();
    if (!piece.ok()) {
      co_return piece.status();
    }
    if (piece->empty()) {
      co_return response;
    }
    response.m_body += *piece;
    if (response.m_body.size() > aMaxBodyBytes) {
      co_return base::MakeError(base::ErrorKind::BodyTooLarge,
                                "response body exceeds the bound");
    }
  }
}

} // namespace chivefront::net
