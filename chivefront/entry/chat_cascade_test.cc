// Tests of the cascade: drafts, ratings, and one bill with a line for each run.
// Promises: billed-once, whole-answer
#define BOOST_TEST_MODULE chat_cascade
#include <boost/test/unit_test.hpp>

#include "chivefront/entry/test_fixture.h"

using namespace chivefront;
using namespace chivefront::entry::testing;

namespace {

// A rating service that accepts every second answer of small-1 and all answers
// of other versions. Answers 503 while m_down is set.
struct FakeRatingService
{
  explicit FakeRatingService(net::asio::io_context& aContext)
    : m_server(aContext, {}, [this](net::HttpExchange& aExchange) {
      return Handle(aExchange);
    })
  {
    (void)m_server.Listen(kAnyPort);
  }

  net::Task<void> Handle(net::HttpExchange& aExchange)
  {
    net::HttpResponse response;
    ++m_all;
    if (m_down) {
      response.m_status = 503;
    } else {
      const std::string& body = aExchange.Request().m_body;
      const bool small = body.find("small-1") != std::string::npos;
      const bool good = !small || m_asked++ % 2 == 0;
      response.m_body = good ? R"({"acceptable":true,"score":1})"
                             : R"({"acceptable":false,"score":0})";
    }
    (void)co_await aExchange.Respond(std::move(response));
  }

  std::atomic<bool> m_down{ false };
  std::atomic<uint32_t> m_asked{ 0 }; // ratings of small-1
  std::atomic<uint32_t> m_all{ 0 };
  net::HttpServer m_server;
};

void
AnswerWithText(net::Link& aLink, wire::MessageT& aMessage)
{
  if (const auto* dispatch = aMessage.body.AsDispatch()) {
    SendChunk(aLink,
              dispatch->request_id,
              dispatch->attempt,
              0,
              R"({"choices":[{"message":{"content":")" + dispatch->version +
                R"("}}]})");
    SendEnd(aLink, dispatch->request_id, dispatch->attempt, 1);
  }
}

} // namespace

// Guards against an answer that contains a rejected draft, a run that is not
// billed, and a run that is billed twice.
BOOST_AUTO_TEST_CASE(EscalationIsOneAnswerAndOneBill)
{
  EventLoop ratingLoop;
  FakeRatingService ratings(ratingLoop.Context());
  entry::EntryLimits limits;
  limits.m_ratingEndpoint = ratings.m_server.BoundEndpoint();
  EntryFixture fixture(limits);
  FakeAgent agent(fixture.m_loop.Context(), "agent-1", 11, AnswerWithText);
  fixture.m_control.Change([&](FakeControl& aControl) {
    aControl.m_upstreams = { agent.Upstream("e1", "small-1"),
                             agent.Upstream("e2", "large-1") };
  });
  BOOST_REQUIRE(fixture.WaitReady(1));
  net::HttpRequest request = EntryFixture::Chat(false);
  const size_t model = request.m_body.find("small");
  request.m_body.replace(model, 5, "auto");
  size_t runs = 0;
  size_t escalated = 0;
  for (int i = 0; i < 600; ++i) {
    const auto answer = fixture.Call(request);
    BOOST_REQUIRE(answer.ok());
    BOOST_TEST_REQUIRE(answer->m_status == 200, answer->m_body);
    const std::string count(
      net::FindHeader(answer->m_headers, "X-Chivefront-Runs"));
    const std::string version(
      net::FindHeader(answer->m_headers, "X-Chivefront-Version"));
    runs += std::stoul(count);
    escalated += count == "2" ? 1 : 0;
    BOOST_TEST(answer->m_body.find(version) != std::string::npos);
    BOOST_TEST((count == "1" || version == "large-1"));
    const std::string cost(
      net::FindHeader(answer->m_headers, "X-Chivefront-Cost-Micros"));
    BOOST_TEST(cost == (count == "2"           ? "50"
                        : version == "small-1" ? "5"
                                               : "45"));
  }
  BOOST_TEST_MESSAGE("escalated " << escalated);
  BOOST_TEST(escalated > 0U);
  BOOST_TEST(fixture.m_control.BillLines() == runs);
  BOOST_TEST(agent.Count(wire::Body::Dispatch) == runs);
  // The entry settles a run before it answers, but does not wait for the agent.
  BOOST_TEST_MESSAGE("settled late: " << runs -
                                           agent.Count(wire::Body::Settled));
  BOOST_TEST(agent.WaitForCount(wire::Body::Settled, runs, kSettlementBound) ==
             runs);
  BOOST_TEST(agent.SettledRuns() == runs);
  // While the rating service is down, a plan has one version, so that no answer
  // waits for a verdict.
  ratings.m_down = true;
  for (int i = 0; i < 50; ++i) {
    const auto answer = fixture.Call(request);
    BOOST_REQUIRE(answer.ok());
    BOOST_TEST(answer->m_status == 200);
    runs += std::stoul(
      std::string(net::FindHeader(answer->m_headers, "X-Chivefront-Runs")));
  }
  // A run that is settled twice or was not counted shows in the end.
  BOOST_TEST(agent.WaitForCount(wire::Body::Settled, runs, kSettlementBound) ==
             runs);
  fixture.m_loop.Stop();
  BOOST_TEST(agent.Count(wire::Body::Settled) == runs);
  BOOST_TEST(agent.SettledRuns() == runs);
}

// Guards against a roll-out that stays on hold because too few of the answers
// that decide on it are rated.
BOOST_AUTO_TEST_CASE(AllAnswersAreRatedWhileHeld)
{
  constexpr uint32_t kRequests = 40;
  EventLoop ratingLoop;
  FakeRatingService ratings(ratingLoop.Context());
  entry::EntryLimits limits;
  limits.m_ratingEndpoint = ratings.m_server.BoundEndpoint();
  EntryFixture fixture(limits);
  FakeAgent agent(fixture.m_loop.Context(), "agent-1", 11, AnswerWithText);
  fixture.m_control.Change([&](FakeControl& aControl) {
    aControl.m_upstreams = { agent.Upstream("e1", "small-1") };
    aControl.m_entries["rollout/small"] =
      std::string(R"({"owner":"ops","class":"free","from":"small-1",)") +
      R"("to":"small-2","stages":[10],"limits":{},"state":"paused",)" +
      R"("reason":")" + catalog::kHeldReason + R"("})";
  });
  BOOST_REQUIRE(fixture.WaitReady(1));
  for (uint32_t i = 0; i < kRequests; ++i) {
    const auto answer = fixture.Call(EntryFixture::Chat(false));
    BOOST_REQUIRE(answer.ok());
    BOOST_TEST(answer->m_status == 200);
  }
  fixture.m_loop.Stop();
  // The last ratings may still be in flight.
  BOOST_TEST(ratings.m_all > kRequests / 2);
}

// Guards against a rating without the text of the answer. The last event of the
// streamed answer is incomplete and must be ignored.
BOOST_AUTO_TEST_CASE(TextOfAnswers)
{
  BOOST_TEST(
    entry::AnswerText(R"({"choices":[{"message":{"content":"one two"}}]})") ==
    "one two");
  BOOST_TEST(entry::AnswerText("no JSON").empty());
  BOOST_TEST(entry::StreamedAnswerText(
               "data: {\"choices\":[{\"delta\":{\"content\":\"one \"}}]}\n\n"
               "data: {\"choices\":[]}\n\n"
               "data: {\"choices\":[{\"delta\":{\"content\":\"two\"}}]}\n\n"
               "data: {\"choices\":[{\"delta\":{\"con") == "one two");
}
