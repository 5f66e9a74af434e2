// File of the requests that a fake upstream ran, one line each, so that tests
// can check them after the upstream was killed.
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

  // Appends "<wall clock ms> <aId>" with one write call, so that a kill never
  // leaves a partial line.
  void Add(const std::string& aId);

private:
  std::mutex m_lock;
  int m_file = -1;
};

} // namespace fakes
