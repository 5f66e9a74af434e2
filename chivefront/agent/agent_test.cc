// Tests the agent with fake upstreams, over real links and HTTP.
// Promises: allowed, withdrawn, domain-out, whole-answer, not-run
#define BOOST_TEST_MODULE agent
#include <boost/test/unit_test.hpp>

#include "chivefront/agent/testing/agent_fixture.h"
#include "fakes/engine.h"
#include "fakes/service.h"

using namespace chivefront;
using agent::testing::AgentFixture;

namespace {

struct EngineFixture
{
  AgentFixture m_fixture;
  fakes::FakeEngine& m_engine =
    m_fixture.AddFake<fakes::FakeEngine>(fakes::EngineOptions());

  std::string RejectionOf(wire::DispatchT aDispatch)
  {
    const std::string id = aDispatch.request_id;
    m_fixture.Send(std::move(aDispatch));
    const auto received = m_fixture.WaitEnd(id);
    BOOST_TEST(!received.m_started);
    return received.m_rejected ? received.m_rejected->kind : "none";
  }
};

} // namespace

// Guards against an answer that is truncated or reordered, that is passed on
// with the terminator (which only the entry sends, after the bill), or that
// ends without its usage.
BOOST_FIXTURE_TEST_CASE(StreamsAWholeAnswer, EngineFixture)
{
  m_fixture.Send(AgentFixture::ChatDispatch("r1", "engine-1", 12));
  const auto received = m_fixture.WaitEnd("r1");
  BOOST_REQUIRE(received.m_end.has_value());
  BOOST_TEST((received.m_end->outcome == wire::Outcome::Done));
  BOOST_TEST(received.m_end->answer_tokens == 12U);
  BOOST_TEST(received.m_end->chunks == received.m_chunks);
  BOOST_TEST(!received.m_outOfOrder);
  BOOST_TEST(received.m_started);
  BOOST_TEST(received.m_bytes.find("\"usage\"") != std::string::npos);
  BOOST_TEST(received.m_bytes.find("[DONE]") == std::string::npos);
}

BOOST_FIXTURE_TEST_CASE(PassesAWholeJsonAnswer, EngineFixture)
{
  auto dispatch = AgentFixture::ChatDispatch("r1", "engine-1");
  dispatch.stream = false;
  dispatch.body = R"({"max_tokens":5,"messages":[]})";
  m_fixture.Send(std::move(dispatch));
  const auto received = m_fixture.WaitEnd("r1");
  BOOST_REQUIRE(received.m_end.has_value());
  BOOST_TEST((received.m_end->outcome == wire::Outcome::Done));
  BOOST_TEST(received.m_end->answer_tokens == 5U);
  BOOST_TEST(received.m_end->http_status == 200U);
}

// Guards against work that an entry with an outdated view still sends: the
// agent must reject a team, version or domain that the catalogue does not
// allow.
BOOST_FIXTURE_TEST_CASE(RefusesWhatTheCatalogueDoesNotAllow, EngineFixture)
{
  auto other = AgentFixture::ChatDispatch("r1", "engine-1");
  other.team = "other";
  BOOST_TEST(RejectionOf(other) == "not_allowed");
  auto version = AgentFixture::ChatDispatch("r2", "engine-1");
  version.version = "small-2";
  BOOST_TEST(RejectionOf(version) == "no_upstream");
  BOOST_TEST(RejectionOf(AgentFixture::ChatDispatch("r3", "engine-9")) ==
             "no_upstream");
  const uint64_t before = m_fixture.AgentUnderTest().Revision();
  m_fixture.Control().Put("out/domain/domain-a", "{}");
  AgentFixture::Eventually(
    [&] { return m_fixture.AgentUnderTest().Revision() > before; });
  BOOST_TEST(RejectionOf(AgentFixture::ChatDispatch("r4", "engine-1")) ==
             "no_upstream");
  BOOST_TEST(m_engine.History().find("\"ran\":{}") != std::string::npos);
}

// Guards against an agent that starts new work while it has no connection to
// control.
BOOST_FIXTURE_TEST_CASE(RefusesWithoutAFreshView, EngineFixture)
{
  m_fixture.Control().SetSilent(true);
  AgentFixture::Eventually([&] { return !m_fixture.AgentUnderTest().Ready(); });
  BOOST_TEST(RejectionOf(AgentFixture::ChatDispatch("r1", "engine-1")) ==
             "not_fresh");
}

BOOST_AUTO_TEST_CASE(CallsAPlainService)
{
  AgentFixture fixture;
  auto& service = fixture.AddFake<fakes::FakeService>(fakes::ServiceOptions());
  fixture.Send(AgentFixture::BookingDispatch("r1", "service-1"));
  const auto received = fixture.WaitEnd("r1");
  BOOST_REQUIRE(received.m_end.has_value());
  BOOST_TEST((received.m_end->outcome == wire::Outcome::Done));
  BOOST_TEST(received.m_bytes.find("/v1/services/booking/orders") !=
             std::string::npos);
  BOOST_TEST(service.History().find("\"most_executions\":1") !=
             std::string::npos);
}
