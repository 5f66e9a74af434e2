// When requests start. Open loop: the times are fixed by the seed before the
// run and do not depend on answers, so that a slow system does not slow down
// the load that measures it. Pure.
#pragma once

#include <random>
#include <vector>

#include "chivefront/load/scenario.h"

namespace chivefront::load {

struct Arrival
{
  base::Millis m_at;        // since the start of the run
  size_t m_mixIndex = 0;    // index in the scenario
  uint64_t m_number = 0;    // within its mix, from 0
  bool m_sendTwice = false; // this keyed call is sent twice
};

// Poisson arrivals of all mixes, ordered by time. A session is one arrival;
// its turns follow its answers.
std::vector<Arrival>
PlanArrivals(const Scenario& aScenario);

// A prompt of about the mix's length that no other request of the run has.
std::string
MakePrompt(const Scenario& aScenario, const Arrival& aArrival, uint32_t aTurn);

} // namespace chivefront::load
