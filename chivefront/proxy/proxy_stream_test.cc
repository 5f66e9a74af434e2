// Tests of streams: how they are resumed, and which are refused.
#define BOOST_TEST_MODULE proxy_streams
#include <boost/test/unit_test.hpp>

#include "chivefront/proxy/testing/entry_fixture.h"

using namespace chivefront;
using namespace chivefront::proxy::testing;

// Guards against a partial or a repeated event: the connection to the upstream
// breaks in the middle of event 2, and the stream is resumed elsewhere after
// event 1.
BOOST_FIXTURE_TEST_CASE(StreamResumesAfterLastCompleteEvent, RunningEntry)
{
  m_near.AddScript(kStreamHead + Chunk("id: 1\ndata: a\n\n") +
                   Chunk("id: 2\nda") + kCloseConnection);
  m_far.AddScript(kStreamHead + Chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n");
  const std::string answer = Call(MakeRequest("stream", "Model: any\r\n"));
  BOOST_TEST(Contains(answer, "\r\nid: 1\ndata: a\n\n\r\n"));
  BOOST_TEST(Contains(answer, "\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n"));
  BOOST_REQUIRE(m_far.m_requests.size() == 1U);
  BOOST_TEST(Contains(m_far.m_requests[0], "After: 1"));
}

// Guards against an error body appended to a stream: the upstream that should
// resume the stream responds with an error. The stream must look truncated, not
// complete. (Seen in tesfaye-fans hunt-0296-15 and fresh-d96d, ORDER: the error
// body was appended and the stream ended as if it were complete.)
BOOST_AUTO_TEST_CASE(UpstreamErrorIsNotAppendedToStream)
{
  for (const char* status : { "500 Oops", "404 Gone" }) {
    RunningEntry entry;
    entry.m_near.AddScript(kStreamHead + Chunk("id: 1\ndata: a\n\n") +
                           kCloseConnection);
    entry.m_far.AddScript("HTTP/1.1 " + std::string(status) +
                          "\r\nId: $ID\r\nSeal: s\r\nContent-Length: 3\r\n\r\n"
                          "bad");
    const std::string answer =
      entry.Call(MakeRequest("stream", "Model: any\r\n"));
    BOOST_TEST(entry.m_far.m_requests.size() == 1U, status);
    BOOST_TEST(Contains(answer, "id: 1"), status);
    BOOST_TEST(!Contains(answer, "bad"), status);
    BOOST_TEST(!Contains(answer, "0\r\n\r\n"), status);
  }
}

// Guards against the text or the head of an error in the middle of a stream,
// however the error is framed and whether or not it says that nothing ran.
BOOST_AUTO_TEST_CASE(ErrorOfAnyFramingIsNotAppendedToStream)
{
  const std::string end = kCloseConnection;
  for (const std::string status :
       { "302 Found", "400 Bad", "429 Many", "500 Oops", "503 Full" }) {
    for (const std::string& rest :
         { std::string("Content-Length: 3\r\n\r\nbad"),
           "Transfer-Encoding: chunked\r\n\r\n" + Chunk("bad") + "0\r\n\r\n",
           "\r\nbad" + end,
           "\r\nid: 2\ndata: bad\n\n" + end }) {
      RunningEntry entry;
      entry.m_near.AddScript(kStreamHead + Chunk("id: 1\ndata: a\n\n") +
                             Chunk("id: 2\nda") + kCloseConnection);
      entry.m_far.AddScript("HTTP/1.1 " + status +
                            "\r\nId: $ID\r\nSeal: s\r\n" + rest);
      const std::string answer =
        entry.Call(MakeRequest("stream", "Model: any\r\n"));
      BOOST_TEST(entry.m_far.m_requests.size() == 1U, status);
      BOOST_TEST(Contains(answer, "id: 1"), status);
      BOOST_TEST(!Contains(answer, "bad"), status << rest);
      BOOST_TEST(answer.find("HTTP/1.1", 1) == std::string::npos, status);
      BOOST_TEST(!Contains(answer, "0\r\n\r\n"), status << rest);
    }
  }
}

// Guards against giving up a stream that breaks while the only other upstream
// is in backoff after failures. The stream waits for it, however long it has
// run.
BOOST_FIXTURE_TEST_CASE(StreamWaitsForUpstreamInBackoff, RunningEntry)
{
  const std::string full =
    "HTTP/1.1 503 Full\r\nId: $ID\r\nContent-Length: 0\r\n\r\n";
  RunFor(3100);                // a new entry waits longer for any upstream
  constexpr int kFailures = 3; // backoff of 0.2, 0.4 and 0.8 s
  for (int i = 0; i < kFailures; ++i) {
    RunFor(i == 0 ? 0 : 230 * i);
    m_near.AddScript(full);
    m_far.AddScript(kCloseConnection);
    (void)Call(MakeRequest("once"));
  }
  RunFor(150);
  const std::string pause = kPauseWriting;
  m_near.AddScript(kStreamHead + Chunk("id: 1\ndata: a\n\n") + pause +
                   Chunk("id: 2\ndata: b\n\n") + pause + kCloseConnection);
  m_far.AddScript(kStreamHead + Chunk("id: 3\ndata: c\n\n") + "0\r\n\r\n");
  const std::string answer = Call(MakeRequest("stream", "Model: any\r\n"));
  BOOST_TEST(m_far.m_requests.size() == 4U);
  BOOST_TEST(Contains(answer, "\r\nid: 3\ndata: c\n\n\r\n0\r\n\r\n"));
}

// Guards against waiting for an upstream that loses its network in the middle
// of a stream: the connection stays open and no bytes come.
BOOST_FIXTURE_TEST_CASE(SilentStreamResumesElsewhere, RunningEntry)
{
  m_near.AddScript(kStreamHead + Chunk("id: 1\ndata: a\n\n") + kHoldConnection);
  m_far.AddScript(kStreamHead + Chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n");
  const std::string answer = Call(MakeRequest("stream", "Model: any\r\n"));
  BOOST_TEST(Contains(answer, "\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n"));
  BOOST_REQUIRE(m_far.m_requests.size() == 1U);
  BOOST_TEST(Contains(m_far.m_requests[0], "After: 1"));
  BOOST_TEST(m_near.m_closedByPeer == 1);
}

// Guards against blaming the upstream for a slow caller: the entry does not
// read from the upstream while the caller does not read.
BOOST_AUTO_TEST_CASE(SlowCallerDoesNotMakeUpstreamSilent)
{
  // Entry, upstream and caller share a thread, so that 10 MB take over a second
  // on a busy machine.
  constexpr int64_t kMaxMillis = 15000;
  const base::Millis timeout{ kMaxMillis };
  EntryFixture fixture(timeout);
  fixture.Start();
  fixture.Configure();
  fixture.m_callerReadDelay = base::Millis(1200);
  constexpr size_t kEventBytes = 32 * 1024;
  constexpr int kEvents = 320; // more than the socket buffers hold
  std::string events;
  for (int i = 1; i <= kEvents; ++i) {
    events += "id: " + std::to_string(i) +
              "\ndata: " + std::string(kEventBytes, 'x') + "\n\n";
  }
  fixture.m_near.AddScript(
    "HTTP/1.1 200 OK\r\nId: $ID\r\nSeal: s\r\nSure: 90\r\n"
    "Content-Length: " +
    std::to_string(events.size()) + "\r\n\r\n" + events);
  const std::string answer = fixture.Call(
    MakeRequest("stream", "Model: any\r\nPatience: 15000\r\n"), kMaxMillis);
  BOOST_TEST(fixture.m_far.m_requests.empty());
  BOOST_TEST(Contains(answer, "id: 320\n"));
}

// Guards against closing a silent stream when no other upstream can resume it.
BOOST_FIXTURE_TEST_CASE(SilentStreamWaitsWithoutOtherUpstream, EntryFixture)
{
  Start();
  m_onlyNear = true;
  Configure();
  m_near.AddScript(kStreamHead + Chunk("id: 1\ndata: a\n\n") + kHoldConnection);
  (void)Call(MakeRequest("stream", "Model: any\r\n"), 1200);
  BOOST_TEST(m_near.m_requests.size() == 1U);
  BOOST_TEST(m_far.m_requests.empty());
  // The connection ended when the caller disconnected.
  BOOST_TEST(m_near.m_closedByPeer == 1);
}

// Guards against a truncated stream that looks complete: no upstream can resume
// it, so the final chunk must be missing.
BOOST_FIXTURE_TEST_CASE(UnresumableStreamLooksTruncated, RunningEntry)
{
  const std::string broken =
    kStreamHead + Chunk("id: 1\ndata: a\n\n") + kCloseConnection;
  m_near.AddScript(broken);
  m_far.AddScript(kCloseConnection);
  const std::string answer = Call(MakeRequest("stream", "Model: any\r\n"));
  BOOST_TEST(Contains(answer, "id: 1"));
  BOOST_TEST(!Contains(answer, "0\r\n\r\n"));
}

// Guards against forwarding a low-confidence response: the smallest model
// reports confidence 10, so the request is sent to a larger model and the
// caller gets only its response.
BOOST_FIXTURE_TEST_CASE(LowConfidenceResponseEscalatesToLargerModel,
                        RunningEntry)
{
  m_near.AddScript("HTTP/1.1 200 OK\r\nId: $ID\r\nSeal: s\r\nSure: 10\r\n"
                   "Transfer-Encoding: chunked\r\n\r\n" +
                   Chunk("id: 1\ndata: poor\n\n") + kHoldConnection);
  for (ScriptedUpstream* upstream : { &m_near, &m_far }) {
    upstream->AddScript(kStreamHead + Chunk("id: 1\ndata: rich\n\n") +
                        "0\r\n\r\n");
  }
  const std::string answer = Call(MakeRequest("stream", "Model: any\r\n"));
  BOOST_TEST(Contains(answer, "rich"));
  BOOST_TEST(!Contains(answer, "poor"));
  BOOST_TEST(Contains(m_near.m_requests[0], "Model: small"));
  const std::string& second =
    m_far.m_requests.empty() ? m_near.m_requests.at(1) : m_far.m_requests[0];
  BOOST_TEST(Contains(second, "Model: large"));
  BOOST_TEST(m_near.m_closedByPeer == 1); // the first attempt was cancelled
}

// Guards against cutting running requests at the old timeout after the operator
// has raised the timeout of their route. (Seen in tesfaye-fans hunt-1abc-7 and
// hunt-c955-27, LOST: streams were cut after 6 s.)
BOOST_AUTO_TEST_CASE(NewerConfigurationGivesRunningRequestsMoreTime)
{
  EntryFixture entry(base::Millis(300));
  entry.Start();
  entry.m_onlyNear = true; // else a silent stream is resumed elsewhere
  entry.Configure();
  entry.m_near.AddScript(kStreamHead + Chunk("id: 1\ndata: a\n\n") +
                         kHoldConnection);
  net::Spawn(
    entry.m_context.get_executor(), "test", [&entry]() -> net::Task<void> {
      co_await net::Sleep(base::Millis(100));
      entry.m_config = EntryFixture::MakeConfig(base::Millis(900));
      entry.Configure(2);
    });
  const base::TimePoint start = base::SteadyClock::Instance().Now();
  (void)entry.Call(MakeRequest("stream", "Model: any\r\n"), 1500);
  // The newer configuration's timeout of 900 ms applied, not the old 300 ms.
  const base::Millis took = base::SteadyClock::Instance().Now() - start;
  BOOST_TEST(took.Count() >= 800);
  BOOST_TEST(entry.m_near.m_closedByPeer == 1);
}

// Guards against a stream that starts during a drain and is cut when the
// process exits, even if it starts with 6.9 s left. Requests that are not
// streams are still served. (Seen in tesfaye-fans trouble-2, seed 532579729700,
// LOST: a stream started and was cut at the end; in seed 701827071839 and in
// salins-booking trouble-2, seed 103794320575: one that started with 6.9 s
// left.)
BOOST_FIXTURE_TEST_CASE(DrainRefusesStreamsThatWouldBeCut, RunningEntry)
{
  net::Spawn(m_context.get_executor(), "test", [this]() -> net::Task<void> {
    co_await m_entry->Drain(base::Millis(1000), base::Millis(15000));
  });
  RunFor(20);
  m_near.AddScript(kGoodResponse);
  const std::string refused =
    Call(MakeRequest("stream", "Model: any\r\n"), 300);
  BOOST_TEST(Contains(refused, "HTTP/1.1 503"));
  BOOST_TEST(Contains(refused, "not_run"));
  BOOST_TEST(m_near.m_requests.empty());
  BOOST_TEST(Contains(Call(MakeRequest("plain"), 300), "good"));
}

// Guards against a stream that is cut on the old version, goes on at a bad new
// one that a roll-out has just brought in, and ends there.
BOOST_FIXTURE_TEST_CASE(ResumedStreamStaysOnItsVersion, EntryFixture)
{
  m_farVersion = "v1";
  m_secondFar = std::make_unique<ScriptedUpstream>(m_context);
  m_withoutNear = true;
  Start();
  Configure();
  const std::string pause = kPauseWriting;
  m_secondFar->AddScript(kStreamHead + Chunk("id: 1\ndata: a\n\n") + pause +
                         kCloseConnection);
  m_far.AddScript(kStreamHead + Chunk("id: 2\ndata: b\n\n") + Chunk(""));
  for (int i = 0; i < 2; ++i) {
    m_near.AddScript(
      "HTTP/1.1 500 Error\r\nId: $ID\r\nContent-Length: 0\r\n\r\n");
  }
  const auto received = StartCall(MakeRequest("stream"));
  RunFor(100);
  BOOST_REQUIRE(Contains(*received, "data: a"));
  m_withoutNear = false;
  m_nearVersion = "v2";
  Configure(2); // the roll-out begins
  RunFor(500);
  BOOST_TEST(Contains(*received, "data: b"));
  BOOST_TEST(m_near.m_requests.empty());
}

// Guards against a resumed stream that ends because no upstream of its version
// is left.
BOOST_FIXTURE_TEST_CASE(ResumedStreamChangesItsVersionIfItMust, EntryFixture)
{
  m_farVersion = "v1";
  m_withoutNear = true;
  Start();
  Configure();
  const std::string pause = kPauseWriting;
  m_far.AddScript(kStreamHead + Chunk("id: 1\ndata: a\n\n") + pause +
                  kCloseConnection);
  m_near.AddScript(kStreamHead + Chunk("id: 2\ndata: b\n\n") + Chunk(""));
  const auto received = StartCall(MakeRequest("stream"));
  RunFor(100);
  m_withoutNear = false;
  m_nearVersion = "v2";
  Configure(2);
  RunFor(500);
  BOOST_TEST(Contains(*received, "data: b"));
}
