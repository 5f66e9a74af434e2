// The commands that show the status, roll-outs and bills.
#include <iostream>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "chivefront/base/errors.h"
#include "chivefront/ctl/commands.h"
#include "chivefront/ctl/table.h"

namespace chivefront::ctl {
namespace detail {

using boost::json::array;
using boost::json::object;

// Returns the member aName as the text of a table cell; empty when it is
// absent.
std::string
CellText(const object& aObject, const char* aName)
{
  const boost::json::value* value = aObject.if_contains(aName);
  if (value == nullptr) {
    return {};
  }
  if (const auto* text = value->if_string()) {
    return { text->begin(), text->end() };
  }
  return boost::json::serialize(*value);
}

// Returns the member aName; an empty array when it is absent or no array.
const array&
ArrayMember(const object& aObject, const char* aName)
{
  static const array kNone;
  const boost::json::value* value = aObject.if_contains(aName);
  return value != nullptr && value->is_array() ? value->get_array() : kNone;
}

// Prints a table of objects under a title, or nothing when aRows is empty. The
// columns are the members aMembers, and so are the headings: upper case, with
// spaces for underscores.
void
PrintRows(std::ostream& aOut,
          const std::string& aTitle,
          const array& aRows,
          const std::vector<std::string>& aMembers)
{
  if (aRows.empty()) {
    return;
  }
  std::vector<std::string> header;
  for (std::string name : aMembers) {
    for (char& letter : name) {
      letter = static_cast<char>(letter == '_' ? ' ' : std::toupper(letter));
    }
    header.push_back(std::move(name));
  }
  Table table(header);
  for (const boost::json::value& row : aRows) {
    std::vector<std::string> cells;
    for (const std::string& name : aMembers) {
      cells.push_back(CellText(row.as_object(), name.c_str()));
    }
    table.AddRow(std::move(cells));
  }
  aOut << '\n' << aTitle << '\n';
  table.Print(aOut);
}

std::string
JoinStrings(const array& aItems)
{
  std::string text;
  for (const boost::json::value& item : aItems) {
    text += (text.empty() ? "" : ", ") + std::string(item.as_string());
  }
  return text.empty() ? "none" : text;
}

absl::StatusOr<object>
FetchStatus(ControlClient& aClient)
{
  const absl::StatusOr<std::string> text = aClient.FetchStatusJson();
  if (!text.ok()) {
    return text.status();
  }
  boost::json::error_code error;
  const boost::json::value value = boost::json::parse(*text, error);
  if (error || !value.is_object()) {
    return base::MakeError(base::ErrorKind::Internal, "status is no object");
  }
  return value.get_object();
}

void
PrintGroups(std::ostream& aOut, const array& aGroups)
{
  Table table({ "GROUP", "LEADER", "TERM", "COMMITTED", "CAUGHT UP" });
  for (const boost::json::value& value : aGroups) {
    const object& group = value.as_object();
    const bool leads = CellText(group, "role") == "leader";
    const std::string leader = CellText(group, "leader");
    table.AddRow(
      { CellText(group, "group"),
        leader.empty() ? "unknown" : leader,
        CellText(group, "term"),
        CellText(group, "committed"),
        // Only the leader knows how far the other members have caught up.
        leads ? CellText(group, "caught_up") + " of " +
                  std::to_string(ArrayMember(group, "members").size()) +
                  (CellText(group, "repaired") == "true" ? "" : ", repairing")
              : "ask leader" });
  }
  aOut << '\n';
  table.Print(aOut);
}

// Returns the age "since_ms" as text: "45 s", "12 min" or "3 h".
std::string
AgeText(const object& aRow)
{
  constexpr int64_t kSecondMs = 1000;
  constexpr int64_t kMinuteMs = 60 * kSecondMs;
  constexpr int64_t kHourMs = 60 * kMinuteMs;
  const boost::json::value* value = aRow.if_contains("since_ms");
  boost::json::error_code error;
  const int64_t ageMs = value == nullptr ? 0 : value->to_number<int64_t>(error);
  if (ageMs < 2 * kMinuteMs) {
    return std::to_string(ageMs / kSecondMs) + " s";
  }
  return ageMs < 2 * kHourMs ? std::to_string(ageMs / kMinuteMs) + " min"
                             : std::to_string(ageMs / kHourMs) + " h";
}

void
PrintHints(std::ostream& aOut, const array& aHints)
{
  if (aHints.empty()) {
    aOut << "\nnothing needs attention\n";
    return;
  }
  Table table({ "ATTENTION", "SEEN FOR", "HINT" });
  for (const boost::json::value& value : aHints) {
    const object& row = value.as_object();
    table.AddRow(
      { CellText(row, "item"), AgeText(row), CellText(row, "hint") });
  }
  aOut << '\n';
  table.Print(aOut);
}

} // namespace detail

absl::Status
ShowStatus(ControlClient& aClient, Output aOutput)
{
  const absl::StatusOr<detail::object> fetched = detail::FetchStatus(aClient);
  if (!fetched.ok()) {
    return fetched.status();
  }
  const detail::object& status = *fetched;
  std::ostream& out = aOutput.m_out;
  if (aOutput.m_json) {
    out << boost::json::serialize(status) << '\n';
    return absl::OkStatus();
  }
  using detail::ArrayMember;
  using detail::CellText;
  out << "seen by " << CellText(status, "process") << ", revision "
      << CellText(status, "revision") << ", in force everywhere "
      << CellText(status, "in_force")
      << (CellText(status, "fresh") == "true" ? "" : ", NOT FRESH") << '\n'
      << "entries " << CellText(status, "live_entries") << ", watchers "
      << CellText(status, "watchers") << '\n';
  detail::PrintGroups(out, ArrayMember(status, "groups"));
  if (const auto* value = status.if_contains("out_of_service")) {
    const detail::object& outOf = value->as_object();
    out << "\nout of service: domains "
        << detail::JoinStrings(ArrayMember(outOf, "domains")) << "; versions "
        << detail::JoinStrings(ArrayMember(outOf, "versions")) << "; upstreams "
        << detail::JoinStrings(ArrayMember(outOf, "upstreams")) << '\n';
  }
  out << "quarantined requests: "
      << detail::JoinStrings(ArrayMember(status, "quarantines")) << '\n';
  detail::PrintRows(out,
                    "ROLL-OUTS",
                    ArrayMember(status, "rollouts"),
                    { "model", "from", "to", "state", "stage", "permille" });
  detail::PrintRows(out,
                    "UPSTREAMS",
                    ArrayMember(status, "upstreams"),
                    { "serves",
                      "domain",
                      "upstreams",
                      "leaving",
                      "limit",
                      "running",
                      "queued" });
  detail::PrintHints(out, ArrayMember(status, "hints"));
  return absl::OkStatus();
}

absl::Status
ShowRollouts(ControlClient& aClient, const std::string& aModel, Output aOutput)
{
  const absl::StatusOr<detail::object> status = detail::FetchStatus(aClient);
  if (!status.ok()) {
    return status.status();
  }
  detail::array rows;
  for (const boost::json::value& row :
       detail::ArrayMember(*status, "rollouts")) {
    if (aModel.empty() ||
        detail::CellText(row.as_object(), "model") == aModel) {
      rows.push_back(row);
    }
  }
  if (aOutput.m_json) {
    aOutput.m_out << boost::json::serialize(rows) << '\n';
  } else if (rows.empty()) {
    aOutput.m_out << "no roll-out\n";
  } else {
    detail::PrintRows(aOutput.m_out,
                      "ROLL-OUTS",
                      rows,
                      { "model",
                        "from",
                        "to",
                        "state",
                        "stage",
                        "permille",
                        "exposed",
                        "good",
                        "bad",
                        "reason" });
  }
  return absl::OkStatus();
}

absl::Status
ShowBills(ControlClient& aClient,
          const std::string& aTeam,
          const std::string& aRequest,
          uint32_t aLimit,
          Output aOutput)
{
  wire::QueryBillsT query;
  query.team = aTeam;
  query.request_id = aRequest;
  query.limit = aLimit;
  wire::LedgerRequestT request;
  request.shard_key = aRequest;
  request.command.Set(std::move(query));
  const auto reply = aClient.CallLedger(std::move(request));
  if (!reply.ok()) {
    return reply.status();
  }
  detail::array lines;
  for (const auto& line : reply->lines) {
    lines.push_back(detail::object{ { "request", line->request_id },
                                    { "run", line->run },
                                    { "team", line->team },
                                    { "version", line->version },
                                    { "prompt_tokens", line->prompt_tokens },
                                    { "answer_tokens", line->answer_tokens },
                                    { "cost_micros", line->cost_micros } });
  }
  if (aOutput.m_json) {
    aOutput.m_out << boost::json::serialize(detail::object{
                       { "lines", lines },
                       { "total_lines", reply->total_lines },
                       { "total_cost_micros", reply->total_cost_micros } })
                  << '\n';
    return absl::OkStatus();
  }
  detail::PrintRows(aOutput.m_out,
                    "LINES (newest first)",
                    lines,
                    { "request",
                      "run",
                      "team",
                      "version",
                      "prompt_tokens",
                      "answer_tokens",
                      "cost_micros" });
  aOutput.m_out << "total " << reply->total_lines << " lines, "
                << reply->total_cost_micros << " millionths\n";
  return absl::OkStatus();
}

} // namespace chivefront::ctl
