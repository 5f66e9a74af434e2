// Which requests an entry counts as usage.
#define BOOST_TEST_MODULE proxy_usage_count
#include <boost/test/unit_test.hpp>

#include "chivefront/proxy/testing/entry_fixture.h"

using namespace chivefront;
using namespace chivefront::proxy::testing;

namespace {

// A team whose callers send no key.
constexpr char kTeam[] = "fida11";

struct UsageFixture : EntryFixture
{
  explicit UsageFixture(bool aCounts = true, bool aHasTeams = true)
  {
    if (aHasTeams) {
      m_config = MakeConfig(base::Millis(2000), { { kTeam, { "" }, {} } });
    }
    m_usageWindow = base::Millis(aCounts ? 60000 : 0);
    Start();
    Configure();
    wire::WatchReplyT reply;
    reply.true_time_ms = 1767225600000;
    m_watch.Accept(reply);
  }

  // Runs of kTeam, or nothing if the next poll does not mention usage.
  std::optional<uint64_t> Count()
  {
    const wire::WatchRequestT request = m_watch.MakeRequest();
    if (request.usage_window_ms == 0 && request.usage.empty()) {
      return std::nullopt;
    }
    uint64_t count = 0;
    for (const auto& window : request.usage) {
      for (const auto& row : window->counts) {
        BOOST_TEST(row->team == kTeam);
        count += row->requests;
      }
    }
    return count;
  }
};

std::string
Response(const std::string& aStatusAndFields, const std::string& aBody = "bad")
{
  return "HTTP/1.1 " + aStatusAndFields +
         "\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" +
         aBody;
}

struct Case
{
  const char* m_name;
  const char* m_route;
  std::string m_near; // the first upstream does this
  std::string m_far;  // the second one, if it is tried
  uint64_t m_count;
};

const std::vector<Case> kCases{
  { "answers", "once", kGoodResponse, "", 1 },
  { "answers without a body",
    "once",
    Response("200 OK\r\nId: $ID\r\nSeal: s", ""),
    "",
    1 },
  { "answers with an error of the caller",
    "once",
    Response("400 Bad\r\nId: $ID\r\nSeal: s"),
    "",
    1 },
  { "does not run it",
    "plain",
    Response("503 Full\r\nId: $ID"),
    kGoodResponse,
    1 },
  { "closes without an answer", "plain", kCloseConnection, kGoodResponse, 1 },
  { "fails", "plain", Response("500 Oops\r\nId: $ID"), kGoodResponse, 1 },
  { "fails with an unmarked refusal",
    "plain",
    Response("503 Full\r\nId: $ID\r\nRan: 1"),
    kGoodResponse,
    1 },
  { "answers without a seal",
    "plain",
    Response("200 OK\r\nId: $ID"),
    kGoodResponse,
    1 },
  { "breaks off in the body",
    "plain",
    "HTTP/1.1 200 OK\r\nId: $ID\r\nSeal: s\r\nContent-Length: 9\r\n\r\ngo" +
      std::string(kCloseConnection),
    kGoodResponse,
    1 },
  { "streams",
    "stream",
    kStreamHead + Chunk("id: 1\ndata: a\n\n") + Chunk("id: 2\ndata: b\n\n") +
      "0\r\n\r\n",
    "",
    1 },
  { "breaks off in a stream",
    "stream",
    kStreamHead + Chunk("id: 1\ndata: a\n\n") + kCloseConnection,
    kStreamHead + Chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n",
    1 },
  { "is not confident",
    "stream",
    "HTTP/1.1 200 OK\r\nId: $ID\r\nSeal: s\r\nSure: 10\r\n"
    "Transfer-Encoding: chunked\r\n\r\n" +
      Chunk("id: 1\ndata: small\n\n") + "0\r\n\r\n",
    kStreamHead + Chunk("id: 1\ndata: large\n\n") + "0\r\n\r\n",
    1 },
};

} // namespace

// Guards against requests that are not counted or counted again when they are
// repeated, resumed or escalated, and against counts of requests that did not
// run.
BOOST_AUTO_TEST_CASE(EachRequestCountsOnce)
{
  for (const Case& oneCase : kCases) {
    BOOST_TEST_CONTEXT(oneCase.m_name)
    {
      UsageFixture fixture;
      fixture.m_near.AddScript(oneCase.m_near);
      // The next attempt may go to either upstream.
      fixture.m_near.m_repeatedScript = oneCase.m_far;
      fixture.m_far.m_repeatedScript = oneCase.m_far;
      const std::string answer =
        fixture.Call(MakeRequest(oneCase.m_route, "Model: any\r\n"));
      BOOST_TEST(Contains(answer, "HTTP/1.1 "), answer);
      BOOST_TEST(fixture.Count().value() == oneCase.m_count);
    }
  }
}

// Guards against counts, and fields in polls, of a deployment that does not ask
// for them, and of requests that belong to no team.
BOOST_AUTO_TEST_CASE(NothingIsCountedUnasked)
{
  UsageFixture unasked(false);
  unasked.m_near.AddScript(kGoodResponse);
  BOOST_TEST(Contains(unasked.Call(MakeRequest("once")), "good"));
  BOOST_TEST(!unasked.Count().has_value());
  BOOST_TEST(unasked.m_watch.MakeRequest().wall_ms == 0U);
  UsageFixture teamless(true, false);
  teamless.m_near.AddScript(kGoodResponse);
  BOOST_TEST(Contains(teamless.Call(MakeRequest("once")), "good"));
  BOOST_TEST(teamless.Count().value() == 0U);
}
