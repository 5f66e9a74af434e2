// Decides which prompt parts crash upstreams, from the reports of all entries.
// Requests with such a part are then refused.
//
//   quarantine.Record(report);
//   for (PartKey part : quarantine.Update(now)) ... log it ...
//   reply(quarantine.Suspects(), quarantine.Quarantined());
//
// A part is quarantined when requests with it lost their upstream time after
// time and no answer to a request with it has begun meanwhile. Each counted
// loss was sent after the loss counted before, so that upstreams that fail at
// the same moment count once, and at least two requests are involved. A part
// that sound requests share is cleared by their answers. When all upstreams are
// down nothing clears it, so an upstream that a quarantined part has crashed is
// not held against other parts, and a part that no answer was ever seen for is
// blamed before the others. Does no I/O; not thread-safe.
#pragma once

#include <map>
#include <set>
#include <vector>

#include "chivefront/routing/part_evidence.h"

namespace chivefront::routing {

// Parts with the time until which requests with them are refused.
using QuarantinedParts = std::map<PartKey, base::TimePoint>;

class PartQuarantine
{
public:
  // Reports may be repeated and may come from several entries.
  void Record(const PartReport& aReport);
  // Takes over decisions of an earlier leader. A later end wins.
  void Adopt(const QuarantinedParts& aParts);

  // Forgets what is old and returns the parts that are quarantined from now on.
  std::vector<PartKey> Update(base::TimePoint aNow);

  // Parts with a loss that are not quarantined; entries report whether answers
  // to requests with them began.
  std::set<PartKey> Suspects() const;
  const QuarantinedParts& Quarantined() const { return m_quarantined; }

private:
  // Losses of one part by upstream and request, which a repeated report can't
  // add twice.
  using Losses = std::map<std::pair<uint64_t, uint64_t>, LostAttempt>;
  struct Suspect
  {
    Losses m_losses;
    base::TimePoint m_begunAt; // latest; unset when no answer began
  };

  static bool IsGuilty(const Suspect& aSuspect,
                       const std::set<uint64_t>& aExplained,
                       base::TimePoint aNow);
  std::set<uint64_t> UpstreamsCrashedByQuarantined() const;
  std::vector<PartKey> FindGuilty(base::TimePoint aNow) const;
  void Forget(base::TimePoint aNow);

  std::map<PartKey, Suspect> m_suspects; // at most kMaxSuspects
  QuarantinedParts m_quarantined;
};

} // namespace chivefront::routing
