// The choice of an upstream under load, with failing and slow upstreams, and
// the share of requests that a roll-out moves.
#define BOOST_TEST_MODULE routing_choice
#include <boost/test/unit_test.hpp>

#include <map>
#include <memory>

#include "chivefront/routing/choice.h"
#include "chivefront/routing/latency_baselines.h"
#include "chivefront/routing/rollout_share.h"

using namespace chivefront;
using namespace chivefront::routing;

namespace {

constexpr base::TimePoint kNow{ base::Millis(100000) };

struct Fleet
{
  explicit Fleet(size_t aCount, uint32_t aSlots = 64)
  {
    for (size_t i = 0; i < aCount; ++i) {
      auto instance = std::make_unique<Instance>();
      instance->m_id = "upstream-" + std::to_string(i);
      instance->m_domain = i % 2 == 0 ? "near" : "far";
      m_instances.push_back(std::move(instance));
      m_estimates.push_back(std::make_unique<UpstreamEstimate>());
      m_candidates.push_back(
        { m_instances.back().get(), m_estimates.back().get(), aSlots });
    }
  }

  size_t Choose(const ChoiceCriteria& aCriteria) const
  {
    return ChooseUpstream(m_candidates, aCriteria, kNow);
  }

  std::vector<std::unique_ptr<Instance>> m_instances;
  std::vector<std::unique_ptr<UpstreamEstimate>> m_estimates;
  std::vector<Candidate> m_candidates;
};

ChoiceCriteria
CriteriaOfNearEntry()
{
  ChoiceCriteria criteria;
  criteria.m_ownDomain = "near";
  return criteria;
}

} // namespace

BOOST_AUTO_TEST_CASE(IdleUpstreamsOfOwnDomainArePreferred)
{
  const Fleet fleet(4);
  BOOST_TEST(fleet.Choose(CriteriaOfNearEntry()) % 2 == 0U);
}

// Guards against sending a burst of small requests from one entry to a single
// upstream before any load report arrives.
BOOST_AUTO_TEST_CASE(BurstSpreadsOverAllUpstreams)
{
  Fleet fleet(4, 6);
  std::map<size_t, int> counts;
  for (int i = 0; i < 24; ++i) {
    const size_t chosen = fleet.Choose(CriteriaOfNearEntry());
    fleet.m_estimates[chosen]->OnSent();
    counts[chosen] += 1;
  }
  for (const auto& [index, count] : counts) {
    BOOST_TEST(count <= 7, "upstream " << index);
  }
  BOOST_TEST(counts.size() == 4U);
}

// Guards against a long prompt that is read once per entry: entries that have
// not sent it yet choose the same upstream.
BOOST_AUTO_TEST_CASE(EntriesChooseSameUpstreamForLongPrompt)
{
  ChoiceCriteria criteria = CriteriaOfNearEntry();
  criteria.m_sharedParts = { { "m/lead", 500 }, { "m/subject", 5000 } };
  const size_t first = Fleet(9).Choose(criteria);
  criteria.m_ownDomain = "far";
  BOOST_TEST(Fleet(9).Choose(criteria) == first);
}

// Guards against needless traffic between failure domains: for short prompts,
// which are cheap to read, a moderately loaded upstream of the entry's own
// domain is preferred to one elsewhere that has the prompt cached.
BOOST_AUTO_TEST_CASE(ShortPromptsStayInOwnDomain)
{
  Fleet fleet(4);
  ChoiceCriteria criteria = CriteriaOfNearEntry();
  criteria.m_sharedParts = { { "m/question", 200 } };
  fleet.m_estimates[1]->OnPromptPartSent("m/question", kNow); // far
  fleet.m_estimates[0]->OnLoad(8, 0, kNow);
  fleet.m_estimates[2]->OnLoad(8, 0, kNow);
  BOOST_TEST(fleet.Choose(criteria) % 2 == 0U);
  // With half of the slots of the near upstreams in use, a far one is chosen.
  fleet.m_estimates[0]->OnLoad(32, 0, kNow);
  fleet.m_estimates[2]->OnLoad(32, 0, kNow);
  BOOST_TEST(fleet.Choose(criteria) % 2 == 1U);
}

BOOST_AUTO_TEST_CASE(CachedPromptOutweighsDistance)
{
  Fleet fleet(4);
  ChoiceCriteria criteria = CriteriaOfNearEntry();
  criteria.m_sharedParts = { { "m/lead", 500 }, { "m/subject", 5000 } };
  for (const SharedPromptPart& part : criteria.m_sharedParts) {
    fleet.m_estimates[3]->OnPromptPartSent(part.m_key, kNow);
  }
  BOOST_TEST(fleet.Choose(criteria) == 3U);
  // Except when that upstream is far beyond its slots.
  fleet.m_estimates[3]->OnLoad(60, 30, kNow);
  BOOST_TEST(fleet.Choose(criteria) != 3U);
}

// Guards against cache affinity that outweighs queueing: many requests share a
// prompt, so the upstream that has it cached gets a queue of long prompts while
// others have none. (Seen in tesfaye-fans scale-1, after 40 s: six of the 15
// remaining upstreams had 178 of 223 requests.)
BOOST_AUTO_TEST_CASE(QueuedPromptsOutweighCachedPrompt)
{
  Fleet fleet(4);
  ChoiceCriteria criteria = CriteriaOfNearEntry();
  criteria.m_sharedParts = { { "m/lead", 500 }, { "m/subject", 5000 } };
  for (const SharedPromptPart& part : criteria.m_sharedParts) {
    fleet.m_estimates[2]->OnPromptPartSent(part.m_key, kNow);
  }
  fleet.m_estimates[2]->OnLoad(8, 0, kNow); // running requests don't queue
  BOOST_TEST(fleet.Choose(criteria) == 2U);
  fleet.m_estimates[2]->OnLoad(8, 1, kNow);
  BOOST_TEST(fleet.Choose(criteria) != 2U);
  // The weight of a load report decreases with its age.
  BOOST_TEST(ChooseUpstream(
               fleet.m_candidates, criteria, kNow + base::Millis(1400)) == 2U);
}

// An entry counts its own requests as waiting until their answer heads arrive.
BOOST_AUTO_TEST_CASE(OwnRequestsWaitUntilHeadsArrive)
{
  UpstreamEstimate estimate;
  estimate.OnSent();
  estimate.OnSent();
  BOOST_TEST(estimate.Waiting(kNow) == 2);
  estimate.OnLoad(0, 5, kNow); // two of the five are this entry's
  BOOST_TEST(estimate.Waiting(kNow) == 5);
  estimate.OnHead();
  estimate.OnHead();
  BOOST_TEST(estimate.Waiting(kNow) == 3);
}

// Guards against choosing an upstream that fails half of its requests while its
// health checks succeed, and against avoiding it for good after it recovers.
BOOST_AUTO_TEST_CASE(FailingUpstreamIsAvoidedAndComesBack)
{
  Fleet fleet(2);
  for (int i = 0; i < 20; ++i) {
    fleet.m_estimates[0]->OnOutcome(i % 2 == 0);
  }
  BOOST_TEST(fleet.Choose(CriteriaOfNearEntry()) == 1U);
  for (int i = 0; i < 40; ++i) {
    fleet.m_estimates[0]->OnOutcome(true);
  }
  BOOST_TEST(fleet.Choose(CriteriaOfNearEntry()) == 0U);
}

// Guards against choosing an upstream that takes eight times as long as the
// others, and against avoiding it for good.
BOOST_AUTO_TEST_CASE(SlowUpstreamIsAvoidedAndTriedAgain)
{
  Fleet fleet(2);
  LatencyBaselines baselines;
  for (int i = 0; i < 40; ++i) {
    (void)baselines.Ratio("stream", 10);
  }
  for (int i = 0; i < 5; ++i) {
    fleet.m_estimates[0]->OnLatencyRatio(baselines.Ratio("stream", 80), kNow);
  }
  BOOST_TEST(fleet.Choose(CriteriaOfNearEntry()) == 1U);
  // Slow answers of one upstream hardly change the baseline.
  BOOST_TEST(baselines.Ratio("stream", 10) > 0.6);
  BOOST_TEST(fleet.m_estimates[0]->Slowdown(kNow + base::Millis(9000)) == 1);
}

BOOST_AUTO_TEST_CASE(BackoffGrowsAndEnds)
{
  UpstreamEstimate estimate;
  estimate.OnFailure(kNow);
  const base::TimePoint first = estimate.BackoffUntil();
  estimate.OnFailure(kNow);
  BOOST_TEST((estimate.BackoffUntil() > first));
  BOOST_TEST((estimate.BackoffUntil() - kNow <= base::Millis(2000)));
  estimate.OnAnswer(kNow);
  BOOST_TEST((estimate.BackoffUntil() <= kNow));
}

// Load reports are late, so the entry's own requests since the report count in
// full.
BOOST_AUTO_TEST_CASE(LoadAddsOwnRequestsToAReport)
{
  UpstreamEstimate estimate;
  estimate.OnSent();
  estimate.OnLoad(10, 2, kNow);
  estimate.OnSent();
  estimate.OnSent();
  BOOST_TEST(estimate.Load(kNow) == 14);
  // An expired report is ignored.
  BOOST_TEST(estimate.Load(kNow + base::Millis(5000)) == 3);
}

// Guards against a version that turns bad late and has had many requests by
// then, and against a session that moves back to the old version.
BOOST_AUTO_TEST_CASE(RolloutStaysSmallUntilItsLastPhase)
{
  constexpr base::Millis kSpan{ 24000 };
  int exposed = 0;
  int all = 0;
  for (uint64_t session = 0; session < 500; ++session) {
    bool moved = false;
    for (base::Millis at(0); at < RolloutEnd(kSpan);
         at = at + base::Millis(240)) {
      const bool onNew =
        IsOnNewVersion({ session, session % 2 == 0 }, at, kSpan);
      BOOST_REQUIRE(!moved || onNew);
      moved = onNew;
      exposed += onNew ? 1 : 0;
      ++all;
    }
  }
  BOOST_TEST(exposed * 100 < all * 15);
}

// Guards against sessions that change their version because they were running
// when a roll-out began. (Seen in tesfaye-fans mix, seed 321963711508, PINNED:
// five sessions moved to the new version within 3.5 s.)
BOOST_AUTO_TEST_CASE(SessionsStayForTheFirstHalfOfARollout)
{
  constexpr base::Millis kSpan{ 16000 };
  int early = 0;
  int later = 0;
  for (uint64_t hash = 0; hash < 200; ++hash) {
    const RolloutKey session{ hash, true };
    BOOST_REQUIRE(!IsOnNewVersion(session, base::Millis(0), kSpan));
    BOOST_REQUIRE(!IsOnNewVersion(session, kSpan / 2, kSpan));
    early += IsOnNewVersion({ hash, false }, base::Millis(0), kSpan) ? 1 : 0;
    later += IsOnNewVersion(session, kSpan * 3 / 4, kSpan) ? 1 : 0;
  }
  BOOST_TEST(early > 0);
  BOOST_TEST(later == early);
}
