// A small queueing model around the decision classes: entries with a queue,
// admission and placement; agents with a limiter and a queue; engines whose
// capacity grows while they warm up and whose speed falls with their load.
// Load reports arrive late. Time is in milliseconds.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "chivefront/policy/admission.h"
#include "chivefront/policy/class_queue.h"
#include "chivefront/policy/limiter.h"
#include "chivefront/policy/placement.h"

namespace chivefront::bench {

struct PoolSettings
{
  size_t m_domains = 4;
  size_t m_upstreamsPerDomain = 3;
  size_t m_entries = 4;
  uint32_t m_fullLimit = 8;
  uint32_t m_coldLimit = 2;
  uint32_t m_agentQueue = 4;
  size_t m_entryQueue = 256;
  double m_firstTokenMs = 200; // median at an idle, warm engine
  double m_decodeMs = 800;
  double m_slowdown = 0.3;     // of an engine at its full limit
  double m_slowEngines = 0;    // share of engines at half speed
  double m_payingLoad = 0.5;   // of the capacity of all warm engines
  double m_freeLoad = 0;       // likewise
  double m_prefixShare = 0.5;  // requests of a session seen before
  double m_prefixSaving = 0.5; // of the first-token time on a cached prefix
  bool m_classes = true;       // else one FIFO queue for all
  bool m_credits = true;       // else agents admit everything
  bool m_warm = true;          // engines start warm
  policy::PlacementRule m_rule = policy::PlacementRule::ExpectedFinish;
  double m_reportLagMs = 100;
  double m_deadlineMs = 10000; // to start
  double m_runMs = 120000;
  double m_measureFromMs = 20000;
  // Failure domain 0 leaves at m_outMs (0: never) and is back at m_backMs.
  // The entries know m_configLagMs later.
  double m_outMs = 0;
  double m_backMs = 0;
  double m_configLagMs = 1500;
  uint64_t m_seed = 1;
  policy::PlacementSettings m_placement;
};

struct PoolResult
{
  std::vector<double> m_payingMs;      // arrival to last token
  std::vector<double> m_payingFirstMs; // arrival to first token
  std::vector<double> m_firstDuringMs; // likewise, around the domain's absence
  std::vector<double> m_freeMs;
  uint64_t m_payingArrived = 0;
  uint64_t m_payingRefused = 0;
  uint64_t m_freeArrived = 0;
  uint64_t m_freeRefused = 0;
  uint64_t m_rejected = 0; // attempts refused by agents
  uint64_t m_attempts = 0;
  uint64_t m_overSent = 0;  // work sent to an engine beyond its capacity
  uint64_t m_affine = 0;    // answered where the prefix was cached
  uint64_t m_sentToOut = 0; // new work to the domain 2 s after it left
};

PoolResult
RunPool(const PoolSettings& aSettings);

} // namespace chivefront::bench
