// Duties: calls to an outside service that one host makes at a time, and what
// the settings say about them.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "chivefront/base/clock.h"
#include "chivefront/base/names.h"
#include "chivefront/base/settings.h"

namespace chivefront::duty {

enum class Duty
{
  UsageReport, // requests of each team, once per window
  Autoscaling, // number of upstreams of a service in a failure domain
};

inline constexpr base::NameTable<Duty, 2> kDutyNames{ {
  { { Duty::UsageReport, "usage_report" }, { Duty::Autoscaling, "autoscale" } },
} };

struct DutySettings
{
  base::Endpoint m_service;     // that the calls go to
  std::set<Duty> m_duties;      // empty: this deployment has none
  std::string m_host;           // name of this host
  double m_callsPerSecond = 0;  // accepted from all hosts together
  base::Millis m_lease{ 0 };    // no other host acts within this time
  base::Millis m_window{ 0 };   // length of a usage window
  base::Millis m_usageDue{ 0 }; // after the end of a window
};

// The requests of each team that began to run in one window.
struct WindowUsage
{
  uint64_t m_window = 0; // number of the window since the Unix epoch
  std::map<std::string, uint64_t> m_counts; // by team
};

// An order to the outside service: how many upstreams a service shall have in a
// failure domain. It holds until the next order for both.
struct ScaleOrder
{
  std::string m_service;
  std::string m_domain;
  uint32_t m_desired = 0;
};

// The number of the window that holds aTrueTime, in Unix milliseconds. aWindow
// must be positive; a time before the epoch belongs to window 0.
uint64_t
WindowAt(int64_t aTrueTime, base::Millis aWindow);

} // namespace chivefront::duty
