// Validation and look-ups of routing configurations.
#define BOOST_TEST_MODULE routing_config
#include <boost/test/unit_test.hpp>

#include <functional>
#include <map>

#include "chivefront/routing/config.h"

using namespace chivefront;
using namespace chivefront::routing;

namespace {

Route
MakeRoute(const std::string& aName, const std::string& aPrefix)
{
  Route route;
  route.m_name = aName;
  route.m_host = "desk.example";
  route.m_prefix = aPrefix;
  route.m_timeout = base::Millis(1000);
  route.m_services = { { "app", 1 } };
  return route;
}

ConfigParts
MakeParts()
{
  ConfigParts parts;
  parts.m_number = 3;
  parts.m_services.push_back({ "app" });
  parts.m_routes = { MakeRoute("short", "/a/"), MakeRoute("long", "/a/b/") };
  parts.m_teams = { { "fitters", { "key-1", "key-2" }, 1 } };
  return parts;
}

} // namespace

BOOST_AUTO_TEST_CASE(LongestPrefixWins)
{
  const auto config = Config::Build(MakeParts());
  BOOST_REQUIRE(config.ok());
  const auto nameAt = [&](std::string_view aPath) {
    const Route* route = (*config)->FindRoute("desk.example", aPath);
    return route != nullptr ? route->m_name : std::string();
  };
  BOOST_TEST(nameAt("/a/x") == "short");
  BOOST_TEST(nameAt("/a/b/x?y=/z/") == "long");
  BOOST_TEST(nameAt("/a/b") == "short"); // the prefix ends with a slash
  BOOST_TEST(nameAt("/c/") == "");
  BOOST_TEST((*config)->FindRoute("other.example", "/a/x") == nullptr);
}

BOOST_AUTO_TEST_CASE(KeysNameTeams)
{
  const auto config = Config::Build(MakeParts());
  BOOST_REQUIRE(config.ok());
  BOOST_TEST((*config)->FindTeam("key-2")->m_name == "fitters");
  BOOST_TEST((*config)->FindTeam("key-3") == nullptr);
}

// Guards against accepting a configuration that can't serve all requests.
BOOST_AUTO_TEST_CASE(InvalidConfigurationsAreRejected)
{
  using Break = std::function<void(ConfigParts&)>;
  const std::map<std::string, Break> breaks{
    { "unknown service",
      [](ConfigParts& aParts) {
        aParts.m_routes[0].m_services = { { "none", 1 } };
      } },
    { "no weight",
      [](ConfigParts& aParts) {
        aParts.m_routes[0].m_services[0].m_weight = 0;
      } },
    { "no service",
      [](ConfigParts& aParts) { aParts.m_routes[0].m_services.clear(); } },
    { "no timeout",
      [](ConfigParts& aParts) {
        aParts.m_routes[1].m_timeout = base::Millis(0);
      } },
    { "same host and prefix",
      [](ConfigParts& aParts) { aParts.m_routes[1].m_prefix = "/a/"; } },
    { "shared key",
      [](ConfigParts& aParts) {
        aParts.m_teams.push_back({ "others", { "key-1" }, {} });
      } },
  };
  for (const auto& [name, breakIt] : breaks) {
    ConfigParts parts = MakeParts();
    breakIt(parts);
    const bool accepted = Config::Build(std::move(parts)).ok();
    BOOST_TEST(!accepted, name);
  }
}

BOOST_AUTO_TEST_CASE(WeightsDivideRequests)
{
  Route route = MakeRoute("split", "/s/");
  route.m_services = { { "new", 10 }, { "old", 90 }, { "off", 0 } };
  std::map<std::string, int> counts;
  constexpr int kRequests = 10000;
  for (int i = 0; i < kRequests; ++i) {
    counts[ChooseService(route, "request-" + std::to_string(i))] += 1;
  }
  BOOST_TEST(counts["off"] == 0);
  BOOST_TEST(counts["new"] > kRequests * 8 / 100);
  BOOST_TEST(counts["new"] < kRequests * 12 / 100);
  // Another attempt with the same id goes to the same service.
  BOOST_TEST(ChooseService(route, "x") == ChooseService(route, "x"));
}
