// Metric families and their Prometheus text format.
#include "chivefront/base/metrics.h"

#include <array>
#include <sstream>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

namespace chivefront::base {
namespace acc = boost::accumulators;

namespace detail {

constexpr std::array<double, 4> kProbabilities = { 0.5, 0.9, 0.99, 0.999 };

std::string
FormatLabels(const std::string& aLabel)
{
  return aLabel.empty() ? std::string() : "{" + aLabel + "}";
}

std::string
FormatQuantileLabels(const std::string& aLabel, const char* aQuantile)
{
  std::string label = aLabel.empty() ? std::string() : aLabel + ",";
  return "{" + label + "quantile=\"" + aQuantile + "\"}";
}

void
WriteHelpAndType(std::ostream& aOut,
                 const std::string& aName,
                 const std::string& aHelp,
                 const char* aType)
{
  aOut << "# HELP " << aName << " " << aHelp << "\n# TYPE " << aName << " "
       << aType << "\n";
}

void
WriteBuckets(std::ostream& aOut,
             const std::string& aName,
             const std::string& aLabel,
             const Histogram& aHistogram)
{
  const std::string label = aLabel.empty() ? std::string() : aLabel + ",";
  const std::string bucket = aName + "_bucket{" + label + "le=\"";
  for (size_t i = 0; i < Histogram::kBoundsMs.size(); ++i) {
    aOut << bucket << Histogram::kBoundsMs[i] << "\"} "
         << aHistogram.CountUpTo(i) << "\n";
  }
  const uint64_t count = aHistogram.Count();
  aOut << bucket << "+Inf\"} " << count << "\n"
       << aName << "_sum" << FormatLabels(aLabel) << " " << aHistogram.Sum()
       << "\n"
       << aName << "_count" << FormatLabels(aLabel) << " " << count << "\n";
}

} // namespace detail

struct Summary::Accumulator
{
  acc::accumulator_set<double,
                       acc::stats<acc::tag::count,
                                  acc::tag::sum,
                                  acc::tag::extended_p_square_quantile>>
    m_set{ acc::extended_p_square_probabilities = detail::kProbabilities };
};

Summary::Summary()
  : m_accumulator(std::make_unique<Accumulator>())
{
}
Summary::~Summary() = default;

void
Summary::Observe(double aValue)
{
  const std::lock_guard lock(m_lock);
  m_accumulator->m_set(aValue);
}

uint64_t
Summary::Count() const
{
  const std::lock_guard lock(m_lock);
  return acc::count(m_accumulator->m_set);
}

double
Summary::Sum() const
{
  const std::lock_guard lock(m_lock);
  return acc::sum(m_accumulator->m_set);
}

double
Summary::Quantile50() const
{
  const std::lock_guard lock(m_lock);
  return acc::quantile(m_accumulator->m_set, acc::quantile_probability = 0.5);
}

double
Summary::Quantile99() const
{
  const std::lock_guard lock(m_lock);
  return acc::quantile(m_accumulator->m_set, acc::quantile_probability = 0.99);
}

template<typename T>
T&
Metrics::Add(Families<T>& aFamilies,
             std::string_view aName,
             std::string_view aHelp,
             std::string_view aLabel)
{
  const std::lock_guard lock(m_lock);
  Family<T>& family = aFamilies[std::string(aName)];
  family.m_help = aHelp;
  std::unique_ptr<T>& member = family.m_members[std::string(aLabel)];
  if (!member) {
    member = std::make_unique<T>();
  }
  return *member;
}

Counter&
Metrics::AddCounter(std::string_view aName,
                    std::string_view aHelp,
                    std::string_view aLabel)
{
  return Add(m_counters, aName, aHelp, aLabel);
}

Gauge&
Metrics::AddGauge(std::string_view aName,
                  std::string_view aHelp,
                  std::string_view aLabel)
{
  return Add(m_gauges, aName, aHelp, aLabel);
}

Summary&
Metrics::AddSummary(std::string_view aName,
                    std::string_view aHelp,
                    std::string_view aLabel)
{
  return Add(m_summaries, aName, aHelp, aLabel);
}

Histogram&
Metrics::AddHistogram(std::string_view aName,
                      std::string_view aHelp,
                      std::string_view aLabel)
{
  return Add(m_histograms, aName, aHelp, aLabel);
}

std::string
Metrics::Render() const
{
  const std::lock_guard lock(m_lock);
  std::ostringstream out;
  for (const auto& [name, family] : m_counters) {
    detail::WriteHelpAndType(out, name, family.m_help, "counter");
    for (const auto& [label, counter] : family.m_members) {
      out << name << detail::FormatLabels(label) << " " << counter->Value()
          << "\n";
    }
  }
  for (const auto& [name, family] : m_gauges) {
    detail::WriteHelpAndType(out, name, family.m_help, "gauge");
    for (const auto& [label, gauge] : family.m_members) {
      out << name << detail::FormatLabels(label) << " " << gauge->Value()
          << "\n";
    }
  }
  for (const auto& [name, family] : m_summaries) {
    detail::WriteHelpAndType(out, name, family.m_help, "summary");
    for (const auto& [label, summary] : family.m_members) {
      if (summary->Count() > 0) {
        out << name << detail::FormatQuantileLabels(label, "0.5") << " "
            << summary->Quantile50() << "\n"
            << name << detail::FormatQuantileLabels(label, "0.99") << " "
            << summary->Quantile99() << "\n";
      }
      out << name << "_sum" << detail::FormatLabels(label) << " "
          << summary->Sum() << "\n"
          << name << "_count" << detail::FormatLabels(label) << " "
          << summary->Count() << "\n";
    }
  }
  for (const auto& [name, family] : m_histograms) {
    detail::WriteHelpAndType(out, name, family.m_help, "histogram");
    for (const auto& [label, histogram] : family.m_members) {
      detail::WriteBuckets(out, name, label, *histogram);
    }
  }
  return out.str();
}

} // namespace chivefront::base
