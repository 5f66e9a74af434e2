// Collects results and formats them as JSON and as a table.
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
constexpr size_t kMaxViolationExamples = 20;
constexpr double kP50 = 0.5;
constexpr double kP90 = 0.9;
constexpr double kP99 = 0.99;

boost::json::object
QuantilesToJson(const std::vector<double>& aValues)
{
  boost::json::object object;
  object["count"] = aValues.size();
  object["p50"] = QuantileOf(aValues, kP50);
  object["p90"] = QuantileOf(aValues, kP90);
  object["p99"] = QuantileOf(aValues, kP99);
  return object;
}

// Returns the quantiles as "p50/p90/p99".
std::string
FormatQuantiles(const std::vector<double>& aValues)
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
  , m_mixResults(aScenario.m_mixes.size())
{
}

void
Stats::Add(size_t aMix, const Sample& aSample)
{
  const std::lock_guard lock(m_lock);
  MixResults& mix = m_mixResults[aMix];
  const CheckResult& result = aSample.m_result;
  ++mix.m_sent;
  std::vector<std::string> violations = aSample.m_otherViolations;
  if (!result.m_violation.empty()) {
    violations.push_back(result.m_violation);
  }
  mix.m_violations += violations.size();
  for (const std::string& violation : violations) {
    if (mix.m_violationExamples.size() < detail::kMaxViolationExamples) {
      mix.m_violationExamples.push_back(violation);
    }
  }
  if (!result.m_error.empty()) {
    ++mix.m_errors[result.m_run.empty() ? result.m_error
                                        : result.m_error + "/" + result.m_run];
    return;
  }
  ++mix.m_answered;
  mix.m_costMicros += result.m_costMicros;
  mix.m_totalMs.push_back(aSample.m_totalMs);
  if (aSample.m_firstTokenMs >= 0) {
    mix.m_firstTokenMs.push_back(aSample.m_firstTokenMs);
  }
  mix.m_tokenGapsMs.insert(mix.m_tokenGapsMs.end(),
                           aSample.m_tokenGapsMs.begin(),
                           aSample.m_tokenGapsMs.end());
}

void
Stats::RecordSendLag(double aLagMs)
{
  const std::lock_guard lock(m_lock);
  m_maxSendLagMs = std::max(m_maxSendLagMs, aLagMs);
}

uint64_t
Stats::Violations() const
{
  const std::lock_guard lock(m_lock);
  uint64_t count = 0;
  for (const MixResults& mix : m_mixResults) {
    count += mix.m_violations;
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
  for (size_t i = 0; i < m_mixResults.size(); ++i) {
    const MixResults& mix = m_mixResults[i];
    boost::json::object errors;
    for (const auto& [type, count] : mix.m_errors) {
      errors[type] = count;
    }
    boost::json::array examples;
    for (const std::string& example : mix.m_violationExamples) {
      examples.push_back(boost::json::value(example));
    }
    boost::json::object result;
    result["name"] = m_scenario.m_mixes[i].m_name;
    result["sent"] = mix.m_sent;
    result["answered"] = mix.m_answered;
    result["answered_per_second"] =
      static_cast<double>(mix.m_answered) / seconds;
    result["errors"] = std::move(errors);
    result["first_token_ms"] = detail::QuantilesToJson(mix.m_firstTokenMs);
    result["total_ms"] = detail::QuantilesToJson(mix.m_totalMs);
    result["between_tokens_ms"] = detail::QuantilesToJson(mix.m_tokenGapsMs);
    result["cost_micros"] = mix.m_costMicros;
    result["violations"] = mix.m_violations;
    result["violation_examples"] = std::move(examples);
    results.push_back(std::move(result));
  }
  boost::json::object document;
  document["seed"] = m_scenario.m_seed;
  document["duration_ms"] = m_scenario.m_duration.Count();
  document["elapsed_ms"] = aElapsed.Count();
  document["max_send_lag_ms"] = m_maxSendLagMs;
  document["results"] = std::move(results);
  return boost::json::serialize(document);
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
  for (size_t i = 0; i < m_mixResults.size(); ++i) {
    const MixResults& mix = m_mixResults[i];
    out << std::left << std::setw(20) << m_scenario.m_mixes[i].m_name
        << std::right << std::setw(8) << mix.m_sent << std::setw(9)
        << mix.m_answered << std::setw(8) << std::fixed << std::setprecision(1)
        << static_cast<double>(mix.m_answered) / seconds << std::setw(22)
        << detail::FormatQuantiles(mix.m_firstTokenMs) << std::setw(22)
        << detail::FormatQuantiles(mix.m_totalMs) << std::setw(20)
        << detail::FormatQuantiles(mix.m_tokenGapsMs) << std::setw(11)
        << mix.m_violations << "\n";
    for (const auto& [type, count] : mix.m_errors) {
      out << "    error " << type << ": " << count << "\n";
    }
    for (const std::string& example : mix.m_violationExamples) {
      out << "    violation: " << example << "\n";
    }
  }
  out << "largest delay of a send: " << std::setprecision(1) << m_maxSendLagMs
      << " ms\n";
  return out.str();
}

} // namespace chivefront::load
