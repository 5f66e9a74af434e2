// Tests of answers that break off, as callers see them.
// Promises: whole-answer
#define BOOST_TEST_MODULE proxy_truncated_answer
#include <boost/asio/read.hpp>
#include <boost/test/unit_test.hpp>

#include "chivefront/proxy/testing/entry_fixture.h"

using namespace chivefront;
using namespace chivefront::proxy::testing;

namespace {

struct Received
{
  std::string m_bytes;
  error_code m_end; // eof: the connection was closed in an orderly way
};

// Sends aRequest and reads until the connection ends.
Received
CallUntilEnd(EntryFixture& aEntry, const std::string& aRequest)
{
  Received received;
  Tcp::socket socket(aEntry.m_context);
  bool done = false;
  net::Spawn(
    aEntry.m_context.get_executor(), "caller", [&]() -> net::Task<void> {
      co_await socket.async_connect(
        { net::asio::ip::make_address("127.0.0.1"), aEntry.m_port },
        net::asio::use_awaitable);
      co_await net::asio::async_write(
        socket, net::asio::buffer(aRequest), net::asio::use_awaitable);
      co_await net::asio::async_read(
        socket,
        net::asio::dynamic_buffer(received.m_bytes),
        net::asio::redirect_error(net::asio::use_awaitable, received.m_end));
      done = true;
    });
  constexpr int kMaxRounds = 300;
  for (int i = 0; i < kMaxRounds && !done; ++i) {
    aEntry.RunFor(10);
  }
  BOOST_TEST(done);
  return received;
}

std::string
OldRequest(const std::string& aRoute)
{
  return "GET /" + aRoute +
         "/x HTTP/1.0\r\nHost: desk.example\r\nId: r1\r\nModel: any\r\n\r\n";
}

} // namespace

// Guards against a stream that breaks off and looks complete to a caller that
// knows no chunks: for it, an answer ends with its connection.
BOOST_FIXTURE_TEST_CASE(BrokenStreamLooksBrokenWithoutChunks, RunningEntry)
{
  m_near.AddScript(kStreamHead + Chunk("id: 1\ndata: a\n\n") +
                   kCloseConnection);
  m_far.AddScript(kCloseConnection);
  const Received received = CallUntilEnd(*this, OldRequest("stream"));
  BOOST_TEST(Contains(received.m_bytes, "data: a"));
  BOOST_TEST(received.m_end == net::asio::error::connection_reset);
}

// Guards against the same for a long body that is forwarded as it arrives.
BOOST_FIXTURE_TEST_CASE(BrokenBodyLooksBrokenWithoutChunks, RunningEntry)
{
  const std::string part(2 * 1024 * 1024, 'x');
  m_near.AddScript(
    "HTTP/1.1 200 OK\r\nId: $ID\r\nSeal: s\r\nContent-Length: 9000000\r\n\r\n" +
    part + kCloseConnection);
  const Received received = CallUntilEnd(*this, OldRequest("plain"));
  BOOST_TEST(Contains(received.m_bytes, "200 OK"));
  BOOST_TEST(received.m_end == net::asio::error::connection_reset);
}

// Guards against a complete stream that looks broken to such a caller.
BOOST_FIXTURE_TEST_CASE(CompleteStreamEndsInOrderWithoutChunks, RunningEntry)
{
  m_near.AddScript(kStreamHead + Chunk("id: 1\ndata: a\n\n") + "0\r\n\r\n");
  const Received received = CallUntilEnd(*this, OldRequest("stream"));
  BOOST_TEST(Contains(received.m_bytes, "data: a"));
  BOOST_TEST(received.m_end == net::asio::error::eof);
}
