// Announcements with acknowledgements, one at a time to each peer.
#include "chivefront/site/announcer.h"

#include "chivefront/base/ids.h"
#include "chivefront/site/messages.h"

namespace chivefront::site {
namespace detail {

// Several round trips within a region. Shorter than the silence after which a
// link closes, so that a lost answer costs less than a lost link.
constexpr base::Millis kAcknowledgeTimeout{ 500 };
// Records in one announcement; about 20 KB.
constexpr size_t kMaxRecords = 128;

} // namespace detail

Announcer::Announcer(const net::asio::any_io_executor& aExecutor,
                     std::string aName,
                     control::Peers& aPeers,
                     const routing::Registry& aRegistry,
                     const base::Clock& aClock)
  : m_executor(aExecutor)
  , m_name(std::move(aName))
  , m_peers(aPeers)
  , m_registry(aRegistry)
  , m_clock(aClock)
{
}

void
Announcer::SetPeers(const std::set<std::string>& aNames)
{
  // A peer with a call under way is kept, as its coroutine uses it.
  std::erase_if(m_states, [&](const auto& aItem) {
    return aNames.count(aItem.first) == 0 && !aItem.second.m_calling;
  });
  const base::TimePoint now = m_clock.Now();
  for (const std::string& name : aNames) {
    const auto [state, isNew] = m_states.try_emplace(name);
    if (isNew) {
      // Batches to different processes and from different ones spread out.
      const uint64_t phase = base::StableHash(m_name + ">" + name) %
                             static_cast<uint64_t>(kRenewalPeriod.Count());
      state->second.m_batchedAt =
        now - base::Millis(static_cast<int64_t>(phase));
      // Its link may have opened before.
      AnnounceAll(name);
    }
  }
}

void
Announcer::Announce(const std::string& aId)
{
  for (auto& [name, peer] : m_states) {
    peer.m_unacknowledged.insert(aId);
    Start(name);
  }
}

void
Announcer::AnnounceRenewal(const std::string& aId)
{
  for (auto& [name, peer] : m_states) {
    peer.m_renewed.insert(aId);
  }
}

void
Announcer::AnnounceAll(const std::string& aPeer)
{
  const auto found = m_states.find(aPeer);
  if (found == m_states.end()) {
    return;
  }
  m_registry.ForEach([&](const routing::Instance& aInstance) {
    found->second.m_unacknowledged.insert(aInstance.m_id);
  });
  Start(aPeer);
}

void
Announcer::OnTick()
{
  const base::TimePoint now = m_clock.Now();
  for (auto& [name, peer] : m_states) {
    if (!peer.m_renewed.empty() && now - peer.m_batchedAt >= kRenewalPeriod) {
      peer.m_batchedAt = now;
      peer.m_unacknowledged.merge(peer.m_renewed);
      peer.m_renewed.clear();
    }
    Start(name);
  }
}

// Does nothing while an announcement is under way: the records that wait follow
// it.
void
Announcer::Start(const std::string& aName)
{
  Peer& peer = m_states.at(aName);
  if (peer.m_calling || peer.m_unacknowledged.empty()) {
    return;
  }
  peer.m_calling = true;
  net::Spawn(m_executor, "announcer", [this, aName]() -> net::Task<void> {
    return Send(aName);
  });
}

net::Task<void>
Announcer::Send(std::string aName)
{
  Peer& peer = m_states.at(aName);
  bool acknowledged = true;
  while (acknowledged && !peer.m_unacknowledged.empty()) {
    const net::Link::Pointer link = m_peers.LinkOrConnect(aName);
    const std::vector<routing::Instance> records = NextRecords(peer);
    if (!link || records.empty()) {
      break;
    }
    wire::MessageT message = wire::MakeMessage(MakeRequest(records));
    const auto reply =
      co_await link->Call(std::move(message), detail::kAcknowledgeTimeout);
    acknowledged = reply.ok() && reply->body.AsAnnounceReply() != nullptr;
    if (acknowledged) {
      Settle(peer, records);
    }
  }
  peer.m_calling = false;
}

// Forgets records that have expired.
std::vector<routing::Instance>
Announcer::NextRecords(Peer& aPeer) const
{
  std::vector<routing::Instance> records;
  std::erase_if(aPeer.m_unacknowledged, [&](const std::string& aId) {
    const routing::Instance* record = m_registry.Find(aId);
    if (record != nullptr && records.size() < detail::kMaxRecords) {
      records.push_back(*record);
    }
    return record == nullptr;
  });
  return records;
}

wire::AnnounceRequestT
Announcer::MakeRequest(const std::vector<routing::Instance>& aRecords) const
{
  wire::AnnounceRequestT request;
  request.agent = m_name;
  const base::TimePoint now = m_clock.Now();
  for (const routing::Instance& record : aRecords) {
    request.upstreams.push_back(
      std::make_unique<wire::UpstreamInfoT>(ToWire(record, now)));
  }
  return request;
}

// A record that has changed since it was sent stays unacknowledged. A renewal
// since then belongs to the next batch.
void
Announcer::Settle(Peer& aPeer,
                  const std::vector<routing::Instance>& aRecords) const
{
  for (const routing::Instance& record : aRecords) {
    const routing::Instance* known = m_registry.Find(record.m_id);
    const bool isCurrent =
      known == nullptr || routing::IsRenewal(record, *known);
    if (isCurrent) {
      aPeer.m_unacknowledged.erase(record.m_id);
    }
  }
}

} // namespace chivefront::site
