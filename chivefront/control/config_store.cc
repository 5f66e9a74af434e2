// Applies changes to the configuration, keeps their outcomes, and computes
// deltas and snapshots.
#include "chivefront/control/config_store.h"

#include <algorithm>
#include <memory>

#include "chivefront/base/errors.h"
#include "chivefront/base/ids.h"
#include "chivefront/wire/pack.h"

namespace chivefront::control {
namespace detail {

// A result that asks for a retry never leaves the process, so the wire schema
// has no value for it: it is encoded as a Conflict whose first error is this
// mark.
constexpr const char* kRetryMark = "retry";

// Tells a repeated change from another change that uses the same change id.
uint64_t
ContentHash(const wire::ChangeRequestT& aChange)
{
  uint64_t hash = base::StableHash("change", aChange.expected_revision);
  for (const auto& entry : aChange.entries) {
    hash = base::StableHash(entry->key, hash);
    hash = base::StableHash(entry->value, hash + (entry->removed ? 1 : 0));
  }
  return hash;
}

wire::ChangeReplyT
ReplyOf(const wire::ChangeOutcomeT& aOutcome)
{
  wire::ChangeReplyT reply;
  reply.result = aOutcome.result;
  reply.revision = aOutcome.revision;
  reply.current_revision = aOutcome.current_revision;
  return reply;
}

std::string
EncodeResult(const ChangeResult& aResult)
{
  wire::ChangeReplyT reply = aResult.m_reply;
  if (aResult.m_retry) {
    reply.errors.emplace_back(kRetryMark);
  }
  return wire::Pack<wire::ChangeReply>(reply);
}

bool
MayOmitRevision(const wire::ChangeRequestT& aChange)
{
  return std::all_of(
    aChange.entries.begin(), aChange.entries.end(), [](const auto& aEntry) {
      return catalog::IsOutOfServiceKey(aEntry->key) ||
             catalog::IsSystemKey(aEntry->key);
    });
}

// A roll-out that is done decides the version of new sessions. Refuses its
// removal when new sessions would go back to the model's old version.
void
CheckRemovedRollouts(const catalog::Catalog& aBefore,
                     const catalog::Catalog& aAfter,
                     std::vector<catalog::EntryError>& aErrors)
{
  for (const auto& [id, rollout] : aBefore.m_rollouts) {
    const catalog::Model* model = aAfter.FindModel(id);
    if (rollout.m_state == catalog::RolloutState::Done && model != nullptr &&
        aAfter.FindRollout(id) == nullptr &&
        aAfter.m_versionsOut.count(rollout.m_to) == 0 &&
        model->m_version != rollout.m_to) {
      aErrors.push_back(
        { "rollout/" + id,
          "is done; to remove it, set the model's version to '" + rollout.m_to +
            "' in the same change" });
    }
  }
}

} // namespace detail

std::string
EncodeChange(const wire::ChangeRequestT& aChange, uint64_t aBaseRevision)
{
  wire::ConfigCommandT command;
  command.change = std::make_unique<wire::ChangeRequestT>(aChange);
  command.base_revision = aBaseRevision;
  return wire::Pack<wire::ConfigCommand>(command);
}

absl::StatusOr<ChangeResult>
DecodeOutcome(std::string_view aResult)
{
  ChangeResult result;
  if (!wire::Unpack<wire::ChangeReply>(aResult, result.m_reply)) {
    return base::MakeError(base::ErrorKind::Corrupt, "not a change reply");
  }
  auto& reply = result.m_reply;
  result.m_retry = reply.result == wire::ChangeResult::Conflict &&
                   !reply.errors.empty() &&
                   reply.errors.front() == detail::kRetryMark;
  if (result.m_retry) {
    reply.errors.clear();
  }
  return result;
}

void
ConfigStore::Put(const wire::ConfigEntryT& aEntry)
{
  const auto found = m_values.find(aEntry.key);
  if (found != m_values.end()) {
    auto& keys = m_byRevision[found->second.m_revision];
    keys.erase(aEntry.key);
    if (keys.empty()) {
      m_byRevision.erase(found->second.m_revision);
    }
  }
  if (!aEntry.removed) {
    m_values[aEntry.key] = { aEntry.value, m_revision };
    m_byRevision[m_revision].insert(aEntry.key);
    return;
  }
  if (found == m_values.end()) {
    return;
  }
  m_values.erase(found);
  m_removed.emplace_back(m_revision, aEntry.key);
  if (m_removed.size() > m_bounds.m_maxRemovedKeys) {
    m_historyStart = m_removed.front().first;
    m_removed.pop_front();
  }
}

void
ConfigStore::AddOutcome(wire::ChangeOutcomeT aOutcome)
{
  m_outcomeOrder.push_back(aOutcome.change_id);
  const std::string id = aOutcome.change_id;
  m_outcomes[id] = std::move(aOutcome);
  if (m_outcomeOrder.size() > m_bounds.m_maxOutcomes) {
    m_outcomes.erase(m_outcomeOrder.front());
    m_outcomeOrder.pop_front();
  }
}

ChangeResult
ConfigStore::ApplyChange(const wire::ConfigCommandT& aCommand)
{
  ChangeResult result;
  wire::ChangeReplyT& reply = result.m_reply;
  const wire::ChangeRequestT& change = *aCommand.change;
  const uint64_t hash = detail::ContentHash(change);
  const auto known = m_outcomes.find(change.change_id);
  if (known != m_outcomes.end()) {
    reply = detail::ReplyOf(known->second);
    if (known->second.content_hash != hash) {
      reply.result = wire::ChangeResult::Invalid;
      reply.errors.emplace_back("change_id: was used for another change");
    }
    return result;
  }
  reply.current_revision = m_revision;
  reply.result = wire::ChangeResult::Conflict;
  if (change.expected_revision == 0 && aCommand.base_revision != m_revision) {
    result.m_retry = true;
    return result;
  }
  // A change that was validated against another revision than the current one
  // could make the catalogue invalid.
  if (aCommand.base_revision == m_revision &&
      (change.expected_revision == 0 ||
       change.expected_revision == m_revision)) {
    ++m_revision;
    for (const auto& entry : change.entries) {
      Put(*entry);
    }
    reply.result = wire::ChangeResult::Accepted;
    reply.revision = m_revision;
    reply.current_revision = m_revision;
  }
  wire::ChangeOutcomeT outcome;
  outcome.change_id = change.change_id;
  outcome.content_hash = hash;
  outcome.result = reply.result;
  outcome.revision = reply.revision;
  outcome.current_revision = reply.current_revision;
  AddOutcome(std::move(outcome));
  return result;
}

std::string
ConfigStore::Apply(uint64_t, std::string_view aCommand)
{
  ChangeResult result;
  wire::ConfigCommandT command;
  if (!wire::Unpack<wire::ConfigCommand>(aCommand, command) ||
      !command.change) {
    result.m_reply.result = wire::ChangeResult::Invalid;
    result.m_reply.errors.emplace_back("not a configuration command");
    return detail::EncodeResult(result);
  }
  const std::lock_guard lock(m_lock);
  return detail::EncodeResult(ApplyChange(command));
}

uint64_t
ConfigStore::Revision() const
{
  const std::lock_guard lock(m_lock);
  return m_revision;
}

catalog::Entries
ConfigStore::Entries() const
{
  const std::lock_guard lock(m_lock);
  return CopyEntries();
}

catalog::Entries
ConfigStore::CopyEntries() const
{
  catalog::Entries entries;
  for (const auto& [key, value] : m_values) {
    entries.emplace_hint(entries.end(), key, value.m_text);
  }
  return entries;
}

catalog::Pointer
ConfigStore::Catalog() const
{
  catalog::Entries entries;
  uint64_t revision = 0;
  {
    const std::lock_guard lock(m_lock);
    if (m_catalog && m_catalog->m_revision == m_revision) {
      return m_catalog;
    }
    revision = m_revision;
    entries = CopyEntries();
  }
  std::vector<catalog::EntryError> errors;
  catalog::Pointer built = catalog::Build(entries, revision, errors);
  const std::lock_guard lock(m_lock);
  m_catalog = built;
  return built;
}

std::string
ConfigStore::TextOf(const std::string& aKey) const
{
  const std::lock_guard lock(m_lock);
  const auto found = m_values.find(aKey);
  return found == m_values.end() ? std::string() : found->second.m_text;
}

Delta
ConfigStore::Since(uint64_t aRevision) const
{
  const std::lock_guard lock(m_lock);
  Delta delta;
  delta.m_revision = m_revision;
  delta.m_snapshot = aRevision < m_historyStart || aRevision > m_revision;
  const uint64_t after = delta.m_snapshot ? 0 : aRevision;
  const auto add =
    [&delta](std::string aKey, std::string aText, bool aRemoved, uint64_t aAt) {
      wire::ConfigEntryT entry;
      entry.key = std::move(aKey);
      entry.value = std::move(aText);
      entry.removed = aRemoved;
      entry.revision = aAt;
      delta.m_entries.push_back(std::move(entry));
    };
  if (!delta.m_snapshot) {
    for (auto row = m_removed.rbegin();
         row != m_removed.rend() && row->first > after;
         ++row) {
      // A key that was put again after its removal is added with the values
      // below.
      if (m_values.count(row->second) == 0) {
        add(row->second, {}, true, row->first);
      }
    }
  }
  for (auto row = m_byRevision.upper_bound(after); row != m_byRevision.end();
       ++row) {
    for (const std::string& key : row->second) {
      add(key, m_values.find(key)->second.m_text, false, row->first);
    }
  }
  return delta;
}

std::optional<wire::ChangeReplyT>
ConfigStore::OutcomeOf(const std::string& aId) const
{
  const std::lock_guard lock(m_lock);
  const auto known = m_outcomes.find(aId);
  if (known == m_outcomes.end()) {
    return std::nullopt;
  }
  return detail::ReplyOf(known->second);
}

size_t
ConfigStore::OutcomeCount() const
{
  const std::lock_guard lock(m_lock);
  return m_outcomes.size();
}

std::vector<std::string>
ConfigStore::Validate(const wire::ChangeRequestT& aChange,
                      Proposer aProposer,
                      uint64_t& aBaseRevision) const
{
  std::vector<std::string> errors;
  size_t bytes = 0;
  std::set<std::string> seen;
  for (const auto& entry : aChange.entries) {
    bytes += entry->key.size() + entry->value.size();
    if (!seen.insert(entry->key).second) {
      errors.push_back(entry->key + ": appears twice");
    }
    // Operators may remove system keys, but not put them.
    if (aProposer == Proposer::Operator && catalog::IsSystemKey(entry->key) &&
        !entry->removed) {
      errors.push_back(entry->key + ": is written by the system only");
    }
  }
  if (aChange.change_id.empty()) {
    errors.emplace_back("change_id: must not be empty");
  }
  if (aChange.entries.empty()) {
    errors.emplace_back("entries: must not be empty");
  }
  if (aChange.entries.size() > m_bounds.m_maxEntriesPerChange ||
      bytes > m_bounds.m_maxBytesPerChange) {
    errors.emplace_back("entries: too many for one change");
  }
  if (aChange.expected_revision == 0 && !detail::MayOmitRevision(aChange)) {
    errors.emplace_back("expected_revision: 0 is allowed for out-of-service "
                        "and system keys only");
  }
  catalog::Entries entries;
  {
    const std::lock_guard lock(m_lock);
    aBaseRevision = m_revision;
    entries = CopyEntries();
  }
  for (const auto& entry : aChange.entries) {
    if (entry->removed) {
      entries.erase(entry->key);
    } else {
      entries[entry->key] = entry->value;
    }
  }
  std::vector<catalog::EntryError> problems;
  const catalog::Pointer after =
    catalog::Build(entries, aBaseRevision + 1, problems);
  if (const catalog::Pointer before = Catalog(); before && after) {
    detail::CheckRemovedRollouts(*before, *after, problems);
  }
  for (const catalog::EntryError& problem : problems) {
    errors.push_back(problem.m_path + ": " + problem.m_problem);
  }
  return errors;
}

std::string
ConfigStore::TakeSnapshot() const
{
  const std::lock_guard lock(m_lock);
  wire::ConfigSnapshotT snapshot;
  snapshot.revision = m_revision;
  snapshot.history_start = m_historyStart;
  for (const auto& [key, value] : m_values) {
    auto entry = std::make_unique<wire::ConfigEntryT>();
    entry->key = key;
    entry->value = value.m_text;
    entry->revision = value.m_revision;
    snapshot.entries.push_back(std::move(entry));
  }
  for (const auto& [revision, key] : m_removed) {
    auto entry = std::make_unique<wire::ConfigEntryT>();
    entry->key = key;
    entry->removed = true;
    entry->revision = revision;
    snapshot.entries.push_back(std::move(entry));
  }
  for (const std::string& id : m_outcomeOrder) {
    snapshot.outcomes.push_back(
      std::make_unique<wire::ChangeOutcomeT>(m_outcomes.at(id)));
  }
  return wire::Pack<wire::ConfigSnapshot>(snapshot);
}

absl::Status
ConfigStore::Restore(std::string_view aSnapshot)
{
  wire::ConfigSnapshotT snapshot;
  if (!wire::Unpack<wire::ConfigSnapshot>(aSnapshot, snapshot)) {
    return base::MakeError(base::ErrorKind::Corrupt,
                           "not a configuration snapshot");
  }
  const std::lock_guard lock(m_lock);
  m_values.clear();
  m_byRevision.clear();
  m_removed.clear();
  m_outcomes.clear();
  m_outcomeOrder.clear();
  m_catalog = nullptr;
  m_revision = snapshot.revision;
  m_historyStart = snapshot.history_start;
  for (const auto& entry : snapshot.entries) {
    if (entry->removed) {
      m_removed.emplace_back(entry->revision, entry->key);
    } else {
      m_values[entry->key] = { entry->value, entry->revision };
      m_byRevision[entry->revision].insert(entry->key);
    }
  }
  for (const auto& outcome : snapshot.outcomes) {
    AddOutcome(*outcome);
  }
  return absl::OkStatus();
}

} // namespace chivefront::control
