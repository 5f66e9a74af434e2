// Log segments, snapshots and recovery.
#include "chivefront/consensus/store.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>

#include "chivefront/base/errors.h"
#include "chivefront/base/log.h"

namespace chivefront::consensus {
namespace {

constexpr std::string_view kIdentityFile = "identity";
constexpr std::string_view kLogPrefix = "log-";
constexpr std::string_view kSnapshotPrefix = "snapshot-";
constexpr std::string_view kTemporarySuffix = ".tmp";
constexpr std::string_view kSpaceCheckFile = "space.tmp";
// Bytes that must be free before a folder is used again after its disk was
// full. Many records, or a usual document.
constexpr size_t kSpaceCheckBytes = 64 * 1024;
// Base of the numbers in file names, and also their number of digits.
constexpr int kHexadecimal = 16;

std::string
NumberedName(std::string_view aPrefix, uint64_t aNumber)
{
  char digits[kHexadecimal + 1];
  std::snprintf(digits,
                sizeof(digits),
                "%016llx",
                static_cast<unsigned long long>(aNumber));
  return std::string(aPrefix) + digits;
}

uint64_t
ParseNumber(std::string_view aPrefix, const std::string& aName)
{
  return std::strtoull(aName.c_str() + aPrefix.size(), nullptr, kHexadecimal);
}

std::vector<std::string>
FilterByPrefix(std::string_view aPrefix, const std::vector<std::string>& aNames)
{
  std::vector<std::string> found;
  for (const std::string& name : aNames) {
    if (name.starts_with(aPrefix) && !name.ends_with(kTemporarySuffix)) {
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
SegmentHeader(uint64_t aSegment,
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

// Applies a record to the state. Returns false when the record does not
// continue the log.
bool
ReplayRecord(LogRecord aRecord, bool aFirstSegment, StoredState& aState)
{
  aState.m_hardState = aRecord.m_hardState;
  if (aRecord.m_header) {
    // A segment that replaced conflicting entries may start before the base of
    // the oldest remaining segment. It then replaces all entries.
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
Store::CheckSpace(Disk& aDisk)
{
  if (const auto names = aDisk.List(); !names.ok()) {
    return names.status();
  }
  const std::string file(kSpaceCheckFile);
  const absl::Status written =
    aDisk.Append(file, std::string(kSpaceCheckBytes, '\0'));
  const absl::Status removed = aDisk.Remove(file);
  return written.ok() ? removed : written;
}

absl::Status
Store::RecordFailure(absl::Status aStatus)
{
  if (!aStatus.ok() && m_firstFailure.ok()) {
    m_firstFailure = aStatus;
  }
  return aStatus;
}

absl::Status
Store::WriteFileAtomically(const std::string& aName, std::string_view aBytes)
{
  const std::string temporary = aName + std::string(kTemporarySuffix);
  absl::Status status = m_disk.Append(temporary, FrameRecord(aBytes));
  if (status.ok()) {
    status = m_disk.SyncFile(temporary);
  }
  if (status.ok()) {
    status = m_disk.Rename(temporary, aName);
  }
  return status.ok() ? m_disk.SyncFolder() : status;
}

// Creates the segment of the header record, which may already have entries.
absl::Status
Store::StartSegment(const LogRecord& aHeader)
{
  const std::string name = NumberedName(kLogPrefix, aHeader.m_segment);
  const std::string bytes = FrameRecord(EncodeRecord(aHeader));
  absl::Status status = m_disk.Append(name, bytes);
  if (status.ok()) {
    status = m_disk.SyncFile(name);
  }
  if (status.ok()) {
    status = m_disk.SyncFolder();
  }
  m_segments.push_back({ aHeader.m_segment, aHeader.m_baseIndex });
  m_openSegmentBytes = bytes.size();
  return status;
}

absl::StatusOr<StoredState>
Store::Open(uint64_t aNewIdentity)
{
  auto names = m_disk.List();
  if (!names.ok()) {
    return RecordFailure(names.status());
  }
  for (const std::string& name : *names) {
    if (name.ends_with(kTemporarySuffix)) {
      if (auto status = m_disk.Remove(name); !status.ok()) {
        return RecordFailure(status);
      }
    }
  }
  StoredState state;
  if (std::find(names->begin(), names->end(), kIdentityFile) == names->end()) {
    if (auto status = InitializeFolder(aNewIdentity, *names); !status.ok()) {
      return RecordFailure(status);
    }
    state.m_identity = aNewIdentity;
    return state;
  }
  auto identity = m_disk.Read(std::string(kIdentityFile));
  if (!identity.ok()) {
    return RecordFailure(identity.status());
  }
  const auto digits = UnframeRecord(*identity);
  if (!digits) {
    return RecordFailure(Corrupt(std::string(kIdentityFile), "damaged"));
  }
  state.m_identity =
    std::strtoull(std::string(*digits).c_str(), nullptr, kHexadecimal);
  absl::Status status = ReadSegments(FilterByPrefix(kLogPrefix, *names), state);
  if (status.ok()) {
    status = ReadSnapshot(FilterByPrefix(kSnapshotPrefix, *names), state);
  }
  if (status.ok()) {
    status = ReconcileSnapshot(state);
  }
  if (!status.ok()) {
    return RecordFailure(status);
  }
  return state;
}

// The first segment is written before the identity. A folder with an identity
// but without a segment has therefore lost its log.
absl::Status
Store::InitializeFolder(uint64_t aNewIdentity,
                        const std::vector<std::string>& aFiles)
{
  if (!FilterByPrefix(kSnapshotPrefix, aFiles).empty()) {
    return Corrupt(std::string(kIdentityFile),
                   "missing, although there is a snapshot");
  }
  for (const std::string& name : FilterByPrefix(kLogPrefix, aFiles)) {
    auto bytes = m_disk.Read(name);
    if (!bytes.ok()) {
      return bytes.status();
    }
    // An interrupted initialization leaves only the header of the first
    // segment.
    const auto payload = UnframeRecord(*bytes);
    if (ParseNumber(kLogPrefix, name) != 1 ||
        (payload && bytes->size() > kRecordHeaderBytes + payload->size())) {
      return Corrupt(std::string(kIdentityFile),
                     "missing, although there is a log");
    }
    if (auto status = m_disk.Remove(name); !status.ok()) {
      return status;
    }
  }
  absl::Status status = StartSegment(SegmentHeader(1, 0, 0, HardState()));
  return status.ok() ? WriteFileAtomically(std::string(kIdentityFile),
                                           NumberedName("", aNewIdentity))
                     : status;
}

absl::Status
Store::ReadSegments(const std::vector<std::string>& aNames, StoredState& aState)
{
  if (aNames.empty()) {
    return Corrupt("log", "no segment found");
  }
  for (const std::string& name : aNames) {
    auto bytes = m_disk.Read(name);
    if (!bytes.ok()) {
      return bytes.status();
    }
    const uint64_t number = ParseNumber(kLogPrefix, name);
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
                   bool aIsLast,
                   StoredState& aState)
{
  const std::string name = NumberedName(kLogPrefix, aNumber);
  size_t offset = 0;
  while (offset < aBytes.size()) {
    const auto payload = UnframeRecord(aBytes.substr(offset));
    if (!payload) {
      break;
    }
    auto record = DecodeRecord(*payload);
    if (!record || record->m_header != (offset == 0) ||
        record->m_segment != aNumber) {
      return Corrupt(name, "unexpected record");
    }
    const uint64_t base = record->m_baseIndex;
    if (!ReplayRecord(std::move(*record), m_segments.empty(), aState)) {
      return Corrupt(name, "record does not continue the log");
    }
    if (offset == 0) {
      m_segments.push_back({ aNumber, base });
    }
    offset += kRecordHeaderBytes + payload->size();
  }
  if (offset < aBytes.size() || offset == 0) {
    if (!aIsLast || ContainsRecord(aBytes.substr(offset))) {
      return Corrupt(name, "damaged before its end");
    }
    return DropTornTail(aNumber, offset);
  }
  m_openSegmentBytes = offset;
  return absl::OkStatus();
}

// Removes an unfinished write from the end of the last segment. aIntactBytes is
// the size of the intact records in bytes.
absl::Status
Store::DropTornTail(uint64_t aNumber, size_t aIntactBytes)
{
  const std::string name = NumberedName(kLogPrefix, aNumber);
  base::LogWarning("consensus",
                   "dropped an unfinished write at the end of the log",
                   { { "file", name } });
  m_openSegmentBytes = aIntactBytes;
  if (aIntactBytes > 0) {
    const absl::Status status = m_disk.Truncate(name, aIntactBytes);
    return status.ok() ? m_disk.SyncFile(name) : status;
  }
  if (m_segments.empty()) {
    return Corrupt(name, "the only segment is damaged");
  }
  // The size of the previous segment is not known here, so the next write
  // starts a new segment.
  m_openSegmentBytes = m_segmentBytes + 1;
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
      NumberedName(kSnapshotPrefix, snapshot->m_index) != aNames.back()) {
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

// Restarts the log after the snapshot when a crash between their writes left a
// log that doesn't contain the last entry of the snapshot.
absl::Status
Store::ReconcileSnapshot(StoredState& aState)
{
  const uint64_t snapshotIndex =
    aState.m_snapshot ? aState.m_snapshot->m_index : 0;
  if (snapshotIndex < aState.m_baseIndex) {
    return Corrupt("snapshot", "missing, but the log does not start at 1");
  }
  m_lastIndex = LastIndex(aState);
  m_lastTerm = TermAt(aState, m_lastIndex);
  if (snapshotIndex == 0 ||
      (snapshotIndex <= m_lastIndex &&
       TermAt(aState, snapshotIndex) == aState.m_snapshot->m_term)) {
    return absl::OkStatus();
  }
  aState.m_baseIndex = snapshotIndex;
  aState.m_baseTerm = aState.m_snapshot->m_term;
  aState.m_entries.clear();
  return InstallSnapshot(*aState.m_snapshot, aState.m_hardState);
}

absl::Status
Store::Save(const HardState& aHard,
            std::vector<Entry> aEntries,
            uint64_t aTermBefore)
{
  if (!m_firstFailure.ok()) {
    return m_firstFailure;
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
  record.m_hardState = aHard;
  record.m_entries = std::move(aEntries);
  if (conflict || m_openSegmentBytes > m_segmentBytes) {
    record.m_header = true;
    record.m_baseIndex = base;
    record.m_baseTerm = baseTerm;
    ++record.m_segment;
    return RecordFailure(StartSegment(record));
  }
  const std::string name = NumberedName(kLogPrefix, record.m_segment);
  const std::string bytes = FrameRecord(EncodeRecord(record));
  m_openSegmentBytes += bytes.size();
  const absl::Status status = m_disk.Append(name, bytes);
  return RecordFailure(status.ok() ? m_disk.SyncFile(name) : status);
}

absl::Status
Store::SaveSnapshot(const Snapshot& aSnapshot)
{
  if (!m_firstFailure.ok()) {
    return m_firstFailure;
  }
  absl::Status status =
    WriteFileAtomically(NumberedName(kSnapshotPrefix, aSnapshot.m_index),
                        EncodeSnapshot(aSnapshot));
  if (status.ok() && m_snapshotIndex != 0 &&
      m_snapshotIndex != aSnapshot.m_index) {
    status = m_disk.Remove(NumberedName(kSnapshotPrefix, m_snapshotIndex));
  }
  m_snapshotIndex = aSnapshot.m_index;
  return RecordFailure(status);
}

absl::Status
Store::InstallSnapshot(const Snapshot& aSnapshot, const HardState& aHard)
{
  absl::Status status = aSnapshot.m_index == m_snapshotIndex
                          ? m_firstFailure
                          : SaveSnapshot(aSnapshot);
  if (!status.ok()) {
    return status;
  }
  LogRecord header = SegmentHeader(
    m_segments.back().m_number + 1, aSnapshot.m_index, aSnapshot.m_term, aHard);
  header.m_reset = true;
  m_lastIndex = aSnapshot.m_index;
  m_lastTerm = aSnapshot.m_term;
  status = StartSegment(header);
  return status.ok() ? RemoveSegmentsThrough(aSnapshot.m_index)
                     : RecordFailure(status);
}

absl::Status
Store::RemoveSegmentsThrough(uint64_t aIndex)
{
  if (!m_firstFailure.ok()) {
    return m_firstFailure;
  }
  while (m_segments.size() > 1 && m_segments[1].m_baseIndex <= aIndex) {
    const std::string name =
      NumberedName(kLogPrefix, m_segments.front().m_number);
    absl::Status status = m_disk.Remove(name);
    if (status.ok()) {
      // A later removal must not become durable before this one, because the
      // gap would look like a lost segment.
      status = m_disk.SyncFolder();
    }
    if (!status.ok()) {
      return RecordFailure(status);
    }
    m_segments.pop_front();
  }
  return absl::OkStatus();
}

} // namespace chivefront::consensus
