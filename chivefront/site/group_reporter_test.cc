// The gauges that tell whether the group can bear the stated losses.
#define BOOST_TEST_MODULE group_reporter
#include <boost/test/unit_test.hpp>

#include "chivefront/site/group_reporter.h"

using namespace chivefront;

// Guards against a group with too few voters that no metric shows: only the
// leader was reported, so an alert on missing voters was not possible.
BOOST_AUTO_TEST_CASE(MissingVotersAreVisible)
{
  base::Metrics metrics;
  base::DecisionLog log("host/control", base::SteadyClock::Instance());
  site::GroupReporter reporter(5, metrics, log);
  consensus::GroupStatus status;
  status.m_replicas = { { "a", 1, true }, { "b", 2, true }, { "c", 3, false } };
  reporter.Report(status);
  const std::string text = metrics.Render();
  BOOST_TEST(text.find("chivefront_site_voters 2") != std::string::npos);
  BOOST_TEST(text.find("chivefront_site_voters_wanted 5") != std::string::npos);
  // More hosts want more voters.
  status.m_wantedVoters = 7;
  status.m_replicas.push_back({ "d", 4, true });
  reporter.Report(status);
  BOOST_TEST(metrics.Render().find("chivefront_site_voters_wanted 7") !=
             std::string::npos);
}

// Guards against a full disk that no metric shows while its process runs on.
BOOST_AUTO_TEST_CASE(PausedReplicaIsVisible)
{
  base::Metrics metrics;
  base::DecisionLog log("host/control", base::SteadyClock::Instance());
  site::GroupReporter reporter(3, metrics, log);
  consensus::GroupStatus status;
  status.m_paused = true;
  reporter.Report(status);
  BOOST_TEST(metrics.Render().find("chivefront_site_paused 1") !=
             std::string::npos);
  status.m_paused = false;
  reporter.Report(status);
  BOOST_TEST(metrics.Render().find("chivefront_site_paused 0") !=
             std::string::npos);
}
