// Answers without end, and answers that end with their connection.
#define BOOST_TEST_MODULE unframed_answer
#include <boost/test/unit_test.hpp>

#include "chivefront/proxy/testing/entry_fixture.h"

using namespace chivefront;
using namespace chivefront::proxy::testing;

namespace {

// What the entry may read of an endless answer before it gives up. Socket
// buffers of a loopback connection hold some megabytes.
constexpr size_t kMaxFloodBytes = 16 * 1024 * 1024;

const std::string kUnframedHead = "HTTP/1.1 200 OK\r\nId: $ID\r\nSeal: s\r\n"
                                  "Sure: 90\r\nConnection: close\r\n\r\n";

} // namespace

// Guards against an upstream in trouble whose head never ends: the entry must
// stop reading, close the connection and ask another upstream.
BOOST_AUTO_TEST_CASE(EndlessHeadIsLeft)
{
  for (const std::string& start :
       { std::string("HTTP/1.1 200 OK\r\nPad: "), std::string() }) {
    RunningEntry entry;
    entry.m_near.AddScript(start + kFloodConnection);
    entry.m_far.AddScript(kGoodResponse);
    const std::string answer = entry.Call(MakeRequest("plain"));
    BOOST_TEST(Contains(answer, "good"), "head '" << start << "'");
    BOOST_TEST(entry.m_near.m_closedByPeer == 1);
    BOOST_TEST(entry.m_near.m_floodedBytes < kMaxFloodBytes);
  }
}

// Guards against an entry that runs out of memory on an event without end: it
// was collected until its blank line came.
BOOST_AUTO_TEST_CASE(EndlessEventIsLeft)
{
  RunningEntry entry;
  entry.m_near.AddScript(kUnframedHead +
                         "id: 1\ndata: a\n\nid: 2\ndata: " + kFloodConnection);
  entry.m_far.AddScript(kStreamHead + Chunk("id: 2\ndata: b\n\n") +
                        "0\r\n\r\n");
  const std::string answer =
    entry.Call(MakeRequest("stream", "Model: any\r\n"));
  BOOST_TEST(Contains(answer, "data: b"));
  BOOST_TEST(!Contains(answer, "xxxx"));
  BOOST_TEST(entry.m_near.m_closedByPeer == 1);
  BOOST_TEST(entry.m_near.m_floodedBytes < kMaxFloodBytes);
}

// Guards against a body without end that outlives its caller's deadline, or
// that looks complete to the caller.
BOOST_AUTO_TEST_CASE(EndlessBodyEndsAtTheDeadline)
{
  RunningEntry entry;
  entry.m_near.AddScript(kUnframedHead + kFloodConnection);
  const std::string answer = entry.Call(MakeRequest("plain"), 3500);
  BOOST_TEST(!Contains(answer, "0\r\n\r\n"));
  BOOST_TEST(!Contains(answer, "Content-Length"));
  BOOST_TEST(entry.m_near.m_closedByPeer == 1);
}

// An answer without a length ends with its connection.
BOOST_FIXTURE_TEST_CASE(UnframedAnswerIsWhole, RunningEntry)
{
  m_near.AddScript(kUnframedHead + "good" + kCloseConnection);
  const std::string answer = Call(MakeRequest("plain"));
  BOOST_TEST(Contains(answer, "HTTP/1.1 200 "));
  BOOST_TEST(Contains(answer, "good"));
  BOOST_TEST(m_far.m_requests.empty());
}

BOOST_FIXTURE_TEST_CASE(UnframedStreamIsWhole, RunningEntry)
{
  m_near.AddScript(kUnframedHead + "id: 1\ndata: a\n\n" + kCloseConnection);
  const std::string answer = Call(MakeRequest("stream", "Model: any\r\n"));
  BOOST_TEST(Contains(answer, "data: a"));
  BOOST_TEST(Contains(answer, "0\r\n\r\n"));
  BOOST_TEST(m_far.m_requests.empty());
}

// Guards against a broken stream that looks complete: it ends inside an event.
BOOST_FIXTURE_TEST_CASE(UnframedStreamBrokenInAnEventResumes, RunningEntry)
{
  m_near.AddScript(kUnframedHead + "id: 1\ndata: a\n\nid: 2\nda" +
                   kCloseConnection);
  m_far.AddScript(kStreamHead + Chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n");
  const std::string answer = Call(MakeRequest("stream", "Model: any\r\n"));
  BOOST_TEST(Contains(answer, "data: a"));
  BOOST_TEST(Contains(answer, "data: b"));
  BOOST_REQUIRE(m_far.m_requests.size() == 1U);
  BOOST_TEST(Contains(m_far.m_requests[0], "After: 1"));
}

// Guards against an upstream that crashes after the head: without a length its
// empty stream looked complete, and the caller got an empty success.
BOOST_FIXTURE_TEST_CASE(UnframedStreamWithoutEventIsBroken, RunningEntry)
{
  m_near.AddScript(kUnframedHead + kCloseConnection);
  m_far.AddScript(kStreamHead + Chunk("id: 1\ndata: b\n\n") + "0\r\n\r\n");
  const std::string answer = Call(MakeRequest("stream", "Model: any\r\n"));
  BOOST_TEST(Contains(answer, "data: b"));
  BOOST_TEST(m_far.m_requests.size() == 1U);
}

// Guards against a 200 with an empty or short body that looks whole: an
// upstream stopped in the middle of the head of its answer and closed.
BOOST_AUTO_TEST_CASE(HeadThatIsCutOffIsNoAnswer)
{
  const std::string start = "HTTP/1.1 200 OK\r\nId: $ID\r\nSeal: s\r\n";
  for (const std::string& head : { std::string("HTTP/1.1 200"),
                                   std::string("HTTP/1.1 200 OK\r\n"),
                                   start,
                                   start + "Content-Le",
                                   start + "Content-Length: 4",
                                   start + "Content-Length: 4\r\n",
                                   start + "Content-Length: 4\r\n\r" }) {
    for (const char* route : { "plain", "once", "stream" }) {
      RunningEntry entry;
      entry.m_near.AddScript(head + kCloseConnection);
      entry.m_far.AddScript(head + kCloseConnection);
      const std::string answer = entry.Call(MakeRequest(route));
      BOOST_TEST(Contains(answer, "HTTP/1.1 502 "), route << ": " << answer);
      BOOST_TEST(!Contains(answer, "HTTP/1.1 200"), route << ": " << answer);
    }
  }
}
