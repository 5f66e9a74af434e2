// Layout and verification of frames.
#include "chivefront/wire/codec.h"

#include <cstring>

#include "chivefront/base/errors.h"
#include "chivefront/base/ids.h"

namespace chivefront::wire {
namespace detail {

constexpr uint32_t kMagic = 0x43465231; // "CFR1"
constexpr size_t kVersionOffset = 4;
constexpr size_t kSizeOffset = 8;
constexpr size_t kChecksumOffset = 12;
// The verifier's limit on nesting; the most deeply nested message has 5 levels.
constexpr int kMaxDepth = 16;
constexpr int kMaxTables = 1000000;

void
PutWord(std::string& aOut, size_t aOffset, uint32_t aWord)
{
  for (size_t i = 0; i < sizeof(aWord); ++i) {
    aOut[aOffset + i] = static_cast<char>((aWord >> (8 * i)) & 0xff);
  }
}

uint32_t
GetWord(std::string_view aIn, size_t aOffset)
{
  uint32_t word = 0;
  for (size_t i = 0; i < sizeof(word); ++i) {
    word |= static_cast<uint32_t>(static_cast<unsigned char>(aIn[aOffset + i]))
            << (8 * i);
  }
  return word;
}

uint32_t
Checksum(std::string_view aPayload)
{
  return static_cast<uint32_t>(base::StableHash(aPayload));
}

absl::Status
BadFrame(std::string_view aReason)
{
  return base::MakeError(base::ErrorKind::BadFrame, aReason);
}

} // namespace detail

std::string
EncodeFrame(const MessageT& aMessage)
{
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(Message::Pack(builder, &aMessage));
  std::string frame(kFrameHeaderBytes + builder.GetSize(), '\0');
  std::memcpy(frame.data() + kFrameHeaderBytes,
              builder.GetBufferPointer(),
              builder.GetSize());
  const std::string_view payload =
    std::string_view(frame).substr(kFrameHeaderBytes);
  detail::PutWord(frame, 0, detail::kMagic);
  frame[detail::kVersionOffset] = static_cast<char>(kProtocolVersion);
  detail::PutWord(
    frame, detail::kSizeOffset, static_cast<uint32_t>(payload.size()));
  detail::PutWord(frame, detail::kChecksumOffset, detail::Checksum(payload));
  return frame;
}

absl::StatusOr<size_t>
ParseFrameHeader(std::string_view aHeader)
{
  if (aHeader.size() != kFrameHeaderBytes ||
      detail::GetWord(aHeader, 0) != detail::kMagic) {
    return detail::BadFrame("not a frame header");
  }
  if (static_cast<uint8_t>(aHeader[detail::kVersionOffset]) !=
      kProtocolVersion) {
    return detail::BadFrame("unsupported protocol version");
  }
  const size_t size = detail::GetWord(aHeader, detail::kSizeOffset);
  if (size > kMaxFrameBytes) {
    return detail::BadFrame("frame exceeds the size bound");
  }
  return size;
}

absl::StatusOr<MessageT>
DecodePayload(std::string_view aHeader, std::string_view aPayload)
{
  if (detail::GetWord(aHeader, detail::kChecksumOffset) !=
      detail::Checksum(aPayload)) {
    return detail::BadFrame("checksum mismatch");
  }
  flatbuffers::Verifier verifier(
    reinterpret_cast<const uint8_t*>(aPayload.data()),
    aPayload.size(),
    detail::kMaxDepth,
    detail::kMaxTables);
  if (!VerifyMessageBuffer(verifier)) {
    return detail::BadFrame("payload fails verification");
  }
  MessageT message;
  GetMessage(aPayload.data())->UnPackTo(&message);
  if (message.body.type == Body::NONE) {
    return detail::BadFrame("message has no body");
  }
  return message;
}

} // namespace chivefront::wire
