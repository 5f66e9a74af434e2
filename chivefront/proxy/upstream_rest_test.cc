// Tests of an entry whose upstreams reject requests and ask for a rest.
#define BOOST_TEST_MODULE proxy_upstream_rest
#include <boost/test/unit_test.hpp>

#include "chivefront/proxy/testing/entry_fixture.h"

using namespace chivefront;
using namespace chivefront::proxy::testing;

namespace {

// A rejection that asks for a rest of 700 ms.
constexpr char kRestResponse[] =
  "HTTP/1.1 503 Service Unavailable\r\nId: $ID\r\n"
  "Rest: 700\r\nContent-Length: 0\r\n\r\n";

} // namespace

// Guards against requests to an upstream that asked for a rest, though another
// one is there: it gets the next one when the rest has ended.
BOOST_FIXTURE_TEST_CASE(UpstreamGetsNothingWhileItRests, RunningEntry)
{
  m_near.AddScript(kRestResponse);
  for (int i = 0; i < 40; ++i) {
    m_near.AddScript(kGoodResponse);
    m_far.AddScript(kGoodResponse);
  }
  const base::Clock& clock = base::SteadyClock::Instance();
  BOOST_TEST(Contains(Call(MakeRequest("plain")), "good"));
  const base::TimePoint rejected = clock.Now();
  while (clock.Now() - rejected < base::Millis(600)) {
    BOOST_TEST(Contains(Call(MakeRequest("plain")), "good"));
    BOOST_TEST(m_near.m_requests.size() == 1U);
  }
  RunFor(300);
  BOOST_TEST(Contains(Call(MakeRequest("plain")), "good"));
  BOOST_TEST(m_near.m_requests.size() == 2U);
}

// Guards against requests to an upstream that asked for a rest in an answer
// that does not say whether the request ran.
BOOST_FIXTURE_TEST_CASE(UpstreamRestsAfterAFailureThatAsksForIt, RunningEntry)
{
  m_near.AddScript("HTTP/1.1 503 Service Unavailable\r\nId: $ID\r\nRan: 1\r\n"
                   "Rest: 700\r\nContent-Length: 0\r\n\r\n");
  for (int i = 0; i < 10; ++i) {
    m_near.AddScript(kGoodResponse);
    m_far.AddScript(kGoodResponse);
  }
  (void)Call(MakeRequest("plain"));
  for (int i = 0; i < 5; ++i) {
    BOOST_TEST(Contains(Call(MakeRequest("plain")), "good"));
  }
  BOOST_TEST(m_near.m_requests.size() == 1U);
}

// Guards against a rest that ends early because the upstream answers a request
// that it got before.
BOOST_FIXTURE_TEST_CASE(AnswerToAnotherRequestDoesNotEndTheRest, RunningEntry)
{
  const std::string pause = kPauseWriting;
  m_near.AddScript(pause + kGoodResponse);
  m_near.AddScript(kRestResponse);
  m_far.AddScript(pause + kGoodResponse);
  m_far.AddScript(kGoodResponse);
  m_far.AddScript(kGoodResponse);
  // One request at each upstream, so that the next one goes to the near one.
  const auto received = std::make_shared<std::string>();
  for (int i = 0; i < 2; ++i) {
    const auto slow = std::make_shared<Tcp::socket>(m_context);
    net::Spawn(m_context.get_executor(),
               "caller",
               [this, slow, received]() -> net::Task<void> {
                 return ExchangeBytes(slow, received, MakeRequest("plain"));
               });
    RunFor(30);
  }
  BOOST_TEST(Contains(Call(MakeRequest("plain")), "good"));
  BOOST_TEST(m_near.m_requests.size() == 2U);
  RunFor(300);
  BOOST_TEST(Contains(*received, "good"));
  BOOST_TEST(Contains(Call(MakeRequest("plain")), "good"));
  BOOST_TEST(m_near.m_requests.size() == 2U);
}

// Guards against a request that waits for an upstream although its rest ends
// too late, and against a caller that is told to return before that.
BOOST_FIXTURE_TEST_CASE(RequestIsRefusedAtOnceWhileAllRest, EntryFixture)
{
  m_onlyNear = true;
  Start();
  Configure();
  RunFor(3100); // from here on an entry does not wait for registrations
  m_near.AddScript("HTTP/1.1 503 Service Unavailable\r\nId: $ID\r\n"
                   "Rest: 4000\r\nContent-Length: 0\r\n\r\n");
  (void)Call(MakeRequest("plain"));
  const std::string answer = Call(MakeRequest("plain"), 100);
  BOOST_TEST(Contains(answer, "HTTP/1.1 503"));
  BOOST_TEST(Contains(answer, "Retry-After: 3."));
  BOOST_TEST(Contains(answer, "upstreams_resting"));
  BOOST_TEST(m_near.m_requests.size() == 1U);
}
