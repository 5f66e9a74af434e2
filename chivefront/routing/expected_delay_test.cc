// The choice of an upstream by its expected time to the first token. Each test
// names the load that it has.
#define BOOST_TEST_MODULE routing_expected_delay
#include <boost/test/unit_test.hpp>

#include <deque>
#include <random>
#include <set>

#include "chivefront/routing/choice.h"

using namespace chivefront;
using namespace chivefront::routing;

namespace {

constexpr base::TimePoint kNow{ base::Millis(100000) };
constexpr double kLargeTokensPerMs = 20;
constexpr double kSmallTokensPerMs = 200;

struct Fleet
{
  explicit Fleet(size_t aCount)
    : m_instances(aCount)
    , m_estimates(aCount)
  {
    for (size_t i = 0; i < aCount; ++i) {
      m_instances[i].m_id = "upstream-" + std::to_string(i);
      m_candidates.push_back({ &m_instances[i], &m_estimates[i], 64 });
    }
  }

  size_t Choose(const ChoiceCriteria& aCriteria) const
  {
    return ChooseUpstream(m_candidates, aCriteria, kNow);
  }

  // Chooses for a request and sends it. Returns the index.
  size_t Send(const ChoiceCriteria& aCriteria)
  {
    const size_t chosen = Choose(aCriteria);
    SendTo(chosen, aCriteria);
    return chosen;
  }
  void SendTo(size_t aIndex, const ChoiceCriteria& aCriteria)
  {
    m_estimates[aIndex].OnSent(CostAt(m_estimates[aIndex], aCriteria, kNow));
    for (const SharedPromptPart& part : aCriteria.m_sharedParts) {
      m_estimates[aIndex].OnPromptPartSent(part.m_key, kNow);
    }
  }

  std::vector<Instance> m_instances;
  std::vector<UpstreamEstimate> m_estimates;
  std::vector<Candidate> m_candidates;
};

ChoiceCriteria
Prompt(double aTokens, double aTokensPerMs, int aPriority = 0)
{
  ChoiceCriteria criteria;
  criteria.m_promptTokens = aTokens;
  criteria.m_maxAnswerTokens = 400;
  criteria.m_tokensPerMs = aTokensPerMs;
  criteria.m_priority = aPriority;
  return criteria;
}

} // namespace

// Load: one long prompt of the largest model at one upstream, several short
// ones of the smallest at another. Guards against counting prompts instead of
// the time that they take.
BOOST_AUTO_TEST_CASE(LongPromptAheadOutweighsManyShortOnes)
{
  Fleet fleet(2);
  fleet.SendTo(0, Prompt(12000, kLargeTokensPerMs));
  for (int i = 0; i < 5; ++i) {
    fleet.SendTo(1, Prompt(1500, kSmallTokensPerMs));
  }
  BOOST_TEST(fleet.Choose(Prompt(1500, kSmallTokensPerMs)) == 1U);
  // The answer to the long prompt begins.
  fleet.m_estimates[0].OnHead({ 12000 / kLargeTokensPerMs, 12200, 0 });
  BOOST_TEST(fleet.Choose(Prompt(1500, kSmallTokensPerMs)) == 0U);
}

// Load: many less urgent long prompts at each upstream. Guards against an
// urgent request that avoids work which is read after it.
BOOST_AUTO_TEST_CASE(LessUrgentPromptsAreReadLater)
{
  UpstreamEstimate estimate;
  for (int i = 0; i < 10; ++i) {
    estimate.OnSent({ 600, 0, 2 });
  }
  BOOST_TEST(estimate.WorkAheadMs(0, kNow) == 600); // the one being read
  BOOST_TEST(estimate.WorkAheadMs(2, kNow) == 6000);
  estimate.OnSent({ 10, 0, 0 });
  BOOST_TEST(estimate.WorkAheadMs(0, kNow) == 610);
  BOOST_TEST(estimate.WorkAheadMs(7, kNow) == 6010);
}

// Load: requests of other entries wait at two upstreams, to which this entry
// sends long and short prompts. Guards against counting them alike.
BOOST_AUTO_TEST_CASE(WaitingRequestsOfOthersCountWithOwnMean)
{
  UpstreamEstimate longWork;
  UpstreamEstimate shortWork;
  for (int i = 0; i < 60; ++i) {
    longWork.OnSent({ 600, 0, 0 });
    longWork.OnHead({ 600, 0, 0 });
    shortWork.OnSent({ 8, 0, 0 });
    shortWork.OnHead({ 8, 0, 0 });
  }
  longWork.OnLoad(0, 3, kNow);
  shortWork.OnLoad(0, 3, kNow);
  BOOST_TEST(longWork.WorkAheadMs(0, kNow) > 1500);
  BOOST_TEST(shortWork.WorkAheadMs(0, kNow) < 40);
}

// Load: one upstream whose host takes three times as long. It gets less, but
// not nothing, and its share returns as the report ages.
BOOST_AUTO_TEST_CASE(SlowHostGetsLess)
{
  Fleet fleet(4);
  for (size_t i = 0; i < 4; ++i) {
    fleet.m_estimates[i].OnLoad(0, 0, kNow, i == 0 ? 3.0 : 1.0);
  }
  int slow = 0;
  for (int i = 0; i < 80; ++i) {
    slow += fleet.Send(Prompt(1500, kSmallTokensPerMs)) == 0 ? 1 : 0;
  }
  BOOST_TEST(slow > 0);
  BOOST_TEST(slow < 10);
  const base::TimePoint later = kNow + base::Millis(1500);
  BOOST_TEST(fleet.m_estimates[0].HostSlowdown(later) == 1);
}

// Guards against a slowdown that a plain service (no model, no prompt) ignores,
// and against one beyond any bound.
BOOST_AUTO_TEST_CASE(SlowHostOfPlainServiceIsAvoided)
{
  Fleet fleet(2);
  fleet.m_estimates[0].OnLoad(0, 0, kNow, 2.0);
  BOOST_TEST(fleet.Choose({}) == 1U);
  fleet.m_estimates[0].OnLoad(0, 0, kNow, 1e9);
  BOOST_TEST(fleet.m_estimates[0].HostSlowdown(kNow) < 100);
  fleet.m_estimates[0].OnLoad(0, 0, kNow); // without the figure
  BOOST_TEST(fleet.Choose({}) == 0U);
}

// Load: a long shared part in all requests, of which ten await their answers at
// a time. Guards against one upstream that gets them all, and against a part
// that is read at every upstream.
BOOST_AUTO_TEST_CASE(HotPartIsKeptByFewUpstreams)
{
  Fleet fleet(12);
  ChoiceCriteria criteria = Prompt(9000, kLargeTokensPerMs);
  criteria.m_sharedParts = { { "large/lead", 8000 } };
  std::set<size_t> holders;
  std::deque<std::pair<size_t, RequestCost>> pending;
  for (int i = 0; i < 100; ++i) {
    const size_t chosen = fleet.Choose(criteria);
    pending.emplace_back(chosen,
                         CostAt(fleet.m_estimates[chosen], criteria, kNow));
    fleet.SendTo(chosen, criteria);
    holders.insert(chosen);
    if (pending.size() > 10) {
      fleet.m_estimates[pending.front().first].OnHead(pending.front().second);
      fleet.m_estimates[pending.front().first].OnEnded(pending.front().second);
      pending.pop_front();
    }
  }
  BOOST_TEST(holders.size() >= 2U);
  BOOST_TEST(holders.size() <= 5U);
  // Another entry, which sees the load of the first holder only by its report,
  // chooses the same second one.
  Fleet other(12);
  const size_t first = other.Choose(criteria);
  BOOST_TEST(holders.count(first) == 1U);
  other.m_estimates[first].OnLoad(20, 5, kNow);
  const size_t second = other.Choose(criteria);
  BOOST_TEST(second != first);
  BOOST_TEST(holders.count(second) == 1U);
}

// Load: running requests with long prompts fill the memory while slots are
// free. Guards against sending where the request is rejected or preempts.
BOOST_AUTO_TEST_CASE(FullMemoryCountsAsQueueing)
{
  Fleet fleet(2);
  ChoiceCriteria longPrompt = Prompt(20000, kLargeTokensPerMs);
  longPrompt.m_memoryTokens = 400000;
  const RequestCost cost = CostAt(fleet.m_estimates[0], longPrompt, kNow);
  for (int i = 0; i < 18; ++i) {
    fleet.m_estimates[0].OnSent(cost);
    fleet.m_estimates[0].OnHead(cost);
  }
  for (int i = 0; i < 40; ++i) { // more requests, less memory
    fleet.m_estimates[1].OnSent({ 8, 1500, 0 });
    fleet.m_estimates[1].OnHead({ 8, 1500, 0 });
  }
  BOOST_TEST(fleet.Choose(longPrompt) == 1U);
  // With some of them ended, the request fits.
  for (int i = 0; i < 10; ++i) {
    fleet.m_estimates[0].OnEnded(cost);
  }
  BOOST_TEST(fleet.Choose(longPrompt) == 0U);
  BOOST_TEST(fleet.m_estimates[0].OccupiedTokens(kNow) ==
             8 * cost.m_memoryTokens);
}

// Load: the requests of other entries fill the memory; only a report tells.
BOOST_AUTO_TEST_CASE(OthersOccupyMemoryToo)
{
  UpstreamEstimate estimate;
  BOOST_TEST(estimate.OccupiedTokens(kNow) == 0);
  estimate.OnSent({ 100, 12000, 0 });
  estimate.OnLoad(30, 0, kNow);
  BOOST_TEST(estimate.OccupiedTokens(kNow) == 30 * 12000);
}

// Load: 26 entries with the same report, in which one upstream of many equal
// ones is a little better. Guards against all of them choosing that one.
BOOST_AUTO_TEST_CASE(EntriesWithTheSameReportSpread)
{
  constexpr uint64_t kEntries = 26;
  Fleet fleet(10);
  for (size_t i = 0; i < 10; ++i) {
    fleet.m_estimates[i].OnLoad(i == 4 ? 19 : 20, 0, kNow, 1.0);
  }
  fleet.m_estimates[7].OnLoad(60, 10, kNow, 1.0);
  ChoiceCriteria criteria = Prompt(1500, kSmallTokensPerMs);
  std::set<size_t> chosen;
  for (uint64_t entry = 1; entry <= kEntries; ++entry) {
    criteria.m_random = std::mt19937_64(entry)();
    chosen.insert(fleet.Choose(criteria));
  }
  BOOST_TEST(chosen.size() >= 5U);
  BOOST_TEST(chosen.count(7) == 0U);
  // Not at the price of reading a shared part again.
  criteria.m_sharedParts = { { "small/lead", 1000 } };
  fleet.m_estimates[2].OnPromptPartSent("small/lead", kNow);
  BOOST_TEST(fleet.Choose(criteria) == 2U);
  // Without a model and the fourth figure the choice is as it was.
  Fleet plain(10);
  plain.m_estimates[0].OnLoad(1, 0, kNow);
  ChoiceCriteria plainCriteria;
  plainCriteria.m_random = criteria.m_random;
  BOOST_TEST(plain.Choose(plainCriteria) == 1U);
}

// Load: entries that know no report. Guards against all of them choosing the
// first upstream.
BOOST_AUTO_TEST_CASE(EntriesWithoutReportsSpread)
{
  constexpr uint64_t kEntries = 26;
  const Fleet fleet(10);
  ChoiceCriteria criteria = Prompt(1500, kSmallTokensPerMs);
  std::set<size_t> chosen;
  for (uint64_t entry = 1; entry <= kEntries; ++entry) {
    criteria.m_random = std::mt19937_64(entry)();
    chosen.insert(fleet.Choose(criteria));
  }
  BOOST_TEST(chosen.size() >= 7U);
}

// Load: all upstreams busy, the report of one has expired. Guards against that
// one counting as idle.
BOOST_AUTO_TEST_CASE(UpstreamWithoutReportIsNotIdle)
{
  Fleet fleet(4);
  fleet.m_estimates[0].OnLoad(50, 6, kNow);
  fleet.m_estimates[1].OnLoad(40, 0, kNow);
  fleet.m_estimates[2].OnLoad(50, 6, kNow);
  BOOST_TEST(fleet.Choose(Prompt(1500, kSmallTokensPerMs)) == 1U);
  // Nothing is assumed for requests without a model.
  BOOST_TEST(fleet.Choose({}) == 3U);
  // Still it is better than those known to be worse than the mean.
  fleet.m_estimates[1].OnLoad(64, 30, kNow);
  BOOST_TEST(fleet.Choose(Prompt(1500, kSmallTokensPerMs)) != 1U);
}
