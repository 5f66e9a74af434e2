// Results per mix: counts, errors by type, and exact quantiles of latencies.
#pragma once

#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "chivefront/load/answer_check.h"
#include "chivefront/load/scenario.h"

namespace chivefront::load {

// The result and the times of one request. Times are fractions of milliseconds,
// since the router adds less than one millisecond.
struct Sample
{
  CheckResult m_result;
  // Until the first token, or the first part of a body that isn't streamed; -1
  // when none came.
  double m_firstTokenMs = -1;
  double m_totalMs = 0;
  std::vector<double> m_tokenGapsMs; // between parts of a body with tokens
  // Violations besides the one in m_result.
  std::vector<std::string> m_otherViolations;
};

// Returns the quantile of aValues at aShare (0 to 1) by the nearest-rank
// method; 0 when aValues is empty.
double
QuantileOf(std::vector<double> aValues, double aShare);

// Thread-safe.
class Stats
{
public:
  explicit Stats(const Scenario& aScenario);

  // aMix is the index of the mix in the scenario.
  void Add(size_t aMix, const Sample& aSample);
  // Records how late a request was sent. A large delay shows that the load
  // generator couldn't keep up.
  void RecordSendLag(double aLagMs);

  // Number of violations in all mixes.
  uint64_t Violations() const;
  // The content of the result file. aElapsed is the duration of the run.
  std::string ToJson(base::Millis aElapsed) const;
  // The results as a table for the console.
  std::string ToTable(base::Millis aElapsed) const;

private:
  struct MixResults
  {
    uint64_t m_sent = 0;
    uint64_t m_answered = 0;
    uint64_t m_costMicros = 0;
    uint64_t m_violations = 0;
    std::vector<std::string> m_violationExamples; // the first ones
    std::map<std::string, uint64_t> m_errors; // counts by "type" or "type/run"
    std::vector<double> m_firstTokenMs;
    std::vector<double> m_totalMs;
    std::vector<double> m_tokenGapsMs;
  };

  const Scenario& m_scenario;
  mutable std::mutex m_lock;
  std::vector<MixResults> m_mixResults; // by mix
  double m_maxSendLagMs = 0;
};

} // namespace chivefront::load
