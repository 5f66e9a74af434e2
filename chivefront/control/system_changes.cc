// Builds the changes that quarantine requests and step roll-outs.
#include "chivefront/control/system_changes.h"

#include <absl/strings/str_cat.h>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace chivefront::control {
namespace detail {

constexpr const char* kSystemName = "system";

// The JSON text of aRollout after aDecision; aText is the current one.
std::string
EntryAfterDecision(const std::string& aText,
                   const catalog::Rollout& aRollout,
                   const RolloutDecision& aDecision)
{
  boost::json::object entry = boost::json::parse(aText).as_object();
  const bool last = aRollout.m_stage + 1 >= aRollout.m_stages.size();
  entry["state"] = "running";
  entry["reason"] = aDecision.m_reason;
  switch (aDecision.m_verdict) {
    case RolloutVerdict::Stop:
      entry["state"] = "stopped";
      break;
    case RolloutVerdict::Hold:
      entry["state"] = "paused";
      entry["reason"] = catalog::kHeldReason;
      break;
    case RolloutVerdict::Advance:
      if (last) {
        entry["state"] = "done";
      } else {
        entry["stage"] = aRollout.m_stage + 1;
      }
      break;
    case RolloutVerdict::Resume:
    case RolloutVerdict::Wait:
      break;
  }
  if (entry["reason"].as_string().empty()) {
    entry.erase("reason");
  }
  return boost::json::serialize(entry);
}

// aText with the revision at which the roll-out starts.
std::string
WithStartRevision(const std::string& aText, uint64_t aRevision)
{
  boost::json::object entry = boost::json::parse(aText).as_object();
  entry["started"] = aRevision;
  return boost::json::serialize(entry);
}

// True while the judge decides about aRollout. A roll-out that an operator has
// paused is left alone.
bool
IsJudged(const catalog::Rollout& aRollout)
{
  return aRollout.m_state == catalog::RolloutState::Running ||
         (aRollout.m_state == catalog::RolloutState::Paused &&
          aRollout.m_reason == catalog::kHeldReason);
}

} // namespace detail

wire::ChangeRequestT
MakeSystemChange(const std::string& aName, uint64_t aExpectedRevision)
{
  wire::ChangeRequestT change;
  change.change_id =
    absl::StrCat(detail::kSystemName, "/", aName, "/", aExpectedRevision);
  change.operator_name = detail::kSystemName;
  change.expected_revision = aExpectedRevision;
  return change;
}

void
AddEntry(wire::ChangeRequestT& aChange, std::string aKey, std::string aValue)
{
  auto entry = std::make_unique<wire::ConfigEntryT>();
  entry->key = std::move(aKey);
  entry->value = std::move(aValue);
  aChange.entries.push_back(std::move(entry));
}

std::vector<wire::ChangeRequestT>
QuarantineChanges(const ConfigStore& aStore,
                  const std::vector<ledger::QuarantineCandidate>& aCandidates)
{
  std::vector<wire::ChangeRequestT> changes;
  if (aCandidates.empty()) {
    return changes;
  }
  for (const ledger::QuarantineCandidate& candidate : aCandidates) {
    const std::string key = absl::StrCat(
      "quarantine/", absl::Hex(candidate.m_fingerprint, absl::kZeroPad16));
    wire::ChangeRequestT change;
    change.change_id =
      absl::StrCat(detail::kSystemName, "/", key, "/", candidate.m_changed);
    change.operator_name = detail::kSystemName;
    if (!aStore.TextOf(key).empty() || aStore.OutcomeOf(change.change_id)) {
      continue;
    }
    AddEntry(
      change, key, absl::StrCat("{\"losses\":", candidate.m_losses, "}"));
    changes.push_back(std::move(change));
  }
  return changes;
}

std::vector<wire::ChangeRequestT>
RolloutChanges(const ConfigStore& aStore,
               RolloutJudge& aJudge,
               const EvidenceLookup& aEvidence,
               base::TimePoint aNow)
{
  std::vector<wire::ChangeRequestT> changes;
  const catalog::Pointer catalog = aStore.Catalog();
  if (!catalog || catalog->m_rollouts.empty()) {
    return changes;
  }
  for (const auto& [model, rollout] : catalog->m_rollouts) {
    if (!detail::IsJudged(rollout)) {
      continue;
    }
    const std::string key = "rollout/" + model;
    // The text may be newer than the catalogue; the change's expected revision
    // then makes it a conflict.
    const std::string text = aStore.TextOf(key);
    if (rollout.m_started == 0 && !text.empty()) {
      wire::ChangeRequestT change = MakeSystemChange(key, catalog->m_revision);
      AddEntry(
        change, key, detail::WithStartRevision(text, catalog->m_revision));
      changes.push_back(std::move(change));
      continue;
    }
    const RolloutDecision decision =
      aJudge.Judge(rollout,
                   aEvidence(rollout.m_from, rollout.m_started),
                   aEvidence(rollout.m_to, rollout.m_started),
                   aNow);
    if (decision.m_verdict == RolloutVerdict::Wait || text.empty()) {
      continue;
    }
    wire::ChangeRequestT change = MakeSystemChange(key, catalog->m_revision);
    AddEntry(change, key, detail::EntryAfterDecision(text, rollout, decision));
    if (decision.m_verdict == RolloutVerdict::Stop) {
      AddEntry(change, "out/version/" + rollout.m_to, "{}");
    }
    changes.push_back(std::move(change));
  }
  return changes;
}

} // namespace chivefront::control
