// Sends ledger commands in place of an entry that is disconnected.
#include "chivefront/agent/settlement_poster.h"

#include <cinttypes>
#include <cstdio>

#include "chivefront/base/ids.h"
#include "chivefront/base/log.h"

namespace chivefront::agent {
namespace detail {

// About 100 bytes a record without a claim body. Enough for several minutes of
// requests of one host while the ledger is unavailable.
constexpr size_t kMaxRecords = 50000;
constexpr base::Millis kPostTimeout{ 2000 };

} // namespace detail

std::string
SuspectShardKey(uint64_t aFingerprint)
{
  constexpr int kDigits = 16;
  char text[kDigits + 1];
  std::snprintf(text, sizeof(text), "%016" PRIx64, aFingerprint);
  return text;
}

SettlementPoster::SettlementPoster(net::asio::io_context& aContext,
                                   client::ControlLinks& aControl,
                                   const base::Clock& aClock,
                                   base::Metrics& aMetrics)
  : m_context(aContext)
  , m_ledger(aControl)
  , m_clock(aClock)
  , m_posted(aMetrics.AddCounter("chivefront_agent_posted_total",
                                 "Records posted in place of a lost entry."))
  , m_unsettled(aMetrics.AddGauge("chivefront_agent_unsettled",
                                  "Bills and claims not yet settled."))
  , m_oldestAge(aMetrics.AddGauge("chivefront_agent_oldest_unsettled_ms",
                                  "Age of the oldest unsettled record."))
  , m_pendingSettlements(detail::kMaxRecords)
{
}

bool
SettlementPoster::IsFull() const
{
  const std::lock_guard lock(m_lock);
  return m_pendingSettlements.IsFull();
}

void
SettlementPoster::Add(const SettlementKey& aKey,
                      Settlement aSettlement,
                      const std::string& aEntry)
{
  const std::lock_guard lock(m_lock);
  m_pendingSettlements.Add(aKey, std::move(aSettlement), aEntry, m_clock.Now());
}

void
SettlementPoster::OnSettled(const SettlementKey& aKey)
{
  const std::lock_guard lock(m_lock);
  m_pendingSettlements.OnSettled(aKey);
}

void
SettlementPoster::OnEntryDisconnected(const std::string& aEntry)
{
  const std::lock_guard lock(m_lock);
  m_pendingSettlements.OnEntryDisconnected(aEntry, m_clock.Now());
}

void
SettlementPoster::OnEntryConnected(const std::string& aEntry)
{
  const std::lock_guard lock(m_lock);
  m_pendingSettlements.OnEntryConnected(aEntry);
}

void
SettlementPoster::ShortenGracePeriods()
{
  const std::lock_guard lock(m_lock);
  m_pendingSettlements.ShortenGracePeriods(m_clock.Now());
}

size_t
SettlementPoster::UnsettledCount() const
{
  const std::lock_guard lock(m_lock);
  return m_pendingSettlements.Size() + m_pendingCommands;
}

void
SettlementPoster::PostDue()
{
  const std::lock_guard lock(m_lock);
  const base::TimePoint now = m_clock.Now();
  for (const SettlementKey& key : m_pendingSettlements.TakeDue(now)) {
    net::Spawn(m_context.get_executor(),
               "settler",
               [this, key, settlement = *m_pendingSettlements.Find(key)]()
                 -> net::Task<void> { return Post(key, settlement); });
  }
  m_unsettled.Set(static_cast<int64_t>(m_pendingSettlements.Size()));
  m_oldestAge.Set(m_pendingSettlements.OldestAge(now).Count());
}

net::Task<void>
SettlementPoster::Post(SettlementKey aKey, Settlement aSettlement)
{
  const base::TimePoint deadline = m_clock.Now() + detail::kPostTimeout;
  bool posted = true;
  if (aSettlement.m_bill) {
    wire::PostBillT bill;
    bill.lines.push_back(
      std::make_unique<wire::BillLineT>(*aSettlement.m_bill));
    const auto reply =
      co_await m_ledger.Run(aKey.first, std::move(bill), deadline);
    posted = reply.ok();
  }
  if (posted && aSettlement.m_claim) {
    std::string shardKey =
      aSettlement.m_claim->team + "/" + aSettlement.m_claim->key;
    wire::FinishClaimT claim = std::move(*aSettlement.m_claim);
    const auto reply =
      co_await m_ledger.Run(std::move(shardKey), std::move(claim), deadline);
    posted = reply.ok();
  }
  const std::lock_guard lock(m_lock);
  if (posted) {
    m_pendingSettlements.OnSettled(aKey);
    m_posted.Increment();
  } else {
    m_pendingSettlements.PostFailed(aKey, m_clock.Now(), base::RandomBits());
  }
}

} // namespace chivefront::agent
