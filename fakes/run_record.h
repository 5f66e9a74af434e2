// What an upstream ran, appended line by line to a file, so that tests can
// judge after the upstream was killed.
#pragma once

#include <mutex>
#include <string>

namespace fakes {

class RunRecord
{
public:
  // An empty path records nothing.
  explicit RunRecord(const std::string& aPath);
  ~RunRecord();
  RunRecord(const RunRecord&) = delete;
  RunRecord& operator=(const RunRecord&) = delete;

  // Appends "<wall clock ms> <aId>". One write call, so that a kill leaves
  // whole lines.
  void Add(const std::string& aId);

private:
  std::mutex m_lock;
  int m_file = -1;
};

} // namespace fakes
