// The state machine of the configuration group: an ordered map from key to
// JSON text, a revision, and the outcomes of recent changes.
//
//   control::ConfigStore store;             // handed to consensus group 0
//   auto errors = store.Validate(change);   // before a proposal
//   group.Propose(store.Encode(change), ...);
//   auto reply = control::DecodeOutcome(result);
//   control::Delta delta = store.Since(revision);
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "chivefront/catalog/catalog.h"
#include "chivefront/consensus/group.h"
#include "chivefront/wire/protocol_generated.hpp"
#include "chivefront/wire/state_generated.hpp"

namespace chivefront::control {

struct ConfigBounds
{
  // A change id is recognised while it is among the last this many; at 24,000
  // changes a day that is more than two and a half days.
  size_t m_maxOutcomes = 65536;
  // Removed keys that are remembered for deltas. A watcher whose revision is
  // older than the oldest of them gets a snapshot.
  size_t m_maxRemovedKeys = 4096;
  size_t m_maxEntriesPerChange = 10000;
  size_t m_maxBytesPerChange = 4UL * 1024 * 1024;
};

// What turns one revision of the configuration into the current one.
struct Delta
{
  uint64_t m_revision = 0;
  bool m_snapshot = false; // replaces everything the receiver holds
  std::vector<wire::ConfigEntryT> m_entries;
};

// Who proposes a change; decides which keys it may hold.
enum class Proposer
{
  Operator,
  System,
};

// The result of a change in the result of ConfigStore::Apply. Internal retry:
// the change named no revision and the configuration moved on since it was
// validated; validate and propose it again.
struct ChangeResult
{
  bool m_retry = false;
  wire::ChangeReplyT m_reply;
};

absl::StatusOr<ChangeResult>
DecodeOutcome(std::string_view aResult);

class ConfigStore final : public consensus::StateMachine
{
public:
  explicit ConfigStore(ConfigBounds aBounds = {})
    : m_bounds(aBounds)
  {
  }

  std::string Apply(uint64_t aIndex, std::string_view aCommand) override;
  std::string TakeSnapshot() const override;
  absl::Status Restore(std::string_view aSnapshot) override;

  // Thread-safe readers.

  uint64_t Revision() const;
  catalog::Entries Entries() const;
  // The catalogue of the current revision. Every committed configuration is
  // valid, so this is null only after a change of the rules between releases.
  catalog::Pointer Catalog() const;
  // The JSON text of a key; empty when it is absent.
  std::string TextOf(const std::string& aKey) const;
  Delta Since(uint64_t aRevision) const;
  // The first outcome of a change id that is still remembered.
  std::optional<wire::ChangeReplyT> OutcomeOf(const std::string& aId) const;
  size_t OutcomeCount() const;

  // Everything that is wrong with aChange against the current configuration,
  // each with its path; empty when it may be proposed. aBaseRevision receives
  // the revision it was checked against. Whether the expected revision is
  // current is left to Apply.
  std::vector<std::string> Validate(const wire::ChangeRequestT& aChange,
                                    Proposer aProposer,
                                    uint64_t& aBaseRevision) const;

private:
  struct Value
  {
    std::string m_text;
    uint64_t m_revision = 0; // that put it
  };

  // Call these with m_lock held.
  catalog::Entries CopyEntries() const;
  void Put(const wire::ConfigEntryT& aEntry);
  ChangeResult ApplyChange(const wire::ConfigCommandT& aCommand);
  void AddOutcome(wire::ChangeOutcomeT aOutcome);

  const ConfigBounds m_bounds;
  mutable std::mutex m_lock; // guards what follows
  // Starts at 1, because an expected revision of 0 means any.
  uint64_t m_revision = 1;
  std::map<std::string, Value, std::less<>> m_values;
  std::map<uint64_t, std::set<std::string>> m_byRevision; // of m_values
  // Removals, oldest first, as (revision, key).
  std::deque<std::pair<uint64_t, std::string>> m_removed;
  // Deltas are complete for watchers at this revision or later.
  uint64_t m_historyStart = 0;
  std::map<std::string, wire::ChangeOutcomeT> m_outcomes;
  std::deque<std::string> m_outcomeOrder; // keys of m_outcomes, oldest first
  // Built on demand; valid while its revision is m_revision.
  mutable catalog::Pointer m_catalog;
};

// The log entry for aChange, validated against aBaseRevision.
std::string
EncodeChange(const wire::ChangeRequestT& aChange, uint64_t aBaseRevision);

} // namespace chivefront::control
