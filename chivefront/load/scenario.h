// A scenario describes the load: a list of mixes, each of which is an
// independent stream of requests.
//
// A scenario is read from a JSON file:
//   {"seed": 1, "duration_ms": 10000, "engine_seed": 1, "mixes": [
//     {"name": "paying", "caller_key": "sales-key", "rate": 20,
//      "model": "small", "stream": true, "max_tokens": 20},
//     {"name": "orders", "caller_key": "sales-key", "rate": 2,
//      "service": "booking", "path": "/orders", "method": "POST",
//      "with_key": true, "repeat_permille": 100}]}
// or, with a single mix, from the flags of chivefront-load.
#pragma once

#include <string>
#include <vector>

#include "chivefront/base/clock.h"
#include "chivefront/base/settings.h"
#include "chivefront/catalog/catalog.h"

namespace chivefront::load {

// How fast a caller reads its answer.
enum class ReaderSpeed
{
  Fast,
  Slow,    // at most read_bytes_per_second
  Stalled, // reads nothing for stall_ms after the first part of the body
};

inline constexpr base::NameTable<ReaderSpeed, 3> kReaderSpeedNames{ {
  { { ReaderSpeed::Fast, "fast" },
    { ReaderSpeed::Slow, "slow" },
    { ReaderSpeed::Stalled, "stalled" } },
} };

// One stream of requests, either to a model or to a service.
struct Mix
{
  std::string m_name = "all";
  std::string m_callerKey;
  double m_rate = 1;       // requests per second; each turn of a session counts
  base::Millis m_deadline; // sent with each request; 0 sends none
  // Model requests.
  std::string m_model = "auto";
  std::string m_task;
  bool m_stream = false;
  uint32_t m_maxTokens = 0; // 0 sends none
  uint32_t m_promptBytes = 200;
  uint32_t m_sessionTurns = 0;     // turns of each session; 0 without sessions
  base::Millis m_thinkTime{ 200 }; // between an answer and the next turn
  ReaderSpeed m_readerSpeed = ReaderSpeed::Fast;
  uint32_t m_readBytesPerSecond = 1000;
  base::Millis m_stall{ 5000 };
  // Service calls, when m_service is set.
  std::string m_service;
  std::string m_path = "/";
  std::string m_method = "POST";
  bool m_withKey = false; // sends an Idempotency-Key
  // Share of the calls with a key that are sent a second time with that key.
  uint32_t m_repeatPermille = 0;
  // Requests go to the engine itself and not through the router.
  bool m_direct = false;
};

struct Scenario
{
  uint64_t m_seed = 1;
  base::Millis m_duration{ 10000 };
  // Seed of the fake engines, which determines the words of their answers. -1:
  // the seed is unknown, and the words aren't checked.
  int64_t m_engineSeed = -1;
  std::vector<Mix> m_mixes;
};

// Parses a scenario file. Adds all errors with their paths to aErrors; the
// result is only valid when there are none.
Scenario
ParseScenario(std::string_view aText,
              std::vector<catalog::EntryError>& aErrors);

// For each model mix without sessions, adds a mix "<name>/direct" with the same
// settings that sends its requests to an engine without the router. The two
// mixes of one run show how much latency the router adds.
void
AddDirectMixes(Scenario& aScenario);

} // namespace chivefront::load
