// From the id of a request to the cause of its end, by the decision logs.
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

// Beliefs that were formed this long before a request may have decided it.
constexpr uint64_t kContextMs = 5000;
// Polls of control come several times in this while.
constexpr uint64_t kStaleControlMs = 2000;

struct Decision
{
  uint64_t m_at = 0; // Unix milliseconds
  std::string m_process;
  std::string m_event;
  boost::json::object m_record;
};

struct Cause
{
  std::string_view m_reason;
  std::string_view m_text;
};

constexpr std::array<Cause, 10> kCauses{ {
  { "no_configuration", "the entry knew no configuration yet" },
  { "no_upstream", "no upstream of the service was registered and in use" },
  { "upstreams_closed", "every upstream had failed lately or was full" },
  { "upstreams_cold", "the upstreams left were cold and had their share" },
  { "draining", "the entry was stopping" },
  { "no_route", "the configuration has no such route" },
  { "unknown_key", "no team of the configuration has this key" },
  { "time_over", "the time of the caller or of the route was over" },
  { "no_time_left", "the time was over before anything was sent" },
  { "upstream_failure", "the upstream answered with a failure of its own" },
} };

bool
IsEnd(const std::string& aEvent)
{
  return aEvent == "request_answered" || aEvent == "request_refused" ||
         aEvent == "request_failed" || aEvent == "caller_left" ||
         aEvent == "caller_lost";
}

std::string
ReasonText(const std::string& aReason)
{
  for (const Cause& cause : kCauses) {
    if (cause.m_reason == aReason) {
      return std::string(cause.m_text);
    }
  }
  return "the last attempt ended with '" + aReason + "'";
}

// A sentence on the end of the request.
std::string
CauseOf(const boost::json::object& aEnd)
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
  text += ReasonText(StringMember(aEnd, "reason"));
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

void
AddDecisions(std::istream& aLines, std::vector<Decision>& aDecisions)
{
  std::string line;
  while (std::getline(aLines, line)) {
    std::optional<boost::json::object> record = ParseRecord(line);
    if (!record || NumberMember(*record, "at") == 0) {
      continue;
    }
    Decision decision;
    decision.m_at = NumberMember(*record, "at");
    decision.m_process = StringMember(*record, "process");
    decision.m_event = StringMember(*record, "event");
    decision.m_record = std::move(*record);
    aDecisions.push_back(std::move(decision));
  }
}

// What aRequest's lines name.
struct Subject
{
  uint64_t m_first = UINT64_MAX;
  uint64_t m_last = 0;
  std::set<std::string> m_processes;
  std::set<std::string> m_upstreams;
};

Subject
SubjectOf(const std::vector<Decision>& aDecisions, const std::string& aRequest)
{
  Subject subject;
  for (const Decision& decision : aDecisions) {
    if (StringMember(decision.m_record, "request") != aRequest) {
      continue;
    }
    const uint64_t took = NumberMember(decision.m_record, "took_ms");
    subject.m_first = std::min(subject.m_first, decision.m_at - took);
    subject.m_last = std::max(subject.m_last, decision.m_at);
    subject.m_processes.insert(decision.m_process);
    subject.m_upstreams.insert(StringMember(decision.m_record, "upstream"));
  }
  return subject;
}

bool
Concerns(const Decision& aDecision,
         const Subject& aSubject,
         const std::string& aRequest)
{
  const std::string request = StringMember(aDecision.m_record, "request");
  if (!request.empty()) {
    return request == aRequest;
  }
  const bool near = aDecision.m_at + kContextMs >= aSubject.m_first &&
                    aDecision.m_at <= aSubject.m_last;
  const std::string upstream = StringMember(aDecision.m_record, "upstream");
  return near &&
         (aSubject.m_processes.count(aDecision.m_process) > 0 ||
          (!upstream.empty() && aSubject.m_upstreams.count(upstream) > 0));
}

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
Print(const std::vector<Decision>& aDecisions,
      const std::string& aCause,
      Output aOutput)
{
  if (aOutput.m_json) {
    for (const Decision& decision : aDecisions) {
      aOutput.m_out << boost::json::serialize(decision.m_record) << '\n';
    }
    aOutput.m_out << boost::json::serialize(
                       boost::json::object{ { "cause", aCause } })
                  << '\n';
    return;
  }
  Table table({ "MILLISECONDS", "PROCESS", "EVENT", "FIELDS" });
  for (const Decision& decision : aDecisions) {
    table.AddRow({ std::to_string(decision.m_at),
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
  std::vector<detail::Decision> decisions;
  for (const std::string& path : aOptions.m_files) {
    std::ifstream file(path);
    if (!file) {
      return base::MakeError(base::ErrorKind::Unavailable,
                             path + " cannot be read");
    }
    detail::AddDecisions(file, decisions);
  }
  const detail::Subject subject =
    detail::SubjectOf(decisions, aOptions.m_request);
  if (subject.m_last == 0) {
    return base::MakeError(base::ErrorKind::BadRequest,
                           "no line is about request " + aOptions.m_request);
  }
  std::erase_if(decisions, [&](const detail::Decision& aDecision) {
    return !detail::Concerns(aDecision, subject, aOptions.m_request);
  });
  std::stable_sort(
    decisions.begin(),
    decisions.end(),
    [](const detail::Decision& aLeft, const detail::Decision& aRight) {
      return aLeft.m_at < aRight.m_at;
    });
  std::string cause = "its end is not in these logs";
  for (const detail::Decision& decision : decisions) {
    if (detail::IsEnd(decision.m_event)) {
      cause = detail::CauseOf(decision.m_record);
    }
  }
  detail::Print(decisions, cause, aOutput);
  return absl::OkStatus();
}

} // namespace chivefront::ctl
