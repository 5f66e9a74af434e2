// Ledger commands in place of an entry that is gone.
#include "chivefront/agent/settler.h"

#include "chivefront/base/ids.h"
#include "chivefront/base/log.h"

namespace chivefront::agent {
namespace detail {

// At 100 bytes a record without a claim body; enough for several minutes of
// one host's requests without a ledger.
constexpr size_t kMaxRecords = 50000;
constexpr base::Millis kPostSpan{ 2000 };

} // namespace detail

Settler::Settler(net::asio::io_context& aContext,
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
  , m_oldest(aMetrics.AddGauge("chivefront_agent_oldest_unsettled_ms",
                               "Age of the oldest unsettled record."))
  , m_book(detail::kMaxRecords)
{
}

bool
Settler::Full() const
{
  const std::lock_guard lock(m_lock);
  return m_book.Full();
}

void
Settler::Add(const SettlementKey& aKey,
             Settlement aWhat,
             const std::string& aEntry)
{
  const std::lock_guard lock(m_lock);
  m_book.Add(aKey, std::move(aWhat), aEntry, m_clock.Now());
}

void
Settler::Settle(const SettlementKey& aKey)
{
  const std::lock_guard lock(m_lock);
  m_book.Settle(aKey);
}

void
Settler::EntryGone(const std::string& aEntry)
{
  const std::lock_guard lock(m_lock);
  m_book.EntryGone(aEntry, m_clock.Now());
}

void
Settler::EntryBack(const std::string& aEntry)
{
  const std::lock_guard lock(m_lock);
  m_book.EntryBack(aEntry);
}

void
Settler::Hurry()
{
  const std::lock_guard lock(m_lock);
  m_book.ExpireGraces(m_clock.Now());
}

size_t
Settler::Unsettled() const
{
  const std::lock_guard lock(m_lock);
  return m_book.Size();
}

void
Settler::Tick()
{
  const std::lock_guard lock(m_lock);
  const base::TimePoint now = m_clock.Now();
  for (const SettlementKey& key : m_book.TakeDue(now)) {
    net::Spawn(m_context.get_executor(),
               "settler",
               [this, key, what = *m_book.Find(key)]() -> net::Task<void> {
                 return Post(key, what);
               });
  }
  m_unsettled.Set(static_cast<int64_t>(m_book.Size()));
  m_oldest.Set(m_book.OldestAge(now).Count());
}

net::Task<void>
Settler::Post(SettlementKey aKey, Settlement aWhat)
{
  const base::TimePoint deadline = m_clock.Now() + detail::kPostSpan;
  bool posted = true;
  if (aWhat.m_bill) {
    wire::PostBillT bill;
    bill.lines.push_back(std::make_unique<wire::BillLineT>(*aWhat.m_bill));
    const auto reply =
      co_await m_ledger.Run(aKey.first, std::move(bill), deadline);
    posted = reply.ok();
  }
  if (posted && aWhat.m_claim) {
    std::string shard = aWhat.m_claim->team + "/" + aWhat.m_claim->key;
    wire::FinishClaimT claim = std::move(*aWhat.m_claim);
    const auto reply =
      co_await m_ledger.Run(std::move(shard), std::move(claim), deadline);
    posted = reply.ok();
  }
  const std::lock_guard lock(m_lock);
  if (posted) {
    m_book.Settle(aKey);
    m_posted.Increment();
  } else {
    m_book.PostFailed(aKey, m_clock.Now(), base::RandomBits());
  }
}

} // namespace chivefront::agent
