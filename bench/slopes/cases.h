// The measured slopes. Each function measures at three sizes or more and
// returns fitted lines. aScale below 1 shortens the measurements.
#pragma once

#include <string>
#include <vector>

#include "bench/slopes/fit.h"

namespace chivefront::bench {

// CPU, memory and bytes of idle links, of reconnects, and of answer chunks.
std::vector<Slope>
MeasureLinks(double aScale);

// CPU of an idle poll and bytes per watcher; bytes of a change and of an
// upstream in the registry.
std::vector<Slope>
MeasureWatch(double aScale);

// CPU and memory of catalogue entries, pins, claims and bills.
std::vector<Slope>
MeasureState(double aScale);

// CPU of commits at the leader and its two followers, in one process.
// aFolder is an empty folder on the disk to measure.
std::vector<Slope>
MeasureCommits(double aScale, const std::string& aFolder);

} // namespace chivefront::bench
