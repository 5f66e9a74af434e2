// Appends to the record file.
#include "fakes/run_record.h"

#include <fcntl.h>
#include <unistd.h>

#include "chivefront/base/clock.h"

namespace fakes {

RunRecord::RunRecord(const std::string& aPath)
{
  constexpr int kMode = 0644;
  if (!aPath.empty()) {
    m_file = open(aPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, kMode);
  }
}

RunRecord::~RunRecord()
{
  if (m_file >= 0) {
    close(m_file);
  }
}

void
RunRecord::Add(const std::string& aId)
{
  if (m_file < 0) {
    return;
  }
  const std::string line =
    std::to_string(chivefront::base::WallClockMillis()) + " " + aId + "\n";
  const std::lock_guard lock(m_lock);
  (void)!write(m_file, line.data(), line.size());
}

} // namespace fakes
