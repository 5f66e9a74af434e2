// Tests of an entry whose upstreams say in their answers that they leave.
#define BOOST_TEST_MODULE proxy_leaving_upstream
#include <boost/test/unit_test.hpp>

#include "chivefront/proxy/testing/entry_fixture.h"

using namespace chivefront;
using namespace chivefront::proxy::testing;

// Guards against requests to an upstream that said in an answer that it leaves,
// while its registration still says that it is ready.
BOOST_FIXTURE_TEST_CASE(LeavingUpstreamGetsNoMoreRequests, RunningEntry)
{
  m_near.AddScript("HTTP/1.1 200 OK\r\nId: $ID\r\nSeal: s\r\nLeaving: 1\r\n"
                   "Content-Length: 4\r\n\r\ngood");
  for (int i = 0; i < 3; ++i) {
    m_near.AddScript(kGoodResponse);
    m_far.AddScript(kGoodResponse);
  }
  for (int i = 0; i < 3; ++i) {
    BOOST_TEST(Contains(Call(MakeRequest("plain")), "good"));
  }
  RunFor(1000); // the entry sweeps its upstreams
  BOOST_TEST(Contains(Call(MakeRequest("plain")), "good"));
  BOOST_TEST(m_near.m_requests.size() == 1U);
  BOOST_TEST(m_far.m_requests.size() == 3U);
}
