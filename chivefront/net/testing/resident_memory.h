// Memory of the test process.
#pragma once

#include <unistd.h>

#include <cstddef>
#include <fstream>

namespace chivefront::net::testing {

// Bytes of this process that are in memory (/proc/self/statm).
inline size_t
ResidentBytes()
{
  size_t total = 0;
  size_t resident = 0;
  std::ifstream("/proc/self/statm") >> total >> resident;
  return resident * static_cast<size_t>(::sysconf(_SC_PAGESIZE));
}

} // namespace chivefront::net::testing
