// Tests of an entry whose upstreams state request limits.
#define BOOST_TEST_MODULE proxy_request_limit
#include <boost/test/unit_test.hpp>

#include "chivefront/proxy/testing/entry_fixture.h"

using namespace chivefront;
using namespace chivefront::proxy::testing;

namespace {

constexpr char kLimitedResponse[] = "HTTP/1.1 200 OK\r\nId: $ID\r\nSeal: s\r\n"
                                    "Limit: 2\r\nContent-Length: 4\r\n\r\ngood";

} // namespace

// Guards against sending an upstream far more requests than the limit that it
// states in its answers, while another upstream takes the rest.
BOOST_FIXTURE_TEST_CASE(UpstreamGetsNoMoreThanItsLimit, RunningEntry)
{
  constexpr int kRequests = 60;
  for (int i = 0; i < kRequests; ++i) {
    m_near.AddScript(kLimitedResponse);
    m_far.AddScript(kGoodResponse);
  }
  const base::Clock& clock = base::SteadyClock::Instance();
  const base::TimePoint started = clock.Now();
  for (int i = 0; i < kRequests; ++i) {
    BOOST_TEST(Contains(Call(MakeRequest("plain")), "good"));
  }
  const double seconds =
    static_cast<double>((clock.Now() - started).Count()) / 1000;
  const double allowed = 1.5 * 2 * seconds + 5;
  BOOST_TEST(static_cast<double>(m_near.m_requests.size()) <= allowed);
}

// Guards against a request that waits for its deadline at a used up limit, and
// against a refusal that leaves open whether the request ran.
BOOST_FIXTURE_TEST_CASE(RequestBeyondTheOnlyLimitIsRefused, EntryFixture)
{
  m_onlyNear = true;
  Start();
  Configure();
  m_near.AddScript(kLimitedResponse);
  BOOST_TEST(Contains(Call(MakeRequest("plain")), "good"));
  const std::string answer =
    Call(MakeRequest("plain", "Patience: 1200\r\n"), 1000);
  BOOST_TEST(Contains(answer, "HTTP/1.1 503"));
  BOOST_TEST(Contains(answer, "Retry-After: "));
  BOOST_TEST(Contains(answer, "upstreams_limited"));
  BOOST_TEST(Contains(answer, "not_run"));
  BOOST_TEST(m_near.m_requests.size() == 1U);
}

// Guards against a doubtful answer that is dropped though no upstream may be
// asked for a better one.
BOOST_FIXTURE_TEST_CASE(AnswerIsKeptWhileNoUpstreamMayBeAsked, EntryFixture)
{
  m_onlyNear = true;
  Start();
  Configure();
  m_near.AddScript("HTTP/1.1 200 OK\r\nId: $ID\r\nSeal: s\r\nSure: 1\r\n"
                   "Limit: 1\r\nTransfer-Encoding: chunked\r\n\r\n" +
                   Chunk("id: 1\ndata: a\n\n") + Chunk(""));
  const std::string answer = Call(MakeRequest("stream", "Model: any\r\n"));
  BOOST_TEST(Contains(answer, "HTTP/1.1 200"));
  BOOST_TEST(Contains(answer, "data: a"));
  BOOST_TEST(m_near.m_requests.size() == 1U);
}
