// Cases classes, placement and domain: each runs the pool model.
#include "bench/cases.h"

#include <array>

#include "bench/pool_model.h"

namespace chivefront::bench {
namespace {

using policy::PlacementRule;

constexpr double kTail = 0.99;
constexpr double kFreeLoadFactor = 10;

double
P99(const std::vector<double>& aValues)
{
  return QuantileOf(aValues, kTail);
}

double
Share(uint64_t aPart, uint64_t aWhole)
{
  return aWhole == 0 ? 0
                     : static_cast<double>(aPart) / static_cast<double>(aWhole);
}

} // namespace

void
RunClasses(const Seeds& aSeeds, Report& aReport)
{
  for (uint64_t i = 0; i < aSeeds.m_count; ++i) {
    for (const double load : { 0.5, 0.7 }) {
      PoolSettings settings;
      settings.m_seed = aSeeds.m_first + i;
      settings.m_payingLoad = load;
      const PoolResult alone = RunPool(settings);
      settings.m_freeLoad = kFreeLoadFactor;
      const PoolResult both = RunPool(settings);
      settings.m_usesClasses = false;
      const PoolResult none = RunPool(settings);
      const std::string at = load == 0.5 ? ", paying 50%" : ", paying 70%";
      const auto add = [&](const std::string& aVariant,
                           const char* aName,
                           double aValue,
                           std::optional<Goal> aGoal = std::nullopt) {
        aReport.Add("classes", aVariant + at, aName, aValue, aGoal);
      };
      add("no free tier", "paying p99, ms", P99(alone.m_payingMs));
      add("no free tier",
          "paying refusals",
          static_cast<double>(alone.m_payingRefused));
      add("classes", "paying p99, ms", P99(both.m_payingMs));
      add("classes",
          "paying p99 / without free",
          P99(both.m_payingMs) / P99(alone.m_payingMs),
          Goal{ GoalKind::AtMost, 1.1 });
      add("classes",
          "first token p99 / without free",
          P99(both.m_payingFirstMs) / P99(alone.m_payingFirstMs));
      add("classes",
          "paying refusals",
          static_cast<double>(both.m_payingRefused),
          Goal{ GoalKind::AtMost, 0 });
      add("classes",
          "free requests answered / s",
          1000 * static_cast<double>(both.m_freeMs.size()) /
            (settings.m_runMs - settings.m_measureFromMs));
      add("no isolation",
          "paying p99 / without free",
          P99(none.m_payingMs) / P99(alone.m_payingMs));
      add("no isolation",
          "paying refused, share",
          Share(none.m_payingRefused, none.m_payingArrived));
    }
  }
}

void
RunPlacement(const Seeds& aSeeds, Report& aReport)
{
  struct Variant
  {
    const char* m_name;
    PlacementRule m_rule;
    bool m_usesLimiter;
    bool m_queuesAtAgents = true;
  };
  constexpr std::array<Variant, 6> kVariants{ {
    { "round robin", PlacementRule::RoundRobin, false },
    { "two choices", PlacementRule::TwoChoices, true },
    { "least outstanding", PlacementRule::LeastOutstanding, true },
    { "expected finish", PlacementRule::ExpectedFinish, true },
    { "least, no queue", PlacementRule::LeastOutstanding, true, false },
    { "expected, no queue", PlacementRule::ExpectedFinish, true, false },
  } };
  for (uint64_t i = 0; i < aSeeds.m_count; ++i) {
    for (const Variant& variant : kVariants) {
      for (const double load : { 0.5, 0.8 }) {
        PoolSettings settings;
        settings.m_seed = aSeeds.m_first + i;
        settings.m_payingLoad = load;
        settings.m_slowEngineShare = 0.2;
        settings.m_startsWarm = false;
        settings.m_rule = variant.m_rule;
        settings.m_usesLimiter = variant.m_usesLimiter;
        settings.m_queuesAtAgents = variant.m_queuesAtAgents;
        settings.m_measureFromMs = 0;
        const PoolResult result = RunPool(settings);
        const std::string name =
          std::string(variant.m_name) + (load == 0.5 ? ", 50%" : ", 80%");
        const auto add = [&](const char* aName,
                             double aValue,
                             std::optional<Goal> aGoal = std::nullopt) {
          aReport.Add("placement", name, aName, aValue, aGoal);
        };
        add("p50, ms", QuantileOf(result.m_payingMs, 0.5));
        add("p99, ms", P99(result.m_payingMs));
        add("first token p99, ms", P99(result.m_payingFirstMs));
        add("sent beyond capacity",
            static_cast<double>(result.m_sentBeyondCapacity),
            variant.m_usesLimiter ? std::optional<Goal>({ GoalKind::AtMost, 0 })
                                  : std::nullopt);
        add("rejected by agents, share",
            Share(result.m_rejected, result.m_attempts));
        add("refused, share",
            Share(result.m_payingRefused, result.m_payingArrived));
        add("prefix hits, share",
            Share(result.m_prefixHits, result.m_attempts));
      }
    }
  }
}

void
RunDomain(const Seeds& aSeeds, Report& aReport)
{
  struct Variant
  {
    const char* m_name;
    double m_paying;
    double m_free;
    size_t m_domains;
  };
  constexpr std::array<Variant, 4> kVariants{ {
    { "70% paying, 4 domains", 0.7, 0, 4 },
    { "50+20% free, 4 domains", 0.5, 0.2, 4 },
    { "70% paying, 3 domains", 0.7, 0, 3 },
    { "50+20% free, 3 domains", 0.5, 0.2, 3 },
  } };
  for (uint64_t i = 0; i < aSeeds.m_count; ++i) {
    for (const Variant& variant : kVariants) {
      PoolSettings settings;
      settings.m_seed = aSeeds.m_first + i;
      settings.m_payingLoad = variant.m_paying;
      settings.m_freeLoad = variant.m_free;
      settings.m_domains = variant.m_domains;
      settings.m_entries = variant.m_domains;
      settings.m_upstreamsPerDomain = variant.m_domains == 4 ? 3 : 7;
      const PoolResult steady = RunPool(settings);
      settings.m_outMs = 40000;
      settings.m_backMs = 70000;
      const PoolResult moved = RunPool(settings);
      const auto add = [&](const char* aName,
                           double aValue,
                           std::optional<Goal> aGoal = std::nullopt) {
        aReport.Add("domain", variant.m_name, aName, aValue, aGoal);
      };
      add("first token p99, out and back / steady",
          P99(moved.m_payingFirstAfterOutMs) / P99(steady.m_payingFirstMs),
          Goal{ GoalKind::AtMost, 1.5 });
      add("paying refusals",
          static_cast<double>(moved.m_payingRefused),
          Goal{ GoalKind::AtMost, 0 });
      add("new work after 2 s",
          static_cast<double>(moved.m_sentToOutDomain),
          Goal{ GoalKind::AtMost, 0 });
      add("sent beyond capacity",
          static_cast<double>(moved.m_sentBeyondCapacity),
          Goal{ GoalKind::AtMost, 0 });
    }
  }
}

} // namespace chivefront::bench
