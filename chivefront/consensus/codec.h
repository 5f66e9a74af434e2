// Encoding and verification of payloads and file records.
//
// A file record is a 16-byte header (u32 magic, u32 payload size, u64
// checksum, little-endian) followed by one FlatBuffers table. Payloads between
// replicas carry no checksum of their own, because the frame around them has
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
// BadFrame when the bytes are no message.
absl::StatusOr<Message>
DecodeMessage(std::string_view aPayload);

std::string
EncodeMembership(const Membership& aMembership);
// Empty when the bytes are no membership.
Membership
DecodeMembership(std::string_view aBytes);

// One write to a segment of the log.
struct LogRecord
{
  bool m_header = false;
  uint64_t m_segment = 0;
  uint64_t m_baseIndex = 0;
  uint64_t m_baseTerm = 0;
  bool m_reset = false; // header: entries before the base are void
  HardState m_hardState;
  std::vector<Entry> m_entries;
};

std::string
EncodeRecord(const LogRecord& aRecord);
std::optional<LogRecord>
DecodeRecord(std::string_view aPayload);

std::string
EncodeSnapshot(const Snapshot& aSnapshot);
std::optional<Snapshot>
DecodeSnapshot(std::string_view aPayload);

inline constexpr size_t kRecordHeaderBytes = 16;

// Header and payload of a file record.
std::string
FrameRecord(std::string_view aPayload);
// The payload of the intact record at the start of aBytes, or nothing.
std::optional<std::string_view>
UnframeRecord(std::string_view aBytes);
// Whether an intact record starts anywhere in aBytes.
bool
ContainsRecord(std::string_view aBytes);

} // namespace chivefront::consensus
