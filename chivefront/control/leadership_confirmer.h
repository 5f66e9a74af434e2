// Batches requests for a leadership confirmation, so that at most one
// confirmation round is in flight.
//
// A request that arrives during a round waits for the next round: only a round
// that begins after the request proves that this replica led at that time.
#pragma once

#include <memory>
#include <mutex>
#include <vector>

#include "chivefront/base/errors.h"
#include "chivefront/control/replica_port.h"

namespace chivefront::control {

// Thread-safe. aReplica must stop its callbacks before this is destroyed.
class LeadershipConfirmer
{
public:
  explicit LeadershipConfirmer(ReplicaPort& aReplica)
    : m_replica(aReplica)
  {
  }

  // Calls aDone after a round that begins after this call. Unavailable when too
  // many requests wait.
  void Confirm(consensus::Group::ConfirmCallback aDone)
  {
    {
      std::unique_lock lock(m_lock);
      if (m_waiting.size() >= kMaxWaiting) {
        lock.unlock();
        aDone(base::MakeError(base::ErrorKind::Unavailable,
                              "too many wait for a confirmation"));
        return;
      }
      m_waiting.push_back(std::move(aDone));
      if (m_roundInFlight) {
        return;
      }
      m_roundInFlight = true;
    }
    StartRound();
  }

  uint64_t RoundCount() const
  {
    const std::lock_guard lock(m_lock);
    return m_rounds;
  }

private:
  // Reached only when a round does not end, as on a partitioned leader.
  static constexpr size_t kMaxWaiting = 10000;

  using Callbacks = std::vector<consensus::Group::ConfirmCallback>;

  void StartRound()
  {
    auto callbacks = std::make_shared<Callbacks>();
    {
      const std::lock_guard lock(m_lock);
      callbacks->swap(m_waiting);
      ++m_rounds;
    }
    m_replica.ConfirmLeadership(
      [this, callbacks](absl::StatusOr<uint64_t> aIndex) {
        for (const auto& callback : *callbacks) {
          callback(aIndex);
        }
        {
          const std::lock_guard lock(m_lock);
          m_roundInFlight = !m_waiting.empty();
          if (!m_roundInFlight) {
            return;
          }
        }
        StartRound();
      });
  }

  ReplicaPort& m_replica;
  mutable std::mutex m_lock; // guards all members below
  Callbacks m_waiting;       // wait for the next round
  bool m_roundInFlight = false;
  uint64_t m_rounds = 0;
};

} // namespace chivefront::control
