// How recently this control process knew that its configuration was current.
//
// An answer of the leader proves that its revision was current at the moment
// the question was sent, minus the answer's age. It counts here only once that
// revision has been applied here. Pure; not thread-safe.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "chivefront/base/clock.h"

namespace chivefront::control {

class Freshness
{
public:
  // aRevision was current at aAsOf (local steady clock).
  void Confirm(base::TimePoint aAsOf, uint64_t aRevision)
  {
    // Answers may arrive out of order; an older one proves nothing new.
    const bool older = m_pendingProofs.empty()
                         ? m_asOf && aAsOf <= *m_asOf
                         : aAsOf <= m_pendingProofs.back().m_asOf;
    if (older) {
      return;
    }
    m_pendingProofs.push_back({ aAsOf, aRevision });
    // A replica that lags this far behind is not fresh anyway; the lease of
    // its watchers ends before.
    if (m_pendingProofs.size() > kMaxPendingProofs) {
      m_pendingProofs.pop_front();
    }
  }

  // The latest moment at which nothing newer than aApplied, the revision
  // applied here, was accepted. Nothing before the first proof.
  std::optional<base::TimePoint> AsOf(uint64_t aApplied)
  {
    while (!m_pendingProofs.empty() &&
           m_pendingProofs.front().m_revision <= aApplied) {
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

  std::deque<Proof> m_pendingProofs; // rising in m_asOf; not yet applied here
  std::optional<base::TimePoint> m_asOf;
};

} // namespace chivefront::control
