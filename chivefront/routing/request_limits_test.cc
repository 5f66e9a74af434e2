// Merging of the request limits that upstreams state.
#define BOOST_TEST_MODULE routing_request_limits
#include <boost/test/unit_test.hpp>

#include "chivefront/routing/request_limits.h"

using namespace chivefront;
using namespace chivefront::routing;

namespace {

constexpr UpstreamKey kUpstream = 7;

base::TimePoint
At(int64_t aMillis)
{
  return base::TimePoint(base::Millis(aMillis));
}

} // namespace

// Guards against a limit that an older observation of another entry restores or
// withdraws.
BOOST_AUTO_TEST_CASE(NewestObservationCounts)
{
  RequestLimits limits;
  BOOST_TEST(!limits.Find(kUpstream));
  const bool stated =
    limits.Record({ kUpstream, 2.5, At(1000) }) == LimitChange::Stated;
  BOOST_TEST(stated);
  (void)limits.Record({ kUpstream, std::nullopt, At(900) });
  BOOST_TEST(limits.Find(kUpstream).value() == 2.5);
  const bool withdrawn = limits.Record({ kUpstream, std::nullopt, At(1100) }) ==
                         LimitChange::Withdrawn;
  BOOST_TEST(withdrawn);
  (void)limits.Record({ kUpstream, 2.5, At(1050) });
  BOOST_TEST(!limits.Find(kUpstream));
}

// Guards against a limit that is forgotten while its upstream gets no requests,
// and against memory that grows with each restart of an upstream.
BOOST_AUTO_TEST_CASE(LimitsOfRegisteredUpstreamsAreKept)
{
  RequestLimits limits;
  (void)limits.Record({ 1, 2.5, At(1000) });
  (void)limits.Record({ 2, 2.5, At(1000) });
  (void)limits.Record({ 3, 2.5, At(1000) });
  (void)limits.Record({ 3, std::nullopt, At(1100) });
  limits.Expire(At(2000), At(2000), [](UpstreamKey aKey) { return aKey == 1; });
  BOOST_REQUIRE(limits.All().size() == 1U);
  BOOST_TEST(limits.All().front().m_upstream == 1U);
}

// Guards against a burst at an upstream that comes back after its registration
// expired: its limit holds for the whole incarnation.
BOOST_AUTO_TEST_CASE(LimitOutlivesItsRegistration)
{
  RequestLimits limits;
  (void)limits.Record({ kUpstream, 2.5, At(1000) });
  limits.ExpireUnregistered(Registry(), At(31000));
  BOOST_TEST(limits.Find(kUpstream).value_or(0) == 2.5);
  limits.ExpireUnregistered(Registry(), At(601000));
  BOOST_TEST(!limits.Find(kUpstream));
}
