// Detects bad versions, chooses their replacements and builds the withdrawals.
#include "chivefront/control/version_watch.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "chivefront/control/policy_judge.h"

namespace chivefront::control {
namespace detail {

// Ratings in the reference of a version. With fewer, the lower bound of the
// acceptance rate is so low that a version with half as many good answers can't
// be detected.
constexpr uint64_t kReferenceRatings = 200;
// Requests in the reference of a version without ratings, as when no rating
// service is configured; then only errors are compared.
constexpr uint64_t kReferenceRequests = 10000;

// True while a roll-out to aVersion is not done, so that the roll-out's judge
// decides about it.
bool
IsUnderTest(const catalog::Catalog& aCatalog, const catalog::Version& aVersion)
{
  const catalog::Rollout* rollout = aCatalog.FindRollout(aVersion.m_model);
  return rollout != nullptr && rollout->m_to == aVersion.m_id &&
         rollout->m_state != catalog::RolloutState::Done;
}

// The version that new sessions of aBad's model get instead, or empty. The
// model's own version comes first, then those of its roll-out, then any other.
template<typename Versions>
std::string
ReplacementOf(const catalog::Catalog& aCatalog,
              const catalog::Version& aBad,
              const Versions& aAllBad,
              const std::set<std::string>& aServing)
{
  const auto isUsable = [&](const std::string& aId) {
    const catalog::Version* version = aCatalog.FindVersion(aId);
    // A team of the free class must not lose the model to a version that only
    // the paying class may use.
    return version != nullptr && version->m_model == aBad.m_model &&
           (version->m_class == catalog::CallerClass::Free ||
            aBad.m_class == catalog::CallerClass::Paying) &&
           aCatalog.m_versionsOut.count(aId) == 0 && aAllBad.count(aId) == 0 &&
           aServing.count(aId) != 0 && !IsUnderTest(aCatalog, *version);
  };
  std::vector<std::string> candidates;
  if (const auto* model = aCatalog.FindModel(aBad.m_model)) {
    candidates.push_back(model->m_version);
  }
  if (const auto* rollout = aCatalog.FindRollout(aBad.m_model)) {
    candidates.push_back(rollout->m_to);
    candidates.push_back(rollout->m_from);
  }
  for (const auto& [id, version] : aCatalog.m_versions) {
    candidates.push_back(id);
  }
  for (const std::string& candidate : candidates) {
    if (isUsable(candidate)) {
      return candidate;
    }
  }
  return {};
}

// aText, a JSON object, with aMembers replaced.
std::string
WithMembers(const std::string& aText, const boost::json::object& aMembers)
{
  boost::json::object entry = boost::json::parse(aText).as_object();
  for (const auto& member : aMembers) {
    entry[member.key()] = member.value();
  }
  return boost::json::serialize(entry);
}

wire::ChangeRequestT
MakeWithdrawal(const ConfigStore& aStore,
               const catalog::Catalog& aCatalog,
               const catalog::Version& aBad,
               const std::string& aMeasure,
               const std::string& aReplacement)
{
  wire::ChangeRequestT change =
    MakeSystemChange("withdraw/" + aBad.m_id, aCatalog.m_revision);
  AddEntry(change,
           "out/version/" + aBad.m_id,
           WithMembers("{}", { { "reason", aMeasure } }));
  const catalog::Model* model = aCatalog.FindModel(aBad.m_model);
  if (model != nullptr && model->m_version != aReplacement) {
    const std::string key = "model/" + model->m_id;
    AddEntry(change,
             key,
             WithMembers(aStore.TextOf(key), { { "version", aReplacement } }));
  }
  // A roll-out that is done would go on giving new sessions the bad version.
  const catalog::Rollout* rollout = aCatalog.FindRollout(aBad.m_model);
  if (rollout != nullptr && rollout->m_to == aBad.m_id) {
    const std::string key = "rollout/" + rollout->m_id;
    AddEntry(change,
             key,
             WithMembers(aStore.TextOf(key),
                         { { "state", "stopped" }, { "reason", aMeasure } }));
  }
  return change;
}

} // namespace detail

VersionWatch::BadVersions
VersionWatch::FindBadVersions(const catalog::Catalog& aCatalog,
                              const EvidenceLookup& aEvidence)
{
  BadVersions bad;
  for (const auto& [id, version] : aCatalog.m_versions) {
    if (aCatalog.m_versionsOut.count(id) != 0 ||
        detail::IsUnderTest(aCatalog, version)) {
      m_monitors.erase(id);
      continue;
    }
    const policy::VersionCounts counts = CountsOf(aEvidence(id, 0));
    auto monitor = m_monitors.find(id);
    if (monitor == m_monitors.end()) {
      if (counts.m_good + counts.m_bad < detail::kReferenceRatings &&
          counts.m_exposed < detail::kReferenceRequests) {
        continue;
      }
      monitor = m_monitors.emplace(id, policy::VersionMonitor(counts)).first;
    }
    if (monitor->second.Update(counts)) {
      bad[id] =
        std::string(policy::kJudgeReasonNames.Name(monitor->second.Reason()));
    }
  }
  std::erase_if(m_monitors, [&aCatalog](const auto& aRow) {
    return aCatalog.FindVersion(aRow.first) == nullptr;
  });
  return bad;
}

VersionWatch::Outcome
VersionWatch::Evaluate(const ConfigStore& aStore,
                       const EvidenceLookup& aEvidence,
                       const ServingVersionsLookup& aServing)
{
  Outcome outcome;
  const catalog::Pointer catalog = aStore.Catalog();
  if (!catalog) {
    return outcome;
  }
  const BadVersions bad = FindBadVersions(*catalog, aEvidence);
  const std::set<std::string> serving =
    bad.empty() ? std::set<std::string>() : aServing(*catalog);
  for (const auto& [id, measure] : bad) {
    const catalog::Version& version = *catalog->FindVersion(id);
    const std::string replacement =
      detail::ReplacementOf(*catalog, version, bad, serving);
    if (replacement.empty()) {
      outcome.m_unreplaced.emplace(id, measure);
      continue;
    }
    outcome.m_changes.push_back(
      detail::MakeWithdrawal(aStore, *catalog, version, measure, replacement));
  }
  return outcome;
}

} // namespace chivefront::control
