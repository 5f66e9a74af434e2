// Tests of the agent in front of fake upstreams, over real links and HTTP.
// Promises: allowed, withdrawn, domain-out, whole-answer, not-run
#define BOOST_TEST_MODULE agent
#include <boost/test/unit_test.hpp>

#include "chivefront/agent/testing/bench.h"
#include "fakes/engine.h"
#include "fakes/service.h"

using namespace chivefront;
using agent::testing::Bench;

namespace {

struct WithEngine
{
  Bench m_bench;
  fakes::FakeEngine& m_engine =
    m_bench.Add<fakes::FakeEngine>(fakes::EngineOptions());

  std::string RejectionOf(wire::DispatchT aDispatch)
  {
    const std::string id = aDispatch.request_id;
    m_bench.Send(std::move(aDispatch));
    const auto received = m_bench.WaitEnd(id);
    BOOST_TEST(!received.m_started);
    return received.m_rejected ? received.m_rejected->kind : "none";
  }
};

} // namespace

// Guards against answers that are cut, reordered, passed on with their
// terminator before the bill, or reported without usage.
BOOST_FIXTURE_TEST_CASE(StreamsAWholeAnswer, WithEngine)
{
  m_bench.Send(Bench::Chat("r1", "engine-1", 12));
  const auto received = m_bench.WaitEnd("r1");
  BOOST_REQUIRE(received.m_end.has_value());
  BOOST_TEST((received.m_end->outcome == wire::Outcome::Done));
  BOOST_TEST(received.m_end->answer_tokens == 12U);
  BOOST_TEST(received.m_end->chunks == received.m_chunks);
  BOOST_TEST(!received.m_outOfOrder);
  BOOST_TEST(received.m_started);
  BOOST_TEST(received.m_bytes.find("\"usage\"") != std::string::npos);
  BOOST_TEST(received.m_bytes.find("[DONE]") == std::string::npos);
}

BOOST_FIXTURE_TEST_CASE(PassesAWholeJsonAnswer, WithEngine)
{
  auto dispatch = Bench::Chat("r1", "engine-1");
  dispatch.stream = false;
  dispatch.body = R"({"max_tokens":5,"messages":[]})";
  m_bench.Send(std::move(dispatch));
  const auto received = m_bench.WaitEnd("r1");
  BOOST_REQUIRE(received.m_end.has_value());
  BOOST_TEST((received.m_end->outcome == wire::Outcome::Done));
  BOOST_TEST(received.m_end->answer_tokens == 5U);
  BOOST_TEST(received.m_end->http_status == 200U);
}

// Guards against work that an entry with an old view still sends.
BOOST_FIXTURE_TEST_CASE(RefusesWhatTheCatalogueDoesNotAllow, WithEngine)
{
  auto other = Bench::Chat("r1", "engine-1");
  other.team = "other";
  BOOST_TEST(RejectionOf(other) == "not_allowed");
  auto version = Bench::Chat("r2", "engine-1");
  version.version = "small-2";
  BOOST_TEST(RejectionOf(version) == "no_upstream");
  BOOST_TEST(RejectionOf(Bench::Chat("r3", "engine-9")) == "no_upstream");
  const uint64_t before = m_bench.Subject().Revision();
  m_bench.Control().Put("out/domain/domain-a", "{}");
  Bench::Eventually([&] { return m_bench.Subject().Revision() > before; });
  BOOST_TEST(RejectionOf(Bench::Chat("r4", "engine-1")) == "no_upstream");
  BOOST_TEST(m_engine.History().find("\"ran\":{}") != std::string::npos);
}

// Guards against new work by an agent that is cut off from control.
BOOST_FIXTURE_TEST_CASE(RefusesWithoutAFreshView, WithEngine)
{
  m_bench.Control().SetSilent(true);
  Bench::Eventually([&] { return !m_bench.Subject().Ready(); });
  BOOST_TEST(RejectionOf(Bench::Chat("r1", "engine-1")) == "not_fresh");
}

BOOST_AUTO_TEST_CASE(CallsAPlainService)
{
  Bench bench;
  auto& service = bench.Add<fakes::FakeService>(fakes::ServiceOptions());
  bench.Send(Bench::Booking("r1", "service-1"));
  const auto received = bench.WaitEnd("r1");
  BOOST_REQUIRE(received.m_end.has_value());
  BOOST_TEST((received.m_end->outcome == wire::Outcome::Done));
  BOOST_TEST(received.m_bytes.find("/v1/services/booking/orders") !=
             std::string::npos);
  BOOST_TEST(service.History().find("\"most_executions\":1") !=
             std::string::npos);
}
