// Merging of event records.
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

constexpr size_t kMaxEventBytes = 512UL * 1024 * 1024;

struct Event
{
  uint64_t m_stamp = 0; // hybrid logical clock
  boost::json::object m_record;
};

bool
Matches(const boost::json::object& aRecord, const TimelineOptions& aOptions)
{
  const auto fits = [&](const char* aName, const std::string& aWanted) {
    return aWanted.empty() || StringMember(aRecord, aName) == aWanted;
  };
  return fits("request", aOptions.m_request) && fits("team", aOptions.m_team) &&
         fits("upstream", aOptions.m_upstream);
}

// Lines that are no records are skipped: the last line of a process that was
// killed may be cut off.
void
AddLines(std::istream& aLines,
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
    event.m_stamp = NumberMember(event.m_record, "hlc");
    if (event.m_stamp != 0 && Matches(event.m_record, aOptions)) {
      aEvents.push_back(std::move(event));
    }
  }
}

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
      *endpoint, std::move(request), net::HttpTimeouts{}, kMaxEventBytes);
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
      { std::to_string(event.m_stamp >> base::HybridClock::kCounterBits),
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
  const auto failed = [&result](const std::string& aSource,
                                std::string_view aWhy) {
    std::cerr << "chivefrontctl: " << aSource << ": " << aWhy << std::endl;
    result = base::MakeError(base::ErrorKind::Unavailable,
                             "the time line lacks " + aSource);
  };
  for (const std::string& path : aOptions.m_files) {
    std::ifstream file(path);
    if (file) {
      detail::AddLines(file, aOptions, events);
    } else {
      failed(path, "cannot be read");
    }
  }
  for (const std::string& address : aOptions.m_admin) {
    const absl::StatusOr<std::string> body = detail::FetchEvents(address);
    if (body.ok()) {
      std::istringstream lines(*body);
      detail::AddLines(lines, aOptions, events);
    } else {
      failed(address, base::MessageOf(body.status()));
    }
  }
  std::stable_sort(events.begin(),
                   events.end(),
                   [](const detail::Event& aLeft, const detail::Event& aRight) {
                     return aLeft.m_stamp < aRight.m_stamp;
                   });
  // The same record comes twice when a process's file and port are both given.
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
