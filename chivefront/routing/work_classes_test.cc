// The separation of short and long work among upstreams. Each test names the
// load that it has.
#define BOOST_TEST_MODULE routing_work_classes
#include <boost/test/unit_test.hpp>

#include <algorithm>

#include "chivefront/routing/choice.h"
#include "chivefront/routing/work_classes.h"

using namespace chivefront;
using namespace chivefront::routing;

namespace {

constexpr base::TimePoint kNow{ base::Millis(100000) };
constexpr base::Millis kGoal{ 1000 };
constexpr size_t kCount = 12;

std::vector<Instance>
MakeInstances(size_t aCount)
{
  std::vector<Instance> instances(aCount);
  for (size_t i = 0; i < aCount; ++i) {
    instances[i].m_id = "upstream-" + std::to_string(i);
    instances[i].m_domain = i % 3 == 0 ? "near" : "far";
  }
  return instances;
}

std::vector<std::optional<WorkClass>>
Divide(const std::vector<Instance>& aInstances, double aLongShare)
{
  std::vector<DividedUpstream> upstreams;
  for (const Instance& instance : aInstances) {
    upstreams.push_back({ instance.m_id, instance.m_domain });
  }
  return DivideUpstreams(upstreams, { aLongShare, 600 });
}

struct Fleet
{
  Fleet()
    : m_instances(MakeInstances(kCount))
    , m_estimates(kCount)
    , m_classes(Divide(m_instances, kDivision.m_longShare))
  {
    for (size_t i = 0; i < kCount; ++i) {
      m_candidates.push_back({ &m_instances[i], &m_estimates[i], 64 });
      m_estimates[i].OnLoad(6, 0, kNow); // none is idle
    }
  }

  // The class of the upstream that is chosen.
  WorkClass ClassFor(WorkClass aClass, double aTokens) const
  {
    ChoiceCriteria criteria;
    criteria.m_ownDomain = "near";
    criteria.m_promptTokens = aTokens;
    criteria.m_tokensPerMs = 20;
    criteria.m_workClass = aClass;
    criteria.m_division = kDivision;
    return *m_classes[ChooseUpstream(m_candidates, criteria, kNow)];
  }

  static constexpr WorkDivision kDivision{ 0.5, 600 };
  std::vector<Instance> m_instances;
  std::vector<UpstreamEstimate> m_estimates;
  std::vector<std::optional<WorkClass>> m_classes;
  std::vector<Candidate> m_candidates;
};

void
Record(WorkClasses& aClasses,
       WorkClass aClass,
       double aReadMs,
       double aRanMs,
       base::TimePoint aNow = kNow)
{
  for (int i = 0; i < 10; ++i) {
    aClasses.OnRead("llm", aClass, aReadMs, aNow);
    aClasses.OnRan("llm", aClass, aRanMs, aNow);
  }
}

} // namespace

BOOST_AUTO_TEST_CASE(ReadingTimeDecidesTheClass)
{
  BOOST_TEST((WorkClassOf(100, kGoal) == WorkClass::Short));
  BOOST_TEST((WorkClassOf(600, kGoal) == WorkClass::Long));
  BOOST_TEST((WorkClassOf(600, base::Millis(0)) == WorkClass::Short));
}

// Load: as much engine time for short as for long requests, then none that is
// long. Guards against a division that follows the number of requests, and
// against one that stays when the long work has ended.
BOOST_AUTO_TEST_CASE(DivisionFollowsEngineTime)
{
  WorkClasses classes;
  BOOST_TEST(!classes.DivisionOf("llm", kNow));
  for (int i = 0; i < 10; ++i) {
    Record(classes, WorkClass::Short, 10, 60);
  }
  BOOST_TEST(!classes.DivisionOf("llm", kNow));
  Record(classes, WorkClass::Long, 600, 100);
  const auto division = classes.DivisionOf("llm", kNow);
  BOOST_REQUIRE(division);
  BOOST_TEST(std::abs(division->m_longShare - 0.5) < 1e-9);
  BOOST_TEST(std::abs(division->m_longReadMs - 600) < 1e-9);
  const base::TimePoint later = kNow + base::Millis(60000);
  Record(classes, WorkClass::Short, 10, 60, later);
  BOOST_TEST(!classes.DivisionOf("llm", later));
  BOOST_TEST(!classes.DivisionOf("another", kNow));
}

// Load: prompts on both sides of the bound, of about the same length. Guards
// against a division that gains nothing.
BOOST_AUTO_TEST_CASE(SimilarWorkIsNotDivided)
{
  WorkClasses classes;
  Record(classes, WorkClass::Short, 200, 60);
  Record(classes, WorkClass::Long, 300, 60);
  BOOST_TEST(!classes.DivisionOf("llm", kNow));
}

// Guards against entries that divide the same upstreams differently, and
// against a domain without upstreams of a class.
BOOST_AUTO_TEST_CASE(EntriesDivideAlike)
{
  const std::vector<Instance> instances = MakeInstances(kCount);
  const auto classes = Divide(instances, 0.25);
  for (const char* domain : { "near", "far" }) {
    int longCount = 0;
    for (size_t i = 0; i < kCount; ++i) {
      longCount +=
        instances[i].m_domain == domain && classes[i] == WorkClass::Long;
    }
    BOOST_TEST(longCount == (std::string(domain) == "near" ? 1 : 2));
  }
  // A slightly different share moves at most one upstream of a domain.
  const auto others = Divide(instances, 0.35);
  int moved = 0;
  for (size_t i = 0; i < kCount; ++i) {
    moved += classes[i] == others[i] ? 0 : 1;
  }
  BOOST_TEST(moved <= 2);
  std::vector<Instance> reversed = instances;
  std::reverse(reversed.begin(), reversed.end());
  auto reversedClasses = Divide(reversed, 0.25);
  std::reverse(reversedClasses.begin(), reversedClasses.end());
  BOOST_TEST((reversedClasses == classes));
}

BOOST_AUTO_TEST_CASE(FewUpstreamsAreNotDivided)
{
  for (const auto& workClass : Divide(MakeInstances(3), 0.5)) {
    BOOST_TEST(!workClass);
  }
}

// Load: both classes busy. Each class uses its own upstreams, also when those
// have somewhat more to do.
BOOST_AUTO_TEST_CASE(BusyClassesStayApart)
{
  Fleet fleet;
  BOOST_TEST((fleet.ClassFor(WorkClass::Short, 1000) == WorkClass::Short));
  BOOST_TEST((fleet.ClassFor(WorkClass::Long, 12000) == WorkClass::Long));
  for (size_t i = 0; i < kCount; ++i) {
    if (fleet.m_classes[i] == WorkClass::Short) {
      fleet.m_estimates[i].OnLoad(20, 1, kNow);
    }
  }
  BOOST_TEST((fleet.ClassFor(WorkClass::Short, 1000) == WorkClass::Short));
}

// Load: short work fills its upstreams while one for long work is idle.
BOOST_AUTO_TEST_CASE(ShortWorkUsesIdleUpstreams)
{
  Fleet fleet;
  const auto idle = static_cast<size_t>(
    std::find(fleet.m_classes.begin(), fleet.m_classes.end(), WorkClass::Long) -
    fleet.m_classes.begin());
  fleet.m_estimates[idle] = UpstreamEstimate();
  // Without a report it isn't known to be idle.
  BOOST_TEST((fleet.ClassFor(WorkClass::Short, 1000) == WorkClass::Short));
  fleet.m_estimates[idle].OnLoad(0, 0, kNow);
  for (size_t i = 0; i < kCount; ++i) {
    if (i != idle) {
      fleet.m_estimates[i].OnLoad(30, 0, kNow);
    }
  }
  BOOST_TEST((fleet.ClassFor(WorkClass::Short, 1000) == WorkClass::Long));
}

// Load: several long prompts wait at each upstream for long work. Guards
// against starving long work in its class.
BOOST_AUTO_TEST_CASE(LongWorkLeavesAnOverloadedClass)
{
  Fleet fleet;
  for (size_t i = 0; i < kCount; ++i) {
    if (fleet.m_classes[i] == WorkClass::Long) {
      fleet.m_estimates[i].OnSent({ 600, 12000, 0 });
      fleet.m_estimates[i].OnSent({ 600, 12000, 0 });
    }
  }
  BOOST_TEST((fleet.ClassFor(WorkClass::Long, 12000) == WorkClass::Short));
}
