// What load is made: a list of mixes, each an independent stream of requests.
//
// A scenario comes from a JSON file:
//   {"seed": 1, "duration_ms": 10000, "engine_seed": 1, "mixes": [
//     {"name": "paying", "caller_key": "sales-key", "rate": 20,
//      "model": "small", "stream": true, "max_tokens": 20},
//     {"name": "orders", "caller_key": "sales-key", "rate": 2,
//      "service": "booking", "path": "/orders", "method": "POST",
//      "with_key": true, "repeat_permille": 100}]}
// or, for one mix, from flags.
#pragma once

#include <string>
#include <vector>

#include "chivefront/base/clock.h"
#include "chivefront/base/settings.h"
#include "chivefront/catalog/catalog.h"

namespace chivefront::load {

enum class ReaderSpeed
{
  Fast,
  Slow,    // at most read_bytes_per_second
  Stalled, // reads nothing for stall_ms after the first piece
};

inline constexpr base::NameTable<ReaderSpeed, 3> kReaderSpeedNames{ {
  { { ReaderSpeed::Fast, "fast" },
    { ReaderSpeed::Slow, "slow" },
    { ReaderSpeed::Stalled, "stalled" } },
} };

struct Mix
{
  std::string m_name = "all";
  std::string m_callerKey;
  double m_rate = 1;       // requests per second; sessions count their turns
  base::Millis m_deadline; // 0 sends none
  // Model requests.
  std::string m_model = "auto";
  std::string m_task;
  bool m_stream = false;
  uint32_t m_maxTokens = 0; // 0 sends none
  uint32_t m_promptBytes = 200;
  uint32_t m_sessionTurns = 0; // 0 without sessions
  base::Millis m_thinkTime{ 200 };
  ReaderSpeed m_readerSpeed = ReaderSpeed::Fast;
  uint32_t m_readBytesPerSecond = 1000;
  base::Millis m_stall{ 5000 };
  // Service calls, when m_service is set.
  std::string m_service;
  std::string m_path = "/";
  std::string m_method = "POST";
  bool m_withKey = false;
  // Keyed calls that are sent a second time with the same key.
  uint32_t m_repeatPermille = 0;
  // Sent straight to the engine, without the router.
  bool m_direct = false;
};

struct Scenario
{
  uint64_t m_seed = 1;
  base::Millis m_duration{ 10000 };
  // Seed of the fake engines; -1 when the words of answers can't be foretold.
  int64_t m_engineSeed = -1;
  std::vector<Mix> m_mixes;
};

// Adds all errors with their paths to aErrors.
Scenario
ParseScenario(std::string_view aText,
              std::vector<catalog::EntryError>& aErrors);

// For each model mix without sessions, the same requests straight to an
// engine, under the name "<name>/direct", so that the router's share of the
// latency shows in one run.
void
AddDirectMixes(Scenario& aScenario);

} // namespace chivefront::load
