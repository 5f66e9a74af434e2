// Replies to watch polls and records of announcements and ledger commands.
#include "fakes/control_stub.h"

namespace fakes {

ControlStub::ControlStub(net::asio::io_context& aContext,
                         const net::LinkIdentity& aSelf)
  : m_server(
      aContext,
      aSelf,
      { [](const net::Link::Pointer&) {},
        [this](const net::Link::Pointer& aLink, wire::MessageT aMessage) {
          Handle(aLink, std::move(aMessage));
        },
        [](const net::Link::Pointer&, const absl::Status&) {} })
{
}

absl::Status
ControlStub::Start()
{
  return m_server.Listen({ "127.0.0.1", 0 });
}

void
ControlStub::Put(const std::string& aKey, const std::string& aValue)
{
  const std::lock_guard lock(m_lock);
  m_entries[aKey] = aValue;
  ++m_revision;
}

void
ControlStub::Remove(const std::string& aKey)
{
  const std::lock_guard lock(m_lock);
  m_entries.erase(aKey);
  ++m_revision;
}

void
ControlStub::SetSilent(bool aSilent)
{
  const std::lock_guard lock(m_lock);
  m_silent = aSilent;
}

wire::AnnounceRequestT
ControlStub::LastAnnounce() const
{
  const std::lock_guard lock(m_lock);
  return m_announce;
}

std::vector<wire::LedgerRequestT>
ControlStub::LedgerRequests() const
{
  const std::lock_guard lock(m_lock);
  return m_ledger;
}

void
ControlStub::Handle(const net::Link::Pointer& aLink, wire::MessageT aMessage)
{
  const std::lock_guard lock(m_lock);
  if (m_silent) {
    return;
  }
  if (const auto* watch = aMessage.body.AsWatchRequest()) {
    wire::WatchReplyT reply;
    reply.fresh = true;
    reply.revision = m_revision;
    reply.live_entries = 1;
    reply.snapshot = true;
    if (watch->have_revision != m_revision) {
      for (const auto& [key, value] : m_entries) {
        auto entry = std::make_unique<wire::ConfigEntryT>();
        entry->key = key;
        entry->value = value;
        reply.entries.push_back(std::move(entry));
      }
    }
    (void)aLink->Reply(aMessage.correlation, std::move(reply));
  } else if (auto* announce = aMessage.body.AsAnnounceRequest()) {
    m_announce = std::move(*announce);
  } else if (auto* ledger = aMessage.body.AsLedgerRequest()) {
    m_ledger.push_back(std::move(*ledger));
    wire::LedgerReplyT reply;
    reply.ok = true;
    (void)aLink->Reply(aMessage.correlation, std::move(reply));
  }
}

} // namespace fakes
