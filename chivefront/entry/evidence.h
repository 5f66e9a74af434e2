// Counts per version that tell the roll-out judge how a version does. Totals
// since the start of the process, so that a lost or repeated report does no
// harm. Thread-safe.
#pragma once

#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "chivefront/base/clock.h"
#include "chivefront/wire/protocol_generated.hpp"

namespace chivefront::entry {

class Evidence
{
public:
  // A run was dispatched on aVersion.
  void Exposed(const std::string& aVersion);
  void Answered(const std::string& aVersion, base::Millis aLatency);
  void Failed(const std::string& aVersion, bool aUpstreamLost);
  void Rated(const std::string& aVersion, bool aAcceptable);

  std::vector<wire::VersionEvidenceT> Totals() const;

private:
  wire::VersionEvidenceT& Row(const std::string& aVersion);

  mutable std::mutex m_lock;
  std::map<std::string, wire::VersionEvidenceT> m_rows;
};

} // namespace chivefront::entry
