// Posts what entries left unsettled to the ledger.
#pragma once

#include <mutex>

#include "chivefront/agent/settlement.h"
#include "chivefront/base/metrics.h"
#include "chivefront/client/ledger_client.h"

namespace chivefront::agent {

// Thread-safe.
class Settler
{
public:
  Settler(net::asio::io_context& aContext,
          client::ControlLinks& aControl,
          const base::Clock& aClock,
          base::Metrics& aMetrics);

  bool Full() const;
  void Add(const SettlementKey& aKey,
           Settlement aWhat,
           const std::string& aEntry);
  void Settle(const SettlementKey& aKey);
  void EntryGone(const std::string& aEntry);
  void EntryBack(const std::string& aEntry);
  // Posts without waiting for entries that have no link.
  void Hurry();
  // Starts posting what is due and updates the health figures.
  void Tick();
  size_t Unsettled() const;

  // A command outside the book (losses, cleared suspects), repeated until it
  // is confirmed, at most for a bounded time.
  template<typename CommandT>
  void Submit(std::string aShardKey, CommandT aCommand)
  {
    net::Spawn(m_context.get_executor(),
               "settler",
               [this,
                key = std::move(aShardKey),
                command = std::move(aCommand)]() -> net::Task<void> {
                 return SubmitNow(key, command);
               });
  }

private:
  template<typename CommandT>
  net::Task<void> SubmitNow(std::string aShardKey, CommandT aCommand)
  {
    (void)co_await m_ledger.Run(
      std::move(aShardKey), std::move(aCommand), m_clock.Now() + kSubmitSpan);
  }
  net::Task<void> Post(SettlementKey aKey, Settlement aWhat);

  // Longer than an election of a ledger leader and a restart of control.
  static constexpr base::Millis kSubmitSpan{ 30000 };

  net::asio::io_context& m_context;
  client::LedgerClient m_ledger;
  const base::Clock& m_clock;
  base::Counter& m_posted;
  base::Gauge& m_unsettled;
  base::Gauge& m_oldest;
  mutable std::mutex m_lock;
  SettlementBook m_book; // guarded by m_lock
};

} // namespace chivefront::agent
