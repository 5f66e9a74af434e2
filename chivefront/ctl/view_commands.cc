// Status, roll-outs and bills.
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

// The text of a scalar; empty when the member is absent.
std::string
Cell(const object& aObject, const char* aName)
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

const array&
Rows(const object& aObject, const char* aName)
{
  static const array kNone;
  const boost::json::value* value = aObject.if_contains(aName);
  return value != nullptr && value->is_array() ? value->get_array() : kNone;
}

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
      cells.push_back(Cell(row.as_object(), name.c_str()));
    }
    table.AddRow(std::move(cells));
  }
  aOut << '\n' << aTitle << '\n';
  table.Print(aOut);
}

std::string
Joined(const array& aItems)
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
  const absl::StatusOr<std::string> text = aClient.Status();
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
    const bool leads = Cell(group, "role") == "leader";
    const std::string leader = Cell(group, "leader");
    table.AddRow(
      { Cell(group, "group"),
        leader.empty() ? "unknown" : leader,
        Cell(group, "term"),
        Cell(group, "committed"),
        // Only a leader knows what the others hold.
        leads ? Cell(group, "caught_up") + " of " +
                  std::to_string(Rows(group, "members").size()) +
                  (Cell(group, "repaired") == "true" ? "" : ", repairing")
              : "ask leader" });
  }
  aOut << '\n';
  table.Print(aOut);
}

// "45 s", "12 min" or "3 h".
std::string
AgeText(const object& aRow)
{
  constexpr int64_t kSecond = 1000;
  constexpr int64_t kMinute = 60 * kSecond;
  constexpr int64_t kHour = 60 * kMinute;
  const boost::json::value* value = aRow.if_contains("since_ms");
  boost::json::error_code error;
  const int64_t age = value == nullptr ? 0 : value->to_number<int64_t>(error);
  if (age < 2 * kMinute) {
    return std::to_string(age / kSecond) + " s";
  }
  return age < 2 * kHour ? std::to_string(age / kMinute) + " min"
                         : std::to_string(age / kHour) + " h";
}

void
PrintConcerns(std::ostream& aOut, const array& aConcerns)
{
  if (aConcerns.empty()) {
    aOut << "\nnothing needs attention\n";
    return;
  }
  Table table({ "ATTENTION", "SEEN FOR", "HINT" });
  for (const boost::json::value& value : aConcerns) {
    const object& row = value.as_object();
    table.AddRow({ Cell(row, "item"), AgeText(row), Cell(row, "hint") });
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
  using detail::Cell;
  using detail::Rows;
  out << "seen by " << Cell(status, "process") << ", revision "
      << Cell(status, "revision") << ", in force everywhere "
      << Cell(status, "in_force")
      << (Cell(status, "fresh") == "true" ? "" : ", NOT FRESH") << '\n'
      << "entries " << Cell(status, "live_entries") << ", watchers "
      << Cell(status, "watchers") << '\n';
  detail::PrintGroups(out, Rows(status, "groups"));
  if (const auto* value = status.if_contains("out_of_service")) {
    const detail::object& outOf = value->as_object();
    out << "\nout of service: domains "
        << detail::Joined(Rows(outOf, "domains")) << "; versions "
        << detail::Joined(Rows(outOf, "versions")) << "; upstreams "
        << detail::Joined(Rows(outOf, "upstreams")) << '\n';
  }
  out << "quarantined requests: " << detail::Joined(Rows(status, "quarantines"))
      << '\n';
  detail::PrintRows(out,
                    "ROLL-OUTS",
                    Rows(status, "rollouts"),
                    { "model", "from", "to", "state", "stage", "permille" });
  detail::PrintRows(out,
                    "UPSTREAMS",
                    Rows(status, "upstreams"),
                    { "serves",
                      "domain",
                      "upstreams",
                      "leaving",
                      "limit",
                      "running",
                      "queued" });
  detail::PrintConcerns(out, Rows(status, "hints"));
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
  for (const boost::json::value& row : detail::Rows(*status, "rollouts")) {
    if (aModel.empty() || detail::Cell(row.as_object(), "model") == aModel) {
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
  const auto reply = aClient.Ledger(std::move(request));
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
