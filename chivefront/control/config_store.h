// The state machine of the configuration group: an ordered map from key to
// JSON text, a revision, and the outcomes of recent changes.
//
//   control::ConfigStore store;   // the state machine of consensus group 0
//   uint64_t base = 0;
//   auto errors = store.Validate(change, proposer, base);   // at the leader
//   group.Propose(control::EncodeChange(change, base), ...);
//   auto result = control::DecodeOutcome(applyResult);
//   control::Delta delta = store.Since(revision);           // for a watcher
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
  // Outcomes of recent changes that are kept, so that a repeated change id is
  // recognised. At 24,000 changes a day they reach back more than two and a
  // half days.
  size_t m_maxOutcomes = 65536;
  // Removed keys that are kept for deltas. A watcher whose revision is older
  // than the oldest kept removal gets a snapshot.
  size_t m_maxRemovedKeys = 4096;
  size_t m_maxEntriesPerChange = 10000;
  size_t m_maxBytesPerChange = 4UL * 1024 * 1024;
};

// The entries that bring a watcher from an earlier revision to the current one.
struct Delta
{
  uint64_t m_revision = 0;
  bool m_snapshot = false; // replaces everything the receiver holds
  std::vector<wire::ConfigEntryT> m_entries;
};

// Who proposes a change. Only the system may put system keys; an operator may
// remove them.
enum class Proposer
{
  Operator,
  System,
};

// The decoded result of ConfigStore::Apply.
struct ChangeResult
{
  // The change named no expected revision, and the configuration changed after
  // the change was validated: the leader validates and proposes it again. Such
  // a result is not stored as the outcome of the change.
  bool m_retry = false;
  wire::ChangeReplyT m_reply;
};

// Corrupt when aResult is not a result of ConfigStore::Apply.
absl::StatusOr<ChangeResult>
DecodeOutcome(std::string_view aResult);

// Thread-safe. The group's thread calls Apply, TakeSnapshot and Restore.
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

  uint64_t Revision() const;
  catalog::Entries Entries() const;
  // The catalogue of the current revision. Every change is validated before it
  // is committed, so the catalogue is null only when this release refuses
  // entries that an earlier release accepted.
  catalog::Pointer Catalog() const;
  // The JSON text of a key; empty when it is absent.
  std::string TextOf(const std::string& aKey) const;
  // What a watcher at aRevision lacks; a snapshot when the kept removals do not
  // reach back to aRevision.
  Delta Since(uint64_t aRevision) const;
  // The stored outcome of a change id; empty when the id is unknown or its
  // outcome has been dropped.
  std::optional<wire::ChangeReplyT> OutcomeOf(const std::string& aId) const;
  size_t OutcomeCount() const;

  // All errors of aChange against the current configuration, each with its
  // path; empty when the change may be proposed. aBaseRevision receives the
  // revision that the change was checked against. Apply checks whether the
  // expected revision is current.
  std::vector<std::string> Validate(const wire::ChangeRequestT& aChange,
                                    Proposer aProposer,
                                    uint64_t& aBaseRevision) const;

private:
  struct Value
  {
    std::string m_text;
    uint64_t m_revision = 0; // of the change that put the text
  };

  // The caller of these functions holds m_lock.
  catalog::Entries CopyEntries() const;
  void Put(const wire::ConfigEntryT& aEntry);
  ChangeResult ApplyChange(const wire::ConfigCommandT& aCommand);
  void AddOutcome(wire::ChangeOutcomeT aOutcome);

  const ConfigBounds m_bounds;
  mutable std::mutex m_lock; // guards all members below
  // Starts at 1, because an expected revision of 0 stands for any revision.
  uint64_t m_revision = 1;
  std::map<std::string, Value, std::less<>> m_values;
  // The keys of m_values by the revision that put them.
  std::map<uint64_t, std::set<std::string>> m_byRevision;
  // Removals, oldest first, as (revision, key).
  std::deque<std::pair<uint64_t, std::string>> m_removed;
  // Deltas are complete for watchers at this revision or later.
  uint64_t m_historyStart = 0;
  std::map<std::string, wire::ChangeOutcomeT> m_outcomes;
  std::deque<std::string> m_outcomeOrder; // keys of m_outcomes, oldest first
  // Cache of Catalog(); valid while its revision is m_revision.
  mutable catalog::Pointer m_catalog;
};

// The log entry that proposes aChange, which was validated against
// aBaseRevision.
std::string
EncodeChange(const wire::ChangeRequestT& aChange, uint64_t aBaseRevision);

} // namespace chivefront::control
