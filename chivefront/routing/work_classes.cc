// Sums of recent work by class, and the division of upstreams by rank.
#include "chivefront/routing/work_classes.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "chivefront/routing/config.h"

namespace chivefront::routing {
namespace detail {

// A prompt whose reading takes more than this share of the goal makes a request
// behind it late if there are a few of them.
constexpr double kLongShareOfGoal = 0.25;
// Time constant of the sums. Longer than the gaps between long prompts of one
// entry, so that the division does not follow single requests.
constexpr double kDecayMs = 20000;
// Recent prompts of each class below which their work is not known.
constexpr double kMinCount = 3;
// How many times as long the prompts of the long class must take.
constexpr double kMinReadRatio = 4;
// A class with a smaller share of the engine time gets no upstream of its own.
constexpr double kMinEngineShare = 0.05;
constexpr size_t kMinUpstreams = 4;

} // namespace detail

WorkClass
WorkClassOf(double aReadMs, base::Millis aGoal)
{
  const auto goal = static_cast<double>(aGoal.Count());
  return goal > 0 && aReadMs > detail::kLongShareOfGoal * goal
           ? WorkClass::Long
           : WorkClass::Short;
}

WorkClasses::Work
WorkClasses::Decayed(const Work& aWork, base::TimePoint aNow)
{
  const auto age = static_cast<double>((aNow - aWork.m_at).Count());
  const double kept = std::exp(-std::max(0.0, age) / detail::kDecayMs);
  return {
    aWork.m_count * kept, aWork.m_readMs * kept, aWork.m_engineMs * kept, aNow
  };
}

WorkClasses::Work&
WorkClasses::WorkOf(const std::string& aService,
                    WorkClass aClass,
                    base::TimePoint aNow)
{
  Work& work = m_work[aService][static_cast<size_t>(aClass)];
  work = Decayed(work, aNow);
  return work;
}

void
WorkClasses::OnRead(const std::string& aService,
                    WorkClass aClass,
                    double aReadMs,
                    base::TimePoint aNow)
{
  Work& work = WorkOf(aService, aClass, aNow);
  work.m_count += 1;
  work.m_readMs += aReadMs;
  work.m_engineMs += aReadMs;
}

void
WorkClasses::OnRan(const std::string& aService,
                   WorkClass aClass,
                   double aEngineMs,
                   base::TimePoint aNow)
{
  WorkOf(aService, aClass, aNow).m_engineMs += aEngineMs;
}

std::optional<WorkDivision>
WorkClasses::DivisionOf(const std::string& aService, base::TimePoint aNow) const
{
  const auto found = m_work.find(aService);
  if (found == m_work.end()) {
    return std::nullopt;
  }
  const auto workOf = [&](WorkClass aClass) {
    return Decayed(found->second[static_cast<size_t>(aClass)], aNow);
  };
  const Work shortWork = workOf(WorkClass::Short);
  const Work longWork = workOf(WorkClass::Long);
  if (std::min(shortWork.m_count, longWork.m_count) < detail::kMinCount) {
    return std::nullopt;
  }
  const double longReadMs = longWork.m_readMs / longWork.m_count;
  const double shortReadMs = shortWork.m_readMs / shortWork.m_count;
  const double longShare =
    longWork.m_engineMs / (longWork.m_engineMs + shortWork.m_engineMs);
  if (longReadMs < detail::kMinReadRatio * shortReadMs ||
      std::min(longShare, 1 - longShare) < detail::kMinEngineShare) {
    return std::nullopt;
  }
  return WorkDivision{ longShare, longReadMs };
}

// Divides each domain by itself, so that no class has to leave its domain.
std::vector<std::optional<WorkClass>>
DivideUpstreams(const std::vector<DividedUpstream>& aUpstreams,
                const WorkDivision& aDivision)
{
  std::vector<std::optional<WorkClass>> classes(aUpstreams.size());
  if (aUpstreams.size() < detail::kMinUpstreams) {
    return classes;
  }
  std::map<std::string_view, std::vector<std::pair<uint64_t, size_t>>> domains;
  for (size_t i = 0; i < aUpstreams.size(); ++i) {
    domains[aUpstreams[i].m_domain].emplace_back(StableHash(aUpstreams[i].m_id),
                                                 i);
  }
  for (auto& [domain, ranks] : domains) {
    if (ranks.size() < 2) {
      continue;
    }
    std::sort(ranks.begin(), ranks.end());
    const auto wanted = static_cast<size_t>(
      std::lround(aDivision.m_longShare * static_cast<double>(ranks.size())));
    const size_t longCount = std::clamp(wanted, size_t(1), ranks.size() - 1);
    for (size_t rank = 0; rank < ranks.size(); ++rank) {
      classes[ranks[rank].second] =
        rank < longCount ? WorkClass::Long : WorkClass::Short;
    }
  }
  return classes;
}

} // namespace chivefront::routing
