// Counts of requests, failures and ratings for each version, from which the
// roll-out judge decides. The counts are totals since the start of the process
// and, for the versions of a roll-out, also since the start of the roll-out, so
// a lost or repeated report does no harm. Thread-safe.
#pragma once

#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "chivefront/base/clock.h"
#include "chivefront/catalog/catalog.h"
#include "chivefront/wire/protocol_generated.hpp"

namespace chivefront::entry {

class Evidence
{
public:
  // A run was dispatched to aVersion.
  void OnDispatched(const std::string& aVersion);
  void OnAnswered(const std::string& aVersion, base::Millis aLatency);
  void OnFailed(const std::string& aVersion, bool aUpstreamLost);
  void OnRated(const std::string& aVersion, bool aAcceptable);

  // Adds rows for new roll-outs and removes the rows of ended ones.
  void SetRollouts(const catalog::Catalog& aCatalog);

  // All rows to report. Rows of a roll-out have a non-zero `since`.
  std::vector<wire::VersionEvidenceT> Totals() const;

private:
  struct RolloutCounts
  {
    uint64_t m_started = 0; // 0 until the control process has committed it
    std::string m_from;
    std::string m_to;
    std::map<std::string, wire::VersionEvidenceT> m_rows; // by version
  };

  // Calls aCount on each row of aVersion, with m_lock held.
  template<typename Count>
  void UpdateRows(const std::string& aVersion, const Count& aCount);

  mutable std::mutex m_lock;
  std::map<std::string, wire::VersionEvidenceT> m_rows; // by version
  std::map<std::string, RolloutCounts> m_rollouts;      // by model
};

} // namespace chivefront::entry
