// Tests of requests that run, or arrive, while an entry shuts down.
// Promises: graceful, not-run
#define BOOST_TEST_MODULE proxy_drain
#include <boost/test/unit_test.hpp>

#include "chivefront/proxy/testing/entry_fixture.h"

using namespace chivefront;
using namespace chivefront::proxy::testing;

namespace {

struct DrainingEntry : EntryFixture
{
  // Starts the drain. When it ends, which is when the process would exit, the
  // bytes that aReceived has by then are kept in m_receivedAtExit.
  void StartDrain(int64_t aNoticeMillis,
                  int64_t aMaxMillis,
                  std::shared_ptr<std::string> aReceived = nullptr)
  {
    net::Spawn(
      m_context.get_executor(),
      "test",
      [this, aNoticeMillis, aMaxMillis, aReceived]() -> net::Task<void> {
        co_await m_entry->Drain(base::Millis(aNoticeMillis),
                                base::Millis(aMaxMillis));
        m_drained = true;
        m_receivedAtExit = aReceived ? *aReceived : "";
      });
    RunFor(20);
  }

  bool m_drained = false;
  std::string m_receivedAtExit;
};

} // namespace

// Guards against a request that arrives during a drain, is passed on, and is
// cut off without an answer when the process exits: its timeout ends later.
BOOST_FIXTURE_TEST_CASE(LateRequestThatCouldOutliveTheDrainIsRefused,
                        DrainingEntry)
{
  Start();
  Configure();
  StartDrain(1000, 1500);
  for (const char* route : { "once", "plain" }) {
    m_near.AddScript(kHoldConnection);
    const std::string refused = Call(MakeRequest(route), 200);
    BOOST_TEST(Contains(refused, "HTTP/1.1 503"), route);
    BOOST_TEST(Contains(refused, "not_run"), route);
    BOOST_TEST(Contains(refused, "Retry-After: 0.020"), route);
    BOOST_TEST(m_near.m_requests.empty(), route);
  }
}

// Guards against a drain that refuses what it has time for.
BOOST_FIXTURE_TEST_CASE(LateRequestThatEndsBeforeTheDrainIsServed,
                        DrainingEntry)
{
  Start();
  Configure();
  StartDrain(1000, 1500);
  m_near.AddScript(kGoodResponse);
  BOOST_TEST(Contains(Call(MakeRequest("once", "Patience: 500\r\n")), "good"));
}

// Guards against a request that is cut off because its body arrived late in the
// drain: only the time that is left then counts.
BOOST_FIXTURE_TEST_CASE(RequestWhoseBodyIsLateIsRefused, DrainingEntry)
{
  Start();
  Configure();
  m_near.AddScript(kHoldConnection);
  Tcp::socket socket(m_context);
  socket.connect({ net::asio::ip::make_address("127.0.0.1"), m_port });
  const std::string head = "POST /once/x HTTP/1.1\r\nHost: desk.example\r\n"
                           "Id: r1\r\nPatience: 500\r\n"
                           "Content-Length: 4\r\n\r\nab";
  net::asio::write(socket, net::asio::buffer(head));
  RunFor(20);
  StartDrain(0, 900);
  RunFor(500);
  net::asio::write(socket, net::asio::buffer("cd", 2));
  RunFor(100);
  std::string answer(4096, '\0');
  error_code error;
  socket.non_blocking(true);
  answer.resize(socket.read_some(net::asio::buffer(answer), error));
  BOOST_TEST(Contains(answer, "HTTP/1.1 503"));
  BOOST_TEST(m_near.m_requests.empty());
}

// Guards against a request that ran when the shutdown began and is cut off
// without an answer when the process exits. It may have run.
BOOST_FIXTURE_TEST_CASE(RequestThatOutlivesTheDrainIsAnswered, DrainingEntry)
{
  Start();
  Configure();
  m_near.AddScript(kHoldConnection);
  const auto received = StartCall(MakeRequest("once"));
  RunFor(50);
  BOOST_REQUIRE(m_near.m_requests.size() == 1U);
  StartDrain(0, 500, received);
  RunFor(300);
  BOOST_TEST(received->empty()); // the upstream still has time
  RunFor(400);
  BOOST_TEST(m_drained);
  BOOST_TEST(Contains(m_receivedAtExit, "HTTP/1.1 502"));
  BOOST_TEST(Contains(m_receivedAtExit, "unknown"));
  BOOST_TEST(m_near.m_closedByPeer == 1);
}

// Guards against a request that waits for an upstream or a configuration and is
// cut off without an answer when the process exits. It has not run.
BOOST_FIXTURE_TEST_CASE(RequestThatWaitsAtTheEndOfTheDrainIsRefused,
                        DrainingEntry)
{
  Start();
  const auto received = StartCall(MakeRequest("once"));
  RunFor(50);
  StartDrain(0, 500, received);
  RunFor(700);
  BOOST_TEST(m_drained);
  BOOST_TEST(Contains(m_receivedAtExit, "HTTP/1.1 503"));
  BOOST_TEST(Contains(m_receivedAtExit, "not_run"));
}

// Guards against a response that was being written and is cut off before the
// end of the drain, and against a stream that ends as if it were complete.
BOOST_FIXTURE_TEST_CASE(ResponseThatHasBegunGoesOnUntilTheExit, DrainingEntry)
{
  Start();
  Configure();
  const std::string pause = kPauseWriting;
  std::string script = kStreamHead + Chunk("id: 1\ndata: a\n\n");
  for (const char* id : { "2", "3", "4" }) {
    script += pause + Chunk("id: " + std::string(id) + "\ndata: b\n\n");
  }
  m_near.AddScript(script + kHoldConnection);
  const auto received = StartCall(MakeRequest("stream"));
  RunFor(80);
  BOOST_REQUIRE(Contains(*received, "data: a"));
  // The third event comes 420 ms after the start of the drain, when requests
  // without a response have been answered already.
  StartDrain(0, 500, received);
  RunFor(600);
  BOOST_TEST(m_drained);
  BOOST_TEST(Contains(m_receivedAtExit, "id: 3"));
  BOOST_TEST(!Contains(m_receivedAtExit, "0\r\n\r\n"));
  BOOST_TEST(!Contains(m_receivedAtExit, "HTTP/1.1 50"));
}

// Guards against connections that are reset without an answer: the kernel had
// accepted them, with their requests, when the entry stopped to listen.
BOOST_FIXTURE_TEST_CASE(ConnectionsInTheBacklogAreAnswered, DrainingEntry)
{
  Start();
  Configure();
  m_near.m_repeatedScript = kGoodResponse;
  constexpr int kCallers = 8;
  std::vector<Tcp::socket> callers;
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back(m_context);
    callers.back().connect(
      { net::asio::ip::make_address("127.0.0.1"), m_port });
    const std::string request = MakeRequest("once", "Patience: 500\r\n");
    net::asio::write(callers.back(), net::asio::buffer(request));
  }
  StartDrain(0, 1500);
  RunFor(500);
  for (Tcp::socket& caller : callers) {
    std::string answer(4096, '\0');
    error_code error;
    caller.non_blocking(true);
    answer.resize(caller.read_some(net::asio::buffer(answer), error));
    BOOST_TEST(Contains(answer, "HTTP/1.1 "), error.message());
  }
}
