// The commands of chivefrontctl, apart from their command-line syntax. Each
// writes its result to the given stream and returns what went wrong.
#pragma once

#include <ostream>
#include <string>
#include <vector>

#include <absl/status/status.h>

#include "chivefront/ctl/control_client.h"

namespace chivefront::ctl {

struct Output
{
  std::ostream& m_out;
  bool m_json = false;
};

// How a change is sent.
struct ChangeOptions
{
  std::string m_changeId;          // generated when empty
  uint64_t m_expectedRevision = 0; // the current revision when 0
  bool m_waitUntilInForce = true;  // until it is in force everywhere
  std::string m_operator;          // for the events
};

// --- Catalogue ------------------------------------------------------------

// aKey limits the output to one key; empty shows all.
absl::Status
ShowCatalogue(ControlClient& aClient, const std::string& aKey, Output aOutput);
// Needs no control process. Invalid lists every error with its path.
absl::Status
ValidateFile(const std::string& aPath, Output aOutput);
absl::Status
DiffFile(ControlClient& aClient, const std::string& aPath, Output aOutput);
absl::Status
ApplyFile(ControlClient& aClient,
          const std::string& aPath,
          const ChangeOptions& aOptions,
          Output aOutput);

// The entries that turn aCurrent into the catalogue of the file aWanted.
// Out-of-service and system keys are left alone, and so is the progress
// (stage, state, reason) of a roll-out whose definition is the same: a file
// written before it advanced or stopped must not turn it back.
std::vector<catalog::EntryChange>
PlanApply(const catalog::Entries& aCurrent, const catalog::Entries& aWanted);

// --- Service state ----------------------------------------------------------

enum class ServiceState
{
  Out,
  In,
};

// aKind is "domain", "version" or "upstream".
absl::Status
SetServiceState(ControlClient& aClient,
                ServiceState aState,
                const std::string& aKind,
                const std::string& aId,
                const ChangeOptions& aOptions,
                Output aOutput);
// Lifts the quarantine of a request, by its 16 hexadecimal digits.
absl::Status
LiftQuarantine(ControlClient& aClient,
               const std::string& aFingerprint,
               const ChangeOptions& aOptions,
               Output aOutput);

// --- Views ------------------------------------------------------------------

absl::Status
ShowStatus(ControlClient& aClient, Output aOutput);
absl::Status
ShowRollouts(ControlClient& aClient, const std::string& aModel, Output aOutput);
absl::Status
ShowBills(ControlClient& aClient,
          const std::string& aTeam,
          const std::string& aRequest,
          uint32_t aLimit,
          Output aOutput);

struct ExplainOptions
{
  std::vector<std::string> m_files; // logs of any processes
  std::string m_request;            // id of the caller's attempt
};

// What was decided for one request of a chivefront-node entry, what its
// processes and upstreams went through meanwhile, and the cause of its end.
// BadRequest when no line is about it.
absl::Status
ExplainRequest(const ExplainOptions& aOptions, Output aOutput);

struct TimelineOptions
{
  std::vector<std::string> m_files;
  std::vector<std::string> m_admin; // IP:PORT
  std::string m_request;
  std::string m_team;
  std::string m_upstream;
};

// Events of all sources in causal order. A source that can't be read is named
// on standard error and makes the result Unavailable after the rest is shown.
absl::Status
ShowTimeline(const TimelineOptions& aOptions, Output aOutput);

} // namespace chivefront::ctl
