// The loads of services that may be scaled, from the polls of entries to the
// inputs of the scaler.
#define BOOST_TEST_MODULE site_load_collector
#include <boost/test/unit_test.hpp>

#include "chivefront/site/load_collector.h"
#include "chivefront/site/scaling_inputs.h"

using namespace chivefront;
using namespace chivefront::site;

namespace {

const ServiceDomain kSubject{ "sorter", "a" };

base::TimePoint
At(int64_t aMillis)
{
  return base::TimePoint(base::Millis(aMillis));
}

wire::WatchRequestT
MakePoll(const std::string& aHolder, uint32_t aUnderWay, uint64_t aAnswers)
{
  wire::WatchRequestT request;
  request.holder = aHolder;
  request.loads =
    ToWire({ { kSubject, aUnderWay, 1, aAnswers, aAnswers / 2 } });
  return request;
}

routing::Instance
MakeInstance(const std::string& aId, const std::string& aDomain)
{
  routing::Instance instance;
  instance.m_id = aId;
  instance.m_service = "sorter";
  instance.m_domain = aDomain;
  instance.m_slots = 8;
  instance.m_address = { "127.0.0.1", static_cast<uint16_t>(aId.back()) };
  instance.m_reportedAt = At(0);
  return instance;
}

} // namespace

// Guards against answers that count twice because a poll was repeated, or as
// recent because the process that counts them is new or the entry restarted.
BOOST_AUTO_TEST_CASE(AnswersCountOnce)
{
  LoadCollector collector;
  collector.Record(MakePoll("one", 3, 1000), At(0));
  BOOST_TEST(collector.TakeTotals(At(0))[kSubject].m_answers == 0U);
  collector.Record(MakePoll("one", 3, 1010), At(200));
  collector.Record(MakePoll("one", 3, 1010), At(400));
  collector.Record(MakePoll("one", 3, 1016), At(600));
  const TotalLoad total = collector.TakeTotals(At(600))[kSubject];
  BOOST_TEST(total.m_answers == 16U);
  BOOST_TEST(total.m_goalsMissed == 8U);
  BOOST_TEST(collector.TakeTotals(At(600))[kSubject].m_answers == 0U);
  collector.Record(MakePoll("one", 3, 4), At(800));
  BOOST_TEST(collector.TakeTotals(At(800))[kSubject].m_answers == 4U);
}

// Guards against requests of an entry that has died, which would keep its
// upstreams for good.
BOOST_AUTO_TEST_CASE(LiveEntriesAreAddedUp)
{
  LoadCollector collector;
  collector.Record(MakePoll("one", 3, 0), At(0));
  collector.Record(MakePoll("two", 4, 0), At(1500));
  BOOST_TEST(collector.TakeTotals(At(1500))[kSubject].m_underWay == 7U);
  BOOST_TEST(collector.TakeTotals(At(2000))[kSubject].m_underWay == 4U);
  BOOST_TEST(collector.TakeTotals(At(2000))[kSubject].m_waiting == 1U);
  wire::WatchRequestT empty; // the configuration no longer holds scaling
  empty.holder = "two";
  collector.Record(empty, At(2100));
  BOOST_TEST(collector.TakeTotals(At(2100)).empty());
}

// Guards against loads for services that are not scaled, for upstreams that are
// gone, and against an evacuated domain or a roll-out that the scaler does not
// see.
BOOST_AUTO_TEST_CASE(InputsCoverReadyUpstreamsOfScaledServices)
{
  routing::ConfigParts parts;
  routing::Service scaled;
  scaled.m_name = "sorter";
  scaled.m_scaling = duty::ScalingBounds{ 1, 4, base::Millis(4000) };
  routing::Service plain;
  plain.m_name = "plain";
  parts.m_services = { scaled, plain };
  const auto config = routing::Config::Build(std::move(parts));
  BOOST_REQUIRE(config.ok());
  routing::Registry registry;
  registry.Merge(MakeInstance("u1", "a"));
  registry.Merge(MakeInstance("u2", "b"));
  routing::Instance draining = MakeInstance("u3", "a");
  draining.m_state = routing::InstanceState::Draining;
  registry.Merge(draining);
  routing::Instance other = MakeInstance("u4", "a");
  other.m_service = "plain";
  registry.Merge(other);
  State state;
  state.m_domainsOut = { "b" };
  state.m_rollouts["sorter"] = {};
  const std::map<ServiceDomain, TotalLoad> totals = { { kSubject,
                                                        { 11, 2, 5, 1 } } };
  const auto loads =
    MakeServiceLoads(**config, registry, state, totals, At(1000));
  BOOST_REQUIRE(loads.size() == 2U);
  BOOST_TEST(loads[0].m_ready == 1U);
  BOOST_TEST(loads[0].m_slotsInUse == 8);
  BOOST_TEST(loads[0].m_waiting == 5); // three at the upstream, two at entries
  BOOST_TEST(loads[0].m_goalsMissed == 1);
  BOOST_TEST(loads[0].m_inRollout);
  BOOST_TEST(loads[0].m_bounds.m_maxUpstreams == 4U);
  BOOST_TEST((loads[0].m_state == duty::DomainState::Serving));
  BOOST_TEST((loads[1].m_state == duty::DomainState::Evacuated));
  // Nothing is heard any more: no load, which the scaler takes for a loss.
  BOOST_TEST(
    MakeServiceLoads(**config, registry, state, totals, At(9000)).empty());
}
