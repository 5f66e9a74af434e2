// Counters, gauges, summaries and histograms of durations, with output in the
// Prometheus text format.
//
//   base::Counter& refused = metrics.AddCounter(
//     "chivefront_refused_total", "Requests refused before dispatch.");
//   refused.Increment();
//
// A counter or other metric lives as long as the Metrics object that returned
// it. Updates are thread-safe.
#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

#include "chivefront/base/histogram.h"

namespace chivefront::base {

class Counter
{
public:
  void Increment(uint64_t aBy = 1) { m_value += aBy; }
  uint64_t Value() const { return m_value; }

private:
  std::atomic<uint64_t> m_value{ 0 };
};

class Gauge
{
public:
  void Set(int64_t aValue) { m_value = aValue; }
  void Add(int64_t aBy) { m_value += aBy; }
  int64_t Value() const { return m_value; }

private:
  std::atomic<int64_t> m_value{ 0 };
};

// Streaming quantiles of a distribution (P-square estimates by
// Boost.Accumulators); constant memory.
class Summary
{
public:
  Summary();
  ~Summary();
  void Observe(double aValue);
  uint64_t Count() const;
  double Sum() const;
  double Quantile50() const;
  double Quantile99() const;

private:
  struct Accumulator;
  mutable std::mutex m_lock;
  std::unique_ptr<Accumulator> m_accumulator;
};

class Metrics
{
public:
  // A repeated call with the same name and label returns the same object.
  // aLabel is empty or has the form  name="value".
  Counter& AddCounter(std::string_view aName,
                      std::string_view aHelp,
                      std::string_view aLabel = {});
  Gauge& AddGauge(std::string_view aName,
                  std::string_view aHelp,
                  std::string_view aLabel = {});
  Summary& AddSummary(std::string_view aName,
                      std::string_view aHelp,
                      std::string_view aLabel = {});
  Histogram& AddHistogram(std::string_view aName,
                          std::string_view aHelp,
                          std::string_view aLabel = {});

  // Prometheus text exposition format.
  std::string Render() const;

private:
  template<typename T>
  struct Family
  {
    std::string m_help;
    std::map<std::string, std::unique_ptr<T>> m_members; // by label
  };
  template<typename T>
  using Families = std::map<std::string, Family<T>, std::less<>>;

  template<typename T>
  T& Add(Families<T>& aFamilies,
         std::string_view aName,
         std::string_view aHelp,
         std::string_view aLabel);

  mutable std::mutex m_lock;
  Families<Counter> m_counters;
  Families<Gauge> m_gauges;
  Families<Summary> m_summaries;
  Families<Histogram> m_histograms;
};

} // namespace chivefront::base
