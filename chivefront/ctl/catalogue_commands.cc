// The commands that show and change the catalogue and the service state.
#include <fstream>
#include <iostream>
#include <sstream>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "chivefront/base/errors.h"
#include "chivefront/base/ids.h"
#include "chivefront/ctl/commands.h"
#include "chivefront/ctl/table.h"

namespace chivefront::ctl {
namespace detail {

// Tables shorten longer values; --json shows them in full.
constexpr size_t kMaxShownValueBytes = 100;

std::string
Shortened(const std::string& aText)
{
  return aText.size() <= kMaxShownValueBytes
           ? aText
           : aText.substr(0, kMaxShownValueBytes) + "...";
}

// Returns aText as parsed JSON, or as a string when it isn't JSON.
boost::json::value
ParseOrString(const std::string& aText)
{
  boost::json::error_code error;
  boost::json::value value = boost::json::parse(aText, error);
  return error ? boost::json::value(aText) : value;
}

absl::Status
ReadEntries(const std::string& aPath, catalog::Entries& aEntries)
{
  std::ifstream file(aPath);
  if (!file) {
    return base::MakeError(base::ErrorKind::BadRequest,
                           "cannot read '" + aPath + "'");
  }
  std::ostringstream text;
  text << file.rdbuf();
  return catalog::ParseFile(text.str(), aEntries);
}

absl::Status
Validate(const catalog::Entries& aEntries)
{
  std::vector<catalog::EntryError> errors;
  if (catalog::Build(aEntries, 0, errors)) {
    return absl::OkStatus();
  }
  std::string text;
  for (const catalog::EntryError& error : errors) {
    text +=
      (text.empty() ? "" : "\n  ") + error.m_path + ": " + error.m_problem;
  }
  return base::MakeError(base::ErrorKind::Invalid, text);
}

// Whether a catalogue file may hold aKey: operators set the out-of-service
// entries by the commands out and in only.
bool
IsCatalogueKey(const std::string& aKey)
{
  return catalog::IsOperatorKey(aKey) && !catalog::IsOutOfServiceKey(aKey);
}

// Returns the roll-out without the members that a control process changes.
boost::json::value
RolloutDefinition(const std::string& aText)
{
  boost::json::value value = ParseOrString(aText);
  if (auto* object = value.if_object()) {
    for (const char* name : { "stage", "state", "reason", "started" }) {
      object->erase(name);
    }
  }
  return value;
}

// Returns the stored roll-out aBefore, paused or resumed when aWanted asks for
// it. Both have the same definition. A roll-out that has ended stays so, and so
// does a hold by the roll-out judge, which an operator may turn into a pause
// but not resume.
std::string
ApplyPauseOrResume(const std::string& aBefore, const std::string& aWanted)
{
  boost::json::value before = ParseOrString(aBefore);
  const boost::json::value wanted = ParseOrString(aWanted);
  if (!before.is_object() || !wanted.is_object()) {
    return aBefore;
  }
  boost::json::object& entry = before.get_object();
  const auto stringMember = [](const boost::json::object& aObject,
                               const char* aName) -> std::string {
    const auto* member = aObject.if_contains(aName);
    return member != nullptr && member->is_string()
             ? std::string(member->get_string())
             : std::string();
  };
  const std::string wantedState = stringMember(wanted.get_object(), "state");
  const std::string state = stringMember(entry, "state");
  const bool isRunning = state.empty() || state == "running";
  const bool isHeldByJudge =
    stringMember(entry, "reason") == catalog::kHeldReason;
  if (wantedState == "paused" &&
      (isRunning || (state == "paused" && isHeldByJudge))) {
    entry["state"] = "paused";
    entry["reason"] = "paused by an operator";
  } else if (wantedState == "running" && state == "paused" && !isHeldByJudge) {
    entry["state"] = "running";
    entry.erase("reason");
  } else {
    return aBefore;
  }
  return boost::json::serialize(entry);
}

wire::ChangeRequestT
MakeChange(const ChangeOptions& aOptions)
{
  wire::ChangeRequestT change;
  change.change_id = aOptions.m_changeId.empty()
                       ? base::RequestId::Random().ToString()
                       : aOptions.m_changeId;
  change.operator_name = aOptions.m_operator;
  change.expected_revision = aOptions.m_expectedRevision;
  return change;
}

void
AddEntry(wire::ChangeRequestT& aChange,
         const std::string& aKey,
         const std::string& aValue,
         bool aRemoved)
{
  auto entry = std::make_unique<wire::ConfigEntryT>();
  entry->key = aKey;
  entry->value = aValue;
  entry->removed = aRemoved;
  aChange.entries.push_back(std::move(entry));
}

// The expected revision is not the current one, which is aRevision.
absl::Status
StaleRevisionError(uint64_t aRevision)
{
  return base::MakeError(base::ErrorKind::Conflict,
                         "another change came first, the revision is " +
                           std::to_string(aRevision) +
                           "; look at it and apply again");
}

absl::Status
StatusOfReply(const wire::ChangeReplyT& aReply)
{
  if (aReply.result == wire::ChangeResult::Accepted) {
    return absl::OkStatus();
  }
  if (aReply.result == wire::ChangeResult::Conflict) {
    return StaleRevisionError(aReply.current_revision);
  }
  std::string text;
  for (const std::string& error : aReply.errors) {
    text += (text.empty() ? "" : "\n  ") + error;
  }
  return base::MakeError(base::ErrorKind::Invalid, text);
}

// Asks for the outcome of a change that was sent before under the change id
// aId. The change can't be computed again from the file, since the
// configuration may already include it, so the request holds no entries.
absl::StatusOr<wire::ChangeReplyT>
QueryEarlierOutcome(ControlClient& aClient, const std::string& aId)
{
  wire::ChangeRequestT query;
  query.change_id = aId;
  return aClient.Submit(std::move(query));
}

// Prints the outcome of a change in two steps: that the change is accepted, and
// that it is in force everywhere.
absl::Status
ReportOutcome(ControlClient& aClient,
              const std::string& aId,
              const absl::StatusOr<wire::ChangeReplyT>& aReply,
              bool aWait,
              Output aOutput)
{
  if (!aReply.ok()) {
    return base::MakeError(
      base::ErrorKind::Unavailable,
      "no outcome in time; it may have been accepted. Run the command again "
      "with --change-id " +
        aId);
  }
  if (absl::Status status = StatusOfReply(*aReply); !status.ok()) {
    return status;
  }
  if (!aOutput.m_json) {
    aOutput.m_out << "accepted at revision " << aReply->revision
                  << " (change id " << aId << ")" << std::endl;
  }
  absl::Status inForce = absl::OkStatus();
  if (aWait) {
    inForce = aClient.WaitInForce(aReply->revision);
  }
  if (aOutput.m_json) {
    const boost::json::object result{ { "result", "accepted" },
                                      { "revision", aReply->revision },
                                      { "change_id", aId },
                                      { "in_force", aWait && inForce.ok() } };
    aOutput.m_out << boost::json::serialize(result) << '\n';
  } else if (aWait && inForce.ok()) {
    aOutput.m_out << "in force everywhere" << '\n';
  }
  return inForce;
}

// Sends aChange and prints its outcome. When the operator gave a change id, an
// earlier outcome under this id is reported instead of sending aChange.
absl::Status
SendChange(ControlClient& aClient,
           wire::ChangeRequestT aChange,
           const ChangeOptions& aOptions,
           Output aOutput)
{
  const std::string id = aChange.change_id;
  absl::StatusOr<wire::ChangeReplyT> reply;
  bool hasOutcome = false;
  if (!aOptions.m_changeId.empty()) {
    reply = QueryEarlierOutcome(aClient, id);
    hasOutcome = reply.ok() && reply->result != wire::ChangeResult::Invalid;
  }
  if (!hasOutcome) {
    reply = aClient.Submit(std::move(aChange));
  }
  return ReportOutcome(
    aClient, id, reply, aOptions.m_waitUntilInForce, aOutput);
}

void
PrintPlan(const std::vector<catalog::EntryChange>& aPlan,
          uint64_t aRevision,
          Output aOutput)
{
  if (aOutput.m_json) {
    boost::json::array rows;
    for (const catalog::EntryChange& row : aPlan) {
      boost::json::object item{ { "key", row.m_key } };
      item["before"] =
        row.m_before.empty() ? nullptr : ParseOrString(row.m_before);
      item["after"] =
        row.m_after.empty() ? nullptr : ParseOrString(row.m_after);
      rows.push_back(std::move(item));
    }
    aOutput.m_out << boost::json::serialize(boost::json::object{
                       { "revision", aRevision }, { "changes", rows } })
                  << '\n';
    return;
  }
  Table table({ "CHANGE", "KEY", "BEFORE", "AFTER" });
  for (const catalog::EntryChange& row : aPlan) {
    const char* kind = row.m_before.empty()  ? "add"
                       : row.m_after.empty() ? "remove"
                                             : "change";
    table.AddRow(
      { kind, row.m_key, Shortened(row.m_before), Shortened(row.m_after) });
  }
  aOutput.m_out << "against revision " << aRevision << '\n';
  if (table.Empty()) {
    aOutput.m_out << "no difference\n";
  } else {
    table.Print(aOutput.m_out);
  }
}

} // namespace detail

std::vector<catalog::EntryChange>
PlanApply(const catalog::Entries& aCurrent, const catalog::Entries& aWanted)
{
  catalog::Entries current;
  for (const auto& [key, text] : aCurrent) {
    if (detail::IsCatalogueKey(key)) {
      current.emplace(key, text);
    }
  }
  catalog::Entries wanted = aWanted;
  for (auto& [key, text] : wanted) {
    const auto before = current.find(key);
    if (key.rfind("rollout/", 0) == 0 && before != current.end() &&
        detail::RolloutDefinition(before->second) ==
          detail::RolloutDefinition(text)) {
      text = detail::ApplyPauseOrResume(before->second, text);
    }
  }
  return catalog::Diff(current, wanted);
}

absl::Status
ShowCatalogue(ControlClient& aClient, const std::string& aKey, Output aOutput)
{
  const absl::StatusOr<Configuration> current = aClient.FetchConfiguration();
  if (!current.ok()) {
    return current.status();
  }
  boost::json::object all;
  Table table({ "KEY", "VALUE" });
  for (const auto& [key, text] : current->m_entries) {
    if (aKey.empty() || key == aKey) {
      all[key] = detail::ParseOrString(text);
      table.AddRow({ key, detail::Shortened(text) });
    }
  }
  if (!aKey.empty() && all.empty()) {
    return base::MakeError(base::ErrorKind::UnknownRoute,
                           "no entry '" + aKey + "'");
  }
  if (aOutput.m_json) {
    aOutput.m_out << boost::json::serialize(all) << '\n';
    return absl::OkStatus();
  }
  aOutput.m_out << "revision " << current->m_revision << '\n';
  table.Print(aOutput.m_out);
  return absl::OkStatus();
}

absl::Status
ValidateFile(const std::string& aPath, Output aOutput)
{
  catalog::Entries entries;
  if (absl::Status status = detail::ReadEntries(aPath, entries); !status.ok()) {
    return status;
  }
  if (absl::Status status = detail::Validate(entries); !status.ok()) {
    return status;
  }
  if (aOutput.m_json) {
    aOutput.m_out << boost::json::serialize(boost::json::object{
                       { "valid", true }, { "entries", entries.size() } })
                  << '\n';
  } else {
    aOutput.m_out << "valid, " << entries.size() << " entries\n";
  }
  return absl::OkStatus();
}

absl::Status
DiffFile(ControlClient& aClient, const std::string& aPath, Output aOutput)
{
  catalog::Entries wanted;
  if (absl::Status status = detail::ReadEntries(aPath, wanted); !status.ok()) {
    return status;
  }
  const absl::StatusOr<Configuration> current = aClient.FetchConfiguration();
  if (!current.ok()) {
    return current.status();
  }
  detail::PrintPlan(
    PlanApply(current->m_entries, wanted), current->m_revision, aOutput);
  return absl::OkStatus();
}

absl::Status
ApplyFile(ControlClient& aClient,
          const std::string& aPath,
          const ChangeOptions& aOptions,
          Output aOutput)
{
  catalog::Entries wanted;
  if (absl::Status status = detail::ReadEntries(aPath, wanted); !status.ok()) {
    return status;
  }
  for (const auto& [key, text] : wanted) {
    if (!detail::IsCatalogueKey(key)) {
      return base::MakeError(base::ErrorKind::Invalid,
                             key + ": does not belong in a catalogue file; use "
                                   "the commands out and in");
    }
  }
  const absl::StatusOr<Configuration> current = aClient.FetchConfiguration();
  if (!current.ok()) {
    return current.status();
  }
  const auto plan = PlanApply(current->m_entries, wanted);
  wire::ChangeRequestT change = detail::MakeChange(aOptions);
  if (change.expected_revision == 0) {
    change.expected_revision = current->m_revision;
  }
  if (plan.empty() && aOptions.m_changeId.empty() &&
      change.expected_revision == current->m_revision) {
    aOutput.m_out << (aOutput.m_json ? "{\"result\":\"no difference\"}\n"
                                     : "no difference, nothing to apply\n");
    return absl::OkStatus();
  }
  if (change.expected_revision != current->m_revision &&
      aOptions.m_changeId.empty()) {
    return detail::StaleRevisionError(current->m_revision);
  }
  for (const catalog::EntryChange& row : plan) {
    detail::AddEntry(change, row.m_key, row.m_after, row.m_after.empty());
  }
  return detail::SendChange(aClient, std::move(change), aOptions, aOutput);
}

absl::Status
SetServiceState(ControlClient& aClient,
                ServiceState aState,
                const std::string& aKind,
                const std::string& aId,
                const ChangeOptions& aOptions,
                Output aOutput)
{
  wire::ChangeRequestT change = detail::MakeChange(aOptions);
  detail::AddEntry(change,
                   "out/" + aKind + "/" + aId,
                   aState == ServiceState::OutOfService ? "{}" : "",
                   aState == ServiceState::InService);
  return detail::SendChange(aClient, std::move(change), aOptions, aOutput);
}

absl::Status
LiftQuarantine(ControlClient& aClient,
               const std::string& aFingerprint,
               const ChangeOptions& aOptions,
               Output aOutput)
{
  wire::ChangeRequestT change = detail::MakeChange(aOptions);
  detail::AddEntry(change, "quarantine/" + aFingerprint, "", true);
  return detail::SendChange(aClient, std::move(change), aOptions, aOutput);
}

} // namespace chivefront::ctl
