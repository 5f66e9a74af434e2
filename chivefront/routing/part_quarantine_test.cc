// Prompt parts that crash upstreams, and parts that only look like it.
#define BOOST_TEST_MODULE part_quarantine
#include <boost/test/unit_test.hpp>

#include "chivefront/routing/part_quarantine.h"

using namespace chivefront;
using namespace chivefront::routing;

namespace {

constexpr PartKey kTainted = 1;
constexpr PartKey kShared = 2; // also in sound requests

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
            const std::vector<PartKey>& aParts,
            bool aHeadRead = true)
  {
    m_evidence.OnLoss(
      { ++m_upstream, aRequest, aHeadRead, At(aSentAt), At(aSentAt + 100) },
      aParts);
  }
  // Reports twice, as entries do, and returns the parts that are quarantined.
  std::set<PartKey> Decide(int64_t aNow)
  {
    for (int i = 0; i < 2; ++i) {
      m_quarantine.Record(m_evidence.Report(m_quarantine.Suspects(), At(aNow)));
      (void)m_quarantine.Update(At(aNow));
    }
    std::set<PartKey> parts;
    for (const auto& [part, until] : m_quarantine.Quarantined()) {
      parts.insert(part);
    }
    return parts;
  }

  uint64_t m_upstream = 0;
  PartEvidence m_evidence;
  PartQuarantine m_quarantine;
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
  const std::set<PartKey> parts = Decide(2000);
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
                        At(100 + i * 200),
                        At(200 + i * 200) },
                      { kShared });
  }
  const std::set<PartKey> parts = Decide(2000);
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

// Guards against a new leader that lets requests with a known tainted part
// through, because it has seen no losses itself.
BOOST_AUTO_TEST_CASE(NewLeaderAdoptsDecisions)
{
  PartQuarantine quarantine;
  quarantine.Adopt({ { kTainted, At(5000) } });
  (void)quarantine.Update(At(4000));
  BOOST_TEST(quarantine.Quarantined().count(kTainted) == 1U);
  (void)quarantine.Update(At(5000));
  BOOST_TEST(quarantine.Quarantined().empty());
}
