// Merges the event records of several processes into one time line.
#include <algorithm>
#include <cstdint>
#include <fstream>
#include <future>
#include <iostream>
#include <sstream>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "chivefront/base/errors.h"
#include "chivefront/ctl/commands.h"
#include "chivefront/ctl/records.h"
#include "chivefront/ctl/table.h"
#include "chivefront/net/http_client.h"

namespace chivefront::ctl {
namespace detail {

// Limit of a response that holds the events of one process.
constexpr size_t kMaxEventsBytes = 512UL * 1024 * 1024;

struct Event
{
  uint64_t m_timestamp = 0; // of the hybrid logical clock
  boost::json::object m_record;
};

// Whether the record passes all filters of aOptions.
bool
Matches(const boost::json::object& aRecord, const TimelineOptions& aOptions)
{
  const auto matches = [&](const char* aName, const std::string& aWanted) {
    return aWanted.empty() || StringMember(aRecord, aName) == aWanted;
  };
  return matches("request", aOptions.m_request) &&
         matches("team", aOptions.m_team) &&
         matches("upstream", aOptions.m_upstream);
}

// Appends the records of aLines that pass the filters. Lines without a record
// are skipped: a killed process may leave an incomplete last line.
void
AddEvents(std::istream& aLines,
          const TimelineOptions& aOptions,
          std::vector<Event>& aEvents)
{
  std::string line;
  while (std::getline(aLines, line)) {
    std::optional<boost::json::object> record = ParseRecord(line);
    if (!record) {
      continue;
    }
    Event event;
    event.m_record = std::move(*record);
    event.m_timestamp = NumberMember(event.m_record, "hlc");
    if (event.m_timestamp != 0 && Matches(event.m_record, aOptions)) {
      aEvents.push_back(std::move(event));
    }
  }
}

// Returns the event lines that the process with the admin port aAddress serves.
absl::StatusOr<std::string>
FetchEvents(const std::string& aAddress)
{
  const auto endpoint = base::Endpoint::Parse(aAddress);
  if (!endpoint) {
    return base::MakeError(base::ErrorKind::BadRequest,
                           "'" + aAddress + "' is not IP:PORT");
  }
  net::asio::io_context context;
  absl::StatusOr<std::string> body =
    base::MakeError(base::ErrorKind::Unavailable, "no answer");
  net::Spawn(context.get_executor(), "ctl", [&]() -> net::Task<void> {
    net::HttpRequest request("GET", "/events");
    auto response = co_await net::HttpCall(
      *endpoint, std::move(request), net::HttpTimeouts{}, kMaxEventsBytes);
    if (response.ok()) {
      body = std::move(response->m_body);
    } else {
      body = response.status();
    }
  });
  context.run();
  return body;
}

void
PrintEvents(const std::vector<Event>& aEvents, Output aOutput)
{
  if (aOutput.m_json) {
    for (const Event& event : aEvents) {
      aOutput.m_out << boost::json::serialize(event.m_record) << '\n';
    }
    return;
  }
  Table table({ "MILLISECONDS", "PROCESS", "EVENT", "REQUEST", "FIELDS" });
  for (const Event& event : aEvents) {
    std::string fields;
    for (const auto& member : event.m_record) {
      const std::string name(member.key());
      if (name != "hlc" && name != "ms" && name != "process" &&
          name != "event" && name != "request") {
        fields += (fields.empty() ? "" : " ") + name + "=" +
                  StringMember(event.m_record, name.c_str());
      }
    }
    table.AddRow(
      { std::to_string(event.m_timestamp >> base::HybridClock::kCounterBits),
        StringMember(event.m_record, "process"),
        StringMember(event.m_record, "event"),
        StringMember(event.m_record, "request"),
        fields });
  }
  table.Print(aOutput.m_out);
}

} // namespace detail

absl::Status
ShowTimeline(const TimelineOptions& aOptions, Output aOutput)
{
  std::vector<detail::Event> events;
  absl::Status result = absl::OkStatus();
  const auto reportFailure = [&result](const std::string& aSource,
                                       std::string_view aWhy) {
    std::cerr << "chivefrontctl: " << aSource << ": " << aWhy << std::endl;
    result = base::MakeError(base::ErrorKind::Unavailable,
                             "the time line lacks " + aSource);
  };
  for (const std::string& path : aOptions.m_files) {
    std::ifstream file(path);
    if (file) {
      detail::AddEvents(file, aOptions, events);
    } else {
      reportFailure(path, "cannot be read");
    }
  }
  for (const std::string& address : aOptions.m_admin) {
    const absl::StatusOr<std::string> body = detail::FetchEvents(address);
    if (body.ok()) {
      std::istringstream lines(*body);
      detail::AddEvents(lines, aOptions, events);
    } else {
      reportFailure(address, base::MessageOf(body.status()));
    }
  }
  std::stable_sort(events.begin(),
                   events.end(),
                   [](const detail::Event& aLeft, const detail::Event& aRight) {
                     return aLeft.m_timestamp < aRight.m_timestamp;
                   });
  // A record occurs twice when both the file and the admin port of its process
  // are given.
  events.erase(
    std::unique(events.begin(),
                events.end(),
                [](const detail::Event& aLeft, const detail::Event& aRight) {
                  return aLeft.m_record == aRight.m_record;
                }),
    events.end());
  detail::PrintEvents(events, aOutput);
  return result;
}

} // namespace chivefront::ctl
