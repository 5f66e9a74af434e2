// Requests of callers without end.
#define BOOST_TEST_MODULE endless_request
#include <boost/test/unit_test.hpp>

#include "chivefront/net/testing/resident_memory.h"
#include "chivefront/proxy/testing/entry_fixture.h"

using namespace chivefront;
using namespace chivefront::proxy::testing;

namespace {

constexpr size_t kMaxHeldBytes = 4 * 1024 * 1024;
constexpr int kCallers = 8;

const std::string kChunkedHead = "POST /plain/x HTTP/1.1\r\n"
                                 "Host: desk.example\r\nId: r9\r\n"
                                 "Transfer-Encoding: chunked\r\n\r\n";

struct Flood
{
  std::string m_answer;
  bool m_closed = false;
};

// Sends aStart and then aText again and again until the entry closes.
net::Task<void>
SendWithoutEnd(std::shared_ptr<Tcp::socket> aSocket,
               Tcp::endpoint aEntry,
               std::string aStart,
               std::string aText,
               std::shared_ptr<Flood> aFlood)
{
  error_code error;
  co_await aSocket->async_connect(
    aEntry, net::asio::redirect_error(net::asio::use_awaitable, error));
  (void)co_await net::testing::WriteWithoutEnd(
    *aSocket, std::move(aStart), std::move(aText));
  aFlood->m_closed = true;
}

// Reads what the entry answers.
net::Task<void>
ReadAnswer(std::shared_ptr<Tcp::socket> aSocket, std::shared_ptr<Flood> aFlood)
{
  error_code error;
  std::array<char, 4096> buffer{};
  co_await aSocket->async_wait(
    Tcp::socket::wait_read,
    net::asio::redirect_error(net::asio::use_awaitable, error));
  while (!error) {
    const size_t received = co_await aSocket->async_read_some(
      net::asio::buffer(buffer),
      net::asio::redirect_error(net::asio::use_awaitable, error));
    aFlood->m_answer.append(buffer.data(), received);
  }
}

} // namespace

// Guards against callers that run an entry out of memory without a key: chunk
// extensions and trailers without end were held until the idle timeout.
BOOST_AUTO_TEST_CASE(EndlessFramingIsRefused)
{
  const std::vector<std::pair<std::string, std::string>> rows{
    { "4;pad=", "x" },
    { "4", ";a=b" },
    { "0\r\nPad: ", "x" },
    { "0\r\n", "Pad: x\r\n" },
    { "4\r\nabcd\r\n4;pad=", "x" }
  };
  for (const auto& [start, text] : rows) {
    RunningEntry entry;
    entry.m_near.AddScript(kGoodResponse);
    const Tcp::endpoint address(net::asio::ip::make_address("127.0.0.1"),
                                entry.m_port);
    const size_t before = net::testing::ResidentBytes();
    std::vector<std::shared_ptr<Flood>> floods;
    std::vector<std::shared_ptr<Tcp::socket>> sockets;
    for (int i = 0; i < kCallers; ++i) {
      auto socket = std::make_shared<Tcp::socket>(entry.m_context);
      auto flood = std::make_shared<Flood>();
      floods.push_back(flood);
      sockets.push_back(socket);
      const std::string begin = kChunkedHead + start;
      net::Spawn(entry.m_context.get_executor(),
                 "caller",
                 [socket, address, begin, text = text, flood] {
                   return SendWithoutEnd(socket, address, begin, text, flood);
                 });
    }
    entry.RunFor(150);
    const auto held =
      static_cast<int64_t>(net::testing::ResidentBytes() - before);
    const std::string other = entry.Call(MakeRequest("plain"));
    for (size_t i = 0; i < floods.size(); ++i) {
      net::Spawn(entry.m_context.get_executor(),
                 "caller",
                 [socket = sockets[i], flood = floods[i]] {
                   return ReadAnswer(socket, flood);
                 });
    }
    entry.RunFor(1500);
    const std::string where = "'" + start + text + "'";
    BOOST_TEST(held < static_cast<int64_t>(kMaxHeldBytes),
               where << ": " << held << " bytes held");
    BOOST_TEST(Contains(other, "good"), where);
    for (const auto& flood : floods) {
      BOOST_TEST(flood->m_closed, where);
    }
    for (const auto& socket : sockets) {
      error_code ignored;
      socket->close(ignored);
    }
    entry.RunFor(20);
  }
}

// Guards against the bound on framing refusing sound requests: bodies larger
// than the read buffer, in large and in small chunks, with extensions and
// trailers.
BOOST_FIXTURE_TEST_CASE(SoundChunkedBodiesAreRead, RunningEntry)
{
  std::string body = kChunkedHead;
  for (int i = 0; i < 2000; ++i) {
    body += "10;name=\"value\"\r\n0123456789abcdef\r\n";
  }
  body += "20000\r\n" + std::string(0x20000, 'y') + "\r\n";
  body += "0\r\nCheck: 1\r\n\r\n";
  m_near.AddScript(kGoodResponse);
  BOOST_TEST(Contains(Call(body), "good"));
}
