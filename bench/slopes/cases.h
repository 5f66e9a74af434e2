// Measurements of how cost grows with size. Each function measures at three
// sizes or more and returns fitted lines. aScale below 1 shortens a run.
#pragma once

#include <string>
#include <vector>

#include "bench/slopes/fit.h"

namespace chivefront::bench {

// CPU, memory and bytes of idle links; CPU of connecting; CPU and bytes of
// answer chunks.
std::vector<Slope>
MeasureLinks(double aScale);

// CPU and bytes of an idle watch poll; bytes of a configuration change.
std::vector<Slope>
MeasureWatch(double aScale);

// CPU, memory and bytes of catalogue entries, registered upstreams, session
// pins, claims and bills.
std::vector<Slope>
MeasureState(double aScale);

// CPU of commits at the leader and its two followers, in one process.
// aFolder is an empty folder on the disk to measure.
std::vector<Slope>
MeasureCommits(double aScale, const std::string& aFolder);

} // namespace chivefront::bench
