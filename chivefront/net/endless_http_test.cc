// HTTP requests and answers whose framing does not end.
#define BOOST_TEST_MODULE endless_http
#include <boost/test/unit_test.hpp>

#include <boost/asio/connect.hpp>
#include <boost/asio/write.hpp>

#include "chivefront/base/errors.h"
#include "chivefront/net/http_client.h"
#include "chivefront/net/http_server.h"
#include "chivefront/net/testing/flood.h"
#include "chivefront/net/testing/resident_memory.h"

using namespace chivefront;
namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using boost::system::error_code;

namespace {

// Socket buffers of a loopback connection hold some megabytes.
constexpr size_t kMaxFloodBytes = 16 * 1024 * 1024;
constexpr int64_t kMaxHeldBytes = 4 * 1024 * 1024;
const std::string kChunked = "Transfer-Encoding: chunked\r\n\r\n";

struct Row
{
  std::string m_start; // of the body
  std::string m_text;  // repeated without end
};

const std::vector<Row> kRows{ { "4;pad=", "x" },
                              { "0\r\nPad: ", "x" },
                              { "0\r\n", "Pad: x\r\n" } };

void
RunFor(asio::io_context& aContext, int64_t aMillis)
{
  aContext.restart();
  aContext.run_for(std::chrono::milliseconds(aMillis));
}

int64_t
HeldSince(size_t aBefore)
{
  return static_cast<int64_t>(net::testing::ResidentBytes()) -
         static_cast<int64_t>(aBefore);
}

} // namespace

// Guards against a control or admin port that anyone can use to run the process
// out of memory: chunk extensions and trailers were held without bound.
BOOST_AUTO_TEST_CASE(ServerLeavesEndlessFraming)
{
  for (const Row& row : kRows) {
    asio::io_context context{ 1 };
    bool handled = false;
    net::HttpServer server(
      context, {}, [&](net::HttpExchange& aExchange) -> net::Task<void> {
        handled = true;
        (void)co_await aExchange.Respond({});
      });
    BOOST_REQUIRE(server.Listen({ "127.0.0.1", 0 }).ok());
    const Tcp::endpoint address(asio::ip::make_address("127.0.0.1"),
                                server.BoundEndpoint().m_port);
    const size_t before = net::testing::ResidentBytes();
    Tcp::socket socket(context);
    socket.connect(address);
    std::optional<size_t> sent;
    const std::string start =
      "PUT /x HTTP/1.1\r\nHost: a\r\n" + kChunked + row.m_start;
    net::Spawn(context.get_executor(), "test", [&]() -> net::Task<void> {
      sent = co_await net::testing::WriteWithoutEnd(socket, start, row.m_text);
    });
    RunFor(context, 200);
    BOOST_TEST(HeldSince(before) < kMaxHeldBytes, row.m_start);
    RunFor(context, 1500);
    BOOST_TEST(sent.has_value(), row.m_start); // the server has closed
    BOOST_TEST(!handled);
  }
}

// Guards against an agent that one faulty upstream, or rating service, runs out
// of memory in the same way.
BOOST_AUTO_TEST_CASE(ClientLeavesEndlessFraming)
{
  for (const Row& row : kRows) {
    asio::io_context context{ 1 };
    Tcp::acceptor acceptor(context, Tcp::endpoint(Tcp::v4(), 0));
    const base::Endpoint address{ "127.0.0.1",
                                  acceptor.local_endpoint().port() };
    const size_t before = net::testing::ResidentBytes();
    std::optional<size_t> sent;
    const std::string start = "HTTP/1.1 200 OK\r\n" + kChunked + row.m_start;
    net::Spawn(context.get_executor(), "test", [&]() -> net::Task<void> {
      Tcp::socket socket = co_await acceptor.async_accept(asio::use_awaitable);
      sent = co_await net::testing::WriteWithoutEnd(socket, start, row.m_text);
    });
    absl::Status result;
    bool done = false;
    net::Spawn(context.get_executor(), "test", [&]() -> net::Task<void> {
      const auto response = co_await net::HttpCall(address, {}, {});
      result = response.status();
      done = true;
    });
    RunFor(context, 200);
    BOOST_TEST(HeldSince(before) < kMaxHeldBytes, row.m_start);
    BOOST_TEST(done, row.m_start);
    BOOST_TEST((base::KindOf(result) == base::ErrorKind::AnswerIncomplete));
    BOOST_REQUIRE_MESSAGE(sent.has_value(), row.m_start);
    BOOST_TEST(*sent < kMaxFloodBytes, row.m_start);
  }
}
