// What an entry reports of the services that may be scaled.
#define BOOST_TEST_MODULE proxy_load_counter
#include <boost/test/unit_test.hpp>

#include "chivefront/proxy/testing/entry_fixture.h"

using namespace chivefront;
using namespace chivefront::proxy::testing;

namespace {

struct ScaledEntry : EntryFixture
{
  ScaledEntry()
  {
    routing::ConfigParts parts;
    parts.m_number = 1;
    parts.m_routes = m_config->Routes();
    routing::Service service;
    service.m_name = "app";
    service.m_scaling = duty::ScalingBounds{ 1, 4, base::Millis(1000) };
    parts.m_services = { service };
    m_config = *routing::Config::Build(std::move(parts));
    Start();
    Configure();
  }

  // The row of a domain in the next poll; empty if there is none.
  wire::EntryLoadT LoadOf(const std::string& aDomain)
  {
    for (const auto& row : m_watch.MakeRequest().loads) {
      if (row->domain == aDomain) {
        return *row;
      }
    }
    return {};
  }
};

} // namespace

// Guards against messages of a deployment that does not ask to be scaled.
BOOST_FIXTURE_TEST_CASE(NothingIsReportedWithoutScaling, RunningEntry)
{
  m_near.AddScript(kGoodResponse);
  BOOST_TEST(Contains(Call(MakeRequest("plain")), "good"));
  BOOST_TEST(m_watch.MakeRequest().loads.empty());
}

// Guards against requests that count for good after they have ended, and
// against requests that count where the entry is and not where they run.
BOOST_FIXTURE_TEST_CASE(RequestsCountWhereTheyRun, ScaledEntry)
{
  m_near.AddScript(kStreamHead + Chunk("id: 1\ndata: a\n\n") + kPauseWriting +
                   "0\r\n\r\n");
  const auto received = StartCall(MakeRequest("stream"));
  RunFor(100);
  BOOST_TEST(LoadOf("near").under_way == 1U);
  BOOST_TEST(LoadOf("near").answers == 1U);
  BOOST_TEST(LoadOf("near").goals_missed == 0U);
  BOOST_TEST(LoadOf("far").service.empty());
  RunFor(2500);
  BOOST_TEST(LoadOf("near").under_way == 0U);
  BOOST_TEST(LoadOf("near").waiting == 0U);
}

// Guards against missing upstreams that go unnoticed because a request that is
// refused never has an answer.
BOOST_FIXTURE_TEST_CASE(RefusedRequestsMissTheirGoals, ScaledEntry)
{
  const std::string rest = "HTTP/1.1 503 Full\r\nId: $ID\r\nRetry-After: 9\r\n"
                           "Content-Length: 0\r\n\r\n";
  m_near.m_repeatedScript = rest;
  m_far.m_repeatedScript = rest;
  const std::string answer = Call(MakeRequest("plain"), 4000);
  BOOST_TEST(!Contains(answer, " 200 "));
  BOOST_TEST(LoadOf("near").goals_missed == 1U);
}
