// Statistics over seeds and their output.
#include "bench/report.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <numeric>

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

namespace chivefront::bench {

double
QuantileOf(std::vector<double> aValues, double aShare)
{
  if (aValues.empty()) {
    return 0;
  }
  const auto count = static_cast<double>(aValues.size());
  const auto rank =
    static_cast<size_t>(std::max(0.0, std::ceil(aShare * count) - 1));
  std::nth_element(aValues.begin(),
                   aValues.begin() + static_cast<ptrdiff_t>(rank),
                   aValues.end());
  return aValues[rank];
}

double
Measure::Mean() const
{
  return std::accumulate(m_samples.begin(), m_samples.end(), 0.0) /
         static_cast<double>(m_samples.size());
}

double
Measure::Quantile(double aShare) const
{
  return QuantileOf(m_samples, aShare);
}

size_t
Measure::Misses() const
{
  if (!m_goal) {
    return 0;
  }
  const auto missed = [&](double aSample) {
    return m_goal->m_kind == GoalKind::AtMost ? aSample > m_goal->m_bound
                                              : aSample < m_goal->m_bound;
  };
  return static_cast<size_t>(
    std::count_if(m_samples.begin(), m_samples.end(), missed));
}

void
Report::Add(const std::string& aCase,
            const std::string& aVariant,
            const std::string& aName,
            double aSample,
            std::optional<Goal> aGoal)
{
  for (Measure& measure : m_measures) {
    if (measure.m_case == aCase && measure.m_variant == aVariant &&
        measure.m_name == aName) {
      measure.m_samples.push_back(aSample);
      return;
    }
  }
  m_measures.push_back({ aCase, aVariant, aName, { aSample }, aGoal });
}

void
Report::PrintTable(std::ostream& aOut) const
{
  char line[256];
  std::snprintf(line,
                sizeof line,
                "%-10s %-24s %-34s %10s %10s %10s %10s  %s\n",
                "case",
                "variant",
                "measure",
                "mean",
                "median",
                "lowest",
                "highest",
                "goal, seeds that miss it");
  aOut << line;
  for (const Measure& measure : m_measures) {
    std::snprintf(line,
                  sizeof line,
                  "%-10s %-24s %-34s %10.4g %10.4g %10.4g %10.4g",
                  measure.m_case.c_str(),
                  measure.m_variant.c_str(),
                  measure.m_name.c_str(),
                  measure.Mean(),
                  measure.Quantile(0.5),
                  measure.Quantile(0),
                  measure.Quantile(1));
    aOut << line;
    if (measure.m_goal) {
      std::snprintf(line,
                    sizeof line,
                    "  %s %g, %zu of %zu",
                    measure.m_goal->m_kind == GoalKind::AtMost ? "<=" : ">=",
                    measure.m_goal->m_bound,
                    measure.Misses(),
                    measure.m_samples.size());
      aOut << line;
    }
    aOut << "\n";
  }
}

void
Report::PrintJson(std::ostream& aOut) const
{
  boost::json::array rows;
  for (const Measure& measure : m_measures) {
    boost::json::object row{
      { "case", measure.m_case },          { "variant", measure.m_variant },
      { "measure", measure.m_name },       { "mean", measure.Mean() },
      { "median", measure.Quantile(0.5) }, { "lowest", measure.Quantile(0) },
      { "highest", measure.Quantile(1) },  { "seeds", measure.m_samples.size() }
    };
    if (measure.m_goal) {
      row["goal"] = measure.m_goal->m_bound;
      row["goal_kind"] =
        measure.m_goal->m_kind == GoalKind::AtMost ? "at_most" : "at_least";
      row["misses"] = measure.Misses();
    }
    rows.push_back(row);
  }
  aOut << boost::json::serialize(rows) << "\n";
}

} // namespace chivefront::bench
