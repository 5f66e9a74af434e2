// One complete routing configuration, identified by the number that the
// operator gave it.
//
// A Config is immutable and shared through a ConfigPointer. Processes exchange
// the document that a configuration is decoded from, and each process decodes
// it with its DocumentDecoder.
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
#include "chivefront/duty/scaling_bounds.h"

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
  // A request may run more than once.
  bool m_idempotent = false;
  // The answer is an event stream with increasing event ids.
  bool m_stream = false;
  // A stream can be resumed at another upstream after its last event id.
  bool m_resumable = false;
  bool m_public = false;         // callers need no key
  bool m_prefixAffinity = false; // prefer upstreams that cache prompt parts
  base::Millis m_timeout{ 0 };
  base::Millis m_goal{ 0 };      // latency of the first byte; 0: none
  base::Millis m_pauseGoal{ 0 }; // between events of a stream; 0: none
  int m_priority = 0;            // 0 is the most urgent
  uint32_t m_maxAttempts = 1;
  std::vector<WeightedService> m_services;
  std::vector<std::string> m_models; // smallest first; empty: caller's choice
};

struct ModelCost
{
  std::string m_model;
  // Cost of 1000 answer tokens; a prompt token counts a quarter of one.
  double m_perThousandTokens = 0;
};

// Capacity and models of the engines behind a service.
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
  uint32_t m_maxConnections = 0; // over all callers; 0: unlimited
  base::Millis m_warmup{ 0 };    // how long a new upstream is cold
  double m_warmupPerSecond = 0;  // of a cold upstream, over all entries
  std::optional<EngineTraits> m_engine;
  std::optional<duty::ScalingBounds> m_scaling; // absent: never scaled
};

// Limits on the requests and connections of callers.
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
  std::optional<int> m_priority; // overrides the route's
};

// The content of a Config.
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
  // Returns Invalid when two services share a name, a service's scaling has a
  // minimum above its maximum or a negative start-up time, a route names an
  // unknown service, two routes share host and prefix, a route's weights add up
  // to 0, a timeout isn't positive, or two teams share a key.
  static absl::StatusOr<std::shared_ptr<const Config>> Build(
    ConfigParts aParts);

  uint64_t Number() const { return m_parts.m_number; }
  const CallerLimits& Limits() const { return m_parts.m_limits; }
  bool HasTeams() const { return !m_parts.m_teams.empty(); }
  const std::vector<Route>& Routes() const { return m_parts.m_routes; }

  // The route of aHost with the longest prefix of aPath, or null.
  const Route* FindRoute(std::string_view aHost, std::string_view aPath) const;
  const Service* FindService(std::string_view aName) const;
  // The team that holds aKey, or null.
  const Team* FindTeam(std::string_view aKey) const;

private:
  explicit Config(ConfigParts aParts)
    : m_parts(std::move(aParts))
  {
  }

  absl::Status BuildIndexes();

  const ConfigParts m_parts;
  // The values point into m_parts. A location is a host followed by a prefix.
  std::unordered_map<std::string, const Route*> m_routeByLocation;
  std::unordered_map<std::string, const Service*> m_serviceByName;
  std::unordered_map<std::string, const Team*> m_teamByKey;
};

using ConfigPointer = std::shared_ptr<const Config>;

// A hash that is the same on every host and in every release, unlike std::hash.
uint64_t
StableHash(std::string_view aText);

// Chooses the service for the request aId in proportion to the route's weights.
// All attempts with one id get the same service.
const std::string&
ChooseService(const Route& aRoute, std::string_view aId);

// Decodes a configuration from the operator's format. Returns Invalid with the
// reason.
using DocumentDecoder =
  std::function<absl::StatusOr<ConfigPointer>(std::string_view aDocument)>;

} // namespace chivefront::routing
