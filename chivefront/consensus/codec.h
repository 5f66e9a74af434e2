// Encodes and verifies messages between replicas and records in files.
//
// A file record is a 16-byte header (u32 magic, u32 payload size, u64
// checksum, little-endian) followed by one FlatBuffers table. Messages between
// replicas have no checksum of their own, because the frame around them has
// one.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include "chivefront/consensus/types.h"

namespace chivefront::consensus {

std::string
EncodeMessage(const Message& aMessage);
// Returns BadFrame when the bytes are not a message.
absl::StatusOr<Message>
DecodeMessage(std::string_view aPayload);

std::string
EncodeMembership(const Membership& aMembership);
// Returns an empty membership when the bytes are not a membership.
Membership
DecodeMembership(std::string_view aBytes);

// One write to a segment of the log, with the fields of raft::LogRecord.
struct LogRecord
{
  bool m_header = false; // the first record of its segment
  uint64_t m_segment = 0;
  // Header: the entry before the first entry of the segment.
  uint64_t m_baseIndex = 0;
  uint64_t m_baseTerm = 0;
  bool m_reset = false; // header: all entries of earlier segments are void
  HardState m_hardState;
  std::vector<Entry> m_entries;
};

std::string
EncodeRecord(const LogRecord& aRecord);
// Returns nothing when the bytes are not a record.
std::optional<LogRecord>
DecodeRecord(std::string_view aPayload);

std::string
EncodeSnapshot(const Snapshot& aSnapshot);
// Returns nothing when the bytes are not a snapshot.
std::optional<Snapshot>
DecodeSnapshot(std::string_view aPayload);

inline constexpr size_t kRecordHeaderBytes = 16;

// Returns a file record: the header followed by the payload.
std::string
FrameRecord(std::string_view aPayload);
// Returns the payload of the record at the start of aBytes, or nothing when
// there is no intact record.
std::optional<std::string_view>
UnframeRecord(std::string_view aBytes);
// Whether an intact record starts at any position of aBytes.
bool
ContainsRecord(std::string_view aBytes);

} // namespace chivefront::consensus
