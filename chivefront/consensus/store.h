// The durable log of one replica: identity, hard state, entries, snapshot.
//
// Files in the data folder:
//   identity            written once, when the folder is initialized
//   log-<number>        segments of the log, numbered without gaps
//   snapshot-<index>    the newest snapshot
//   *.tmp               unfinished files, removed at start
//
// Every write appends one checksummed record and syncs it before Save returns,
// so only the last record of the last segment can be unfinished. A damaged
// record there is a torn tail and is dropped; a damaged record anywhere else is
// Corrupt. Damage to the very last record can't be distinguished from a torn
// tail.
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "chivefront/consensus/codec.h"
#include "chivefront/consensus/disk.h"

namespace chivefront::consensus {

// What the store recovered from the data folder.
struct StoredState
{
  uint64_t m_identity = 0;
  HardState m_hardState;
  std::shared_ptr<const Snapshot> m_snapshot; // null when there is none
  // Index and term of the entry before m_entries; 0 at the start of the log.
  uint64_t m_baseIndex = 0;
  uint64_t m_baseTerm = 0;
  std::vector<Entry> m_entries;
};

// Not thread-safe. After the first failure every call returns that failure,
// because the content of a file is unknown once a sync of it has failed. After
// StorageFull another Store may open the folder: an unfinished write is then a
// torn tail.
class Store
{
public:
  // Returns StorageFull while aDisk has no space for some records.
  static absl::Status CheckSpace(Disk& aDisk);

  // A new segment is started when the open one has more than aSegmentBytes.
  Store(Disk& aDisk, size_t aSegmentBytes);

  // Reads the data folder, or initializes an empty one with the identity
  // aNewIdentity. Returns Corrupt when a file is missing or damaged.
  absl::StatusOr<StoredState> Open(uint64_t aNewIdentity);

  // Makes the hard state and the entries durable with one sync. The entries
  // replace the log from the index of the first of them on. aTermBefore is the
  // term of the entry before that one.
  absl::Status Save(const HardState& aHard,
                    std::vector<Entry> aEntries,
                    uint64_t aTermBefore);

  // Makes a snapshot durable and removes the previous one.
  absl::Status SaveSnapshot(const Snapshot& aSnapshot);
  // Like SaveSnapshot, and replaces the whole log by an empty one that starts
  // after the snapshot.
  absl::Status InstallSnapshot(const Snapshot& aSnapshot,
                               const HardState& aHard);
  // Removes the segments that have no entry after aIndex.
  absl::Status RemoveSegmentsThrough(uint64_t aIndex);

private:
  struct Segment
  {
    uint64_t m_number = 0;
    uint64_t m_baseIndex = 0; // index of the entry before its first one
  };

  absl::Status InitializeFolder(uint64_t aNewIdentity,
                                const std::vector<std::string>& aFiles);
  absl::Status ReadSegments(const std::vector<std::string>& aNames,
                            StoredState& aState);
  absl::Status ReadSegment(uint64_t aNumber,
                           std::string_view aBytes,
                           bool aIsLast,
                           StoredState& aState);
  absl::Status DropTornTail(uint64_t aNumber, size_t aIntactBytes);
  absl::Status ReadSnapshot(const std::vector<std::string>& aNames,
                            StoredState& aState);
  absl::Status ReconcileSnapshot(StoredState& aState);
  absl::Status WriteFileAtomically(const std::string& aName,
                                   std::string_view aBytes);
  absl::Status StartSegment(const LogRecord& aHeader);
  absl::Status RecordFailure(absl::Status aStatus);

  Disk& m_disk;
  const size_t m_segmentBytes;
  absl::Status m_firstFailure;
  std::deque<Segment> m_segments; // consecutive numbers, the last one is open
  size_t m_openSegmentBytes = 0;  // bytes in the open segment
  uint64_t m_lastIndex = 0;
  uint64_t m_lastTerm = 0;
  uint64_t m_snapshotIndex = 0; // 0 for none
};

} // namespace chivefront::consensus
