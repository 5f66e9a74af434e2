// Results per mix: counts, errors by type, and exact quantiles.
#pragma once

#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "chivefront/load/answer_check.h"
#include "chivefront/load/scenario.h"

namespace chivefront::load {

// Times are in milliseconds with fractions, since the router adds less than
// one.
struct Sample
{
  CheckResult m_result;
  double m_firstTokenMs =
    -1; // to the first token or the whole body; -1 for none
  double m_totalMs = 0;
  std::vector<double> m_tokenGapsMs; // between pieces that carry tokens
  std::vector<std::string> m_otherViolations; // violations beside the result's
};

// The aShare quantile (0 to 1) of aValues by the nearest rank; 0 without any.
double
QuantileOf(std::vector<double> aValues, double aShare);

// Thread-safe.
class Stats
{
public:
  explicit Stats(const Scenario& aScenario);

  void Add(size_t aMix, const Sample& aSample);
  // How late a request was sent: a load generator that can't keep up shows.
  void RecordSendLag(double aLagMs);

  uint64_t Violations() const;
  // The result file; aElapsed is the length of the run.
  std::string ToJson(base::Millis aElapsed) const;
  std::string ToTable(base::Millis aElapsed) const;

private:
  struct MixResults
  {
    uint64_t m_sent = 0;
    uint64_t m_answered = 0;
    uint64_t m_costMicros = 0;
    uint64_t m_violations = 0;
    std::vector<std::string> m_violationExamples; // of violations
    std::map<std::string, uint64_t> m_errors;     // by "type/run"
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
