// Message handlers and the confirmation of freshness.
#include "chivefront/control/server.h"

#include <algorithm>

#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>

#include "chivefront/base/errors.h"
#include "chivefront/base/ids.h"
#include "chivefront/client/lease.h"

namespace chivefront::control {
namespace detail {

// Period at which the leader confirms its leadership. It is short against the
// lease, and so is the age that the leader's own watchers get.
constexpr base::Millis kConfirmPeriod{ 100 };
// A follower queries the leader at every second step, which is every 200 ms.
constexpr int kStepsPerLeaderQuery = 2;
constexpr base::Millis kLeaderQueryTimeout{ 600 };
constexpr base::Millis kSystemChangePeriod{ 250 };
// At most 2 KB in each reply. The entries that saw the losses of older suspects
// know these suspects already.
constexpr size_t kMaxSuspectsPerReply = 256;
// Hints are collected every second, also without a status request, so that
// m_hintSince tells when each of them began to apply.
constexpr int kStepsPerHints = 10;
constexpr size_t kMaxAppliedRevisions = 4096;

wire::LedgerReplyT
LedgerFailure(const absl::Status& aWhy, std::string aLeader)
{
  wire::LedgerReplyT reply;
  reply.not_leader = base::KindOf(aWhy) == base::ErrorKind::NotLeader;
  reply.leader = std::move(aLeader);
  return reply;
}

} // namespace detail

Server::Server(net::asio::io_context& aContext,
               ServerParts aParts,
               ServerOptions aOptions)
  : m_context(aContext)
  , m_parts(aParts)
  , m_options(std::move(aOptions))
  , m_startedAt(aParts.m_clock.Now())
  , m_confirmer(aParts.m_configReplica)
  , m_changes(aParts.m_store,
              aParts.m_configReplica,
              m_confirmer,
              aParts.m_events,
              [this](std::function<void()> aJob) {
                net::asio::post(m_context, std::move(aJob));
              })
  , m_watches(aParts.m_metrics.AddCounter("chivefront_control_watches_total",
                                          "Polls answered."))
  , m_staleWatches(
      aParts.m_metrics.AddCounter("chivefront_control_stale_watches_total",
                                  "Polls answered without freshness."))
  , m_ledgerCommands(
      aParts.m_metrics.AddCounter("chivefront_control_ledger_commands_total",
                                  "Ledger commands received."))
  , m_changeRequests(
      aParts.m_metrics.AddCounter("chivefront_control_changes_total",
                                  "Configuration changes received."))
  , m_registry(base::RandomBits())
{
}

void
Server::Start()
{
  net::SpawnPeriodic(net::asio::make_strand(m_context),
                     "control",
                     detail::kConfirmPeriod,
                     [this] { return ConfirmFreshness(); });
  net::SpawnPeriodic(net::asio::make_strand(m_context),
                     "control",
                     detail::kSystemChangePeriod,
                     [this] { return ProposeSystemChanges(); });
}

void
Server::Stop()
{
  m_stopped = true;
}

void
Server::Handle(const net::Link::Pointer& aLink, wire::MessageT aMessage)
{
  const wire::Role role = aLink->Peer().m_role;
  const uint64_t correlation = aMessage.correlation;
  wire::BodyUnion& body = aMessage.body;
  switch (body.type) {
    case wire::Body::WatchRequest:
      return OnWatch(aLink, correlation, *body.AsWatchRequest());
    case wire::Body::AnnounceRequest:
      if (role == wire::Role::Agent) {
        OnAnnounce(aLink, correlation, *body.AsAnnounceRequest());
      }
      return;
    case wire::Body::ChangeRequest:
      return OnChange(aLink, correlation, std::move(*body.AsChangeRequest()));
    case wire::Body::LedgerRequest:
      return OnLedger(aLink, correlation, *body.AsLedgerRequest());
    case wire::Body::StatusRequest: {
      wire::StatusReplyT reply;
      reply.json = StatusJson();
      (void)aLink->Reply(correlation, std::move(reply));
      return;
    }
    case wire::Body::RaftEnvelope:
      if (role == wire::Role::Control) {
        OnEnvelope(aLink, std::move(*body.AsRaftEnvelope()));
      }
      return;
    default:
      m_parts.m_events.Record("unexpected_message",
                              { { "peer", aLink->Peer().m_process },
                                { "body", wire::EnumNameBody(body.type) } });
  }
}

void
Server::OnEnvelope(const net::Link::Pointer& aLink, wire::RaftEnvelopeT aBody)
{
  const std::string& from = aLink->Peer().m_process;
  // The handshake proves that the peer knows the secret, but not its name. Only
  // configured members take part in the groups.
  if (std::find(m_options.m_peers.begin(), m_options.m_peers.end(), from) ==
        m_options.m_peers.end() ||
      aBody.from != from) {
    return;
  }
  std::string payload(aBody.payload.begin(), aBody.payload.end());
  if (aBody.group == kConfigGroup) {
    m_parts.m_configReplica.Receive(from, std::move(payload));
  } else if (aBody.group == kLedgerGroup) {
    m_parts.m_ledgerReplica.Receive(from, std::move(payload));
  }
}

wire::WatchReplyT
Server::MakeWatchReply(const wire::WatchRequestT& aRequest)
{
  wire::WatchReplyT reply;
  const base::TimePoint now = m_parts.m_clock.Now();
  // The revision is read before the entries of the reply, so that the entries
  // are at least as new as the freshness that the reply claims.
  const uint64_t applied = m_parts.m_store.Revision();
  {
    const std::lock_guard lock(m_lock);
    if (aRequest.role != wire::Role::Operator) {
      m_watchers.RecordPoll(aRequest, now);
    }
    const auto asOf = m_freshness.AsOf(applied);
    reply.fresh = asOf && now - *asOf < client::kLeaseDuration;
    reply.age_ms =
      reply.fresh ? static_cast<uint32_t>((now - *asOf).Count()) : 0;
    reply.live_entries = LiveEntries(now);
    reply.registry_epoch = aRequest.registry_epoch;
    reply.registry_sequence = aRequest.registry_sequence;
    // A process that has just started or is partitioned may not have heard of
    // all running upstreams. Its watchers keep the registry they have.
    if (reply.fresh) {
      m_registry.Expire(now);
      RegistryDelta delta =
        now - m_startedAt >= kAnnouncementTimeout
          ? m_registry.Since(aRequest.registry_epoch,
                             aRequest.registry_sequence)
          : m_registry.Additions(aRequest.registry_epoch,
                                 aRequest.registry_sequence);
      reply.registry_epoch = delta.m_epoch;
      reply.registry_sequence = delta.m_sequence;
      reply.registry_snapshot = delta.m_snapshot;
      for (wire::UpstreamInfoT& upstream : delta.m_upstreams) {
        reply.upstreams.push_back(
          std::make_unique<wire::UpstreamInfoT>(std::move(upstream)));
      }
    }
  }
  if (aRequest.role == wire::Role::Entry) {
    reply.suspects =
      m_parts.m_ledger.NewestSuspects(detail::kMaxSuspectsPerReply);
  }
  Delta delta = m_parts.m_store.Since(aRequest.have_revision);
  reply.revision = delta.m_revision;
  reply.snapshot = delta.m_snapshot;
  for (wire::ConfigEntryT& entry : delta.m_entries) {
    reply.entries.push_back(
      std::make_unique<wire::ConfigEntryT>(std::move(entry)));
  }
  reply.report_sequence = aRequest.report_sequence;
  return reply;
}

void
Server::OnWatch(const net::Link::Pointer& aLink,
                uint64_t aCorrelation,
                const wire::WatchRequestT& aRequest)
{
  if (aRequest.role == wire::Role::Control) {
    return OnFollowerWatch(aLink, aCorrelation, aRequest);
  }
  wire::WatchReplyT reply = MakeWatchReply(aRequest);
  m_watches.Increment();
  m_staleWatches.Increment(reply.fresh ? 0 : 1);
  (void)aLink->Reply(aCorrelation, std::move(reply));
}

// Replies to another control process, which gets the entries by replication and
// needs only a proof of the current revision.
void
Server::OnFollowerWatch(const net::Link::Pointer& aLink,
                        uint64_t aCorrelation,
                        const wire::WatchRequestT& aRequest)
{
  {
    const base::TimePoint now = m_parts.m_clock.Now();
    const std::lock_guard lock(m_lock);
    for (const auto& report : aRequest.reports) {
      m_watchers.RecordRelayed(*report, now);
    }
  }
  m_confirmer.Confirm(
    [this, aLink, aCorrelation](absl::StatusOr<uint64_t> aIndex) {
      wire::WatchReplyT reply;
      reply.fresh = aIndex.ok();
      reply.revision = m_parts.m_store.Revision();
      {
        const std::lock_guard lock(m_lock);
        reply.live_entries = LiveEntries(m_parts.m_clock.Now());
      }
      (void)aLink->Reply(aCorrelation, std::move(reply));
    });
}

void
Server::OnAnnounce(const net::Link::Pointer& aLink,
                   uint64_t aCorrelation,
                   const wire::AnnounceRequestT& aRequest)
{
  size_t rejected = 0;
  {
    const std::lock_guard lock(m_lock);
    rejected = m_registry.Announce(aRequest, m_parts.m_clock.Now());
  }
  if (rejected != 0) {
    m_parts.m_events.Record("announcement_refused",
                            { { "agent", aRequest.agent },
                              { "upstreams", std::to_string(rejected) } });
  }
  if (aCorrelation != 0) {
    wire::AnnounceReplyT reply;
    reply.time_to_live_ms = static_cast<uint32_t>(kAnnouncementTimeout.Count());
    (void)aLink->Reply(aCorrelation, reply);
  }
}

void
Server::OnChange(const net::Link::Pointer& aLink,
                 uint64_t aCorrelation,
                 wire::ChangeRequestT aRequest)
{
  m_changeRequests.Increment();
  if (aLink->Peer().m_role != wire::Role::Operator) {
    wire::ChangeReplyT reply;
    reply.result = wire::ChangeResult::Invalid;
    reply.errors.emplace_back("role: only operators change the configuration");
    (void)aLink->Reply(aCorrelation, std::move(reply));
    return;
  }
  m_changes.Submit(std::move(aRequest),
                   Proposer::Operator,
                   [aLink, aCorrelation](wire::ChangeReplyT aReply) {
                     (void)aLink->Reply(aCorrelation, std::move(aReply));
                   });
}

void
Server::OnLedger(const net::Link::Pointer& aLink,
                 uint64_t aCorrelation,
                 const wire::LedgerRequestT& aRequest)
{
  m_ledgerCommands.Increment();
  uint64_t time = 0;
  {
    const base::TimePoint now = m_parts.m_clock.Now();
    const std::lock_guard lock(m_lock);
    m_logTime.Observe(m_parts.m_ledger.Time(), now);
    time = m_logTime.At(now);
  }
  m_parts.m_ledgerReplica.Propose(
    ledger::EncodeCommand(aRequest, time),
    [this, aLink, aCorrelation](absl::StatusOr<std::string> aResult) {
      absl::StatusOr<wire::LedgerReplyT> reply =
        aResult.ok() ? ledger::DecodeReply(*aResult)
                     : absl::StatusOr<wire::LedgerReplyT>(aResult.status());
      if (!reply.ok()) {
        reply = detail::LedgerFailure(
          reply.status(), m_parts.m_ledgerReplica.Status().m_leader);
      }
      (void)aLink->Reply(aCorrelation, std::move(*reply));
    });
}

bool
Server::IsFresh()
{
  const uint64_t applied = m_parts.m_store.Revision();
  const std::lock_guard lock(m_lock);
  const auto asOf = m_freshness.AsOf(applied);
  return asOf && m_parts.m_clock.Now() - *asOf < client::kLeaseDuration;
}

net::Task<bool>
Server::ConfirmFreshness()
{
  const base::TimePoint now = m_parts.m_clock.Now();
  {
    const std::lock_guard lock(m_lock);
    m_registry.Expire(now);
    m_logTime.Observe(m_parts.m_ledger.Time(), now);
    RecordRevision(now);
  }
  ++m_confirmStep;
  if (m_confirmStep % detail::kStepsPerHints == 0) {
    (void)CollectHints(m_parts.m_store.Catalog().get());
  }
  const consensus::GroupStatus status = m_parts.m_configReplica.Status();
  if (status.m_role == consensus::RaftRole::Leader) {
    m_confirmer.Confirm([this, now](absl::StatusOr<uint64_t> aIndex) {
      const uint64_t revision = m_parts.m_store.Revision();
      const std::lock_guard lock(m_lock);
      if (aIndex.ok()) {
        m_freshness.AddProof(now, revision);
      }
    });
  } else if (m_confirmStep % detail::kStepsPerLeaderQuery == 0) {
    if (net::Link::Pointer link = m_options.m_linkTo(status.m_leader)) {
      net::Spawn(
        m_context.get_executor(), "control", [this, link]() -> net::Task<void> {
          return QueryLeader(link);
        });
    }
  }
  co_return !m_stopped;
}

net::Task<void>
Server::QueryLeader(net::Link::Pointer aLink)
{
  const base::TimePoint sentAt = m_parts.m_clock.Now();
  wire::WatchRequestT request;
  request.holder = m_options.m_name;
  request.role = wire::Role::Control;
  request.have_revision = m_parts.m_store.Revision();
  {
    const std::lock_guard lock(m_lock);
    for (wire::HolderReportT& report : m_watchers.ReportsToRelay(sentAt)) {
      request.reports.push_back(
        std::make_unique<wire::HolderReportT>(std::move(report)));
    }
  }
  auto reply = co_await aLink->Call(wire::MakeMessage(std::move(request)),
                                    detail::kLeaderQueryTimeout);
  const wire::WatchReplyT* answer =
    reply.ok() ? reply->body.AsWatchReply() : nullptr;
  if (answer == nullptr || !answer->fresh) {
    co_return;
  }
  const std::lock_guard lock(m_lock);
  m_freshness.AddProof(sentAt - base::Millis(answer->age_ms), answer->revision);
  m_leaderEntries = answer->live_entries;
  m_leaderEntriesAt = m_parts.m_clock.Now();
}

// A new leader gets the reports about the other processes' watchers only with
// their next queries. Until then it uses the former leader's count, because a
// count that is too low gives each entry too large a share of the teams'
// limits.
uint32_t
Server::LiveEntries(base::TimePoint aNow) const
{
  const uint32_t own = m_watchers.LiveEntries(aNow);
  return aNow - m_leaderEntriesAt < kWatcherTimeout
           ? std::max(m_leaderEntries, own)
           : own;
}

void
Server::RecordRevision(base::TimePoint aNow)
{
  const uint64_t revision = m_parts.m_store.Revision();
  if (m_appliedRevisions.empty() ||
      m_appliedRevisions.back().m_revision < revision) {
    m_appliedRevisions.push_back({ revision, aNow });
  }
  if (m_appliedRevisions.size() > detail::kMaxAppliedRevisions) {
    m_appliedRevisions.erase(m_appliedRevisions.begin());
  }
  m_revisionInForce = RevisionInForce(aNow);
  const auto old = [&](const AppliedRevision& aApplied) {
    return aApplied.m_revision < m_revisionInForce;
  };
  m_appliedRevisions.erase(
    std::remove_if(m_appliedRevisions.begin(), m_appliedRevisions.end(), old),
    m_appliedRevisions.end());
}

// The newest revision that is in force everywhere: every lease that rests on an
// older revision has ended, so that no process starts new work on one.
uint64_t
Server::RevisionInForce(base::TimePoint aNow) const
{
  uint64_t revision = m_revisionInForce;
  for (const AppliedRevision& applied : m_appliedRevisions) {
    if (aNow - applied.m_at >= client::kLeaseDuration) {
      revision = std::max(revision, applied.m_revision);
    }
  }
  return revision;
}

} // namespace chivefront::control
