// Tests of late copies of an answer on a connection that is used again.
// Promises: whole-answer
#define BOOST_TEST_MODULE proxy_late_copy
#include <boost/test/unit_test.hpp>

#include "chivefront/proxy/testing/entry_fixture.h"

using namespace chivefront;
using namespace chivefront::proxy::testing;

namespace {

const std::string kPause = kPauseWriting;
const std::string kEnd = "0\r\n\r\n";

std::string
Answer(const std::string& aId, const std::string& aBody)
{
  return "HTTP/1.1 200 OK\r\n" + aId +
         "Seal: s\r\nContent-Length: " + std::to_string(aBody.size()) +
         "\r\n\r\n" + aBody;
}

std::string
RequestOf(const std::string& aId, const std::string& aRoute = "plain")
{
  return "GET /" + aRoute + "/x HTTP/1.1\r\nHost: desk.example\r\n" + aId +
         "Connection: close\r\n\r\n";
}

} // namespace

// Guards against a caller that gets the answer to another request: the upstream
// sends a second copy of it after the connection is used again. The copy has
// the id of the first request, or none.
BOOST_AUTO_TEST_CASE(CopyOfAnEarlierAnswerIsNotForwarded)
{
  for (const std::string& copyId : { "Id: first\r\n", "" }) {
    for (const std::string& status : { "200 OK", "500 Oops" }) {
      EntryFixture entry;
      entry.m_onlyNear = true;
      entry.Start();
      entry.Configure();
      std::string copy = Answer(copyId, "stale");
      copy.replace(copy.find("200 OK"), 6, status);
      entry.m_near.AddScript(Answer("Id: first\r\n", "first") + kPause + copy);
      entry.m_near.m_repeatedScript = Answer("Id: second\r\n", "second");
      BOOST_TEST(Contains(entry.Call(RequestOf("Id: first\r\n"), 100), "first"),
                 copyId);
      const std::string answer = entry.Call(RequestOf("Id: second\r\n"));
      BOOST_TEST(!Contains(answer, "stale"), copyId << status);
      BOOST_TEST(!Contains(answer, "first"), copyId << status);
    }
  }
}

// Guards against the same when the requests have no id: the answer to one can't
// be told from a copy of another, so no connection is used for two of them.
BOOST_AUTO_TEST_CASE(RequestWithoutIdUsesItsOwnConnection)
{
  EntryFixture entry;
  entry.m_onlyNear = true;
  entry.Start();
  entry.Configure();
  entry.m_near.AddScript(Answer("", "first") + kPause + Answer("", "stale"));
  entry.m_near.AddScript(Answer("", "second"));
  BOOST_TEST(Contains(entry.Call(RequestOf(""), 100), "first"));
  const std::string answer = entry.Call(RequestOf(""));
  BOOST_TEST(Contains(answer, "second"));
  BOOST_TEST(!Contains(answer, "stale"));
}

// Guards against an at-most-once request on a connection whose next bytes may
// be a copy of an earlier answer.
BOOST_FIXTURE_TEST_CASE(AtMostOnceRequestUsesItsOwnConnection, EntryFixture)
{
  m_onlyNear = true;
  Start();
  Configure();
  m_near.AddScript(Answer("Id: first\r\n", "first") + kPause +
                   Answer("Id: second\r\n", "stale"));
  m_near.AddScript(Answer("Id: second\r\n", "second"));
  BOOST_TEST(Contains(Call(RequestOf("Id: first\r\n"), 100), "first"));
  const std::string answer = Call(RequestOf("Id: second\r\n", "once"));
  BOOST_TEST(Contains(answer, "second"));
  BOOST_TEST(!Contains(answer, "stale"));
}

// Guards against a copy of a whole stream in front of the next one.
BOOST_FIXTURE_TEST_CASE(CopyOfAStreamIsNotForwarded, EntryFixture)
{
  m_onlyNear = true;
  Start();
  Configure();
  const std::string head = "HTTP/1.1 200 OK\r\nSeal: s\r\nSure: 90\r\n"
                           "Transfer-Encoding: chunked\r\n";
  const std::string first =
    head + "Id: first\r\n\r\n" + Chunk("id: 1\ndata: a\n\n") + kEnd;
  m_near.AddScript(first + kPause + first);
  m_near.m_repeatedScript =
    head + "Id: second\r\n\r\n" + Chunk("id: 1\ndata: b\n\n") + kEnd;
  BOOST_TEST(Contains(Call(RequestOf("Id: first\r\n", "stream"), 100), "a\n"));
  const std::string answer = Call(RequestOf("Id: second\r\n", "stream"));
  BOOST_TEST(!Contains(answer, "data: a"));
  BOOST_TEST(Contains(answer, "data: b"));
}
