// The part of the replicated state that belongs to the duties: who holds each
// duty, and what was decided about usage windows.
//
//   DutyState duties;
//   duties.Execute(AcquireDuty{ duty::Duty::UsageReport, "edge-1", owner });
//   // The first decision of a window wins.
//   duties.Execute(DecideUsage{ usage });
//   for (const duty::WindowUsage& usage : duties.Undelivered()) ...
//   duties.Execute(ConfirmUsage{ window });
//
// A window is reported to the outside service only after its decision is
// committed, so that every holder reports the same counts.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <boost/json/fwd.hpp>

#include "chivefront/duty/lease.h"

namespace chivefront::site {

struct AcquireDuty
{
  duty::Duty m_duty = duty::Duty::UsageReport;
  std::string m_host;
  uint64_t m_owner = 0; // random number of the process incarnation
};

struct DecideUsage
{
  duty::WindowUsage m_usage;
};

// The window needs no further report: it was delivered or can't be.
struct ConfirmUsage
{
  uint64_t m_window = 0;
};

// The oldest undelivered window beyond this number is given up.
inline constexpr size_t kMaxUndeliveredWindows = 32;
// Windows that are remembered, so that none is decided again. An entry reports
// at most 6.
inline constexpr size_t kMaxKnownWindows = 96;

// A value, copied with the state. Deterministic: the same calls in the same
// order give the same state on every replica. Uses no clock.
class DutyState
{
public:
  // These return whether something changed.
  bool Execute(const AcquireDuty& aCommand);
  bool Execute(const DecideUsage& aCommand);
  bool Execute(const ConfirmUsage& aCommand);

  const duty::Holders& HoldersByDuty() const { return m_holders; }

  // Whether a decision for the window is known, or too old to be made.
  bool IsDecided(uint64_t aWindow) const;
  // Decided windows that are not confirmed, oldest first.
  std::vector<duty::WindowUsage> Undelivered() const;
  // Windows that were forgotten before they were confirmed.
  uint64_t GivenUpCount() const { return m_givenUp; }

  // Restore throws when aObject is not the result of ToJson.
  boost::json::object ToJson() const;
  static DutyState Restore(const boost::json::object& aObject);

private:
  struct Window
  {
    std::map<std::string, uint64_t> m_counts; // by team; empty when settled
    bool m_settled = false;                   // confirmed or given up
  };

  void Trim();

  duty::Holders m_holders;
  std::map<uint64_t, Window> m_windows; // at most kMaxKnownWindows
  uint64_t m_firstWindow = 0;           // smallest number that may be decided
  uint64_t m_givenUp = 0;
};

boost::json::object
ToJson(const AcquireDuty& aCommand);
boost::json::object
ToJson(const DecideUsage& aCommand);
boost::json::object
ToJson(const ConfirmUsage& aCommand);

// These throw when aFields are not of such a command.
AcquireDuty
AcquireDutyOf(const boost::json::object& aFields);
DecideUsage
DecideUsageOf(const boost::json::object& aFields);
ConfirmUsage
ConfirmUsageOf(const boost::json::object& aFields);

} // namespace chivefront::site
