// Line fitting, resource readings and output of the slopes.
#include "bench/slopes/fit.h"

#include <sys/resource.h>

#include <algorithm>
#include <cmath>
#include <cstdio>

#include <malloc.h>

namespace chivefront::bench {

Line
Fit(const std::vector<Point>& aPoints)
{
  const double count = static_cast<double>(aPoints.size());
  double sumX = 0;
  double sumY = 0;
  for (const Point& point : aPoints) {
    sumX += point.m_size;
    sumY += point.m_value;
  }
  const double meanX = sumX / count;
  const double meanY = sumY / count;
  double covariance = 0;
  double variance = 0;
  for (const Point& point : aPoints) {
    covariance += (point.m_size - meanX) * (point.m_value - meanY);
    variance += (point.m_size - meanX) * (point.m_size - meanX);
  }
  Line line;
  line.m_slope = variance == 0 ? 0 : covariance / variance;
  line.m_intercept = meanY - line.m_slope * meanX;
  for (const Point& point : aPoints) {
    const double off =
      point.m_value - (line.m_intercept + line.m_slope * point.m_size);
    if (point.m_value != 0) {
      line.m_residual =
        std::max(line.m_residual, std::abs(off / point.m_value));
    }
  }
  return line;
}

double
ProcessCpuMicros()
{
  constexpr double kMicrosPerSecond = 1e6;
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto micros = [](const timeval& aTime) {
    return static_cast<double>(aTime.tv_sec) * kMicrosPerSecond +
           static_cast<double>(aTime.tv_usec);
  };
  return micros(usage.ru_utime) + micros(usage.ru_stime);
}

double
AllocatedBytes()
{
  const struct mallinfo2 info = mallinfo2();
  return static_cast<double>(info.uordblks) + static_cast<double>(info.hblkhd);
}

void
PrintSlopes(const std::vector<Slope>& aSlopes, bool aJson)
{
  if (!aJson) {
    std::printf(
      "%-34s %14s  %-26s %9s  points\n", "slope", "value", "unit", "residual");
  }
  for (const Slope& slope : aSlopes) {
    if (aJson) {
      std::printf("{\"name\":\"%s\",\"slope\":%.6g,\"intercept\":%.6g,"
                  "\"residual\":%.4f,\"unit\":\"%s\"}\n",
                  slope.m_name.c_str(),
                  slope.m_line.m_slope,
                  slope.m_line.m_intercept,
                  slope.m_line.m_residual,
                  slope.m_unit.c_str());
      continue;
    }
    std::printf("%-34s %14.4g  %-26s %8.1f%%  ",
                slope.m_name.c_str(),
                slope.m_line.m_slope,
                slope.m_unit.c_str(),
                slope.m_line.m_residual * 100);
    for (const Point& point : slope.m_points) {
      std::printf("(%g, %.4g) ", point.m_size, point.m_value);
    }
    std::printf("\n");
  }
}

} // namespace chivefront::bench
