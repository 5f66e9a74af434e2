// Decides which prompt parts, and which whole requests, crash upstreams, from
// the reports of all entries. Requests with such a part, and such requests, are
// then refused.
//
//   quarantine.Record(report);
//   quarantine.OnRegistry(registry);
//   for (const CrashCause& cause : quarantine.Update(now)) ... log it ...
//   reply(quarantine.Suspects(), quarantine.Quarantined());
//
// A part is quarantined when requests with it lost their upstream time after
// time. Each counted loss was sent after the loss counted before, so that
// upstreams that fail at the same moment count once, and at least two requests
// are involved. A part that sound requests share is cleared by their answers: a
// loss before the beginning of an answer by an answer that begins later, a loss
// after it only by an answer that goes on, because the answers of a crashing
// part may begin too. When all upstreams are down nothing clears it, so an
// upstream that a quarantined part has crashed is not held against other parts,
// and a part that no answer was ever seen for is blamed before the others.
//
// A request is counted and quarantined by the rule of policy::SuspectCounts,
// which also serves the product's own path: all requests in flight at a lost
// upstream are counted, and a whole answer clears the count. An answer that
// only began, or that was completed by a resumed attempt, does not: its request
// may crash each upstream in the middle of the answer. An upstream that is
// heard after the loss has not crashed, so that loss does not count, unless the
// upstream proves to have ended soon after it: the registration was late then.
//
// Does no I/O; not thread-safe.
#pragma once

#include <map>
#include <set>
#include <vector>

#include "chivefront/routing/crash_evidence.h"
#include "chivefront/routing/registry.h"

namespace chivefront::routing {

// Keys of parts and of requests, with the time until which requests with them
// are refused.
using QuarantinedCauses = std::map<CauseKey, base::TimePoint>;

// A loss of a whole request counts after this time and the delay of
// registrations: by then an upstream that lives has registered again, about
// once a second, and entries have reported.
inline constexpr base::Millis kRequestLossDelay{ 1600 };

// What was found to crash upstreams.
struct CrashCause
{
  CauseKey m_key = 0;
  bool m_wholeRequest = false; // m_key identifies a request, not a part
};

class CrashQuarantine
{
public:
  // Reports may be repeated and may come from several entries.
  void Record(const CrashReport& aReport);
  // Takes over decisions of an earlier leader. A later end wins.
  void Adopt(const QuarantinedCauses& aCauses);

  // How much later than at its upstream a registration may be taken in. Until
  // then a loss does not count for want of a registration.
  void SetRegistrationDelay(base::Millis aDelay)
  {
    m_registrationDelay = aDelay;
  }
  // Takes in which incarnations have registered, and when.
  void OnRegistry(const Registry& aRegistry);
  // The incarnation aUpstream (MakeUpstreamKey) sent a registration at aTime.
  void OnHeard(uint64_t aUpstream, base::TimePoint aTime);
  // The incarnation has ended without unregistering by aTime.
  void OnEnded(uint64_t aUpstream, base::TimePoint aTime);

  // Forgets what is old and returns what is quarantined from now on.
  std::vector<CrashCause> Update(base::TimePoint aNow);

  // Parts and requests with a loss that are not quarantined; entries report
  // whether answers to requests with them began.
  std::set<CauseKey> Suspects() const;
  const QuarantinedCauses& Quarantined() const { return m_quarantined; }

private:
  // Losses of one part by upstream and request, which a repeated report can't
  // add twice.
  using Losses = std::map<std::pair<uint64_t, uint64_t>, LostAttempt>;
  struct Suspect
  {
    bool m_wholeRequest = false;
    Losses m_losses;
    // Latest times; unset when there was none. A request has no m_begunAt.
    base::TimePoint m_begunAt;
    base::TimePoint m_survivedAt;

    // Whether an answer has shown since that the loss was not its fault.
    bool IsCleared(const LostAttempt& aAttempt) const;
  };

  bool IsGuilty(const Suspect& aSuspect,
                const std::set<uint64_t>& aExplained,
                base::TimePoint aNow) const;
  bool CountsForPart(const LostAttempt& aAttempt, base::TimePoint aNow) const;
  // Upstreams whose loss a quarantined part, or request, explains.
  std::set<uint64_t> UpstreamsCrashedBy(bool aWholeRequests) const;
  std::vector<CauseKey> FindGuiltyParts(base::TimePoint aNow) const;
  std::vector<CauseKey> FindGuiltyRequests(base::TimePoint aNow) const;
  bool HasCrashed(const LostAttempt& aAttempt, base::TimePoint aNow) const;
  void Forget(base::TimePoint aNow);

  std::map<CauseKey, Suspect> m_suspects; // at most kMaxSuspects
  // Upstreams that were heard after a request's loss, with the latest time.
  std::map<uint64_t, base::TimePoint> m_heard;
  // Upstreams that have ended without unregistering, with the time by then.
  std::map<uint64_t, base::TimePoint> m_ended;
  QuarantinedCauses m_quarantined;
  base::Millis m_registrationDelay;
};

} // namespace chivefront::routing
