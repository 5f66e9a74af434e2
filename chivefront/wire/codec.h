// Encodes messages into frames, and decodes and verifies received frames.
//
// A frame is a 16-byte header followed by one FlatBuffers Message:
//   u32 magic, u8 version, u8[3] zero, u32 payload size, u32 checksum
// in little-endian order. A received frame is checked against the size limit,
// the checksum and the FlatBuffers verifier before a field is read.
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
// The body of a caller's request is at most 8 MiB; the rest leaves room for the
// other fields.
inline constexpr size_t kMaxFrameBytes = 16 * 1024 * 1024;

// Encodes one message as header and payload.
std::string
EncodeFrame(const MessageT& aMessage);

// Makes a message with the given body, as in MakeMessage(PingT{}). aCorrelation
// is the number of a call and its reply, 0 for a one-way message.
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

// Verifies and decodes the payload that followed aHeader, or
// ErrorKind::BadFrame.
absl::StatusOr<MessageT>
DecodePayload(std::string_view aHeader, std::string_view aPayload);

} // namespace chivefront::wire
