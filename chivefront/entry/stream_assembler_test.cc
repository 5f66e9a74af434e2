// Tests of the order of chunks, of flow control credit and of event boundaries.
// Promises: whole-answer
#define BOOST_TEST_MODULE stream_assembler
#include <boost/test/unit_test.hpp>

#include "chivefront/entry/stream_assembler.h"

using namespace chivefront::entry;
using ChunkStatus = StreamAssembler::ChunkStatus;

// Guards against an answer with data of another attempt, repeated data or a
// gap.
BOOST_AUTO_TEST_CASE(OnlyTheNextChunkIsTaken)
{
  StreamAssembler stream(2, 1000);
  BOOST_TEST((stream.OnChunk(1, 0, 10) == ChunkStatus::Stale));
  BOOST_TEST((stream.OnChunk(2, 1, 10) == ChunkStatus::Gap));
  BOOST_TEST((stream.OnChunk(2, 0, 10) == ChunkStatus::Accepted));
  BOOST_TEST((stream.OnChunk(2, 0, 10) == ChunkStatus::Duplicate));
  BOOST_TEST(!stream.OnEnd(1, 1));
  BOOST_TEST(!stream.Ended());
  BOOST_TEST(stream.OnEnd(2, 2));
  BOOST_TEST(!stream.Complete());
  BOOST_TEST(stream.CountMismatch());
  BOOST_TEST((stream.OnChunk(2, 1, 10) == ChunkStatus::Accepted));
  BOOST_TEST(stream.Complete());
}

// Guards against an agent that fills the entry's memory by ignoring its credit.
BOOST_AUTO_TEST_CASE(CreditBoundsWhatIsHeld)
{
  constexpr size_t kWindow = 1000;
  StreamAssembler stream(1, kWindow);
  BOOST_TEST((stream.OnChunk(1, 0, kWindow) == ChunkStatus::Accepted));
  BOOST_TEST(
    (stream.OnChunk(1, 1, kCreditSlackBytes + 1) == ChunkStatus::OverCredit));
  BOOST_TEST(stream.OnDelivered(100) ==
             0U); // less than a quarter of the window
  BOOST_TEST(stream.OnDelivered(400) == 500U);
  BOOST_TEST(
    (stream.OnChunk(1, 1, kCreditSlackBytes + 500) == ChunkStatus::Accepted));
}

// Guards against credit that is lost or granted twice when a stream is resumed.
BOOST_AUTO_TEST_CASE(ResumeReplacesCredit)
{
  constexpr size_t kWindow = 1000;
  StreamAssembler stream(1, kWindow);
  BOOST_TEST((stream.OnChunk(1, 0, 600) == ChunkStatus::Accepted));
  BOOST_TEST(stream.CreditForResume() == 400U);
  BOOST_TEST(stream.NextSequence() == 1U);
  BOOST_TEST(stream.OnDelivered(600) == 600U);
  BOOST_TEST((stream.OnChunk(1, 1, 1000) == ChunkStatus::Accepted));
  BOOST_TEST(stream.CreditForResume() == 0U);
}

// Guards against an error event that is written into an incomplete event.
BOOST_AUTO_TEST_CASE(EventsAreHandedOnWhole)
{
  SseEventBuffer buffer(16);
  BOOST_TEST(buffer.Append("data: 1").empty());
  BOOST_TEST(buffer.Append("\n\ndata: 2") == "data: 1\n\n");
  BOOST_TEST(!buffer.InsideEvent());
  BOOST_TEST(buffer.Append(" and more than 16") == "data: 2 and more than 16");
  BOOST_TEST(buffer.InsideEvent());
  BOOST_TEST(buffer.Append("\n\n") == "\n\n");
  BOOST_TEST(!buffer.InsideEvent());
  BOOST_TEST(buffer.Append("rest").empty());
  BOOST_TEST(buffer.TakeIncomplete() == "rest");
}
