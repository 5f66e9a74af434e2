// Tests of the choice among the upstreams that an entry knows.
#define BOOST_TEST_MODULE proxy_upstreams
#include <chrono>

#include <boost/test/unit_test.hpp>

#include "chivefront/proxy/upstreams.h"
#include "chivefront/site/messages.h"

using namespace chivefront;
using namespace chivefront::proxy;

namespace {

struct UpstreamsFixture
{
  UpstreamsFixture()
    : m_watch(m_context,
              m_identity,
              {},
              m_clock,
              m_log,
              [](std::string_view) {
                return absl::StatusOr<routing::ConfigPointer>(nullptr);
              })
    , m_upstreams(m_watch, m_clock, 1)
  {
    m_service.m_name = "app";
    m_clock.Advance(base::Millis(1000000));
  }

  // A leading control process names an upstream that started at aBorn.
  void Register(uint64_t aBorn,
                const std::string& aId = "one",
                uint16_t aPort = 1)
  {
    routing::Instance instance;
    instance.m_id = aId;
    instance.m_service = m_service.m_name;
    instance.m_address = { "127.0.0.1", aPort };
    instance.m_slots = 64;
    instance.m_born = aBorn;
    instance.m_sequence = ++m_sequence;
    instance.m_reportedAt = m_clock.Now();
    wire::WatchReplyT reply;
    reply.fresh = true;
    reply.upstreams.push_back(std::make_unique<wire::UpstreamInfoT>(
      site::ToWire(instance, m_clock.Now())));
    m_watch.Accept(reply);
  }

  // Lets aMillis pass without a registration. Each poll of the watch drops what
  // has expired.
  void Pass(int64_t aMillis)
  {
    constexpr std::chrono::milliseconds kSeveralPolls{ 150 };
    m_clock.Advance(base::Millis(aMillis));
    m_watch.Start();
    m_context.run_for(kSeveralPolls);
    m_upstreams.Sweep();
  }

  UpstreamPointer Choose()
  {
    UpstreamCriteria criteria;
    criteria.m_service = &m_service;
    AvailableUpstreams available;
    return m_upstreams.Choose(criteria, available);
  }

  net::asio::io_context m_context{ 1 };
  net::LinkIdentity m_identity;
  base::ManualClock m_clock;
  base::DecisionLog m_log{ "test", m_clock };
  site::Watch m_watch;
  routing::Service m_service;
  Upstreams m_upstreams;
  uint64_t m_sequence = 0;
};

} // namespace

// Guards against requests to an upstream that said that it leaves, after this
// entry has heard nothing of it for so long that its registration expired.
BOOST_FIXTURE_TEST_CASE(LeavingIsRememberedWithoutRegistration,
                        UpstreamsFixture)
{
  constexpr uint64_t kBorn = 7;
  Register(kBorn);
  BOOST_REQUIRE(Choose());
  BOOST_TEST(m_upstreams.Forget(Choose()->m_instance));
  BOOST_TEST(!Choose());
  Pass(20000);
  BOOST_REQUIRE(m_watch.View().m_registry.Find("one") == nullptr);
  Register(kBorn);
  BOOST_TEST(!Choose());
  Register(kBorn + 1);
  BOOST_TEST(Choose());
}

// Guards against requests to an upstream in the rest that it asked for, after
// its registration expired and came back.
BOOST_FIXTURE_TEST_CASE(RestIsRememberedWithoutRegistration, UpstreamsFixture)
{
  Register(1);
  const UpstreamPointer upstream = Choose();
  BOOST_REQUIRE(upstream);
  upstream->m_estimate.OnRest(m_clock.Now() + base::Millis(30000));
  BOOST_TEST(!Choose());
  Pass(20000);
  Register(1);
  BOOST_TEST(!Choose());
  m_clock.Advance(base::Millis(10001));
  Register(1);
  BOOST_TEST(Choose());
}

// Guards against a flood of an upstream that has not stated its limit yet: all
// others have, so that all entries send it what is beyond their limits.
BOOST_FIXTURE_TEST_CASE(SilentUpstreamGetsOneRequestBesideLimitedOnes,
                        UpstreamsFixture)
{
  Register(1, "limited");
  Register(1, "silent", 2);
  (void)m_upstreams.RequestLimits().Record(
    { routing::MakeUpstreamKey(*m_watch.View().m_registry.Find("limited")),
      1.0,
      m_clock.Now() });
  const UpstreamPointer silent = Choose();
  BOOST_REQUIRE(silent);
  BOOST_TEST(silent->m_instance.m_id == "silent");
  silent->m_estimate.OnSent();
  for (int i = 0; i < 20; ++i) {
    m_clock.Advance(base::Millis(50));
    BOOST_TEST(!Choose());
  }
  // It gets more as soon as it answers, and the more the more it answers.
  silent->m_estimate.OnHead();
  silent->m_estimate.OnAnswer(m_clock.Now());
  int sent = 0;
  for (; Choose() && sent < 10; ++sent) {
    silent->m_estimate.OnSent();
  }
  BOOST_TEST(sent == 3);
}

// Guards against requests that an upstream without limit could take and that
// are refused, while no upstream states a limit.
BOOST_FIXTURE_TEST_CASE(SlowUpstreamGetsRequestsIfNoneIsLimited,
                        UpstreamsFixture)
{
  Register(1);
  for (int i = 0; i < 20; ++i) {
    const UpstreamPointer upstream = Choose();
    BOOST_REQUIRE(upstream);
    upstream->m_estimate.OnSent();
  }
}
