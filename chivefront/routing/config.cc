// Validation and look-ups of a routing configuration.
#include "chivefront/routing/config.h"

#include <algorithm>
#include <utility>

#include "chivefront/base/errors.h"

namespace chivefront::routing {
namespace {

absl::Status
Invalid(const std::string& aReason)
{
  return base::MakeError(base::ErrorKind::Invalid, aReason);
}

std::string
LocationKey(std::string_view aHost, std::string_view aPrefix)
{
  std::string key(aHost);
  key += aPrefix;
  return key;
}

} // namespace

absl::StatusOr<ConfigPointer>
Config::Build(ConfigParts aParts)
{
  const std::shared_ptr<Config> config(new Config(std::move(aParts)));
  if (const absl::Status status = config->BuildIndexes(); !status.ok()) {
    return status;
  }
  return ConfigPointer(config);
}

absl::Status
Config::BuildIndexes()
{
  for (const Service& service : m_parts.m_services) {
    if (!m_serviceByName.emplace(service.m_name, &service).second) {
      return Invalid("service '" + service.m_name + "' appears twice");
    }
    if (const auto& scaling = service.m_scaling;
        scaling && (scaling->m_minUpstreams > scaling->m_maxUpstreams ||
                    scaling->m_startup < base::Millis(0))) {
      return Invalid("service '" + service.m_name +
                     "' has invalid bounds of scaling");
    }
  }
  for (const Route& route : m_parts.m_routes) {
    uint64_t weights = 0;
    for (const WeightedService& target : route.m_services) {
      if (m_serviceByName.count(target.m_service) == 0) {
        return Invalid("route '" + route.m_name +
                       "' names the unknown service " + target.m_service);
      }
      weights += target.m_weight;
    }
    if (weights == 0) {
      return Invalid("the weights of route '" + route.m_name + "' add up to 0");
    }
    if (route.m_timeout <= base::Millis(0)) {
      return Invalid("route '" + route.m_name + "' has no timeout");
    }
    if (!m_routeByLocation
           .emplace(LocationKey(route.m_host, route.m_prefix), &route)
           .second) {
      return Invalid("route '" + route.m_name +
                     "' shares host and prefix with another route");
    }
  }
  for (const Team& team : m_parts.m_teams) {
    for (const std::string& key : team.m_keys) {
      if (!m_teamByKey.emplace(key, &team).second) {
        return Invalid("team '" + team.m_name +
                       "' shares a key with another team");
      }
    }
  }
  return absl::OkStatus();
}

const Route*
Config::FindRoute(std::string_view aHost, std::string_view aPath) const
{
  std::string_view path = aPath.substr(0, aPath.find('?'));
  while (true) {
    const size_t slash = path.rfind('/');
    if (slash == std::string_view::npos) {
      return nullptr;
    }
    const auto found =
      m_routeByLocation.find(LocationKey(aHost, path.substr(0, slash + 1)));
    if (found != m_routeByLocation.end()) {
      return found->second;
    }
    path = path.substr(0, slash);
  }
}

const Service*
Config::FindService(std::string_view aName) const
{
  const auto found = m_serviceByName.find(std::string(aName));
  return found == m_serviceByName.end() ? nullptr : found->second;
}

const Team*
Config::FindTeam(std::string_view aKey) const
{
  const auto found = m_teamByKey.find(std::string(aKey));
  return found == m_teamByKey.end() ? nullptr : found->second;
}

uint64_t
StableHash(std::string_view aText)
{
  // FNV-1a, 64 bits, with a final mix because its low bits are weak.
  constexpr uint64_t kOffset = 14695981039346656037ULL;
  constexpr uint64_t kPrime = 1099511628211ULL;
  uint64_t hash = kOffset;
  for (const char c : aText) {
    hash = (hash ^ static_cast<unsigned char>(c)) * kPrime;
  }
  hash ^= hash >> 32;
  hash *= kPrime;
  return hash ^ (hash >> 29);
}

const std::string&
ChooseService(const Route& aRoute, std::string_view aId)
{
  uint64_t total = 0;
  for (const WeightedService& target : aRoute.m_services) {
    total += target.m_weight;
  }
  uint64_t position = StableHash(aId) % total; // Build rejects a total of 0
  for (const WeightedService& target : aRoute.m_services) {
    if (position < target.m_weight) {
      return target.m_service;
    }
    position -= target.m_weight;
  }
  return aRoute.m_services.back().m_service;
}

} // namespace chivefront::routing
