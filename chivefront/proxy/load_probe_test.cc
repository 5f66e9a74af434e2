// Upstreams that are asked for their load before a request is sent.
#define BOOST_TEST_MODULE proxy_load_probe
#include <boost/test/unit_test.hpp>

#include "chivefront/proxy/testing/entry_fixture.h"
#include "chivefront/routing/load_probes.h"

using namespace chivefront;
using namespace chivefront::proxy::testing;
using base::Millis;

namespace {

constexpr base::TimePoint kNow{ Millis(100000) };

std::string
Stream(const std::string& aLoad)
{
  return "HTTP/1.1 200 OK\r\nId: $ID\r\nSeal: s\r\nSure: 90\r\n" + aLoad +
         "Transfer-Encoding: chunked\r\n\r\n" + Chunk("id: 1\ndata: a\n\n") +
         "0\r\n\r\n";
}

std::string
Health(const std::string& aLoad)
{
  return "HTTP/1.1 200 OK\r\n" + aLoad + "Content-Length: 0\r\n\r\n";
}

// Two upstreams whose service has a health check. Earlier answers of both have
// told that requests wait.
struct BusyUpstreams : EntryFixture
{
  BusyUpstreams()
  {
    routing::ConfigParts parts;
    parts.m_number = 1;
    parts.m_services.push_back({ "app", "/health" });
    routing::Route route;
    route.m_name = "stream";
    route.m_host = "desk.example";
    route.m_prefix = "/stream/";
    route.m_stream = true;
    route.m_resumable = true;
    route.m_timeout = Millis(2000);
    route.m_goal = Millis(1000);
    route.m_maxAttempts = 3;
    route.m_services = { { "app", 1 } };
    route.m_models = { "small", "large" };
    parts.m_routes.push_back(route);
    m_config = *routing::Config::Build(std::move(parts));
    Start();
    Configure();
    m_near.m_repeatedScript = Stream("Waiting: 3\r\n");
    m_far.m_repeatedScript = Stream("Waiting: 3\r\n");
    constexpr int kEarlierRequests = 5;
    for (int i = 0; i < kEarlierRequests; ++i) {
      (void)Call(MakeRequest("stream", "Model: any\r\n"));
    }
    m_near.m_requests.clear();
    m_far.m_requests.clear();
    RunFor(100); // the reports grow old
  }

  static size_t CountOf(const ScriptedUpstream& aUpstream, const char* aStart)
  {
    size_t count = 0;
    for (const std::string& head : aUpstream.m_requests) {
      count += head.compare(0, std::string(aStart).size(), aStart) == 0 ? 1 : 0;
    }
    return count;
  }
};

} // namespace

// Load: long prompts of other entries wait at one upstream, the other one is
// idle. Guards against a request that waits behind them because the last report
// is old.
BOOST_FIXTURE_TEST_CASE(RequestGoesToTheUpstreamThatIsIdle, BusyUpstreams)
{
  m_near.AddScript(Health("Waiting: 40\r\n"));
  m_far.AddScript(Health("Waiting: 0\r\n"));
  m_far.AddScript(Stream(""));
  BOOST_TEST(
    Contains(Call(MakeRequest("stream", "Model: any\r\n")), "data: a"));
  BOOST_TEST(CountOf(m_far, "GET /health") == 1U);
  BOOST_TEST(CountOf(m_far, "GET /stream") == 1U);
  BOOST_TEST(CountOf(m_near, "GET /stream") == 0U);
}

// Guards against a request that waits for an upstream that does not answer its
// health check.
BOOST_FIXTURE_TEST_CASE(SilentProbeEndsSoon, BusyUpstreams)
{
  m_near.AddScript(kHoldConnection);
  m_far.AddScript(kHoldConnection);
  m_near.m_repeatedScript = Stream("");
  m_far.m_repeatedScript = Stream("");
  const base::TimePoint begun = base::SteadyClock::Instance().Now();
  BOOST_TEST(
    Contains(Call(MakeRequest("stream", "Model: any\r\n")), "data: a"));
  BOOST_TEST((base::SteadyClock::Instance().Now() - begun < Millis(1000)));
}

// Guards against health checks where no request waits, or where the upstreams
// do not answer them at once.
BOOST_AUTO_TEST_CASE(ProbesStartAndStopWithTheirUse)
{
  routing::LoadProbes probes;
  BOOST_TEST(!probes.Pay(kNow));
  for (int i = 0; i < 10; ++i) {
    probes.OnReport(2);
  }
  BOOST_TEST(probes.Pay(kNow));
  for (int i = 0; i < 50; ++i) {
    probes.OnProbe(false, kNow);
  }
  BOOST_TEST(!probes.Pay(kNow + Millis(9000)));
  BOOST_TEST(probes.Pay(kNow + Millis(11000)));
  for (int i = 0; i < 500; ++i) {
    probes.OnReport(0);
  }
  BOOST_TEST(!probes.Pay(kNow + Millis(11000)));
}
