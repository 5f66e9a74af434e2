// Plans when requests start. The load is open-loop: the start times follow from
// the seed before the run and don't depend on answers, so that a slow system
// doesn't slow down the load that measures it. Pure functions.
#pragma once

#include <random>
#include <vector>

#include "chivefront/load/scenario.h"

namespace chivefront::load {

// The start of one request, or of one session with all its turns.
struct Arrival
{
  base::Millis m_at;        // after the start of the run
  size_t m_mixIndex = 0;    // index in Scenario::m_mixes
  uint64_t m_number = 0;    // within the mix, from 0
  bool m_sendTwice = false; // with the same idempotency key
};

// Returns the Poisson arrivals of all mixes, ordered by time. A session is one
// arrival: each further turn starts after the answer to the turn before.
std::vector<Arrival>
PlanArrivals(const Scenario& aScenario);

// Returns a prompt of about the mix's length in bytes. Each prompt of a run is
// different.
std::string
MakePrompt(const Scenario& aScenario, const Arrival& aArrival, uint32_t aTurn);

} // namespace chivefront::load
