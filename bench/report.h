// Collects measurements over many seeds and prints them as JSON or a table.
#pragma once

#include <cstdint>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace chivefront::bench {

enum class GoalKind
{
  AtMost,
  AtLeast,
};

// A bound from section 3 of the design page.
struct Goal
{
  GoalKind m_kind = GoalKind::AtMost;
  double m_bound = 0;
};

// One measure of one variant, with one sample per seed.
struct Measure
{
  std::string m_case;
  std::string m_variant;
  std::string m_name;
  std::vector<double> m_samples;
  std::optional<Goal> m_goal;

  double Mean() const;
  // Nearest-rank quantile, aShare from 0 to 1.
  double Quantile(double aShare) const;
  // Number of seeds that miss the goal.
  size_t Misses() const;
};

class Report
{
public:
  void Add(const std::string& aCase,
           const std::string& aVariant,
           const std::string& aName,
           double aSample,
           std::optional<Goal> aGoal = std::nullopt);
  void PrintTable(std::ostream& aOut) const;
  void PrintJson(std::ostream& aOut) const;

private:
  std::vector<Measure> m_measures; // in order of first use
};

// Nearest-rank quantile of unsorted values; 0 when there are none.
double
QuantileOf(std::vector<double> aValues, double aShare);

} // namespace chivefront::bench
