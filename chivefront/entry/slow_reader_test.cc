// Test that a slow reader slows down the agent by flow control instead of
// filling the memory of the entry.
// Promises: whole-answer
#define BOOST_TEST_MODULE slow_reader
#include <boost/test/unit_test.hpp>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "chivefront/entry/test_fixture.h"

using namespace chivefront;
using namespace chivefront::entry::testing;
namespace asio = boost::asio;

namespace {

constexpr size_t kChunkBytes = 1024;
constexpr uint32_t kChunks = 4096;

// Handler of a fake agent that sends numbered chunks of one answer as long as
// it has credit.
struct CreditedAgent
{
  void operator()(net::Link& aLink, wire::MessageT& aMessage)
  {
    if (const auto* dispatch = aMessage.body.AsDispatch()) {
      m_id = dispatch->request_id;
      m_attempt = dispatch->attempt;
      m_credit = dispatch->credit_bytes;
    } else if (const auto* credit = aMessage.body.AsCredit()) {
      m_credit += credit->bytes;
    } else {
      return;
    }
    while (m_credit >= kChunkBytes && m_next < kChunks) {
      std::string data = "data: " + std::to_string(m_next);
      data.resize(kChunkBytes - 2, '.');
      SendChunk(aLink, m_id, m_attempt, m_next++, data + "\n\n");
      m_credit -= kChunkBytes;
      m_sent = m_sent + kChunkBytes;
    }
    if (m_next == kChunks) {
      SendEnd(aLink, m_id, m_attempt, kChunks);
    }
  }

  std::string m_id;
  uint32_t m_attempt = 0;
  uint32_t m_next = 0;
  size_t m_credit = 0;
  std::atomic<size_t> m_sent{ 0 };
};

} // namespace

// Guards against an entry that buffers a whole answer for a stalled reader, and
// against an answer that the stall damages.
BOOST_AUTO_TEST_CASE(StalledReaderHoldsBackTheAgent)
{
  CreditedAgent credited;
  net::HttpLimits http;
  http.m_sendBufferBytes = 16 * 1024;
  const entry::EntryLimits limits;
  EntryFixture fixture(limits, http);
  FakeAgent agent(fixture.m_loop.Context(),
                  "agent-1",
                  11,
                  [&](net::Link& aLink, wire::MessageT& aMessage) {
                    credited(aLink, aMessage);
                  });
  fixture.m_control.Change([&](FakeControl& aControl) {
    aControl.m_upstreams = { agent.Upstream("e1", "small-1") };
  });
  BOOST_REQUIRE(fixture.WaitReady(1));

  asio::io_context context;
  asio::ip::tcp::socket socket(context);
  socket.open(asio::ip::tcp::v4());
  socket.set_option(asio::socket_base::receive_buffer_size(4096));
  socket.connect(
    { asio::ip::make_address("127.0.0.1"), fixture.m_core.Callers().m_port });
  const net::HttpRequest request = EntryFixture::Chat(true);
  asio::write(socket,
              asio::buffer("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
                           "Authorization: Bearer sales-key\r\n"
                           "Connection: close\r\nContent-Length: " +
                           std::to_string(request.m_body.size()) + "\r\n\r\n" +
                           request.m_body));
  // The caller reads nothing. Wait until the agent sends nothing more.
  size_t before = 1;
  while (before != credited.m_sent || before == 0) {
    before = credited.m_sent;
    std::this_thread::sleep_for(std::chrono::milliseconds(400));
  }
  // The kernel buffers of both ends of the connection are not in the entry.
  constexpr size_t kKernelBytes = 128 * 1024;
  BOOST_TEST_MESSAGE("sent to a stalled reader: " << before);
  BOOST_TEST(before <= limits.m_windowBytes + kKernelBytes);

  std::string text;
  boost::system::error_code error;
  asio::read(socket, asio::dynamic_buffer(text), error);
  size_t place = 0;
  for (uint32_t i = 0; i < kChunks; ++i) {
    place = text.find("data: " + std::to_string(i) + ".", place);
    BOOST_REQUIRE_MESSAGE(place != std::string::npos, "chunk " << i);
  }
  BOOST_TEST(text.find("data: [DONE]", place) != std::string::npos);
  fixture.m_loop.Stop();
}
