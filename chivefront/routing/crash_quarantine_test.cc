// Prompt parts and requests that crash upstreams, and those that only look like
// it.
#define BOOST_TEST_MODULE crash_quarantine
#include <boost/test/unit_test.hpp>

#include "chivefront/routing/crash_quarantine.h"

using namespace chivefront;
using namespace chivefront::routing;

namespace {

constexpr CauseKey kTainted = 1;
constexpr CauseKey kShared = 2; // also in sound requests
// Keys of whole requests in these tests are at least this.
constexpr CauseKey kRequests = 1000;
constexpr CauseKey kDeadly = kRequests;
constexpr CauseKey kSound = kRequests + 1;

base::TimePoint
At(int64_t aMillis)
{
  return base::TimePoint{ base::Millis(100000 + aMillis) };
}

struct Fixture
{
  // Sends a request with aParts that loses its upstream 100 ms later.
  void Lose(uint64_t aRequest,
            int64_t aSentAt,
            const std::vector<CauseKey>& aParts,
            bool aHeadRead = true,
            bool aAnswerBegun = false)
  {
    m_evidence.OnLoss({ ++m_upstream,
                        aRequest,
                        aHeadRead,
                        aAnswerBegun,
                        At(aSentAt),
                        At(aSentAt + 100) },
                      aParts,
                      kRequests + aRequest);
  }
  // The same after the upstream has begun to answer.
  void LoseInAnswer(uint64_t aRequest,
                    int64_t aSentAt,
                    const std::vector<CauseKey>& aParts)
  {
    m_evidence.OnBegun(aParts, At(aSentAt + 80));
    Lose(aRequest, aSentAt, aParts, true, true);
  }
  // An upstream ends 100 ms after it got the requests in aInFlight.
  void LoseUpstream(int64_t aSentAt, const std::vector<CauseKey>& aInFlight)
  {
    ++m_upstream;
    for (const CauseKey request : aInFlight) {
      m_evidence.OnLoss({ m_upstream,
                          ++m_attempt,
                          false,
                          false,
                          At(aSentAt),
                          At(aSentAt + 100) },
                        {},
                        request);
    }
  }
  // Reports twice, as entries do.
  void Report(int64_t aNow)
  {
    for (int i = 0; i < 2; ++i) {
      m_quarantine.Record(m_evidence.Report(m_quarantine.Suspects(), At(aNow)));
      (void)m_quarantine.Update(At(aNow));
    }
  }
  // Reports, and returns the parts that are quarantined.
  std::set<CauseKey> Decide(int64_t aNow)
  {
    Report(aNow);
    std::set<CauseKey> parts;
    for (const auto& [key, until] : m_quarantine.Quarantined()) {
      if (key < kRequests) {
        parts.insert(key);
      }
    }
    return parts;
  }
  // Reports, and returns the requests that are quarantined.
  std::set<CauseKey> DecideRequests(int64_t aNow)
  {
    const std::set<CauseKey> parts = Decide(aNow);
    std::set<CauseKey> requests;
    for (const auto& [key, until] : m_quarantine.Quarantined()) {
      if (parts.count(key) == 0) {
        requests.insert(key);
      }
    }
    return requests;
  }

  uint64_t m_upstream = 0;
  uint64_t m_attempt = 0;
  CrashEvidence m_evidence;
  CrashQuarantine m_quarantine;
};

} // namespace

// Guards against a prompt part that crashes upstreams one after the other: each
// entry sent each request with it to as many upstreams as a request may use.
BOOST_FIXTURE_TEST_CASE(TaintedPartIsQuarantined, Fixture)
{
  Lose(1, 0, { kTainted });
  Lose(1, 100, { kTainted });
  BOOST_TEST(Decide(900).empty());
  Lose(2, 1000, { kTainted });
  BOOST_TEST(Decide(1200).empty()); // entries may still report an answer
  BOOST_TEST(Decide(1500).count(kTainted) == 1U);
}

// Guards against the refusal of sound requests that share a part with the
// tainted ones, such as the common beginning of all prompts of a route.
BOOST_FIXTURE_TEST_CASE(PartOfSoundRequestsIsCleared, Fixture)
{
  for (int i = 0; i < 6; ++i) {
    Lose(static_cast<uint64_t>(i), i * 200, { kShared, kTainted });
    m_evidence.OnBegun({ kShared }, At(i * 200 + 150));
  }
  const std::set<CauseKey> parts = Decide(2000);
  BOOST_TEST(parts.count(kTainted) == 1U);
  BOOST_TEST(parts.count(kShared) == 0U);
}

// Guards against the refusal of all requests of a route: when a tainted part
// had crashed every upstream, no answer cleared the common beginning of the
// prompts any more (LOST on salins-booking with a share of 0.2, seed 7).
BOOST_FIXTURE_TEST_CASE(CommonPartIsNotBlamedWhileAllUpstreamsAreDown, Fixture)
{
  m_evidence.OnBegun({ kShared }, At(0));
  for (int i = 0; i < 6; ++i) {
    Lose(static_cast<uint64_t>(i), 100 + i * 200, { kShared, kTainted });
    // A sound request waits at the same upstream.
    m_evidence.OnLoss({ m_upstream,
                        static_cast<uint64_t>(100 + i),
                        false,
                        false,
                        At(100 + i * 200),
                        At(200 + i * 200) },
                      { kShared },
                      kRequests + 100 + static_cast<CauseKey>(i));
  }
  const std::set<CauseKey> parts = Decide(2000);
  BOOST_TEST(parts.count(kTainted) == 1U);
  BOOST_TEST(parts.count(kShared) == 0U);
}

// Guards against blaming a popular part for upstreams that fail at the same
// moment, as when a domain loses power.
BOOST_FIXTURE_TEST_CASE(SimultaneousLossesCountOnce, Fixture)
{
  for (uint64_t request = 0; request < 20; ++request) {
    Lose(request, 0, { kShared });
  }
  BOOST_TEST(Decide(1000).empty());
}

// Guards against blaming the parts of one unlucky request.
BOOST_FIXTURE_TEST_CASE(OneRequestIsNotEnough, Fixture)
{
  for (int i = 0; i < 6; ++i) {
    Lose(7, i * 200, { kTainted });
  }
  BOOST_TEST(Decide(2000).empty());
  // The request itself is blamed, also once all losses count.
  BOOST_TEST(DecideRequests(4000).count(kRequests + 7) == 1U);
  BOOST_TEST(Decide(4000).empty());
}

BOOST_FIXTURE_TEST_CASE(WaitingRequestsAreWeakerSuspects, Fixture)
{
  for (int i = 0; i < 5; ++i) {
    Lose(static_cast<uint64_t>(i), i * 200, { kTainted }, false);
  }
  BOOST_TEST(Decide(2000).empty());
  Lose(5, 2000, { kTainted }, false);
  BOOST_TEST(Decide(2600).count(kTainted) == 1U);
}

// Guards against a prompt part that crashes upstreams after the first event of
// an answer: each answer that began erased the losses of the part.
BOOST_FIXTURE_TEST_CASE(PartThatCrashesDuringAnswersIsQuarantined, Fixture)
{
  for (int i = 0; i < 3; ++i) {
    LoseInAnswer(static_cast<uint64_t>(i), i * 500, { kShared, kTainted });
    // Sound requests with the common part go on at other upstreams.
    m_evidence.OnSurvived({ kShared }, At(i * 500 + 450));
  }
  BOOST_TEST(Decide(2000).empty()); // the upstreams may still be heard
  const std::set<CauseKey> parts = Decide(3000);
  BOOST_TEST(parts.count(kTainted) == 1U);
  BOOST_TEST(parts.count(kShared) == 0U);
}

// Guards against the refusal of all requests of a route once answers that are
// cut off count: while no answer clears the common part, the part that no
// answer went on with explains the crashes.
BOOST_FIXTURE_TEST_CASE(PartThatNoAnswerSurvivedIsBlamedFirst, Fixture)
{
  m_evidence.OnSurvived({ kShared }, At(-500));
  for (int i = 0; i < 3; ++i) {
    LoseInAnswer(static_cast<uint64_t>(i), i * 500, { kShared, kTainted });
  }
  const std::set<CauseKey> parts = Decide(3000);
  BOOST_TEST(parts == std::set<CauseKey>{ kTainted });
}

// Guards against blaming a part for connections that are reset during answers
// while the upstreams live.
BOOST_FIXTURE_TEST_CASE(ResetsDuringAnswersAreNoCrashes, Fixture)
{
  for (int i = 0; i < 6; ++i) {
    LoseInAnswer(static_cast<uint64_t>(i), i * 500, { kShared });
    m_quarantine.OnHeard(m_upstream, At(i * 500 + 900));
  }
  BOOST_TEST(Decide(6000).empty());
}

// Guards against a new leader that lets requests with a known tainted part
// through, because it has seen no losses itself.
BOOST_AUTO_TEST_CASE(NewLeaderAdoptsDecisions)
{
  CrashQuarantine quarantine;
  quarantine.Adopt({ { kTainted, At(5000) } });
  (void)quarantine.Update(At(4000));
  BOOST_TEST(quarantine.Quarantined().count(kTainted) == 1U);
  (void)quarantine.Update(At(5000));
  BOOST_TEST(quarantine.Quarantined().empty());
}

// Guards against a request without prompt parts that ends upstreams without
// bound when its caller repeats it.
BOOST_FIXTURE_TEST_CASE(CrashingRequestIsQuarantined, Fixture)
{
  LoseUpstream(0, { kDeadly });
  LoseUpstream(3000, { kDeadly });
  BOOST_TEST(DecideRequests(9000).empty());
  LoseUpstream(10000, { kDeadly });
  BOOST_TEST(DecideRequests(10500).empty()); // may still be heard
  const std::set<CauseKey> requests = DecideRequests(12000);
  BOOST_TEST(requests == std::set<CauseKey>{ kDeadly });
}

// Guards against a request that crashes each upstream during its answer and is
// never refused: the beginning of an answer erased the losses known before, and
// a loss after it was not recorded.
BOOST_FIXTURE_TEST_CASE(RequestThatCrashesDuringAnswersIsQuarantined, Fixture)
{
  for (int i = 0; i < 3; ++i) {
    LoseInAnswer(0, i * 1000, {});
  }
  BOOST_TEST(DecideRequests(2500).empty()); // the last upstream may be heard
  const std::set<CauseKey> requests = DecideRequests(4000);
  BOOST_TEST(requests == std::set<CauseKey>{ kDeadly });
}

// Guards against the report of an entry of an earlier release, which names the
// beginning of answers to whole requests: it must not clear them.
BOOST_AUTO_TEST_CASE(BeginningOfAnAnswerDoesNotClearARequest)
{
  CrashQuarantine quarantine;
  for (uint64_t i = 0; i < 3; ++i) {
    const int64_t sentAt = static_cast<int64_t>(i) * 1000;
    CrashReport report;
    const LostAttempt attempt{ i, i, true, true, At(sentAt), At(sentAt + 100) };
    report.m_losses.push_back({ kDeadly, attempt, true });
    report.m_begun[kDeadly] = At(sentAt + 500);
    quarantine.Record(report);
  }
  (void)quarantine.Update(At(4000));
  BOOST_TEST(quarantine.Quarantined().count(kDeadly) == 1U);
}

// Guards against blaming sound requests that ran beside the one that crashes
// upstreams: they are answered at another upstream.
BOOST_FIXTURE_TEST_CASE(SoundRequestsInFlightAreNotBlamed, Fixture)
{
  for (int i = 0; i < 4; ++i) {
    LoseUpstream(i * 1000, { kSound, kDeadly });
    m_evidence.OnAnswered({}, kSound, At(i * 1000 + 500));
  }
  const std::set<CauseKey> requests = DecideRequests(8000);
  BOOST_TEST(requests == std::set<CauseKey>{ kDeadly });
}

// Guards against polls that grow with each lost attempt: losses of requests
// that were answered since were reported for two minutes.
BOOST_FIXTURE_TEST_CASE(LossesOfAnsweredRequestsAreNotReported, Fixture)
{
  LoseUpstream(0, { kSound, kDeadly });
  m_evidence.OnAnswered({}, kSound, At(500));
  const CrashReport report = m_evidence.Report({ kSound }, At(600));
  BOOST_REQUIRE(report.m_losses.size() == 1U);
  BOOST_TEST(report.m_losses.front().m_cause == kDeadly);
  // The leader may know the loss already, so it is told of the answer.
  BOOST_TEST(report.m_survived.count(kSound) == 1U);
}

// Guards against blaming a request for connections that break while the
// upstreams live, as when a link is reset.
BOOST_FIXTURE_TEST_CASE(UpstreamThatIsHeardAgainHasNotCrashed, Fixture)
{
  for (int i = 0; i < 6; ++i) {
    LoseUpstream(i * 1000, { kSound });
    m_quarantine.OnHeard(m_upstream, At(i * 1000 + 900));
  }
  BOOST_TEST(DecideRequests(9000).empty());
}

// Guards against blaming a request for connections that break while the
// upstreams live and register with another control process, which passes
// renewals on in batches. A request that does crash upstreams is found later.
BOOST_FIXTURE_TEST_CASE(DelayedRegistrationIsASignOfLife, Fixture)
{
  constexpr int64_t kDelay = 3000;
  constexpr int64_t kCounts = kRequestLossDelay.Count() + kDelay;
  m_quarantine.SetRegistrationDelay(base::Millis(kDelay));
  for (int64_t at = 0; at < 60000; at += 5000) {
    LoseUpstream(at, { kSound });
    LoseUpstream(at, { kSound });
    for (int64_t heard = 1100; heard <= kDelay + 1100; heard += 500) {
      BOOST_TEST(DecideRequests(at + heard).empty());
    }
    m_quarantine.OnHeard(m_upstream, At(at + 1100));
    m_quarantine.OnHeard(m_upstream - 1, At(at + 1100));
  }
  for (int64_t at = 60000; at < 63000; at += 1000) {
    LoseUpstream(at, { kDeadly });
  }
  BOOST_TEST(DecideRequests(62100 + kCounts - 1).empty());
  BOOST_TEST(DecideRequests(62100 + kCounts).count(kDeadly) == 1U);
}

// Guards against a crash that the last registration of the upstream hides: it
// was sent just before the crash.
BOOST_FIXTURE_TEST_CASE(RegistrationBeforeTheCrashIsNoSignOfLife, Fixture)
{
  for (int i = 0; i < 3; ++i) {
    LoseUpstream(i * 1000, { kDeadly });
    m_quarantine.OnHeard(m_upstream, At(i * 1000 + 150));
  }
  BOOST_TEST(DecideRequests(9000).count(kDeadly) == 1U);
}

// Guards against blaming a request for broken connections to upstreams that end
// much later, for another reason.
BOOST_FIXTURE_TEST_CASE(UpstreamThatEndsMuchLaterHasSurvived, Fixture)
{
  for (int i = 0; i < 4; ++i) {
    LoseUpstream(i * 1000, { kSound });
    m_quarantine.OnHeard(m_upstream, At(i * 1000 + 900));
    m_quarantine.OnHeard(m_upstream, At(i * 1000 + 30000));
    m_quarantine.OnEnded(m_upstream, At(i * 1000 + 40000));
  }
  BOOST_TEST(DecideRequests(50000).empty());
}

// Guards against a request that is forgotten between two repeats, or with the
// leader that counted its first losses.
BOOST_FIXTURE_TEST_CASE(NewLeaderCountsEarlierLosses, Fixture)
{
  LoseUpstream(0, { kDeadly });
  LoseUpstream(25000, { kDeadly });
  BOOST_TEST(DecideRequests(28000).empty());
  m_quarantine = CrashQuarantine();
  LoseUpstream(60000, { kDeadly });
  BOOST_TEST(DecideRequests(62000).count(kDeadly) == 1U);
}

// Guards against a tainted part that is never found because each request with
// it is quarantined before: the losses count for both.
BOOST_FIXTURE_TEST_CASE(QuarantinedRequestsDoNotHideATaintedPart, Fixture)
{
  for (int request = 0; request < 2; ++request) {
    for (int i = 0; i < 3; ++i) {
      Lose(static_cast<uint64_t>(request),
           request * 5000 + i * 200,
           { kTainted },
           false);
    }
    Report(request * 5000 + 4000);
  }
  BOOST_TEST(Decide(10000).count(kTainted) == 1U);
}

// Guards against one key for two requests: what differs between two callers, or
// between path and body, must differ in the key.
BOOST_AUTO_TEST_CASE(RequestKeysDiffer)
{
  const RequestIdentity first{ "key-1", "POST", "desk", "/book", "seat 1" };
  RequestIdentity caller = first;
  caller.m_caller = "key-2";
  RequestIdentity body = first;
  body.m_body = "seat 2";
  RequestIdentity moved = first;
  moved.m_target = "/bookseat";
  moved.m_body = " 1";
  const std::set<CauseKey> keys{ MakeRequestKey(first),
                                 MakeRequestKey(caller),
                                 MakeRequestKey(body),
                                 MakeRequestKey(moved) };
  BOOST_TEST(keys.size() == 4U);
  BOOST_TEST(MakeRequestKey(first) == MakeRequestKey(first));
}
