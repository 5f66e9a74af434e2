// The catalogue: the teams and what they may use, the models, versions and
// services, the roll-outs, and what is out of service.
//
// A catalogue is built from the key-value entries of the configuration group
// and is immutable; a process replaces its shared pointer when a newer revision
// arrives.
//
//   std::vector<EntryError> errors;
//   auto catalog = catalog::Build(entries, revision, errors);
//   if (!catalog) ... print each error with its path ...
//   absl::Status allowed = catalog::CheckVersionAllowed(*catalog, team,
//   version);
//
// Keys and their JSON objects are described in docs/operators/catalogue.md.
// Every catalogue entry has "owner", "class" and "limits".
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/status.h>

#include "chivefront/base/clock.h"
#include "chivefront/base/names.h"

namespace chivefront::catalog {

// For a team, the class of the team. For every other entry, the lowest class
// that may use the entry: Free admits both classes.
enum class CallerClass
{
  Paying,
  Free,
};

inline constexpr base::NameTable<CallerClass, 2> kCallerClassNames{ {
  { { CallerClass::Paying, "paying" }, { CallerClass::Free, "free" } },
} };

// The fields that teams, models, versions, services, upstream rules and
// roll-outs have in common.
struct CommonFields
{
  std::string m_id;
  std::string m_owner;
  CallerClass m_class = CallerClass::Free;
};

// Quality and latency that a team wants for one kind of task.
struct TaskTarget
{
  double m_quality = 0.8; // share of answers rated acceptable, 0 to 1
  base::Millis m_latencyBudget{ 30000 };
};

struct Team : CommonFields
{
  std::set<std::string> m_keyHashes; // SHA-256 of caller keys, hexadecimal
  std::set<std::string> m_models;    // ids of models the team may use
  std::set<std::string> m_services;  // ids of services the team may use
  TaskTarget m_defaultTarget;
  std::map<std::string, TaskTarget> m_tasks; // by task kind
  // Limits for all entry hosts together.
  double m_requestsPerSecond = 0;
  uint32_t m_concurrency = 0;
  uint64_t m_tokensPerMinute = 0;
};

struct Model : CommonFields
{
  std::string m_version; // of new sessions without a roll-out
  // Models with a higher rank are expected to answer better. Used as long as
  // there is no evidence.
  int m_rank = 0;
  uint32_t m_concurrency = 0; // concurrent requests over all upstreams
};

struct Version : CommonFields
{
  std::string m_model;
  uint64_t m_promptCost = 0; // millionths of a currency unit per 1000 tokens
  uint64_t m_answerCost = 0; // in the same unit
  // Whether the engines of this version reject an order that carries an old
  // fencing number. False when the entry has no such member.
  bool m_checksFencing = false;
  uint32_t m_maxAnswerTokens = 0;
};

struct Service : CommonFields
{
  std::set<std::string> m_idempotentMethods; // other methods run at most once
  uint32_t m_concurrency = 0;
  base::Millis m_deadline{ 10000 };
  base::Millis m_claimRetention{ 24 * 3600 * 1000 };
};

// Limits of the upstreams that serve one version or one service.
struct UpstreamRule : CommonFields
{
  std::string m_version; // exactly one of m_version and m_service is set
  std::string m_service;
  uint32_t m_coldLimit = 1;     // concurrent requests directly after a start
  uint32_t m_fullLimit = 8;     // concurrent requests at the end of the ramp
  uint32_t m_rampSuccesses = 4; // successes per step of the limit
  uint32_t m_queue = 16;        // requests waiting at the agent
};

enum class RolloutState
{
  Running,
  Paused,
  Stopped,
  Done,
};

inline constexpr base::NameTable<RolloutState, 4> kRolloutStateNames{ {
  { { RolloutState::Running, "running" },
    { RolloutState::Paused, "paused" },
    { RolloutState::Stopped, "stopped" },
    { RolloutState::Done, "done" } },
} };

// The reason of a roll-out that the judge has paused. A roll-out that an
// operator has paused has another reason, and the judge does not decide about
// it.
inline constexpr const char* kHeldReason = "held until ratings come in";

// The id of a roll-out is its model's id.
struct Rollout : CommonFields
{
  std::string m_from; // version ids
  std::string m_to;
  std::vector<uint32_t> m_stages; // permille of new sessions, rising
  uint32_t m_stage = 0;           // index into m_stages
  RolloutState m_state = RolloutState::Running;
  uint32_t m_maxExposed = 50; // requests before a verdict in the first stage
  std::string m_reason;
  // Revision at which the control process first saw the roll-out; tells it from
  // another roll-out with the same versions. 0 until then.
  uint64_t m_started = 0;
};

struct Catalog
{
  uint64_t m_revision = 0;
  std::map<std::string, Team, std::less<>> m_teams;
  std::map<std::string, Model, std::less<>> m_models;
  std::map<std::string, Version, std::less<>> m_versions;
  std::map<std::string, Service, std::less<>> m_services;
  std::map<std::string, UpstreamRule, std::less<>> m_upstreamRules;
  std::map<std::string, Rollout, std::less<>> m_rollouts;
  std::set<std::string, std::less<>> m_domainsOut;
  std::set<std::string, std::less<>> m_versionsOut;
  std::set<std::string, std::less<>> m_upstreamsOut;
  std::set<uint64_t> m_quarantined;                   // request fingerprints
  std::map<std::string, std::string> m_teamByKeyHash; // key hash to team id

  // These return null when there is no such entry.
  const Team* FindTeam(std::string_view aId) const;
  const Model* FindModel(std::string_view aId) const;
  const Version* FindVersion(std::string_view aId) const;
  const Service* FindService(std::string_view aId) const;
  const Rollout* FindRollout(std::string_view aModel) const;
  const UpstreamRule* RuleForVersion(std::string_view aVersion) const;
  const UpstreamRule* RuleForService(std::string_view aService) const;
  // The team that owns a caller key, or null. Hashes the key first, so that the
  // time of the look-up does not reveal how much of a guessed key is right.
  const Team* TeamOfKey(std::string_view aCallerKey) const;
};

using Pointer = std::shared_ptr<const Catalog>;

// Key to JSON text, as the configuration group holds it.
using Entries = std::map<std::string, std::string, std::less<>>;

// An error in one entry; m_path is like "team/sales: limits.concurrency".
struct EntryError
{
  std::string m_path;
  std::string m_problem;
};

// Builds and validates a catalogue. Appends all errors of all entries to
// aErrors, and returns null when aErrors is not empty.
Pointer
Build(const Entries& aEntries,
      uint64_t aRevision,
      std::vector<EntryError>& aErrors);

// True for keys that operators may put or remove in a catalogue change.
bool
IsOperatorKey(std::string_view aKey);
// True for keys that only the control process itself writes.
bool
IsSystemKey(std::string_view aKey);
// True for keys that take something out of service.
bool
IsOutOfServiceKey(std::string_view aKey);

// --- Rules, applied by entry processes and again by agents -----------------

// NotAllowed, UnknownModel or VersionWithdrawn; OK when aTeam may run aVersion
// now.
absl::Status
CheckVersionAllowed(const Catalog& aCatalog,
                    std::string_view aTeam,
                    std::string_view aVersion);

// NotAllowed or UnknownRoute; OK when aTeam may call aService.
absl::Status
CheckServiceAllowed(const Catalog& aCatalog,
                    std::string_view aTeam,
                    std::string_view aService);

// NoUpstream when the upstream or its failure domain is out of service.
absl::Status
CheckInService(const Catalog& aCatalog,
               std::string_view aUpstream,
               std::string_view aFailureDomain);

// The version that a new session of aModel gets: from the model's roll-out,
// whose share is decided by aSessionHash, else the model's version. Empty for
// an unknown model.
std::string
VersionForSession(const Catalog& aCatalog,
                  std::string_view aModel,
                  uint64_t aSessionHash);

// --- For operators' tools ----------------------------------------------------

struct EntryChange
{
  std::string m_key;
  std::string m_before; // empty when added
  std::string m_after;  // empty when removed
};

// The changes that turn aBefore into aAfter, by key. JSON texts that differ
// only in white space or in the order of members are equal.
std::vector<EntryChange>
Diff(const Entries& aBefore, const Entries& aAfter);

// Reads a catalogue file: a JSON object with a member for each entry, by key.
// Invalid when the text is no JSON object.
absl::Status
ParseFile(std::string_view aText, Entries& aEntries);

} // namespace chivefront::catalog
