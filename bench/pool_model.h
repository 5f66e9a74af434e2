// A small queueing model that runs the decision classes: entries with a queue,
// admission and placement; agents with a limiter and a queue; engines whose
// capacity grows while they warm up and whose speed falls with their load.
// Load reports arrive with a lag. All times are in milliseconds.
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
  double m_decodeMs = 800;     // median of all later tokens, likewise
  // Increase of both times at an engine that runs m_fullLimit requests, as a
  // share.
  double m_slowdown = 0.3;
  double m_slowEngineShare = 0; // share of engines at half speed
  // Arrival rates as a share of the capacity of all engines when warm.
  double m_payingLoad = 0.5;
  double m_freeLoad = 0;
  double m_prefixShare = 0.5; // share of requests with a session's prefix
  // Share of the first-token time that a cached prefix saves.
  double m_prefixSaving = 0.5;
  bool m_usesClasses = true;    // false: one FIFO queue for all callers
  bool m_usesLimiter = true;    // false: agents admit every request
  bool m_queuesAtAgents = true; // paying requests may wait at agents
  bool m_startsWarm = true;
  policy::PlacementRule m_rule = policy::PlacementRule::ExpectedFinish;
  double m_reportLagMs = 100;
  double m_deadlineMs = 10000; // from arrival to the start at an engine
  double m_runMs = 120000;
  double m_measureFromMs = 20000; // earlier requests are not counted
  // Failure domain 0 is taken out at m_outMs (0: never) and brought back at
  // m_backMs. Each entry gets either change after at most m_configLagMs.
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
  // Arrival to first token, of requests that arrived after m_outMs.
  std::vector<double> m_payingFirstAfterOutMs;
  std::vector<double> m_freeMs;
  uint64_t m_payingArrived = 0;
  uint64_t m_payingRefused = 0;
  uint64_t m_freeArrived = 0;
  uint64_t m_freeRefused = 0;
  uint64_t m_rejected = 0; // attempts refused by agents
  uint64_t m_attempts = 0;
  // Requests that an engine started beyond its capacity.
  uint64_t m_sentBeyondCapacity = 0;
  uint64_t m_prefixHits = 0; // started where the prefix was cached
  // Requests sent to the domain later than 2 s after it was taken out.
  uint64_t m_sentToOutDomain = 0;
};

PoolResult
RunPool(const PoolSettings& aSettings);

} // namespace chivefront::bench
