// Answers of servers in trouble, as the HTTP client takes them.
#define BOOST_TEST_MODULE net_http_client
#include <boost/test/unit_test.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "chivefront/net/http_client.h"
#include "chivefront/net/task.h"

using namespace chivefront;
namespace asio = net::asio;
using Tcp = asio::ip::tcp;

namespace {

// Calls a server that answers aAnswer and closes the connection.
absl::StatusOr<net::HttpResponse>
CallServerWith(const std::string& aAnswer)
{
  asio::io_context context{ 1 };
  Tcp::acceptor acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 });
  net::Spawn(context.get_executor(), "server", [&]() -> net::Task<void> {
    Tcp::socket socket = co_await acceptor.async_accept(asio::use_awaitable);
    std::string head;
    co_await asio::async_read_until(
      socket, asio::dynamic_buffer(head), "\r\n\r\n", asio::use_awaitable);
    co_await asio::async_write(
      socket, asio::buffer(aAnswer), asio::use_awaitable);
  });
  absl::StatusOr<net::HttpResponse> response = net::HttpResponse();
  const base::Endpoint address{ "127.0.0.1", acceptor.local_endpoint().port() };
  net::Spawn(context.get_executor(), "client", [&]() -> net::Task<void> {
    net::HttpRequest request;
    response = co_await net::HttpCall(address, std::move(request), {});
  });
  context.run_for(std::chrono::seconds(10));
  return response;
}

} // namespace

// Guards against an answer that has no status of HTTP and is passed on as an
// answer to the caller.
BOOST_AUTO_TEST_CASE(AnswersWithoutAStatusAreRefused)
{
  for (const char* status : { "000", "099", "600", "999", "2x0", "20" }) {
    const auto response = CallServerWith("HTTP/1.1 " + std::string(status) +
                                         " X\r\nContent-Length: 0\r\n\r\n");
    BOOST_TEST(!response.ok(), "status " << status);
  }
}

// Guards against an interim answer that is taken for the final one.
BOOST_AUTO_TEST_CASE(InterimAnswersAreSkipped)
{
  const std::string interim = "HTTP/1.1 103 Early Hints\r\n\r\n";
  const auto response = CallServerWith(
    interim + "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood");
  BOOST_REQUIRE(response.ok());
  BOOST_TEST(response->m_status == 200);
  BOOST_TEST(response->m_body == "good");
  BOOST_TEST(!CallServerWith(interim).ok());
}
