// Results per mix: counts, errors by type, and exact quantiles.
#pragma once

#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "chivefront/load/scenario.h"
#include "chivefront/load/verify.h"

namespace chivefront::load {

// Times are in milliseconds with fractions, since the router adds less than
// one.
struct Sample
{
  Verdict m_verdict;
  double m_firstMs = -1; // to the first token or the whole body; -1 for none
  double m_totalMs = 0;
  std::vector<double> m_gapsMs;     // between pieces that carry tokens
  std::vector<std::string> m_notes; // violations beside the verdict's
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
  void NoteLag(double aLagMs);

  uint64_t Violations() const;
  // The result file; aElapsed is the length of the run.
  std::string ToJson(base::Millis aElapsed) const;
  std::string ToTable(base::Millis aElapsed) const;

private:
  struct Row
  {
    uint64_t m_sent = 0;
    uint64_t m_answered = 0;
    uint64_t m_costMicros = 0;
    uint64_t m_violations = 0;
    std::vector<std::string> m_examples;      // of violations
    std::map<std::string, uint64_t> m_errors; // by "type/run"
    std::vector<double> m_first;
    std::vector<double> m_total;
    std::vector<double> m_gaps;
  };

  const Scenario& m_scenario;
  mutable std::mutex m_lock;
  std::vector<Row> m_rows; // by mix
  double m_maxLagMs = 0;
};

} // namespace chivefront::load
