// Late turns of versions and their withdrawal.
#include "chivefront/control/version_watch.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "chivefront/control/policy_judge.h"

namespace chivefront::control {
namespace detail {

// Fewer ratings give so low a bound of the acceptance rate that a version with
// half of its good answers is not told apart.
constexpr uint64_t kReferenceRatings = 200;
// Without a rating service errors alone are compared, from this many requests.
constexpr uint64_t kReferenceRequests = 10000;

// True while the roll-out's own judge decides about aVersion.
bool
IsUnderTest(const catalog::Catalog& aCatalog, const catalog::Version& aVersion)
{
  const catalog::Rollout* rollout = aCatalog.FindRollout(aVersion.m_model);
  return rollout != nullptr && rollout->m_to == aVersion.m_id &&
         rollout->m_state != catalog::RolloutState::Done;
}

// The version that can take over new sessions of aBad, or empty.
template<typename Versions>
std::string
ReplacementOf(const catalog::Catalog& aCatalog,
              const catalog::Version& aBad,
              const Versions& aAllBad,
              const std::set<std::string>& aServing)
{
  const auto isUsable = [&](const std::string& aId) {
    const catalog::Version* version = aCatalog.FindVersion(aId);
    // A free team must not lose the model to a version kept for paying ones.
    return version != nullptr && version->m_model == aBad.m_model &&
           (version->m_class == catalog::CallerClass::Free ||
            aBad.m_class == catalog::CallerClass::Paying) &&
           aCatalog.m_versionsOut.count(aId) == 0 && aAllBad.count(aId) == 0 &&
           aServing.count(aId) != 0 && !IsUnderTest(aCatalog, *version);
  };
  std::vector<std::string> choices;
  if (const auto* model = aCatalog.FindModel(aBad.m_model)) {
    choices.push_back(model->m_version);
  }
  if (const auto* rollout = aCatalog.FindRollout(aBad.m_model)) {
    choices.push_back(rollout->m_to);
    choices.push_back(rollout->m_from);
  }
  for (const auto& [id, version] : aCatalog.m_versions) {
    choices.push_back(id);
  }
  for (const std::string& choice : choices) {
    if (isUsable(choice)) {
      return choice;
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
  // A roll-out that is done would send new sessions to the bad version.
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
