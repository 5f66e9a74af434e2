// Segments, recovery and snapshots on disk.
#include "chivefront/consensus/store.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>

#include "chivefront/base/errors.h"
#include "chivefront/base/log.h"

namespace chivefront::consensus {
namespace {

constexpr std::string_view kIdentity = "identity";
constexpr std::string_view kLogPrefix = "log-";
constexpr std::string_view kSnapshotPrefix = "snapshot-";
constexpr std::string_view kTemporary = ".tmp";
constexpr int kHexadecimal = 16;

std::string
Numbered(std::string_view aPrefix, uint64_t aNumber)
{
  char digits[kHexadecimal + 1];
  std::snprintf(digits,
                sizeof(digits),
                "%016llx",
                static_cast<unsigned long long>(aNumber));
  return std::string(aPrefix) + digits;
}

uint64_t
NumberOf(std::string_view aPrefix, const std::string& aName)
{
  return std::strtoull(aName.c_str() + aPrefix.size(), nullptr, kHexadecimal);
}

std::vector<std::string>
WithPrefix(std::string_view aPrefix, const std::vector<std::string>& aNames)
{
  std::vector<std::string> found;
  for (const std::string& name : aNames) {
    if (name.starts_with(aPrefix) && !name.ends_with(kTemporary)) {
      found.push_back(name);
    }
  }
  return found;
}

absl::Status
Corrupt(const std::string& aFile, std::string_view aWhy)
{
  return base::MakeError(base::ErrorKind::Corrupt,
                         aFile + ": " + std::string(aWhy));
}

LogRecord
Header(uint64_t aSegment,
       uint64_t aBaseIndex,
       uint64_t aBaseTerm,
       const HardState& aHard)
{
  return LogRecord{ true, aSegment, aBaseIndex, aBaseTerm, false, aHard, {} };
}

uint64_t
LastIndex(const StoredState& aState)
{
  return aState.m_baseIndex + aState.m_entries.size();
}

uint64_t
TermAt(const StoredState& aState, uint64_t aIndex)
{
  return aIndex == aState.m_baseIndex
           ? aState.m_baseTerm
           : aState.m_entries[aIndex - aState.m_baseIndex - 1].m_term;
}

// Takes over one record; false when it does not continue the state.
bool
Replay(LogRecord aRecord, bool aFirstSegment, StoredState& aState)
{
  aState.m_hard = aRecord.m_hard;
  if (aRecord.m_header) {
    // A header from before the state's base replaces all entries; the segments
    // between are left over from a removal that a crash cut short.
    if (aFirstSegment || aRecord.m_reset ||
        aRecord.m_baseIndex < aState.m_baseIndex) {
      aState.m_baseIndex = aRecord.m_baseIndex;
      aState.m_baseTerm = aRecord.m_baseTerm;
      aState.m_entries.clear();
    } else if (aRecord.m_baseIndex > LastIndex(aState) ||
               TermAt(aState, aRecord.m_baseIndex) != aRecord.m_baseTerm) {
      return false;
    }
    aState.m_entries.resize(aRecord.m_baseIndex - aState.m_baseIndex);
  }
  if (aRecord.m_entries.empty()) {
    return true;
  }
  if (aRecord.m_entries.front().m_index != LastIndex(aState) + 1) {
    return false;
  }
  std::move(aRecord.m_entries.begin(),
            aRecord.m_entries.end(),
            std::back_inserter(aState.m_entries));
  return true;
}

} // namespace

Store::Store(Disk& aDisk, size_t aSegmentBytes)
  : m_disk(aDisk)
  , m_segmentBytes(aSegmentBytes)
{
}

absl::Status
Store::Keep(absl::Status aStatus)
{
  if (!aStatus.ok() && m_failed.ok()) {
    m_failed = aStatus;
  }
  return aStatus;
}

absl::Status
Store::WriteWhole(const std::string& aName, std::string_view aBytes)
{
  const std::string temporary = aName + std::string(kTemporary);
  absl::Status status = m_disk.Append(temporary, FrameRecord(aBytes));
  if (status.ok()) {
    status = m_disk.SyncFile(temporary);
  }
  if (status.ok()) {
    status = m_disk.Rename(temporary, aName);
  }
  return status.ok() ? m_disk.SyncFolder() : status;
}

// Creates the next segment; its header may already carry entries.
absl::Status
Store::StartSegment(const LogRecord& aHeader)
{
  const std::string name = Numbered(kLogPrefix, aHeader.m_segment);
  const std::string bytes = FrameRecord(EncodeRecord(aHeader));
  absl::Status status = m_disk.Append(name, bytes);
  if (status.ok()) {
    status = m_disk.SyncFile(name);
  }
  if (status.ok()) {
    status = m_disk.SyncFolder();
  }
  m_segments.push_back({ aHeader.m_segment, aHeader.m_baseIndex });
  m_size = bytes.size();
  return status;
}

absl::StatusOr<StoredState>
Store::Open(uint64_t aNewIdentity)
{
  auto names = m_disk.List();
  if (!names.ok()) {
    return Keep(names.status());
  }
  for (const std::string& name : *names) {
    if (name.ends_with(kTemporary)) {
      if (auto status = m_disk.Remove(name); !status.ok()) {
        return Keep(status);
      }
    }
  }
  StoredState state;
  if (std::find(names->begin(), names->end(), kIdentity) == names->end()) {
    if (auto status = SetUp(aNewIdentity, *names); !status.ok()) {
      return Keep(status);
    }
    state.m_identity = aNewIdentity;
    return state;
  }
  auto identity = m_disk.Read(std::string(kIdentity));
  if (!identity.ok()) {
    return Keep(identity.status());
  }
  const auto digits = UnframeRecord(*identity);
  if (!digits) {
    return Keep(Corrupt(std::string(kIdentity), "damaged"));
  }
  state.m_identity =
    std::strtoull(std::string(*digits).c_str(), nullptr, kHexadecimal);
  absl::Status status = ReadSegments(WithPrefix(kLogPrefix, *names), state);
  if (status.ok()) {
    status = ReadSnapshot(WithPrefix(kSnapshotPrefix, *names), state);
  }
  if (status.ok()) {
    status = Reconcile(state);
  }
  if (!status.ok()) {
    return Keep(status);
  }
  return state;
}

// The first segment is written before the identity, so that a folder with an
// identity and no segment has lost its log.
absl::Status
Store::SetUp(uint64_t aNewIdentity, const std::vector<std::string>& aFiles)
{
  if (!WithPrefix(kSnapshotPrefix, aFiles).empty()) {
    return Corrupt(std::string(kIdentity), "missing beside a snapshot");
  }
  for (const std::string& name : WithPrefix(kLogPrefix, aFiles)) {
    auto bytes = m_disk.Read(name);
    if (!bytes.ok()) {
      return bytes.status();
    }
    // Only the header of an interrupted set-up may be there.
    const auto payload = UnframeRecord(*bytes);
    if (NumberOf(kLogPrefix, name) != 1 ||
        (payload && bytes->size() > kRecordHeaderBytes + payload->size())) {
      return Corrupt(std::string(kIdentity), "missing beside a log");
    }
    if (auto status = m_disk.Remove(name); !status.ok()) {
      return status;
    }
  }
  absl::Status status = StartSegment(Header(1, 0, 0, HardState()));
  return status.ok()
           ? WriteWhole(std::string(kIdentity), Numbered("", aNewIdentity))
           : status;
}

absl::Status
Store::ReadSegments(const std::vector<std::string>& aNames, StoredState& aState)
{
  if (aNames.empty()) {
    return Corrupt("log", "no segment");
  }
  for (const std::string& name : aNames) {
    auto bytes = m_disk.Read(name);
    if (!bytes.ok()) {
      return bytes.status();
    }
    const uint64_t number = NumberOf(kLogPrefix, name);
    if (!m_segments.empty() && number != m_segments.back().m_number + 1) {
      return Corrupt(name, "the segment before it is missing");
    }
    const bool last = &name == &aNames.back();
    if (auto status = ReadSegment(number, *bytes, last, aState); !status.ok()) {
      return status;
    }
  }
  return absl::OkStatus();
}

absl::Status
Store::ReadSegment(uint64_t aNumber,
                   std::string_view aBytes,
                   bool aLast,
                   StoredState& aState)
{
  const std::string name = Numbered(kLogPrefix, aNumber);
  size_t at = 0;
  while (at < aBytes.size()) {
    const auto payload = UnframeRecord(aBytes.substr(at));
    if (!payload) {
      break;
    }
    auto record = DecodeRecord(*payload);
    if (!record || record->m_header != (at == 0) ||
        record->m_segment != aNumber) {
      return Corrupt(name, "unexpected record");
    }
    const uint64_t base = record->m_baseIndex;
    if (!Replay(std::move(*record), m_segments.empty(), aState)) {
      return Corrupt(name, "record does not continue the log");
    }
    if (at == 0) {
      m_segments.push_back({ aNumber, base });
    }
    at += kRecordHeaderBytes + payload->size();
  }
  if (at < aBytes.size() || at == 0) {
    if (!aLast || HoldsRecord(aBytes.substr(at))) {
      return Corrupt(name, "damaged before its end");
    }
    return DropTail(aNumber, at);
  }
  m_size = at;
  return absl::OkStatus();
}

// Removes an unfinished write from the end of the last segment.
absl::Status
Store::DropTail(uint64_t aNumber, size_t aIntact)
{
  const std::string name = Numbered(kLogPrefix, aNumber);
  base::LogWarning("consensus",
                   "dropped an unfinished write at the end of the log",
                   { { "file", name } });
  m_size = aIntact;
  if (aIntact > 0) {
    const absl::Status status = m_disk.Truncate(name, aIntact);
    return status.ok() ? m_disk.SyncFile(name) : status;
  }
  if (m_segments.empty()) {
    return Corrupt(name, "the only segment is damaged");
  }
  // The next write starts a new segment, since the size of the previous one
  // is not known here.
  m_size = m_segmentBytes + 1;
  const absl::Status status = m_disk.Remove(name);
  return status.ok() ? m_disk.SyncFolder() : status;
}

absl::Status
Store::ReadSnapshot(const std::vector<std::string>& aNames, StoredState& aState)
{
  if (aNames.empty()) {
    return absl::OkStatus();
  }
  auto bytes = m_disk.Read(aNames.back());
  if (!bytes.ok()) {
    return bytes.status();
  }
  const auto payload = UnframeRecord(*bytes);
  auto snapshot = payload ? DecodeSnapshot(*payload) : std::nullopt;
  if (!snapshot ||
      Numbered(kSnapshotPrefix, snapshot->m_index) != aNames.back()) {
    return Corrupt(aNames.back(), "damaged");
  }
  m_snapshotIndex = snapshot->m_index;
  aState.m_snapshot = std::make_shared<const Snapshot>(std::move(*snapshot));
  for (const std::string& name : aNames) {
    if (name != aNames.back()) {
      if (auto status = m_disk.Remove(name); !status.ok()) {
        return status;
      }
    }
  }
  return absl::OkStatus();
}

// Brings log and snapshot together after a crash between their writes.
absl::Status
Store::Reconcile(StoredState& aState)
{
  const uint64_t covered = aState.m_snapshot ? aState.m_snapshot->m_index : 0;
  if (covered < aState.m_baseIndex) {
    return Corrupt("snapshot", "missing, but the log does not start at 1");
  }
  m_lastIndex = LastIndex(aState);
  m_lastTerm = TermAt(aState, m_lastIndex);
  if (covered == 0 || (covered <= m_lastIndex &&
                       TermAt(aState, covered) == aState.m_snapshot->m_term)) {
    return absl::OkStatus();
  }
  aState.m_baseIndex = covered;
  aState.m_baseTerm = aState.m_snapshot->m_term;
  aState.m_entries.clear();
  return Install(*aState.m_snapshot, aState.m_hard);
}

absl::Status
Store::Save(const HardState& aHard,
            std::vector<Entry> aEntries,
            uint64_t aTermBefore)
{
  if (!m_failed.ok()) {
    return m_failed;
  }
  const bool conflict =
    !aEntries.empty() && aEntries.front().m_index != m_lastIndex + 1;
  const uint64_t base = conflict ? aEntries.front().m_index - 1 : m_lastIndex;
  const uint64_t baseTerm = conflict ? aTermBefore : m_lastTerm;
  if (!aEntries.empty()) {
    m_lastIndex = aEntries.back().m_index;
    m_lastTerm = aEntries.back().m_term;
  }
  LogRecord record;
  record.m_segment = m_segments.back().m_number;
  record.m_hard = aHard;
  record.m_entries = std::move(aEntries);
  if (conflict || m_size > m_segmentBytes) {
    record.m_header = true;
    record.m_baseIndex = base;
    record.m_baseTerm = baseTerm;
    ++record.m_segment;
    return Keep(StartSegment(record));
  }
  const std::string name = Numbered(kLogPrefix, record.m_segment);
  const std::string bytes = FrameRecord(EncodeRecord(record));
  m_size += bytes.size();
  const absl::Status status = m_disk.Append(name, bytes);
  return Keep(status.ok() ? m_disk.SyncFile(name) : status);
}

absl::Status
Store::SaveSnapshot(const Snapshot& aSnapshot)
{
  if (!m_failed.ok()) {
    return m_failed;
  }
  absl::Status status = WriteWhole(Numbered(kSnapshotPrefix, aSnapshot.m_index),
                                   EncodeSnapshot(aSnapshot));
  if (status.ok() && m_snapshotIndex != 0 &&
      m_snapshotIndex != aSnapshot.m_index) {
    status = m_disk.Remove(Numbered(kSnapshotPrefix, m_snapshotIndex));
  }
  m_snapshotIndex = aSnapshot.m_index;
  return Keep(status);
}

absl::Status
Store::Install(const Snapshot& aSnapshot, const HardState& aHard)
{
  absl::Status status =
    aSnapshot.m_index == m_snapshotIndex ? m_failed : SaveSnapshot(aSnapshot);
  if (!status.ok()) {
    return status;
  }
  LogRecord header = Header(
    m_segments.back().m_number + 1, aSnapshot.m_index, aSnapshot.m_term, aHard);
  header.m_reset = true;
  m_lastIndex = aSnapshot.m_index;
  m_lastTerm = aSnapshot.m_term;
  status = StartSegment(header);
  return status.ok() ? DropPrefix(aSnapshot.m_index) : Keep(status);
}

absl::Status
Store::DropPrefix(uint64_t aIndex)
{
  if (!m_failed.ok()) {
    return m_failed;
  }
  // Bases don't always rise: a segment that replaces conflicting entries starts
  // before the end of earlier ones. The last one that starts at or before
  // aIndex holds or precedes everything that is still needed.
  size_t first = m_segments.size() - 1;
  while (first > 0 && m_segments[first].m_base > aIndex) {
    --first;
  }
  for (; first > 0; --first) {
    const std::string name = Numbered(kLogPrefix, m_segments.front().m_number);
    absl::Status status = m_disk.Remove(name);
    if (status.ok()) {
      // A later removal must not become durable before this one: the gap would
      // be taken for a lost segment.
      status = m_disk.SyncFolder();
    }
    if (!status.ok()) {
      return Keep(status);
    }
    m_segments.pop_front();
  }
  return absl::OkStatus();
}

} // namespace chivefront::consensus
