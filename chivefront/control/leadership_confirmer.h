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
      if (m_next.size() >= kMaxAskers) {
        lock.unlock();
        aDone(base::MakeError(base::ErrorKind::Unavailable,
                              "too many wait for a confirmation"));
        return;
      }
      m_next.push_back(std::move(aDone));
      if (m_running) {
        return;
      }
      m_running = true;
    }
    StartRound();
  }

  uint64_t Rounds() const
  {
    const std::lock_guard lock(m_lock);
    return m_rounds;
  }

private:
  // Reached only when rounds stall, as on a leader that is cut off.
  static constexpr size_t kMaxAskers = 10000;

  using Askers = std::vector<consensus::Group::ConfirmCallback>;

  void StartRound()
  {
    auto askers = std::make_shared<Askers>();
    {
      const std::lock_guard lock(m_lock);
      askers->swap(m_next);
      ++m_rounds;
    }
    m_replica.ConfirmLeadership(
      [this, askers](absl::StatusOr<uint64_t> aIndex) {
        for (const auto& asker : *askers) {
          asker(aIndex);
        }
        {
          const std::lock_guard lock(m_lock);
          m_running = !m_next.empty();
          if (!m_running) {
            return;
          }
        }
        StartRound();
      });
  }

  ReplicaPort& m_replica;
  mutable std::mutex m_lock; // guards what follows
  Askers m_next;             // wait for the next round
  bool m_running = false;
  uint64_t m_rounds = 0;
};

} // namespace chivefront::control
