// Least-squares lines through measured points, resource readings of this
// process, and output of the lines.
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
  // Largest distance of a point from the line, relative to the point's value,
  // so that deviations at small sizes show too.
  double m_residual = 0;
};

// Needs at least two points of different sizes.
Line
Fit(const std::vector<Point>& aPoints);

// How much one cost grows per unit of size.
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

// Bytes that the allocator has handed out to this process. Resident memory
// would depend on what earlier measurements freed.
double
AllocatedBytes();

// Prints the slopes as a table, then as JSON lines when aJson is set.
void
PrintSlopes(const std::vector<Slope>& aSlopes, bool aJson);

} // namespace chivefront::bench
