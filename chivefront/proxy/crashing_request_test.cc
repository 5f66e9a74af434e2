// A request that ends each upstream which runs it, and that its caller sends
// again and again. The stand-in closes the connection without an answer and
// comes back as another incarnation.
#define BOOST_TEST_MODULE crashing_request
#include <boost/test/unit_test.hpp>

#include "chivefront/proxy/testing/entry_fixture.h"
#include "chivefront/routing/crash_quarantine.h"

using namespace chivefront;
using namespace chivefront::proxy;
using namespace chivefront::proxy::testing;

namespace {

constexpr int kRepeats = 8;
// The third crash, and at most as many attempts as a request has until the
// losses are known.
constexpr size_t kMostCrashes = 6;

struct CrashingRequestFixture : RunningEntry
{
  // Both upstreams are back as new incarnations after they have ended.
  void RestartUpstreams()
  {
    ++m_born;
    wire::WatchReplyT reply;
    AddUpstream("one", "near", m_near, "", reply);
    AddUpstream("two", "far", m_far, "", reply);
    for (const auto& upstream : reply.upstreams) {
      upstream->born = m_born;
    }
    m_watch.Accept(reply);
  }

  // The upstream sends one event of a stream, and then crashes or ends the
  // stream.
  static void AddStream(ScriptedUpstream& aUpstream, int aEvent, bool aCrashes)
  {
    const std::string event =
      Chunk("id: " + std::to_string(aEvent) + "\ndata: a\n\n");
    aUpstream.AddScript(kStreamHead + event +
                        (aCrashes ? kCloseConnection : "0\r\n\r\n"));
  }

  // Losses of whole requests in the next report of the entry.
  size_t ReportedRequestLosses()
  {
    size_t losses = 0;
    for (const auto& row : m_watch.MakeRequest().part_losses) {
      losses += row->whole_request ? 1 : 0;
    }
    return losses;
  }

  // One poll of a control process, in which m_quarantine decides on all losses.
  void PollControl()
  {
    const base::TimePoint now = base::SteadyClock::Instance().Now();
    m_quarantine.Record(site::ReadCrashReport(m_watch.MakeRequest(), now));
    (void)m_quarantine.Update(now + routing::kRequestLossDelay);
    wire::WatchReplyT reply;
    for (const routing::CauseKey key : m_quarantine.Suspects()) {
      reply.suspect_parts.push_back(key);
    }
    reply.quarantined_parts = site::ToWire(m_quarantine.Quarantined(), now);
    m_watch.Accept(reply);
  }

  // Sends aRequest kRepeats times, each followed by a poll. Returns the last
  // answer.
  std::string Repeat(const std::string& aRequest)
  {
    std::string answer;
    for (int i = 0; i < kRepeats; ++i) {
      RestartUpstreams();
      answer = Call(aRequest);
      PollControl();
      // The next report carries which suspects were answered.
      PollControl();
    }
    return answer;
  }

  size_t Crashes() const
  {
    return m_near.m_requests.size() + m_far.m_requests.size();
  }

  uint64_t m_born = 1;
  routing::CrashQuarantine m_quarantine;
};

} // namespace

// Guards against a request without prompt parts that ends one upstream after
// the other: its losses left no evidence, so each repeat of the caller was sent
// on.
BOOST_FIXTURE_TEST_CASE(RepeatedCrashingRequestIsRefused,
                        CrashingRequestFixture)
{
  const std::string answer = Repeat(MakeRequest("plain"));
  BOOST_TEST(Contains(answer, "HTTP/1.1 503 "), answer);
  BOOST_TEST(Contains(answer, "request_quarantined"), answer);
  BOOST_TEST(!Contains(answer, "Retry-After"), answer);
  BOOST_TEST(Crashes() <= kMostCrashes, Crashes() << " crashes");
  // Another request of the same caller is served.
  RestartUpstreams();
  m_near.AddScript(kGoodResponse);
  BOOST_TEST(Contains(
    Call("GET /plain/other HTTP/1.1\r\nHost: desk.example\r\nId: r2\r\n"
         "Connection: close\r\n\r\n"),
    "good"));
}

// Guards against the same with a request that may run only once: it is sent
// once for each repeat of the caller.
BOOST_FIXTURE_TEST_CASE(RepeatedCrashingRequestThatRunsOnceIsRefused,
                        CrashingRequestFixture)
{
  const std::string answer = Repeat(MakeRequest("once"));
  BOOST_TEST(Contains(answer, "HTTP/1.1 503 "), answer);
  BOOST_TEST(Contains(answer, "request_quarantined"), answer);
  BOOST_TEST(Crashes() <= kMostCrashes, Crashes() << " crashes");
}

// Guards against a request that ends each upstream after the first event of its
// answer: the first event counted as an answer, so the request was never
// refused.
BOOST_FIXTURE_TEST_CASE(RequestThatCrashesAfterItsFirstEventIsRefused,
                        CrashingRequestFixture)
{
  for (int i = 0; i < kRepeats; ++i) {
    AddStream(m_near, 1, true);
    AddStream(m_far, 2, true);
  }
  const std::string answer = Repeat(MakeRequest("stream"));
  BOOST_TEST(Contains(answer, "HTTP/1.1 503 "), answer);
  BOOST_TEST(Contains(answer, "request_quarantined"), answer);
  BOOST_TEST(Crashes() <= kMostCrashes, Crashes() << " crashes");
}

// Guards against the same when another upstream completes the stream: the rest
// of an answer does not show that the request is sound.
BOOST_FIXTURE_TEST_CASE(ResumedStreamDoesNotClearItsRequest,
                        CrashingRequestFixture)
{
  for (int i = 0; i < kRepeats; ++i) {
    AddStream(m_near, 1, true);
    AddStream(m_far, 2, false);
  }
  const std::string answer = Repeat(MakeRequest("stream"));
  BOOST_TEST(Contains(answer, "request_quarantined"), answer);
  BOOST_TEST(m_near.m_requests.size() <= kMostCrashes);
}

// Guards against the refusal of a sound stream that is repeated often, and
// whose upstream fails now and then in the middle of the answer.
BOOST_FIXTURE_TEST_CASE(StreamThatIsAnsweredWholeIsNotBlamed,
                        CrashingRequestFixture)
{
  for (int i = 0; i < kRepeats; ++i) {
    AddStream(m_near, 1, i % 2 == 0);
    if (i % 2 == 0) {
      AddStream(m_far, 2, false);
    }
  }
  const std::string answer = Repeat(MakeRequest("stream"));
  BOOST_TEST(Contains(answer, "data: a"), answer);
  BOOST_TEST(m_quarantine.Quarantined().empty());
}

// Guards against a crash that leaves no evidence because a part of a large body
// had been forwarded.
BOOST_FIXTURE_TEST_CASE(CrashDuringALargeBodyIsReported, CrashingRequestFixture)
{
  constexpr size_t kBodyBytes = 3 * 1024 * 1024;
  m_near.AddScript("HTTP/1.1 200 OK\r\nId: $ID\r\nSeal: s\r\nContent-Length: " +
                   std::to_string(2 * kBodyBytes) + "\r\n\r\n" +
                   std::string(kBodyBytes, 'b') + kCloseConnection);
  (void)Call(MakeRequest("once"));
  BOOST_TEST(ReportedRequestLosses() == 1U);
}

// Guards against a crash that leaves no evidence because a late copy of another
// answer came before it.
BOOST_FIXTURE_TEST_CASE(CrashAfterAStrayAnswerIsReported,
                        CrashingRequestFixture)
{
  const std::string stray =
    "HTTP/1.1 200 OK\r\nId: other\r\nSeal: s\r\nContent-Length: 4\r\n\r\ngood";
  m_near.AddScript(stray + kCloseConnection);
  (void)Call(MakeRequest("once"));
  BOOST_TEST(ReportedRequestLosses() == 1U);
}

// Guards against the refusal of a sound request that is repeated often and
// whose upstream fails now and then: an answer in between clears it.
BOOST_FIXTURE_TEST_CASE(AnsweredRequestIsNotBlamed, CrashingRequestFixture)
{
  for (int i = 0; i < kRepeats; ++i) {
    m_near.AddScript(i % 2 == 0 ? kCloseConnection : kGoodResponse);
  }
  const std::string answer = Repeat(MakeRequest("once"));
  BOOST_TEST(Contains(answer, "good"), answer);
  BOOST_TEST(m_quarantine.Quarantined().empty());
}
