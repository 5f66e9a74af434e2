// Shares rounds of leadership confirmation between many askers.
//
// A question that arrives while a round is under way waits for the next one,
// because only a round that begins after the question proves anything for it.
// So at most one round runs at a time, however many ask.
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
  // Reached only when rounds stall, as on a leader that is cut off.
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
  mutable std::mutex m_lock; // guards what follows
  Callbacks m_waiting;       // wait for the next round
  bool m_roundInFlight = false;
  uint64_t m_rounds = 0;
};

} // namespace chivefront::control
