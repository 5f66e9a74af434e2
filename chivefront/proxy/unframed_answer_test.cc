// Answers without end, and answers that end with their connection.
#define BOOST_TEST_MODULE unframed_answer
#include <boost/test/unit_test.hpp>

#include "chivefront/net/testing/resident_memory.h"
#include "chivefront/proxy/testing/entry_fixture.h"

using namespace chivefront;
using namespace chivefront::proxy::testing;

namespace {

// What the entry may read of an endless answer before it gives up. Socket
// buffers of a loopback connection hold some megabytes.
constexpr size_t kMaxFloodBytes = 16 * 1024 * 1024;

// What the process may hold more than before while such an answer arrives.
constexpr size_t kMaxHeldBytes = 4 * 1024 * 1024;

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

// Guards against an entry that runs out of memory on a faulty upstream: chunk
// extensions and trailers without end were held until the caller's deadline.
// Other requests of the entry must go on meanwhile.
BOOST_AUTO_TEST_CASE(EndlessFramingOfAChunkedBodyIsLeft)
{
  struct Row
  {
    const char* m_route;
    std::string m_start;
    std::string m_flood;
  };
  const std::string event = kStreamHead + Chunk("id: 1\ndata: a\n\n");
  const std::string plain = "HTTP/1.1 200 OK\r\nId: $ID\r\nSeal: s\r\n"
                            "Transfer-Encoding: chunked\r\n\r\n";
  for (const Row& row : { Row{ "plain", plain + "4;pad=", "x" },
                          Row{ "plain", plain + "4", ";a=b" },
                          Row{ "plain", plain + "0\r\nPad: ", "x" },
                          Row{ "plain", plain + "0\r\n", "Pad: x\r\n" },
                          Row{ "stream", event + "4;pad=", "x" },
                          Row{ "stream", event + "0\r\n", "Pad: x\r\n" } }) {
    RunningEntry entry;
    entry.m_near.AddScript(row.m_start + kFloodConnection);
    entry.m_near.m_floodText = row.m_flood;
    entry.m_far.AddScript(std::string(row.m_route) == "plain"
                            ? kGoodResponse
                            : kStreamHead + Chunk("id: 2\ndata: b\n\n") +
                                "0\r\n\r\n");
    entry.m_far.AddScript(kGoodResponse);
    const size_t before = net::testing::ResidentBytes();
    const auto first =
      entry.StartCall(MakeRequest(row.m_route, "Model: any\r\n"));
    entry.RunFor(100);
    const size_t held = net::testing::ResidentBytes() - before;
    const std::string other = entry.Call(MakeRequest("plain"));
    const std::string where = std::string(row.m_route) + row.m_flood;
    BOOST_TEST(
      (static_cast<int64_t>(held) < static_cast<int64_t>(kMaxHeldBytes)),
      where << ": " << held << " bytes held");
    BOOST_TEST(Contains(other, "good"), where);
    BOOST_TEST(
      Contains(*first,
               std::string(row.m_route) == "plain" ? "good" : "data: b"),
      where);
    BOOST_TEST(entry.m_near.m_closedByPeer == 1, where);
    BOOST_TEST(entry.m_near.m_floodedBytes < kMaxFloodBytes, where);
  }
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
