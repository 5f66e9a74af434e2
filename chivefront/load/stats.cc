// Collection and output of results.
#include "chivefront/load/stats.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <sstream>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace chivefront::load {
namespace detail {

constexpr double kMillisPerSecond = 1000;
constexpr size_t kExamples = 20;
constexpr double kP50 = 0.5;
constexpr double kP90 = 0.9;
constexpr double kP99 = 0.99;

boost::json::object
Quantiles(const std::vector<double>& aValues)
{
  boost::json::object object;
  object["count"] = aValues.size();
  object["p50"] = QuantileOf(aValues, kP50);
  object["p90"] = QuantileOf(aValues, kP90);
  object["p99"] = QuantileOf(aValues, kP99);
  return object;
}

std::string
Triple(const std::vector<double>& aValues)
{
  std::ostringstream text;
  text << std::fixed << std::setprecision(1) << QuantileOf(aValues, kP50) << "/"
       << QuantileOf(aValues, kP90) << "/" << QuantileOf(aValues, kP99);
  return text.str();
}

} // namespace detail

double
QuantileOf(std::vector<double> aValues, double aShare)
{
  if (aValues.empty()) {
    return 0;
  }
  const double rank = std::ceil(aShare * static_cast<double>(aValues.size()));
  const size_t index = static_cast<size_t>(std::max(rank, 1.0)) - 1;
  std::nth_element(aValues.begin(),
                   aValues.begin() + static_cast<std::ptrdiff_t>(index),
                   aValues.end());
  return aValues[index];
}

Stats::Stats(const Scenario& aScenario)
  : m_scenario(aScenario)
  , m_rows(aScenario.m_mixes.size())
{
}

void
Stats::Add(size_t aMix, const Sample& aSample)
{
  const std::lock_guard lock(m_lock);
  Row& row = m_rows[aMix];
  const Verdict& verdict = aSample.m_verdict;
  ++row.m_sent;
  std::vector<std::string> violations = aSample.m_notes;
  if (!verdict.m_violation.empty()) {
    violations.push_back(verdict.m_violation);
  }
  row.m_violations += violations.size();
  for (const std::string& violation : violations) {
    if (row.m_examples.size() < detail::kExamples) {
      row.m_examples.push_back(violation);
    }
  }
  if (!verdict.m_error.empty()) {
    ++row.m_errors[verdict.m_run.empty()
                     ? verdict.m_error
                     : verdict.m_error + "/" + verdict.m_run];
    return;
  }
  ++row.m_answered;
  row.m_costMicros += verdict.m_costMicros;
  row.m_total.push_back(aSample.m_totalMs);
  if (aSample.m_firstMs >= 0) {
    row.m_first.push_back(aSample.m_firstMs);
  }
  row.m_gaps.insert(
    row.m_gaps.end(), aSample.m_gapsMs.begin(), aSample.m_gapsMs.end());
}

void
Stats::NoteLag(double aLagMs)
{
  const std::lock_guard lock(m_lock);
  m_maxLagMs = std::max(m_maxLagMs, aLagMs);
}

uint64_t
Stats::Violations() const
{
  const std::lock_guard lock(m_lock);
  uint64_t count = 0;
  for (const Row& row : m_rows) {
    count += row.m_violations;
  }
  return count;
}

std::string
Stats::ToJson(base::Millis aElapsed) const
{
  const std::lock_guard lock(m_lock);
  const double seconds =
    static_cast<double>(aElapsed.Count()) / detail::kMillisPerSecond;
  boost::json::array results;
  for (size_t i = 0; i < m_rows.size(); ++i) {
    const Row& row = m_rows[i];
    boost::json::object errors;
    for (const auto& [type, count] : row.m_errors) {
      errors[type] = count;
    }
    boost::json::array examples;
    for (const std::string& example : row.m_examples) {
      examples.push_back(boost::json::value(example));
    }
    boost::json::object result;
    result["name"] = m_scenario.m_mixes[i].m_name;
    result["sent"] = row.m_sent;
    result["answered"] = row.m_answered;
    result["answered_per_second"] =
      static_cast<double>(row.m_answered) / seconds;
    result["errors"] = std::move(errors);
    result["first_token_ms"] = detail::Quantiles(row.m_first);
    result["total_ms"] = detail::Quantiles(row.m_total);
    result["between_tokens_ms"] = detail::Quantiles(row.m_gaps);
    result["cost_micros"] = row.m_costMicros;
    result["violations"] = row.m_violations;
    result["violation_examples"] = std::move(examples);
    results.push_back(std::move(result));
  }
  boost::json::object whole;
  whole["seed"] = m_scenario.m_seed;
  whole["duration_ms"] = m_scenario.m_duration.Count();
  whole["elapsed_ms"] = aElapsed.Count();
  whole["max_send_lag_ms"] = m_maxLagMs;
  whole["results"] = std::move(results);
  return boost::json::serialize(whole);
}

std::string
Stats::ToTable(base::Millis aElapsed) const
{
  const std::lock_guard lock(m_lock);
  const double seconds =
    static_cast<double>(aElapsed.Count()) / detail::kMillisPerSecond;
  std::ostringstream out;
  out << std::left << std::setw(20) << "MIX" << std::right << std::setw(8)
      << "SENT" << std::setw(9) << "ANSWERED" << std::setw(8) << "PER S"
      << std::setw(22) << "FIRST MS 50/90/99" << std::setw(22)
      << "TOTAL MS 50/90/99" << std::setw(20) << "GAP MS 50/90/99"
      << std::setw(11) << "VIOLATIONS"
      << "\n";
  for (size_t i = 0; i < m_rows.size(); ++i) {
    const Row& row = m_rows[i];
    out << std::left << std::setw(20) << m_scenario.m_mixes[i].m_name
        << std::right << std::setw(8) << row.m_sent << std::setw(9)
        << row.m_answered << std::setw(8) << std::fixed << std::setprecision(1)
        << static_cast<double>(row.m_answered) / seconds << std::setw(22)
        << detail::Triple(row.m_first) << std::setw(22)
        << detail::Triple(row.m_total) << std::setw(20)
        << detail::Triple(row.m_gaps) << std::setw(11) << row.m_violations
        << "\n";
    for (const auto& [type, count] : row.m_errors) {
      out << "    error " << type << ": " << count << "\n";
    }
    for (const std::string& example : row.m_examples) {
      out << "    violation: " << example << "\n";
    }
  }
  out << "largest delay of a send: " << std::setprecision(1) << m_maxLagMs
      << " ms\n";
  return out.str();
}

} // namespace chivefront::load
