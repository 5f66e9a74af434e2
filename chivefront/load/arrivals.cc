// Generates arrivals and prompts from the scenario's seed.
#include "chivefront/load/arrivals.h"

#include <algorithm>

#include "chivefront/base/ids.h"

namespace chivefront::load {
namespace detail {

constexpr double kMillisPerSecond = 1000;
constexpr uint32_t kPermille = 1000;

} // namespace detail

std::vector<Arrival>
PlanArrivals(const Scenario& aScenario)
{
  std::vector<Arrival> arrivals;
  for (size_t i = 0; i < aScenario.m_mixes.size(); ++i) {
    const Mix& mix = aScenario.m_mixes[i];
    const double perSecond =
      mix.m_rate / std::max<uint32_t>(mix.m_sessionTurns, 1);
    if (perSecond <= 0) {
      continue;
    }
    // Each mix has a generator of its own, so that a change of one mix doesn't
    // change the arrivals of the others.
    std::mt19937_64 random(base::StableHash(mix.m_name, aScenario.m_seed));
    std::exponential_distribution<double> gap(perSecond /
                                              detail::kMillisPerSecond);
    uint64_t number = 0;
    for (double at = gap(random);
         at < static_cast<double>(aScenario.m_duration.Count());
         at += gap(random)) {
      Arrival arrival;
      arrival.m_at = base::Millis(static_cast<int64_t>(at));
      arrival.m_mixIndex = i;
      arrival.m_number = number++;
      arrival.m_sendTwice = random() % detail::kPermille < mix.m_repeatPermille;
      arrivals.push_back(arrival);
    }
  }
  std::stable_sort(arrivals.begin(),
                   arrivals.end(),
                   [](const Arrival& aLeft, const Arrival& aRight) {
                     return aLeft.m_at < aRight.m_at;
                   });
  return arrivals;
}

std::string
MakePrompt(const Scenario& aScenario, const Arrival& aArrival, uint32_t aTurn)
{
  const Mix& mix = aScenario.m_mixes[aArrival.m_mixIndex];
  std::string prompt = mix.m_name + " " + std::to_string(aScenario.m_seed) +
                       " " + std::to_string(aArrival.m_number) + " " +
                       std::to_string(aTurn) + " ";
  while (prompt.size() < mix.m_promptBytes) {
    prompt += "hinge ";
  }
  return prompt;
}

} // namespace chivefront::load
