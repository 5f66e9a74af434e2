// Memory of HTTP connections that wait for their next request.
#define BOOST_TEST_MODULE http_idle_memory
#include <boost/test/unit_test.hpp>

#include <malloc.h>

#include <boost/asio/write.hpp>

#include "chivefront/net/http_server.h"

using namespace chivefront;
using namespace chivefront::net;

namespace {

constexpr size_t kConnections = 300;
// With its read buffer, the parser or the last request, a connection holds more
// than this.
constexpr size_t kBodyBytes = 8000;

std::string
MakeRequestText()
{
  return "POST /v1/instances/engine-17 HTTP/1.1\r\nHost: 10.0.0.1:8420\r\n"
         "Content-Type: application/json\r\nContent-Length: " +
         std::to_string(kBodyBytes) + "\r\n\r\n" + std::string(kBodyBytes, 'x');
}

// Clients are plain sockets, which use the kernel's memory only.
class Client
{
public:
  Client(asio::io_context& aContext, const base::Endpoint& aServer)
    : m_socket(aContext)
  {
    m_socket.connect({ asio::ip::make_address(aServer.m_address),
                       static_cast<uint16_t>(aServer.m_port) });
  }
  void Send(const std::string& aText)
  {
    asio::write(m_socket, asio::buffer(aText));
  }
  bool HasAnswer() { return m_socket.available() > 0; }

private:
  asio::ip::tcp::socket m_socket;
};

size_t
BytesInUse()
{
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

} // namespace

// Guards against a control process that runs out of memory with thousands of
// connections of upstreams, which are idle for nearly all of the time: each
// kept its read buffer, the parser and the last request.
BOOST_AUTO_TEST_CASE(IdleConnectionHoldsNoBuffer)
{
  asio::io_context context{ 1 };
  HttpServer server(context, {}, [](HttpExchange& aExchange) -> Task<void> {
    (void)co_await aExchange.Respond({ 200, "text/plain", {}, "ok" });
  });
  BOOST_REQUIRE(server.Listen({ "127.0.0.1", 0 }).ok());
  const base::Endpoint address = server.BoundEndpoint();
  const std::string request = MakeRequestText();
  const auto run = [&context] {
    context.restart();
    context.poll();
  };
  run();
  std::vector<std::unique_ptr<Client>> clients;
  clients.reserve(kConnections);
  const size_t before = BytesInUse();
  size_t ofClients = 0;
  for (size_t i = 0; i < kConnections; ++i) {
    const size_t atStart = BytesInUse();
    clients.push_back(std::make_unique<Client>(context, address));
    ofClients += BytesInUse() - atStart;
    clients.back()->Send(request);
    for (int tries = 0; tries < 1000 && !clients.back()->HasAnswer(); ++tries) {
      run();
    }
    BOOST_REQUIRE(clients.back()->HasAnswer());
  }
  run();
  const size_t each = (BytesInUse() - before - ofClients) / kConnections;
  BOOST_TEST_MESSAGE("bytes of an idle connection: " << each);
  BOOST_TEST(each < kBodyBytes);
}
