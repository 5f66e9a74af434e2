// One complete routing configuration, as an operator sends it under a number.
//
// A configuration is immutable once built; every process holds one by
// ConfigPointer. The document it was decoded from travels between processes,
// and DocumentDecoder turns it into a Config at each of them.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <absl/status/statusor.h>

#include "chivefront/base/clock.h"

namespace chivefront::routing {

struct WeightedService
{
  std::string m_service;
  uint32_t m_weight = 0;
};

struct Route
{
  std::string m_name;
  std::string m_host;
  std::string m_prefix; // begins and ends with a slash
  // May run more than once.
  bool m_idempotent = false;
  // The answer is a series of events with rising ids.
  bool m_stream = false;
  // A stream may go on at another upstream after its last event id.
  bool m_resumable = false;
  bool m_public = false;         // needs no key
  bool m_prefixAffinity = false; // prompts share parts that upstreams cache
  base::Millis m_timeout{ 0 };
  base::Millis m_goal{ 0 };      // for the first byte that counts
  base::Millis m_pauseGoal{ 0 }; // between events of a stream; 0: none
  int m_priority = 0;            // 0 is the most urgent
  uint32_t m_maxAttempts = 1;
  std::vector<WeightedService> m_services;
  std::vector<std::string> m_models; // smallest first; empty: caller's choice
};

struct ModelCost
{
  std::string m_model;
  double m_perThousandTokens = 0; // generated; tokens read count a quarter
};

// What is known of the engines of a service that run models.
struct EngineTraits
{
  uint32_t m_slots = 0;
  uint64_t m_cacheTokens = 0;
  std::vector<ModelCost> m_models;
};

struct Service
{
  std::string m_name;
  std::string m_healthPath;
  uint32_t m_maxConnections = 0; // of all callers together; 0: no bound
  base::Millis m_warmup{ 0 };
  double m_warmupPerSecond = 0; // requests that a cold upstream tolerates
  std::optional<EngineTraits> m_engine;
};

struct CallerLimits
{
  size_t m_headerBytes = 16 * 1024;
  size_t m_bodyBytes = 4 * 1024 * 1024;
  base::Millis m_headerTimeout{ 3000 };
  base::Millis m_idleTimeout{ 15000 };
};

struct Team
{
  std::string m_name;
  std::vector<std::string> m_keys;
  std::optional<int> m_priority; // goes before the route's
};

// What Config is built from.
struct ConfigParts
{
  uint64_t m_number = 0;
  std::vector<Route> m_routes;
  std::vector<Service> m_services;
  std::vector<Team> m_teams;
  CallerLimits m_limits;
};

class Config
{
public:
  // Invalid when a route names an unknown service, two routes share host and
  // prefix, a route's weights add up to 0, a timeout is 0, or two teams share
  // a key.
  static absl::StatusOr<std::shared_ptr<const Config>> Build(
    ConfigParts aParts);

  uint64_t Number() const { return m_parts.m_number; }
  const CallerLimits& Limits() const { return m_parts.m_limits; }
  bool HasTeams() const { return !m_parts.m_teams.empty(); }
  const std::vector<Route>& Routes() const { return m_parts.m_routes; }

  // The route of that host with the longest prefix of aPath, or null.
  const Route* FindRoute(std::string_view aHost, std::string_view aPath) const;
  const Service* FindService(std::string_view aName) const;
  // The team that holds aKey, or null.
  const Team* FindTeam(std::string_view aKey) const;

private:
  explicit Config(ConfigParts aParts)
    : m_parts(std::move(aParts))
  {
  }

  absl::Status Index();

  const ConfigParts m_parts;
  // Point into m_parts.
  std::unordered_map<std::string, const Route*> m_byPlace; // host + prefix
  std::unordered_map<std::string, const Service*> m_byService;
  std::unordered_map<std::string, const Team*> m_byKey;
};

using ConfigPointer = std::shared_ptr<const Config>;

// The same on every host and in every release, unlike std::hash.
uint64_t
StableHash(std::string_view aText);

// The service that the request aId of a route goes to, in proportion to the
// weights; repeats of an id get the same one.
const std::string&
ChooseService(const Route& aRoute, std::string_view aId);

// Reads a configuration from the operator's own format. Invalid with a reason.
using DocumentDecoder =
  std::function<absl::StatusOr<ConfigPointer>(std::string_view aDocument)>;

} // namespace chivefront::routing
