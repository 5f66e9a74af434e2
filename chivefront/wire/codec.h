// Encoding and verification of messages, and the frame around them.
//
// A frame is a 16-byte header followed by one FlatBuffers Message:
//   u32 magic, u8 version, u8[3] zero, u32 payload size, u32 checksum
// in little-endian order. Everything received is checked against the size
// bound, the checksum and the FlatBuffers verifier before a field is read.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include "chivefront/wire/protocol_generated.hpp"

namespace chivefront::wire {

inline constexpr uint32_t kProtocolVersion = 1;
inline constexpr size_t kFrameHeaderBytes = 16;
// A caller's body is at most 8 MiB; the rest is room for other fields.
inline constexpr size_t kMaxFrameBytes = 16 * 1024 * 1024;

// Header and payload of one message, ready to be sent.
std::string
EncodeFrame(const MessageT& aMessage);

// Wraps a message body: MakeMessage(PingT{}, 0).
template<typename BodyT>
MessageT
MakeMessage(BodyT aBody, uint64_t aCorrelation = 0)
{
  MessageT message;
  message.correlation = aCorrelation;
  message.body.Set(std::move(aBody));
  return message;
}

// The payload size announced by a header of kFrameHeaderBytes bytes, or
// ErrorKind::BadFrame.
absl::StatusOr<size_t>
ParseFrameHeader(std::string_view aHeader);

// Decodes a payload whose header was aHeader, or ErrorKind::BadFrame.
absl::StatusOr<MessageT>
DecodePayload(std::string_view aHeader, std::string_view aPayload);

} // namespace chivefront::wire
