// Tests of placement: credits, domains, prefix affinity, refusals.
// Promises: cold-start, leaving
#define BOOST_TEST_MODULE placement
#include <boost/test/unit_test.hpp>

#include "chivefront/policy/placement.h"

using namespace chivefront;
using policy::Placement;
using policy::PlacementSettings;

namespace {

base::TimePoint
At(int64_t aMs)
{
  return base::TimePoint(base::Millis(aMs));
}

policy::UpstreamReport
Report(const std::string& aName,
       const std::string& aDomain,
       uint32_t aLimit,
       uint32_t aRunning = 0)
{
  policy::UpstreamReport report;
  report.m_upstream = aName;
  report.m_domain = aDomain;
  report.m_route = "v1";
  report.m_limit = aLimit;
  report.m_running = aRunning;
  return report;
}

bool
Any(const Placement::Upstream&)
{
  return true;
}

PlacementSettings
Settings()
{
  PlacementSettings settings;
  settings.m_ownDomain = "a";
  return settings;
}

} // namespace

// Guards against sending more requests than the reported credits before the
// next report arrives, which would overload a cold upstream.
BOOST_AUTO_TEST_CASE(OwnSendsUseUpTheCredits)
{
  Placement placement(Settings());
  placement.Update(Report("cold", "a", 2), At(0));
  placement.Update(Report("warm", "a", 8), At(0));
  int sent = 0;
  while (auto choice = placement.Choose({ .m_route = "v1" }, Any, At(1))) {
    placement.OnSent(choice->m_upstream);
    ++sent;
    BOOST_TEST_REQUIRE(placement.Find("cold")->m_inFlight <= 2U);
  }
  BOOST_TEST(sent == 10);
}

// Guards against new work for an upstream that is leaving, is rejected by the
// caller's check, has been tried already, or has another route.
BOOST_AUTO_TEST_CASE(UnusableUpstreamsAreNeverChosen)
{
  Placement placement(Settings());
  auto leaving = Report("leaving", "a", 8);
  leaving.m_leaving = true;
  placement.Update(leaving, At(0));
  placement.Update(Report("out", "a", 8), At(0));
  placement.Update(Report("tried", "a", 8), At(0));
  auto other = Report("other", "a", 8);
  other.m_route = "v2";
  placement.Update(other, At(0));
  const std::set<std::string> tried{ "tried" };
  policy::PlacementRequest request{ .m_route = "v1", .m_tried = &tried };
  const auto usable = [](const Placement::Upstream& aUpstream) {
    return aUpstream.m_report.m_upstream != "out";
  };
  BOOST_TEST(!placement.Choose(request, usable, At(0)).has_value());
}

// Guards against unnecessary traffic between failure domains, and against
// waiting in the own domain while another domain has free capacity.
BOOST_AUTO_TEST_CASE(OwnDomainIsPreferredUntilLoaded)
{
  Placement placement(Settings());
  placement.Update(Report("far", "b", 8), At(0));
  placement.Update(Report("near", "a", 8), At(0));
  BOOST_TEST(placement.Choose({ .m_route = "v1" }, Any, At(0))->m_upstream ==
             "near");
  placement.Update(Report("near", "a", 8, 7), At(1));
  BOOST_TEST(placement.Choose({ .m_route = "v1" }, Any, At(1))->m_upstream ==
             "far");
}

// Guards against a returning domain that receives its full share at once.
BOOST_AUTO_TEST_CASE(ReturningDomainRampsUp)
{
  Placement placement(Settings());
  placement.Update(Report("back", "a", 100), At(0));
  placement.Update(Report("stay", "b", 100, 50), At(0));
  placement.OnDomainReturned("a", At(0));
  const auto shareAt = [&](int64_t aMs) {
    int back = 0;
    for (int i = 0; i < 1000; ++i) {
      const auto choice = placement.Choose({ .m_route = "v1" }, Any, At(aMs));
      back += choice->m_upstream == "back" ? 1 : 0;
    }
    return back;
  };
  BOOST_TEST(shareAt(0) < 200);
  BOOST_TEST(shareAt(20000) == 1000);
}

// Guards against cache misses because requests with one prefix move between
// upstreams, and against affinity that overloads an upstream.
BOOST_AUTO_TEST_CASE(PrefixAffinityWithinCredits)
{
  Placement placement(Settings());
  placement.Update(Report("u1", "a", 8), At(0));
  placement.Update(Report("u2", "a", 8), At(0));
  policy::PlacementRequest request{ .m_route = "v1", .m_prefix = 7 };
  const auto first = placement.Choose(request, Any, At(0));
  placement.OnSent(first->m_upstream, 7);
  const auto second = placement.Choose(request, Any, At(0));
  BOOST_TEST(second->m_upstream == first->m_upstream);
  BOOST_TEST(second->m_affine);
  placement.Update(Report(first->m_upstream, "a", 8, 8), At(1));
  const auto third = placement.Choose(request, Any, At(1));
  BOOST_TEST(third->m_upstream != first->m_upstream);
}

// Guards against an immediate new attempt at an agent that has refused one.
BOOST_AUTO_TEST_CASE(RejectedUpstreamIsAvoidedForAMoment)
{
  Placement placement(Settings());
  placement.Update(Report("u1", "a", 8), At(0));
  placement.OnSent("u1");
  placement.OnRejected("u1", At(0));
  BOOST_TEST(!placement.Choose({ .m_route = "v1" }, Any, At(10)).has_value());
  BOOST_TEST(placement.Choose({ .m_route = "v1" }, Any, At(200)).has_value());
}
