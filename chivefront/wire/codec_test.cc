// Tests of the frame codec: a malformed frame is never decoded.
#define BOOST_TEST_MODULE codec
#include <boost/test/unit_test.hpp>

#include <random>

#include "chivefront/base/errors.h"
#include "chivefront/base/ids.h"
#include "chivefront/wire/codec.h"

using namespace chivefront;

namespace {

std::string
SampleFrame()
{
  wire::DispatchT dispatch;
  dispatch.request_id = "0123";
  dispatch.body = std::string(500, 'x');
  dispatch.credit_bytes = 7;
  return wire::EncodeFrame(wire::MakeMessage(std::move(dispatch), 42));
}

absl::StatusOr<wire::MessageT>
Decode(std::string_view aFrame)
{
  const auto header = aFrame.substr(0, wire::kFrameHeaderBytes);
  const auto size = wire::ParseFrameHeader(header);
  if (!size.ok()) {
    return size.status();
  }
  // A link reads the whole payload before it calls the decoder.
  if (aFrame.size() - wire::kFrameHeaderBytes != *size) {
    return base::MakeError(base::ErrorKind::BadFrame, "incomplete");
  }
  return wire::DecodePayload(header,
                             aFrame.substr(wire::kFrameHeaderBytes, *size));
}

} // namespace

// Guards against fields that are lost between encoding and decoding.
BOOST_AUTO_TEST_CASE(RoundTrip)
{
  const auto message = Decode(SampleFrame());
  BOOST_REQUIRE(message.ok());
  BOOST_TEST(message->correlation == 42U);
  const wire::DispatchT* dispatch = message->body.AsDispatch();
  BOOST_REQUIRE(dispatch != nullptr);
  BOOST_TEST(dispatch->credit_bytes == 7U);
  BOOST_TEST(dispatch->body.size() == 500U);
}

// Guards against a frame above the size limit that is read into memory.
BOOST_AUTO_TEST_CASE(OversizedFrameIsRefused)
{
  std::string frame = SampleFrame();
  frame[11] = static_cast<char>(0x7f);
  BOOST_TEST(
    (base::KindOf(Decode(frame).status()) == base::ErrorKind::BadFrame));
}

// Guards against a frame that was damaged, or changed by an attacker, and
// reaches the message handlers.
BOOST_AUTO_TEST_CASE(AnySingleByteChangeIsRefused)
{
  const std::string frame = SampleFrame();
  std::mt19937 random(7);
  for (size_t i = 0; i < frame.size(); ++i) {
    if (i >= 5 && i < 8) {
      continue; // the decoder ignores the reserved bytes
    }
    std::string damaged = frame;
    damaged[i] = static_cast<char>(damaged[i] ^ (1 + random() % 255));
    BOOST_TEST(!Decode(damaged).ok());
  }
}

// Guards against out-of-bounds reads in the decoder for a payload with a valid
// checksum and a broken structure.
BOOST_AUTO_TEST_CASE(ArbitraryPayloadsNeverDecodeToAccessViolations)
{
  std::mt19937 random(11);
  for (int round = 0; round < 2000; ++round) {
    std::string payload(random() % 200, '\0');
    for (char& byte : payload) {
      byte = static_cast<char>(random());
    }
    // The checksum is valid, so that the decoder verifies the structure.
    std::string header = SampleFrame().substr(0, wire::kFrameHeaderBytes);
    const uint64_t checksum = base::StableHash(payload);
    for (size_t i = 0; i < 4; ++i) {
      header[12 + i] = static_cast<char>((checksum >> (8 * i)) & 0xff);
    }
    BOOST_TEST(!wire::DecodePayload(header, payload).ok());
  }
}
