// Least-squares lines through measured points, and tables of them.
#pragma once

#include <string>
#include <vector>

namespace chivefront::bench {

struct Point
{
  double m_size = 0;  // e.g. number of links
  double m_value = 0; // e.g. microseconds of CPU per second
};

// value = m_intercept + m_slope * size
struct Line
{
  double m_slope = 0;
  double m_intercept = 0;
  // Largest distance of a point from the line, as a share of the point's own
  // value, so that a curve shows at its small sizes too.
  double m_residual = 0;
};

// Needs at least two points of different sizes.
Line
Fit(const std::vector<Point>& aPoints);

// One measured slope: what grows by how much with what.
struct Slope
{
  std::string m_name; // e.g. "entry.link.cpu"
  std::string m_unit; // e.g. "us/s per link"
  std::vector<Point> m_points;
  Line m_line;
};

// CPU time this process has used, in microseconds.
double
ProcessCpuMicros();

// Bytes that this process holds from the allocator. Resident memory would
// depend on what earlier measurements freed.
double
AllocatedBytes();

// Prints the slopes as a table, then as JSON lines when aJson is set.
void
PrintSlopes(const std::vector<Slope>& aSlopes, bool aJson);

} // namespace chivefront::bench
