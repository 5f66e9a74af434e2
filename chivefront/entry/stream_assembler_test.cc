// Tests of chunk order, credit and event boundaries.
// Promises: whole-answer
#define BOOST_TEST_MODULE stream_assembler
#include <boost/test/unit_test.hpp>

#include "chivefront/entry/stream_assembler.h"

using namespace chivefront::entry;
using Verdict = StreamAssembler::Verdict;

// Guards against data of another attempt, repeated data, and gaps.
BOOST_AUTO_TEST_CASE(OnlyTheNextChunkIsTaken)
{
  StreamAssembler stream(2, 1000);
  BOOST_TEST((stream.OnChunk(1, 0, 10) == Verdict::Stale));
  BOOST_TEST((stream.OnChunk(2, 1, 10) == Verdict::Gap));
  BOOST_TEST((stream.OnChunk(2, 0, 10) == Verdict::Accepted));
  BOOST_TEST((stream.OnChunk(2, 0, 10) == Verdict::Duplicate));
  BOOST_TEST(!stream.OnEnd(1, 1));
  BOOST_TEST(!stream.Ended());
  BOOST_TEST(stream.OnEnd(2, 2));
  BOOST_TEST(!stream.Whole());
  BOOST_TEST(stream.Missing());
  BOOST_TEST((stream.OnChunk(2, 1, 10) == Verdict::Accepted));
  BOOST_TEST(stream.Whole());
}

// Guards against an agent that fills the entry's memory.
BOOST_AUTO_TEST_CASE(CreditBoundsWhatIsHeld)
{
  constexpr size_t kWindow = 1000;
  StreamAssembler stream(1, kWindow);
  BOOST_TEST((stream.OnChunk(1, 0, kWindow) == Verdict::Accepted));
  BOOST_TEST(
    (stream.OnChunk(1, 1, kCreditSlackBytes + 1) == Verdict::OverCredit));
  BOOST_TEST(stream.Release(100) == 0U); // not worth a message yet
  BOOST_TEST(stream.Release(400) == 500U);
  BOOST_TEST(
    (stream.OnChunk(1, 1, kCreditSlackBytes + 500) == Verdict::Accepted));
}

// Guards against credit that leaks when a stream is asked for again.
BOOST_AUTO_TEST_CASE(ResumeReplacesCredit)
{
  constexpr size_t kWindow = 1000;
  StreamAssembler stream(1, kWindow);
  BOOST_TEST((stream.OnChunk(1, 0, 600) == Verdict::Accepted));
  BOOST_TEST(stream.CreditForResume() == 400U);
  BOOST_TEST(stream.NextSequence() == 1U);
  BOOST_TEST(stream.Release(600) == 600U);
  BOOST_TEST((stream.OnChunk(1, 1, 1000) == Verdict::Accepted));
  BOOST_TEST(stream.CreditForResume() == 0U);
}

// Guards against an error event in the middle of another event.
BOOST_AUTO_TEST_CASE(EventsAreHandedOnWhole)
{
  EventCutter cutter(16);
  BOOST_TEST(cutter.Feed("data: 1").empty());
  BOOST_TEST(cutter.Feed("\n\ndata: 2") == "data: 1\n\n");
  BOOST_TEST(!cutter.InsideEvent());
  BOOST_TEST(cutter.Feed(" and more than 16") == "data: 2 and more than 16");
  BOOST_TEST(cutter.InsideEvent());
  BOOST_TEST(cutter.Feed("\n\n") == "\n\n");
  BOOST_TEST(!cutter.InsideEvent());
  BOOST_TEST(cutter.Feed("rest").empty());
  BOOST_TEST(cutter.Rest() == "rest");
}
