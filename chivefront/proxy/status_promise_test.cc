// Tests of the statuses that tell a caller that a request has not run.
// Promises: not-run
#define BOOST_TEST_MODULE proxy_status_promise
#include <boost/test/unit_test.hpp>

#include "chivefront/proxy/testing/entry_fixture.h"

using namespace chivefront;
using namespace chivefront::proxy::testing;

// Guards against a caller that sends a request again which has run: a status
// that promises that it has not was forwarded from an upstream that does not
// say so. The second upstream must not get an at-most-once request either.
BOOST_AUTO_TEST_CASE(UnmarkedRefusalOfAnUpstreamIsNoPromise)
{
  const std::string large(2 * 1024 * 1024, 'x');
  for (const std::string status :
       { "408 Timeout", "421 Misdirected", "429 Many", "503 Unavailable" }) {
    for (const std::string& body : { std::string("text"), large }) {
      RunningEntry entry;
      entry.m_near.AddScript("HTTP/1.1 " + status +
                             "\r\nId: $ID\r\nSeal: s\r\nRan: 1\r\n"
                             "Retry-After: 1\r\nContent-Length: " +
                             std::to_string(body.size()) + "\r\n\r\n" + body);
      const std::string answer = entry.Call(MakeRequest("once"));
      BOOST_TEST(Contains(answer, "HTTP/1.1 502"), status);
      BOOST_TEST(Contains(answer, R"("run":"unknown")"), status);
      BOOST_TEST(!Contains(answer, "Retry-After"), status);
      BOOST_TEST(!Contains(answer, "Seal"), status);
      BOOST_TEST(entry.m_far.m_requests.empty(), status);
    }
  }
}

// Guards against the same after the last retry of an idempotent request.
BOOST_FIXTURE_TEST_CASE(UnmarkedRefusalAfterRetriesIsNoPromise, RunningEntry)
{
  const std::string unavailable =
    "HTTP/1.1 503 Unavailable\r\nId: $ID\r\nSeal: s\r\nRan: 1\r\n"
    "Content-Length: 4\r\n\r\ntext";
  m_near.m_repeatedScript = unavailable;
  m_far.m_repeatedScript = unavailable;
  const std::string answer = Call(MakeRequest("plain"));
  BOOST_TEST(Contains(answer, "HTTP/1.1 502"));
  BOOST_TEST(m_near.m_requests.size() == 1U);
  BOOST_TEST(m_far.m_requests.size() == 1U);
}

// Guards against a refusal that is turned into a failure although the upstream
// says that nothing ran: another upstream then serves the request.
BOOST_FIXTURE_TEST_CASE(MarkedRefusalIsTriedElsewhere, RunningEntry)
{
  m_near.AddScript("HTTP/1.1 503 Full\r\nId: $ID\r\nContent-Length: 0\r\n\r\n");
  m_far.AddScript(kGoodResponse);
  BOOST_TEST(Contains(Call(MakeRequest("once")), "good"));
}

// Guards against an answer that has no status of HTTP and reaches the caller.
// The request may have run, so only one that may run again is sent elsewhere.
BOOST_AUTO_TEST_CASE(AnswerWithoutAStatusIsNone)
{
  for (const std::string status : { "000", "099", "103", "600" }) {
    const std::string answer =
      "HTTP/1.1 " + status +
      " X\r\nId: $ID\r\nSeal: s\r\nContent-Length: 0\r\n\r\n" +
      kCloseConnection;
    RunningEntry entry;
    entry.m_near.AddScript(answer);
    entry.m_far.AddScript(kGoodResponse);
    BOOST_TEST(Contains(entry.Call(MakeRequest("plain")), "good"), status);
    RunningEntry once;
    once.m_near.AddScript(answer);
    BOOST_TEST(Contains(once.Call(MakeRequest("once")), "HTTP/1.1 502"),
               status);
    BOOST_TEST(once.m_far.m_requests.empty(), status);
  }
}
