// Posts bills and claim results that entries left unsettled to the ledger.
#pragma once

#include <atomic>
#include <mutex>
#include <string>

#include "chivefront/agent/settlement.h"
#include "chivefront/base/metrics.h"
#include "chivefront/client/ledger_client.h"

namespace chivefront::agent {

// The shard key of a suspect request in the ledger: its fingerprint as 16
// hexadecimal digits.
std::string
SuspectShardKey(uint64_t aFingerprint);

// Thread-safe.
class SettlementPoster
{
public:
  SettlementPoster(net::asio::io_context& aContext,
                   client::ControlLinks& aControl,
                   const base::Clock& aClock,
                   base::Metrics& aMetrics);

  bool IsFull() const;
  void Add(const SettlementKey& aKey,
           Settlement aSettlement,
           const std::string& aEntry);
  void OnSettled(const SettlementKey& aKey);
  void OnEntryDisconnected(const std::string& aEntry);
  void OnEntryConnected(const std::string& aEntry);
  // Shortens the grace periods for a drain, as in PendingSettlements.
  void ShortenGracePeriods();
  // Starts to post the records that are due and updates the metrics.
  void PostDue();
  // Number of records and commands that the ledger has not confirmed.
  size_t UnsettledCount() const;

  // Sends a command that is no settlement (losses, cleared suspects). The
  // command is repeated until the ledger confirms it, for at most
  // kSubmitTimeout.
  template<typename CommandT>
  void Submit(std::string aShardKey, CommandT aCommand)
  {
    ++m_pendingCommands;
    net::Spawn(m_context.get_executor(),
               "settler",
               [this,
                key = std::move(aShardKey),
                command = std::move(aCommand)]() -> net::Task<void> {
                 return SubmitCommand(key, command);
               });
  }

private:
  template<typename CommandT>
  net::Task<void> SubmitCommand(std::string aShardKey, CommandT aCommand)
  {
    (void)co_await m_ledger.Run(
      aShardKey, std::move(aCommand), m_clock.Now() + kSubmitTimeout);
    --m_pendingCommands;
  }
  net::Task<void> Post(SettlementKey aKey, Settlement aSettlement);

  // Longer than the election of a ledger leader and a restart of the control
  // process.
  static constexpr base::Millis kSubmitTimeout{ 30000 };

  net::asio::io_context& m_context;
  client::LedgerClient m_ledger;
  const base::Clock& m_clock;
  std::atomic<size_t> m_pendingCommands{ 0 };
  base::Counter& m_posted;
  base::Gauge& m_unsettled;
  base::Gauge& m_oldestAge;
  mutable std::mutex m_lock;
  PendingSettlements m_pendingSettlements; // guarded by m_lock
};

} // namespace chivefront::agent
