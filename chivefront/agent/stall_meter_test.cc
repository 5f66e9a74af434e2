// Tests of the detection of upstreams that send bytes without progress.
#define BOOST_TEST_MODULE stall_meter
#include <boost/test/unit_test.hpp>

#include "chivefront/agent/answer_scanner.h"
#include "chivefront/agent/stall_meter.h"

using namespace chivefront;
using namespace chivefront::agent;

namespace {

constexpr base::Millis kTimeout{ 30000 };
constexpr base::Millis kReadWait{ 5000 };
constexpr int kReads = 20;

// Whether an upstream that sends aPiece every five seconds is found stalled.
bool
Stalls(AnswerFormat aFormat, const std::string& aPiece)
{
  AnswerScanner scanner(aFormat, false);
  StallMeter meter;
  std::string relayed;
  for (int i = 0; i < kReads; ++i) {
    BOOST_TEST(scanner.Scan(aPiece, relayed).ok());
    meter.OnRead(kReadWait, scanner.Progress());
    if (meter.IsStalled(kTimeout)) {
      return true;
    }
  }
  return false;
}

} // namespace

// Guards against a stream that never ends, because its engine sends a byte, a
// comment or an empty event before each read times out.
BOOST_AUTO_TEST_CASE(BytesWithoutDataAreNoProgress)
{
  for (const char* piece : { "x", ": ping\n\n", "\n\n", "event: ping\n\n" }) {
    BOOST_TEST(Stalls(AnswerFormat::EventStream, piece), piece);
  }
}

// Guards against a slow but sound answer that is cut.
BOOST_AUTO_TEST_CASE(SlowAnswersAreNotStalled)
{
  BOOST_TEST(!Stalls(AnswerFormat::EventStream,
                     "data: {\"choices\":[{\"delta\":{}}]}\n\n"));
  BOOST_TEST(!Stalls(AnswerFormat::Raw, "x"));
  BOOST_TEST(!Stalls(AnswerFormat::Json, "x"));
}

// Guards against an upstream that is blamed for a caller that reads slowly.
BOOST_AUTO_TEST_CASE(ProgressEndsAStall)
{
  StallMeter meter;
  meter.OnRead(kTimeout - base::Millis(1), 0);
  BOOST_TEST(!meter.IsStalled(kTimeout));
  meter.OnRead(base::Millis(1), 1);
  BOOST_TEST(!meter.IsStalled(kTimeout));
  meter.OnRead(kTimeout, 1);
  BOOST_TEST(meter.IsStalled(kTimeout));
}
