// Assembly of a control process, and its handling of link messages.
#include "chivefront/site/node.h"

#include <set>

#include "chivefront/base/errors.h"
#include "chivefront/base/ids.h"
#include "chivefront/control/leadership_confirmer.h"
#include "chivefront/control/peers.h"
#include "chivefront/control/watcher_table.h"
#include "chivefront/site/crash_coordinator.h"
#include "chivefront/site/document_parts.h"
#include "chivefront/site/group_reporter.h"
#include "chivefront/site/load_collector.h"
#include "chivefront/site/messages.h"
#include "chivefront/site/rate_coordinator.h"
#include "chivefront/site/registrations.h"
#include "chivefront/site/rollout_supervisor.h"
#include "chivefront/site/usage_coordinator.h"

namespace chivefront::site {
namespace detail {

constexpr uint32_t kGroup = 0;
constexpr base::Millis kTickPeriod{ 200 };
// How long a graceful stop waits for another replica to become the leader.
constexpr base::Millis kTransferTimeout{ 1500 };
constexpr base::Millis kTransferPollPeriod{ 30 };
// Log entries between snapshots. Small because a document may have hundreds of
// kilobytes and the disk is small.
constexpr uint64_t kSnapshotEvery = 64;
constexpr uint64_t kTrailingEntries = 16;
constexpr uint64_t kSegmentBytes = 1024 * 1024;

} // namespace detail

struct Node::Impl
{
  Impl(net::asio::io_context& aContext,
       const net::LinkIdentity& aIdentity,
       NodeOptions aOptions,
       base::EventLog& aEvents,
       base::Metrics& aMetrics,
       base::DecisionLog& aLog)
    : m_context(aContext)
    , m_options(std::move(aOptions))
    , m_clock(base::SteadyClock::Instance())
    , m_log(aLog)
    , m_handlers(MakeHandlers())
    , m_peers(aContext, aIdentity, {}, m_handlers)
    , m_links(aContext, aIdentity, m_handlers)
    , m_store(m_clock)
    , m_group(
        MakeGroupOptions(),
        m_store,
        [this](const std::string& aTo, const std::string& aPayload) {
          m_peers.SendEnvelope(detail::kGroup, aTo, aPayload);
        },
        m_options.m_onFatal,
        aEvents)
    , m_replica(m_group)
    , m_confirmer(m_replica)
    , m_groupReporter(m_options.m_voters, aMetrics, aLog)
    , m_watchCounter(aMetrics.AddCounter("chivefront_site_watches_total",
                                         "Polls of entries answered."))
    , m_commandCounter(aMetrics.AddCounter("chivefront_site_orders_total",
                                           "Commands proposed."))
    , m_registrations(aContext,
                      MakeRegistrationsOptions(),
                      m_peers,
                      m_store,
                      aLog,
                      aMetrics)
    , m_duties(MakeDutyRunner(aMetrics))
  {
    if (m_options.m_duties && m_options.m_duties->m_settings.m_duties.count(
                                duty::Duty::UsageReport) > 0) {
      m_usage.emplace(m_options.m_duties->m_settings, aMetrics);
    }
  }

  std::string Name() const { return m_options.m_listen.ToString(); }

  net::Link::Handlers MakeHandlers()
  {
    net::Link::Handlers handlers;
    handlers.m_onOpen = [this](const net::Link::Pointer& aLink) {
      m_log.Record("link_open",
                   base::LogCategory::State,
                   { { "peer", aLink->Peer().m_process } });
      m_registrations.OnLinkOpen(aLink->Peer().m_process);
    };
    handlers.m_onMessage = [this](const net::Link::Pointer& aLink,
                                  wire::MessageT aMessage) {
      Handle(aLink, aMessage);
    };
    handlers.m_onClose = [this](const net::Link::Pointer& aLink,
                                const absl::Status& aWhy) {
      m_log.Record("link_closed",
                   base::LogCategory::State,
                   { { "peer", aLink->Peer().m_process },
                     { "why", base::MessageOf(aWhy) } });
    };
    return handlers;
  }

  consensus::GroupOptions MakeGroupOptions() const
  {
    consensus::GroupOptions options;
    options.m_group = detail::kGroup;
    options.m_name = Name();
    options.m_domain = m_options.m_domain;
    options.m_diskless = m_options.m_diskless;
    options.m_initialMembers = m_options.m_seeds;
    options.m_mayBootstrap = m_options.m_mayBootstrap;
    options.m_targetVoters = m_options.m_voters;
    options.m_fastFirstElection = true;
    options.m_folder = m_options.m_folder;
    options.m_snapshotEvery = detail::kSnapshotEvery;
    options.m_trailingEntries = detail::kTrailingEntries;
    options.m_segmentBytes = detail::kSegmentBytes;
    return options;
  }

  RegistrationsOptions MakeRegistrationsOptions()
  {
    RegistrationsOptions options;
    options.m_name = Name();
    options.m_folder = m_options.m_folder;
    options.m_diskless = m_options.m_diskless;
    options.m_leader = [this] { return m_group.Status().m_leader; };
    options.m_commit = [this](Command aCommand) {
      return Commit(std::move(aCommand));
    };
    return options;
  }

  // Null when this process has no duties. The sources of windows and orders are
  // set here if they belong to the node.
  std::unique_ptr<DutyRunner> MakeDutyRunner(base::Metrics& aMetrics)
  {
    if (!m_options.m_duties) {
      return nullptr;
    }
    DutyOptions options = *m_options.m_duties;
    if (!options.m_closedWindows) {
      options.m_closedWindows = [this] { return UndecidedUsage(); };
    }
    DutyPorts ports;
    ports.m_status = [this] { return m_group.Status(); };
    ports.m_confirm = [this](consensus::Group::ConfirmCallback aDone) {
      m_confirmer.Confirm(std::move(aDone));
    };
    ports.m_commit = [this](Command aCommand) {
      return Commit(std::move(aCommand));
    };
    return std::make_unique<DutyRunner>(m_context.get_executor(),
                                        std::move(options),
                                        std::move(ports),
                                        m_clock,
                                        m_store,
                                        aMetrics,
                                        m_log);
  }

  void Handle(const net::Link::Pointer& aLink, wire::MessageT& aMessage);
  void OnWatch(const net::Link::Pointer& aLink,
               uint64_t aCorrelation,
               const wire::WatchRequestT& aRequest);
  // The usage windows that may be decided, oldest first. None at a process that
  // does not lead.
  std::vector<duty::WindowUsage> DecidableUsage();
  // The same without those that the replicated state holds, which are dropped.
  std::vector<duty::WindowUsage> UndecidedUsage();
  net::Task<absl::StatusOr<Outcome>> Commit(Command aCommand);
  std::set<std::string> OtherControlProcesses() const;
  void RelayUsage();
  net::Task<bool> OnTick();

  net::asio::io_context& m_context;
  const NodeOptions m_options;
  const base::Clock& m_clock;
  base::DecisionLog& m_log;
  const net::Link::Handlers m_handlers;
  control::Peers m_peers;
  net::LinkServer m_links;
  Store m_store;
  consensus::Group m_group;
  control::GroupReplica m_replica;
  control::LeadershipConfirmer m_confirmer;
  GroupReporter m_groupReporter;
  base::Counter& m_watchCounter;
  base::Counter& m_commandCounter;
  Registrations m_registrations;
  control::WatcherTable m_watchers;
  RolloutSupervisor m_rolloutSupervisor{
    m_watchers,
    [this](const Command& aCommand) {
      m_replica.Propose(Encode(aCommand),
                        [](const absl::StatusOr<std::string>&) {});
    },
    m_log
  };
  RateCoordinator m_rateCoordinator;
  LoadCollector m_loadCollector;
  DocumentSource m_documentSource;
  CrashCoordinator m_crashCoordinator{ m_log };
  std::optional<UsageCoordinator> m_usage;    // unset: not a duty here
  const std::unique_ptr<DutyRunner> m_duties; // may be null
  bool m_stopped = false;
};

void
Node::Impl::Handle(const net::Link::Pointer& aLink, wire::MessageT& aMessage)
{
  wire::BodyUnion& body = aMessage.body;
  switch (body.type) {
    case wire::Body::WatchRequest:
      return OnWatch(aLink, aMessage.correlation, *body.AsWatchRequest());
    case wire::Body::DocumentRequest:
      (void)aLink->Reply(aMessage.correlation,
                         m_documentSource.MakeReply(*m_store.Current(),
                                                    *body.AsDocumentRequest()));
      return;
    case wire::Body::AnnounceRequest:
      m_registrations.OnAnnounce(
        aLink, aMessage.correlation, *body.AsAnnounceRequest());
      return;
    case wire::Body::UsageRelay:
      if (m_usage && aLink->Peer().m_role == wire::Role::Control) {
        m_usage->AcceptRelay(*body.AsUsageRelay(), m_clock.Now());
      }
      return;
    case wire::Body::RaftEnvelope: {
      const wire::RaftEnvelopeT& envelope = *body.AsRaftEnvelope();
      if (aLink->Peer().m_role == wire::Role::Control) {
        m_group.Receive(
          envelope.from,
          std::string(envelope.payload.begin(), envelope.payload.end()));
      }
      return;
    }
    default:
      m_log.Record("unexpected_message",
                   base::LogCategory::State,
                   { { "peer", aLink->Peer().m_process },
                     { "body", wire::EnumNameBody(body.type) } });
  }
}

// Only the leader marks its answer as fresh. A follower's answer serves entries
// that can't reach the leader.
void
Node::Impl::OnWatch(const net::Link::Pointer& aLink,
                    uint64_t aCorrelation,
                    const wire::WatchRequestT& aRequest)
{
  const base::TimePoint now = m_clock.Now();
  m_watchCounter.Increment();
  m_watchers.RecordPoll(aRequest, now);
  m_loadCollector.Record(aRequest, now);
  // The status first: the state is then at least as new as the status says.
  const consensus::GroupStatus status = m_group.Status();
  const auto state = m_store.Current();
  wire::WatchReplyT reply;
  reply.unconfirmed = !status.m_appliedSinceStart;
  reply.fresh = status.m_role == consensus::RaftRole::Leader;
  reply.leader = status.m_leader;
  // Entries need a link to each process that may lead; the others would only
  // add links.
  for (const consensus::Replica& replica : status.m_replicas) {
    if (!replica.m_diskless) {
      reply.members.push_back(replica.m_name);
    }
  }
  reply.live_entries = reply.fresh ? m_watchers.LiveEntries(now) : 0;
  reply.revision = state->m_revision;
  reply.document_number = state->m_number;
  reply.snapshot = aRequest.have_revision != state->m_revision;
  if (reply.snapshot) {
    const uint64_t haveNumber =
      aRequest.fetches_documents ? state->m_number : aRequest.have_number;
    reply.entries = ToEntries(*state, haveNumber, now);
  }
  m_registrations.Answer(aRequest, now, reply);
  const routing::Registry& registry = m_registrations.Known();
  m_crashCoordinator.Answer(
    aRequest, registry, m_registrations.RegistrationDelay(), now, reply);
  m_rateCoordinator.Answer(aRequest, reply.fresh, now, reply);
  if (m_usage) {
    m_usage->Answer(aRequest, now, base::WallClockMillis(), reply);
  }
  (void)aLink->Reply(aCorrelation, std::move(reply));
}

net::Task<absl::StatusOr<Outcome>>
Node::Impl::Commit(Command aCommand)
{
  using Result = absl::StatusOr<std::string>;
  m_commandCounter.Increment();
  std::function<void(std::function<void(Result)>)> propose =
    [this, text = Encode(aCommand)](std::function<void(Result)> aDone) {
      m_replica.Propose(text, std::move(aDone));
    };
  const Result result = co_await net::AwaitCallback<Result>(std::move(propose));
  if (!result.ok()) {
    co_return result.status();
  }
  co_return DecodeOutcome(*result);
}

// Names of all other control processes that this process knows.
std::set<std::string>
Node::Impl::OtherControlProcesses() const
{
  std::set<std::string> names(m_options.m_seeds.begin(),
                              m_options.m_seeds.end());
  for (const consensus::Replica& replica : m_group.Status().m_replicas) {
    names.insert(replica.m_name);
  }
  names.erase(Name());
  return names;
}

std::vector<duty::WindowUsage>
Node::Impl::DecidableUsage()
{
  if (!m_usage || !m_group.IsLeader()) {
    return {};
  }
  return m_usage->Decidable(m_watchers, m_clock.Now(), base::WallClockMillis());
}

std::vector<duty::WindowUsage>
Node::Impl::UndecidedUsage()
{
  std::vector<duty::WindowUsage> undecided;
  const auto state = m_store.Current();
  for (duty::WindowUsage& usage : DecidableUsage()) {
    if (!state->m_duties->IsDecided(usage.m_window)) {
      undecided.push_back(std::move(usage));
    } else if (undecided.empty()) { // Forget also drops all older windows
      m_usage->Forget(usage.m_window);
    }
  }
  return undecided;
}

// Only a process that votes can lead, and thus decide on usage.
void
Node::Impl::RelayUsage()
{
  const auto relay = m_usage->TakeRelay();
  if (!relay) {
    return;
  }
  for (const consensus::Replica& replica : m_group.Status().m_replicas) {
    const net::Link::Pointer link =
      replica.m_voter ? m_peers.LinkTo(replica.m_name) : nullptr;
    if (link) {
      (void)link->Send(wire::MakeMessage(*relay));
    }
  }
}

net::Task<bool>
Node::Impl::OnTick()
{
  const base::TimePoint now = m_clock.Now();
  m_registrations.OnTick(now, OtherControlProcesses());
  m_rateCoordinator.Expire(m_registrations.Known(), now);
  m_loadCollector.Expire(now);
  // Nothing reads the totals yet. Taking them keeps the answers recent.
  (void)m_loadCollector.TakeTotals(now);
  m_groupReporter.Report(m_group.Status());
  if (m_usage) {
    m_usage->OnTick(m_group.IsLeader(), now);
    RelayUsage();
  }
  if (m_duties) {
    m_duties->OnTick(now);
  }
  if (!m_group.IsLeader()) {
    co_return !m_stopped;
  }
  m_rolloutSupervisor.Judge(*m_store.Current(), now);
  co_return !m_stopped;
}

Node::Node(net::asio::io_context& aContext,
           const net::LinkIdentity& aIdentity,
           NodeOptions aOptions,
           base::EventLog& aEvents,
           base::Metrics& aMetrics,
           base::DecisionLog& aLog)
  : m_impl(std::make_unique<Impl>(aContext,
                                  aIdentity,
                                  std::move(aOptions),
                                  aEvents,
                                  aMetrics,
                                  aLog))
{
}

Node::~Node()
{
  Stop();
}

absl::Status
Node::Start()
{
  if (absl::Status status = m_impl->m_group.Start(); !status.ok()) {
    return status;
  }
  if (absl::Status status = m_impl->m_links.Listen(m_impl->m_options.m_listen);
      !status.ok()) {
    return status;
  }
  m_impl->m_registrations.Load();
  for (const std::string& seed : m_impl->m_options.m_seeds) {
    (void)m_impl->m_peers.LinkOrConnect(seed);
  }
  net::SpawnPeriodic(m_impl->m_context.get_executor(),
                     "site",
                     detail::kTickPeriod,
                     [this] { return m_impl->OnTick(); });
  return absl::OkStatus();
}

net::Task<absl::StatusOr<Outcome>>
Node::Commit(Command aCommand)
{
  return m_impl->Commit(std::move(aCommand));
}

net::Task<absl::StatusOr<std::shared_ptr<const State>>>
Node::ReadLinearizable()
{
  using Result = absl::StatusOr<uint64_t>;
  std::function<void(std::function<void(Result)>)> confirm =
    [this](std::function<void(Result)> aDone) {
      m_impl->m_confirmer.Confirm(std::move(aDone));
    };
  const Result index = co_await net::AwaitCallback<Result>(std::move(confirm));
  if (!index.ok()) {
    co_return index.status();
  }
  co_return m_impl->m_store.Current();
}

std::shared_ptr<const State>
Node::LocalState() const
{
  return m_impl->m_store.Current();
}

std::string
Node::Leader() const
{
  return m_impl->m_group.Status().m_leader;
}

std::vector<duty::WindowUsage>
Node::DecidableUsage()
{
  return m_impl->DecidableUsage();
}

void
Node::ForgetUsage(uint64_t aWindow)
{
  if (m_impl->m_usage) {
    m_impl->m_usage->Forget(aWindow);
  }
}

bool
Node::IsLeader() const
{
  return m_impl->m_group.IsLeader();
}

net::Task<absl::Status>
Node::Register(routing::Instance aRecord)
{
  return m_impl->m_registrations.Register(std::move(aRecord));
}

net::Task<absl::Status>
Node::Unregister(std::string aId, uint64_t aBorn)
{
  return m_impl->m_registrations.Unregister(std::move(aId), aBorn);
}

void
Node::AddSeeds(const std::vector<std::string>& aNames)
{
  for (const std::string& name : aNames) {
    (void)m_impl->m_peers.LinkOrConnect(name);
  }
}

net::Task<void>
Node::Leave()
{
  if (m_impl->m_duties) {
    m_impl->m_duties->Stop();
  }
  const base::TimePoint deadline =
    m_impl->m_clock.Now() + detail::kTransferTimeout;
  while (m_impl->m_group.IsLeader() && m_impl->m_clock.Now() < deadline) {
    m_impl->m_group.TransferLeadership();
    co_await net::Sleep(detail::kTransferPollPeriod);
  }
  m_impl->m_stopped = true;
  m_impl->m_links.Stop();
  m_impl->m_peers.Stop();
}

void
Node::Stop()
{
  m_impl->m_group.Stop();
}

} // namespace chivefront::site
