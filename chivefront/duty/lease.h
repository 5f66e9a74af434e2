// When this process may make the calls of its duties, and with which tokens.
//
// The replicated log of the control group grants duties, and only the leader of
// the group asks for them. All duties of a process have the same holder. A
// lease makes no calls and reads no clock:
//
//   lease.Observe(leadingTerm, now);             // at each tick
//   if (auto duty = lease.NextToAcquire()) ...   // commit, then OnAcquired
//   lease.OnConfirmed(term, began, holders);     // after each quorum round
//   if (auto token = lease.MaySend(duty, now)) ... // directly before the bytes
//
// Two rules keep holders apart. A holder may send only for a short time after
// the begin of a quorum round that confirmed its term, and a new leader waits
// for that time, the timeout of a call and the lease before it acquires. A new
// leader needs votes of a quorum that no longer confirms the old one, so the
// last call of the old holder arrives at least one lease before the first of
// the new one.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>

#include "chivefront/base/clock.h"
#include "chivefront/base/names.h"
#include "chivefront/duty/duty.h"

namespace chivefront::duty {

// Who holds a duty, as the replicated state says.
struct Holder
{
  uint64_t m_token = 0; // increased by each acquisition
  std::string m_host;
  uint64_t m_owner = 0; // random number of the process incarnation

  bool operator==(const Holder&) const = default;
};

using Holders = std::map<Duty, Holder>;

struct LeaseTimes
{
  base::Millis m_lease{ 0 };
  // How long a holder may send after the begin of a quorum round.
  base::Millis m_permission{ 500 };
  // A call is reset when it has lasted this long.
  base::Millis m_callTimeout{ 1000 };

  base::Millis WaitBeforeAcquiring() const
  {
    return m_lease + m_permission + m_callTimeout;
  }
};

enum class LeaseStage
{
  NotLeading,
  Waiting,   // for the end of what an earlier holder may have begun
  Acquiring, // not all duties are granted yet
  Holding,
};

inline constexpr base::NameTable<LeaseStage, 4> kLeaseStageNames{ {
  { { LeaseStage::NotLeading, "not_leading" },
    { LeaseStage::Waiting, "waiting" },
    { LeaseStage::Acquiring, "acquiring" },
    { LeaseStage::Holding, "holding" } },
} };

namespace detail {

using Tokens = std::map<Duty, uint64_t>;

struct NeverLed
{};

struct Waiting
{
  uint64_t m_term = 0;
  base::TimePoint m_until;
};

struct Acquiring
{
  uint64_t m_term = 0;
  Tokens m_tokens; // granted so far
};

struct Holding
{
  uint64_t m_term = 0;
  Tokens m_tokens; // of all duties
  // End of the permission to send; none before the first confirmation.
  std::optional<base::TimePoint> m_permittedUntil;
};

} // namespace detail

// Not thread-safe.
class Lease
{
public:
  Lease(LeaseTimes aTimes, std::set<Duty> aDuties, uint64_t aOwner);

  // The term in which this process leads the group; none when it does not lead
  // or can't tell. A process that leads again in the same term goes on where it
  // was: no other one led meanwhile, because a term has one leader, and a later
  // term would have ended this one.
  void Observe(std::optional<uint64_t> aLeadingTerm, base::TimePoint aNow);

  // The duty that this process should acquire now.
  std::optional<Duty> NextToAcquire() const;

  // An acquisition that was proposed in aTerm was committed; aHolder is the
  // duty's holder in the state after that.
  void OnAcquired(uint64_t aTerm, Duty aDuty, const Holder& aHolder);

  // A quorum round that began at aBegan confirmed that this process led in
  // aTerm. aHolders are of a state that is at least as new as the round.
  void OnConfirmed(uint64_t aTerm,
                   base::TimePoint aBegan,
                   const Holders& aHolders);

  // The token for a call of aDuty whose bytes are written at once; none when no
  // call may be made.
  std::optional<uint64_t> MaySend(Duty aDuty, base::TimePoint aNow) const;

  LeaseStage Stage() const;
  // The last term in which this process led; 0 when it never did.
  uint64_t Term() const;

private:
  // Whether aHolders grants all duties to this process.
  bool AllOwn(const Holders& aHolders) const;

  const LeaseTimes m_times;
  const std::set<Duty> m_duties;
  const uint64_t m_owner;
  bool m_leading = false; // as observed last
  std::variant<detail::NeverLed,
               detail::Waiting,
               detail::Acquiring,
               detail::Holding>
    m_stage; // in the last term in which this process led
};

} // namespace chivefront::duty
