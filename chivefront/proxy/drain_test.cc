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
  void StartDrain(int64_t aNoticeMillis, int64_t aMaxMillis)
  {
    net::Spawn(m_context.get_executor(),
               "test",
               [this, aNoticeMillis, aMaxMillis]() -> net::Task<void> {
                 co_await m_entry->Drain(base::Millis(aNoticeMillis),
                                         base::Millis(aMaxMillis));
               });
    RunFor(20);
  }
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
