// Tracks the latest time at which the configuration of this control process is
// known to have been current.
//
// A reply of the leader proves that its revision was current when the query was
// sent, minus the age that the reply gives. The proof counts for this process
// only once the process has applied that revision. Reads no clock; not
// thread-safe.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "chivefront/base/clock.h"

namespace chivefront::control {

class Freshness
{
public:
  // Adds a proof that aRevision was current at aAsOf (local steady clock).
  void AddProof(base::TimePoint aAsOf, uint64_t aRevision)
  {
    // Replies may arrive out of order; an older proof adds nothing.
    const bool older = m_pendingProofs.empty()
                         ? m_asOf && aAsOf <= *m_asOf
                         : aAsOf <= m_pendingProofs.back().m_asOf;
    if (older) {
      return;
    }
    m_pendingProofs.push_back({ aAsOf, aRevision });
    // A replica that lags behind by this many proofs is not fresh anyway: the
    // leases of its watchers end earlier.
    if (m_pendingProofs.size() > kMaxPendingProofs) {
      m_pendingProofs.pop_front();
    }
  }

  // The latest time at which aAppliedRevision, the revision applied at this
  // process, is proved to have been current; empty before the first proof.
  std::optional<base::TimePoint> AsOf(uint64_t aAppliedRevision)
  {
    while (!m_pendingProofs.empty() &&
           m_pendingProofs.front().m_revision <= aAppliedRevision) {
      m_asOf = m_pendingProofs.front().m_asOf;
      m_pendingProofs.pop_front();
    }
    return m_asOf;
  }

private:
  static constexpr size_t kMaxPendingProofs = 64;

  struct Proof
  {
    base::TimePoint m_asOf;
    uint64_t m_revision;
  };

  // Proofs for revisions that are not yet applied, by rising m_asOf.
  std::deque<Proof> m_pendingProofs;
  std::optional<base::TimePoint> m_asOf;
};

} // namespace chivefront::control
