// Tests of what counts as progress of a stream.
#define BOOST_TEST_MODULE proxy_stream_progress
#include <boost/test/unit_test.hpp>

#include "chivefront/proxy/testing/entry_fixture.h"

using namespace chivefront;
using namespace chivefront::proxy::testing;

namespace {

const std::string kPause = kPauseWriting;

// aText every 250 ms for two seconds.
std::string
Repeat(const std::string& aText)
{
  std::string script;
  for (int i = 0; i < 8; ++i) {
    script += kPause + aText;
  }
  return script;
}

} // namespace

// Guards against a stalled stream that is never left, because bytes without an
// event still come: comments, empty events, or an event one byte at a time.
BOOST_AUTO_TEST_CASE(BytesWithoutAnEventAreNoProgress)
{
  for (const std::string& bytes : { Chunk(": ping\n\n"),
                                    Chunk(":\n"),
                                    Chunk("\n\n"),
                                    Chunk("x"),
                                    Chunk("event: ping\n\n") }) {
    RunningEntry entry;
    entry.m_near.AddScript(kStreamHead + Chunk("id: 1\ndata: a\n\n") +
                           Repeat(bytes) + kHoldConnection);
    entry.m_far.AddScript(kStreamHead + Chunk("id: 2\ndata: b\n\n") +
                          "0\r\n\r\n");
    const std::string answer =
      entry.Call(MakeRequest("stream", "Model: any\r\n"));
    BOOST_TEST(Contains(answer, "data: b"), bytes);
    BOOST_TEST(Contains(answer, "0\r\n\r\n"), bytes);
    BOOST_TEST(entry.m_far.m_requests.size() == 1U, bytes);
  }
}

// Guards against a stall that is hidden before the first event.
BOOST_FIXTURE_TEST_CASE(CommentsBeforeTheFirstEventAreNoProgress, RunningEntry)
{
  m_near.AddScript(kStreamHead + Repeat(Chunk(": ping\n\n")) + kHoldConnection);
  m_far.AddScript(kStreamHead + Chunk("id: 1\ndata: b\n\n") + "0\r\n\r\n");
  const std::string answer = Call(MakeRequest("stream", "Model: any\r\n"));
  BOOST_TEST(Contains(answer, "data: b"));
}

// Guards against a slow but sound stream that is cut: its events come within
// the pause goal, and no other upstream could continue it.
BOOST_FIXTURE_TEST_CASE(SlowStreamIsNotCut, EntryFixture)
{
  m_onlyNear = true;
  Start();
  Configure();
  std::string script = kStreamHead;
  for (int i = 1; i <= 3; ++i) {
    script +=
      Chunk("id: " + std::to_string(i) + "\ndata: a\n\n") + kPause + kPause;
  }
  m_near.AddScript(script + "0\r\n\r\n");
  const std::string answer =
    Call(MakeRequest("stream", "Model: any\r\n"), 3000);
  BOOST_TEST(Contains(answer, "id: 3\n"));
  BOOST_TEST(Contains(answer, "0\r\n\r\n"));
  BOOST_TEST(m_near.m_requests.size() == 1U);
}
