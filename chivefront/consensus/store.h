// The durable log of one replica: identity, hard state, entries, snapshot.
//
// Files in the folder:
//   identity            written once, when the folder is created
//   log-<number>        segments; numbers have no gap
//   snapshot-<index>    the newest snapshot
//   *.tmp               unfinished, removed at start
//
// Every write is one checksummed record and is synced before Save returns, so
// an unfinished write can only be the last record of the last segment. A
// damaged record there is a torn tail and is dropped; anywhere else it is
// Corrupt. Damage to the very last record can't be told from a torn tail.
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

struct StoredState
{
  uint64_t m_identity = 0;
  HardState m_hardState;
  std::shared_ptr<const Snapshot> m_snapshot; // null when there is none
  // The entry before the first of m_entries; zero at the start of the log.
  uint64_t m_baseIndex = 0;
  uint64_t m_baseTerm = 0;
  std::vector<Entry> m_entries;
};

// Not thread-safe. After the first failure every call returns that failure,
// because nothing is known about a file whose sync failed.
class Store
{
public:
  // A segment that has grown beyond aSegmentBytes is followed by a new one.
  Store(Disk& aDisk, size_t aSegmentBytes);

  // Reads the folder, or sets up an empty one with the identity aNewIdentity.
  absl::StatusOr<StoredState> Open(uint64_t aNewIdentity);

  // Makes the hard state and entries durable with one sync. The entries
  // replace everything from the index of the first one on; aTermBefore is the
  // term of the entry before it.
  absl::Status Save(const HardState& aHard,
                    std::vector<Entry> aEntries,
                    uint64_t aTermBefore);

  // Makes a snapshot durable and removes older ones.
  absl::Status SaveSnapshot(const Snapshot& aSnapshot);
  // As SaveSnapshot, and starts the log anew after the snapshot.
  absl::Status InstallSnapshot(const Snapshot& aSnapshot,
                               const HardState& aHard);
  // Removes segments that hold nothing after aIndex.
  absl::Status RemoveSegmentsThrough(uint64_t aIndex);

private:
  struct Segment
  {
    uint64_t m_number = 0;
    uint64_t m_baseIndex = 0; // index of the entry before the first one
  };

  absl::Status InitializeFolder(uint64_t aNewIdentity,
                                const std::vector<std::string>& aFiles);
  absl::Status ReadSegments(const std::vector<std::string>& aNames,
                            StoredState& aState);
  absl::Status ReadSegment(uint64_t aNumber,
                           std::string_view aBytes,
                           bool aLast,
                           StoredState& aState);
  absl::Status DropTornTail(uint64_t aNumber, size_t aIntact);
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
