// Look-ups, and the rules that entry processes and agents both apply.
#include "chivefront/catalog/catalog.h"

#include "chivefront/base/errors.h"
#include "chivefront/base/ids.h"

namespace chivefront::catalog {
namespace detail {

constexpr uint64_t kPermille = 1000;
// Makes a session's bucket in a roll-out independent of other uses of its hash.
constexpr uint64_t kRolloutSeed = 17;

template<typename T>
const T*
FindIn(const std::map<std::string, T, std::less<>>& aMap, std::string_view aId)
{
  const auto found = aMap.find(aId);
  return found == aMap.end() ? nullptr : &found->second;
}

bool
StartsWith(std::string_view aText, std::string_view aPrefix)
{
  return aText.substr(0, aPrefix.size()) == aPrefix;
}

// A team of the free class may not use entries of the paying class.
bool
ClassAdmits(const CommonFields& aEntry, const Team& aTeam)
{
  return aEntry.m_class == CallerClass::Free ||
         aTeam.m_class == CallerClass::Paying;
}

} // namespace detail

const Team*
Catalog::FindTeam(std::string_view aId) const
{
  return detail::FindIn(m_teams, aId);
}
const Model*
Catalog::FindModel(std::string_view aId) const
{
  return detail::FindIn(m_models, aId);
}
const Version*
Catalog::FindVersion(std::string_view aId) const
{
  return detail::FindIn(m_versions, aId);
}
const Service*
Catalog::FindService(std::string_view aId) const
{
  return detail::FindIn(m_services, aId);
}
const Rollout*
Catalog::FindRollout(std::string_view aModel) const
{
  return detail::FindIn(m_rollouts, aModel);
}

const UpstreamRule*
Catalog::RuleForVersion(std::string_view aVersion) const
{
  for (const auto& [id, rule] : m_upstreamRules) {
    if (rule.m_version == aVersion) {
      return &rule;
    }
  }
  return nullptr;
}

const UpstreamRule*
Catalog::RuleForService(std::string_view aService) const
{
  for (const auto& [id, rule] : m_upstreamRules) {
    if (rule.m_service == aService) {
      return &rule;
    }
  }
  return nullptr;
}

const Team*
Catalog::TeamOfKey(std::string_view aCallerKey) const
{
  const auto found = m_teamByKeyHash.find(base::Sha256Hex(aCallerKey));
  return found == m_teamByKeyHash.end() ? nullptr : FindTeam(found->second);
}

bool
IsOutOfServiceKey(std::string_view aKey)
{
  return detail::StartsWith(aKey, "out/");
}

bool
IsSystemKey(std::string_view aKey)
{
  return detail::StartsWith(aKey, "quarantine/");
}

bool
IsOperatorKey(std::string_view aKey)
{
  return !IsSystemKey(aKey);
}

absl::Status
CheckVersionAllowed(const Catalog& aCatalog,
                    std::string_view aTeam,
                    std::string_view aVersion)
{
  const Team* team = aCatalog.FindTeam(aTeam);
  if (team == nullptr) {
    return base::MakeError(base::ErrorKind::UnknownTeam, "no such team");
  }
  const Version* version = aCatalog.FindVersion(aVersion);
  const Model* model =
    version == nullptr ? nullptr : aCatalog.FindModel(version->m_model);
  if (model == nullptr) {
    return base::MakeError(base::ErrorKind::UnknownModel,
                           "no version '" + std::string(aVersion) + "'");
  }
  if (team->m_models.count(model->m_id) == 0 ||
      !detail::ClassAdmits(*model, *team) ||
      !detail::ClassAdmits(*version, *team)) {
    return base::MakeError(base::ErrorKind::NotAllowed,
                           "team '" + team->m_id + "' may not use version '" +
                             version->m_id + "'");
  }
  if (aCatalog.m_versionsOut.count(version->m_id) != 0) {
    return base::MakeError(base::ErrorKind::VersionWithdrawn,
                           "version '" + version->m_id + "' is withdrawn");
  }
  return absl::OkStatus();
}

absl::Status
CheckServiceAllowed(const Catalog& aCatalog,
                    std::string_view aTeam,
                    std::string_view aService)
{
  const Team* team = aCatalog.FindTeam(aTeam);
  if (team == nullptr) {
    return base::MakeError(base::ErrorKind::UnknownTeam, "no such team");
  }
  const Service* service = aCatalog.FindService(aService);
  if (service == nullptr) {
    return base::MakeError(base::ErrorKind::UnknownRoute,
                           "no service '" + std::string(aService) + "'");
  }
  if (team->m_services.count(service->m_id) == 0 ||
      !detail::ClassAdmits(*service, *team)) {
    return base::MakeError(base::ErrorKind::NotAllowed,
                           "team '" + team->m_id + "' may not use service '" +
                             service->m_id + "'");
  }
  return absl::OkStatus();
}

absl::Status
CheckInService(const Catalog& aCatalog,
               std::string_view aUpstream,
               std::string_view aFailureDomain)
{
  if (aCatalog.m_domainsOut.count(aFailureDomain) != 0) {
    return base::MakeError(base::ErrorKind::NoUpstream,
                           "failure domain is out of service");
  }
  if (aCatalog.m_upstreamsOut.count(aUpstream) != 0) {
    return base::MakeError(base::ErrorKind::NoUpstream,
                           "upstream is out of service");
  }
  return absl::OkStatus();
}

std::string
VersionForSession(const Catalog& aCatalog,
                  std::string_view aModel,
                  uint64_t aSessionHash)
{
  const Model* model = aCatalog.FindModel(aModel);
  if (model == nullptr) {
    return {};
  }
  const Rollout* rollout = aCatalog.FindRollout(aModel);
  if (rollout == nullptr || rollout->m_state == RolloutState::Stopped) {
    return model->m_version;
  }
  if (rollout->m_state == RolloutState::Done) {
    return rollout->m_to;
  }
  if (rollout->m_state == RolloutState::Paused) {
    return rollout->m_from; // sessions that have the new version keep it
  }
  const std::string_view bytes(reinterpret_cast<const char*>(&aSessionHash),
                               sizeof(aSessionHash));
  const uint64_t bucket =
    base::StableHash(bytes, detail::kRolloutSeed) % detail::kPermille;
  return bucket < rollout->m_stages[rollout->m_stage] ? rollout->m_to
                                                      : rollout->m_from;
}

} // namespace chivefront::catalog
