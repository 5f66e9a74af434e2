// The loads of services that may be scaled: what entries report with their
// polls, and the totals over the live entries. Soft state of one control
// process; the entries repeat it with each poll. Does no I/O; not thread-safe.
//
//   collector.Record(request, now); // with each poll
//   collector.TakeTotals(now);      // before each decision
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "chivefront/base/clock.h"
#include "chivefront/wire/protocol_generated.hpp"

namespace chivefront::site {

struct ServiceDomain
{
  std::string m_service;
  std::string m_domain; // failure domain

  auto operator<=>(const ServiceDomain&) const = default;
};

// What one entry knows of a service in one failure domain.
struct EntryLoad
{
  ServiceDomain m_subject;
  uint32_t m_underWay = 0; // its requests at the upstreams
  uint32_t m_waiting = 0;  // its requests without an upstream
  // Since the start of the entry:
  uint64_t m_answers = 0; // that began, and requests refused for lack of room
  uint64_t m_goalsMissed = 0;
};

// Over the live entries; answers since the previous call of TakeTotals.
struct TotalLoad
{
  uint64_t m_underWay = 0;
  uint64_t m_waiting = 0;
  uint64_t m_answers = 0;
  uint64_t m_goalsMissed = 0;
};

using EntryLoadRows = std::vector<std::unique_ptr<wire::EntryLoadT>>;

EntryLoadRows
ToWire(const std::vector<EntryLoad>& aLoads);

class LoadCollector
{
public:
  // Replaces what the same entry reported before.
  void Record(const wire::WatchRequestT& aRequest, base::TimePoint aNow);

  // Entries that have not polled for control::kWatcherTimeout do not count.
  std::map<ServiceDomain, TotalLoad> TakeTotals(base::TimePoint aNow);

  // Drops such entries.
  void Expire(base::TimePoint aNow);

private:
  struct Entry
  {
    base::TimePoint m_heardAt;
    std::map<ServiceDomain, EntryLoad> m_loads;
  };

  std::map<std::string, Entry> m_entries; // by holder
  // Answers since the previous call of TakeTotals.
  std::map<ServiceDomain, TotalLoad> m_answered;
};

} // namespace chivefront::site
