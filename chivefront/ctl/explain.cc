// Finds the cause of a request's end in the decision logs.
#include <algorithm>
#include <array>
#include <fstream>
#include <iostream>
#include <set>

#include <boost/json/serialize.hpp>

#include "chivefront/base/errors.h"
#include "chivefront/ctl/commands.h"
#include "chivefront/ctl/records.h"
#include "chivefront/ctl/table.h"

namespace chivefront::ctl {
namespace detail {

// What a process learned up to this long before a request may have determined
// how the request was handled.
constexpr uint64_t kContextBeforeRequestMs = 5000;
// The control processes are polled several times within this period, so a
// longer time without an answer means that they were out of reach.
constexpr uint64_t kStaleControlMs = 2000;

// A line of a decision log.
struct DecisionRecord
{
  uint64_t m_atMs = 0; // Unix time
  std::string m_process;
  std::string m_event;
  boost::json::object m_record;
};

// The text that is printed for a value of "reason".
struct ReasonDescription
{
  std::string_view m_reason;
  std::string_view m_text;
};

constexpr std::array<ReasonDescription, 12> kReasonDescriptions{ {
  { "no_configuration", "the entry knew no configuration yet" },
  { "no_upstream", "no upstream of the service was registered and in use" },
  { "upstreams_closed", "every upstream had failed lately or was full" },
  { "upstreams_cold", "the upstreams left were cold and had their share" },
  { "upstreams_limited",
    "the upstreams left state request limits that were used up" },
  { "upstreams_resting", "every upstream had asked for a rest" },
  { "draining", "the entry was stopping" },
  { "no_route", "the configuration has no such route" },
  { "unknown_key", "no team of the configuration has this key" },
  { "time_over", "the time of the caller or of the route was over" },
  { "no_time_left", "the time was over before anything was sent" },
  { "upstream_failure", "the upstream answered with a failure of its own" },
} };

// Whether the event ends a request.
bool
IsEndEvent(const std::string& aEvent)
{
  return aEvent == "request_answered" || aEvent == "request_refused" ||
         aEvent == "request_failed" || aEvent == "caller_left" ||
         aEvent == "caller_lost";
}

std::string
DescribeReason(const std::string& aReason)
{
  for (const ReasonDescription& description : kReasonDescriptions) {
    if (description.m_reason == aReason) {
      return std::string(description.m_text);
    }
  }
  return "the last attempt ended with '" + aReason + "'";
}

// Returns the cause in words. aEnd is the record of the event that ended the
// request.
std::string
DescribeCause(const boost::json::object& aEnd)
{
  const std::string event = StringMember(aEnd, "event");
  if (event == "request_answered") {
    return "answered after " + StringMember(aEnd, "took_ms") + " ms";
  }
  if (event == "caller_left" || event == "caller_lost") {
    return "the caller left after " + StringMember(aEnd, "took_ms") + " ms";
  }
  const bool refused = event == "request_refused";
  std::string text = refused ? "refused, not run: " : "failed: ";
  text += DescribeReason(StringMember(aEnd, "reason"));
  if (!refused) {
    text += "; sent " + StringMember(aEnd, "sends") + " times, last to " +
            StringMember(aEnd, "upstream");
    text +=
      StringMember(aEnd, "may_have_run") == "yes" ? "; it may have run" : "";
  }
  const std::string age = StringMember(aEnd, "control_age_ms");
  if (age == "never") {
    text += "; control has never answered";
  } else if (NumberMember(aEnd, "control_age_ms") > kStaleControlMs) {
    text += "; control was out of reach for " + age + " ms";
  }
  return text;
}

// Appends the records of aLines. Lines without a record or a time are skipped.
void
AddDecisions(std::istream& aLines, std::vector<DecisionRecord>& aDecisions)
{
  std::string line;
  while (std::getline(aLines, line)) {
    std::optional<boost::json::object> record = ParseRecord(line);
    if (!record || NumberMember(*record, "at") == 0) {
      continue;
    }
    DecisionRecord decision;
    decision.m_atMs = NumberMember(*record, "at");
    decision.m_process = StringMember(*record, "process");
    decision.m_event = StringMember(*record, "event");
    decision.m_record = std::move(*record);
    aDecisions.push_back(std::move(decision));
  }
}

// The time span, the processes and the upstreams of one request, from the
// records that name the request.
struct RequestScope
{
  uint64_t m_startMs = UINT64_MAX;
  uint64_t m_endMs = 0; // 0 when no record names the request
  std::set<std::string> m_processes;
  std::set<std::string> m_upstreams;
};

RequestScope
FindRequestScope(const std::vector<DecisionRecord>& aDecisions,
                 const std::string& aRequest)
{
  RequestScope scope;
  for (const DecisionRecord& decision : aDecisions) {
    if (StringMember(decision.m_record, "request") != aRequest) {
      continue;
    }
    const uint64_t durationMs = NumberMember(decision.m_record, "took_ms");
    scope.m_startMs = std::min(scope.m_startMs, decision.m_atMs - durationMs);
    scope.m_endMs = std::max(scope.m_endMs, decision.m_atMs);
    scope.m_processes.insert(decision.m_process);
    scope.m_upstreams.insert(StringMember(decision.m_record, "upstream"));
  }
  return scope;
}

// Whether the record is about aRequest, or about its processes and upstreams
// shortly before the request or during it.
bool
IsRelevant(const DecisionRecord& aDecision,
           const RequestScope& aScope,
           const std::string& aRequest)
{
  const std::string request = StringMember(aDecision.m_record, "request");
  if (!request.empty()) {
    return request == aRequest;
  }
  const bool isInTimeSpan =
    aDecision.m_atMs + kContextBeforeRequestMs >= aScope.m_startMs &&
    aDecision.m_atMs <= aScope.m_endMs;
  const std::string upstream = StringMember(aDecision.m_record, "upstream");
  return isInTimeSpan &&
         (aScope.m_processes.count(aDecision.m_process) > 0 ||
          (!upstream.empty() && aScope.m_upstreams.count(upstream) > 0));
}

// Returns the members without a column of their own as "name=value" pairs.
std::string
FieldsOf(const boost::json::object& aRecord)
{
  std::string fields;
  for (const auto& member : aRecord) {
    const std::string name(member.key());
    const std::string value = StringMember(aRecord, name.c_str());
    if (name != "at" && name != "process" && name != "event" &&
        name != "request" && !value.empty()) {
      fields += (fields.empty() ? "" : " ") + name + "=" + value;
    }
  }
  return fields;
}

void
Print(const std::vector<DecisionRecord>& aDecisions,
      const std::string& aCause,
      Output aOutput)
{
  if (aOutput.m_json) {
    for (const DecisionRecord& decision : aDecisions) {
      aOutput.m_out << boost::json::serialize(decision.m_record) << '\n';
    }
    aOutput.m_out << boost::json::serialize(
                       boost::json::object{ { "cause", aCause } })
                  << '\n';
    return;
  }
  Table table({ "MILLISECONDS", "PROCESS", "EVENT", "FIELDS" });
  for (const DecisionRecord& decision : aDecisions) {
    table.AddRow({ std::to_string(decision.m_atMs),
                   decision.m_process,
                   decision.m_event,
                   FieldsOf(decision.m_record) });
  }
  table.Print(aOutput.m_out);
  aOutput.m_out << "cause: " << aCause << '\n';
}

} // namespace detail

absl::Status
ExplainRequest(const ExplainOptions& aOptions, Output aOutput)
{
  std::vector<detail::DecisionRecord> decisions;
  for (const std::string& path : aOptions.m_files) {
    std::ifstream file(path);
    if (!file) {
      return base::MakeError(base::ErrorKind::Unavailable,
                             path + " cannot be read");
    }
    detail::AddDecisions(file, decisions);
  }
  const detail::RequestScope scope =
    detail::FindRequestScope(decisions, aOptions.m_request);
  if (scope.m_endMs == 0) {
    return base::MakeError(base::ErrorKind::BadRequest,
                           "no line is about request " + aOptions.m_request);
  }
  std::erase_if(decisions, [&](const detail::DecisionRecord& aDecision) {
    return !detail::IsRelevant(aDecision, scope, aOptions.m_request);
  });
  std::stable_sort(decisions.begin(),
                   decisions.end(),
                   [](const detail::DecisionRecord& aLeft,
                      const detail::DecisionRecord& aRight) {
                     return aLeft.m_atMs < aRight.m_atMs;
                   });
  std::string cause = "its end is not in these logs";
  for (const detail::DecisionRecord& decision : decisions) {
    if (detail::IsEndEvent(decision.m_event)) {
      cause = detail::DescribeCause(decision.m_record);
    }
  }
  detail::Print(decisions, cause, aOutput);
  return absl::OkStatus();
}

} // namespace chivefront::ctl
