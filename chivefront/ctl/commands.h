// The commands of chivefrontctl, without the parsing of the command line. Each
// command writes its result to the stream of its Output argument and returns an
// error status when it fails.
#pragma once

#include <ostream>
#include <string>
#include <vector>

#include <absl/status/status.h>

#include "chivefront/ctl/control_client.h"

namespace chivefront::ctl {

// Where a command prints its result, and in which form.
struct Output
{
  std::ostream& m_out;
  bool m_json = false; // JSON instead of tables and sentences
};

// How a change is sent to the control processes.
struct ChangeOptions
{
  std::string m_changeId;          // a random id when empty
  uint64_t m_expectedRevision = 0; // 0: the current revision
  bool m_waitUntilInForce = true;  // on every process
  std::string m_operator;          // name in the event log
};

// --- Catalogue ------------------------------------------------------------

// Prints the configuration that the control processes hold. aKey limits the
// output to one key; all entries are printed when aKey is empty. UnknownRoute
// when there is no entry under aKey.
absl::Status
ShowCatalogue(ControlClient& aClient, const std::string& aKey, Output aOutput);
// Checks a catalogue file; needs no control process. Invalid with every error
// and its path when the file is wrong; BadRequest when it can't be read.
absl::Status
ValidateFile(const std::string& aPath, Output aOutput);
// Prints what ApplyFile would change.
absl::Status
DiffFile(ControlClient& aClient, const std::string& aPath, Output aOutput);
// Makes the catalogue of the cluster equal to the file, as PlanApply does.
// Conflict when the expected revision is not the current one.
absl::Status
ApplyFile(ControlClient& aClient,
          const std::string& aPath,
          const ChangeOptions& aOptions,
          Output aOutput);

// Returns the changes that turn aCurrent into the catalogue of the file, whose
// entries are aWanted. Keys of the out-of-service state and of the system are
// not changed. When the definition of a roll-out is the same in both, its
// progress (stage, state, reason) is kept, apart from a pause or a resumption
// that the file asks for: a file that was written before the roll-out advanced
// or stopped must not revert the progress.
std::vector<catalog::EntryChange>
PlanApply(const catalog::Entries& aCurrent, const catalog::Entries& aWanted);

// --- Service state ----------------------------------------------------------

enum class ServiceState
{
  OutOfService,
  InService,
};

// Takes aId out of service or brings it back. aKind is "domain", "version" or
// "upstream".
absl::Status
SetServiceState(ControlClient& aClient,
                ServiceState aState,
                const std::string& aKind,
                const std::string& aId,
                const ChangeOptions& aOptions,
                Output aOutput);
// Lifts the quarantine of a request. aFingerprint is the request's fingerprint
// as 16 hexadecimal digits.
absl::Status
LiftQuarantine(ControlClient& aClient,
               const std::string& aFingerprint,
               const ChangeOptions& aOptions,
               Output aOutput);

// --- Views ------------------------------------------------------------------

// Prints an overview of the cluster: Raft groups, what is out of service,
// roll-outs, upstreams and hints about what needs attention.
absl::Status
ShowStatus(ControlClient& aClient, Output aOutput);
// Prints the roll-out of aModel, or all roll-outs when aModel is empty.
absl::Status
ShowRollouts(ControlClient& aClient, const std::string& aModel, Output aOutput);
// Prints the newest bill lines, at most aLimit, and the totals. Empty aTeam or
// aRequest don't limit the output.
absl::Status
ShowBills(ControlClient& aClient,
          const std::string& aTeam,
          const std::string& aRequest,
          uint32_t aLimit,
          Output aOutput);

struct ExplainOptions
{
  std::vector<std::string> m_files; // decision logs of any processes
  std::string m_request;            // id of the caller's attempt
};

// Explains how one request to the entry of a chivefront-node ended. Prints the
// decisions about the request, the other decisions about its processes and
// upstreams shortly before and during the request, and the cause of its end.
// BadRequest when no log line is about the request; Unavailable when a file
// can't be read.
absl::Status
ExplainRequest(const ExplainOptions& aOptions, Output aOutput);

// The sources of events and the filters on them; an empty filter passes all.
struct TimelineOptions
{
  std::vector<std::string> m_files; // event files, one record a line
  std::vector<std::string> m_admin; // admin ports, IP:PORT
  std::string m_request;
  std::string m_team;
  std::string m_upstream;
};

// Prints the events of all sources in causal order. A source that can't be read
// is named on standard error. The events of the other sources are printed
// nevertheless, and the result is Unavailable.
absl::Status
ShowTimeline(const TimelineOptions& aOptions, Output aOutput);

} // namespace chivefront::ctl
