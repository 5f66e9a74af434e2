// The agent's upstreams: their announcements and losses, periodic work, and
// shutdown.
#include "chivefront/agent/agent.h"

#include <algorithm>

#include <boost/asio/strand.hpp>

#include "chivefront/base/errors.h"
#include "chivefront/base/log.h"

namespace chivefront::agent {
namespace detail {

constexpr base::Millis kAnnouncePeriod{ 500 };
constexpr base::Millis kSweepPeriod{ 100 };
constexpr base::Millis kLoadPeriod{ 50 };
constexpr base::Millis kProbeTimeout{ 1000 };
// How long a finished attempt is kept for an entry that asks for its result
// again.
constexpr base::Millis kResultRetention{ 15000 };
// The same for a rejection, which an entry misses only when its link is lost.
// Kept for less time, because there are many rejections under overload.
constexpr base::Millis kRejectionRetention{ 5000 };
// Time between the last result and the end of the process, so that frames that
// are queued on links reach the entries.
constexpr base::Millis kLinkFlushTime{ 500 };

} // namespace detail

void
Agent::Start()
{
  m_control.Start();
  m_watcher.Start();
  const auto periodic = [this](base::Millis aPeriod, void (Agent::*aStep)()) {
    net::SpawnPeriodic(net::asio::make_strand(m_context),
                       "agent",
                       aPeriod,
                       [this, aStep]() -> net::Task<bool> {
                         (this->*aStep)();
                         co_return true;
                       });
  };
  periodic(detail::kAnnouncePeriod, &Agent::AnnounceToControl);
  periodic(detail::kSweepPeriod, &Agent::Sweep);
  periodic(detail::kLoadPeriod, &Agent::SendLoadReports);
}

// --- Reports of upstreams ----------------------------------------------------

catalog::UpstreamRule
Agent::RuleOf(const UpstreamDescription& aDescription) const
{
  const client::ViewPointer view = m_watcher.LastView();
  const catalog::UpstreamRule* rule =
    aDescription.m_kind == wire::UpstreamKind::Plain
      ? view->m_catalog->RuleForService(aDescription.m_service)
      : view->m_catalog->RuleForVersion(aDescription.m_version);
  return rule == nullptr ? catalog::UpstreamRule() : *rule;
}

absl::Status
Agent::Announce(const UpstreamDescription& aDescription, uint32_t, uint32_t)
{
  if (aDescription.m_name.empty() || aDescription.m_incarnation.empty() ||
      !base::Endpoint::Parse(aDescription.m_address)) {
    return base::MakeError(base::ErrorKind::BadRequest,
                           "name, incarnation and address are needed");
  }
  const catalog::UpstreamRule rule = RuleOf(aDescription);
  const LockedUpstreamPointer upstream =
    m_upstreams.FindOrAdd(aDescription.m_name, rule);
  if (!upstream) {
    return base::MakeError(base::ErrorKind::Overloaded, "too many upstreams");
  }
  std::optional<UpstreamLoss> loss;
  bool appeared = false;
  {
    const std::lock_guard lock(upstream->m_lock);
    appeared = !upstream->m_state.IsPresent(Now());
    upstream->m_state.SetRule(rule);
    loss = upstream->m_state.Announce(aDescription, Now());
  }
  if (loss) {
    HandleLoss(aDescription.m_name, *loss);
  }
  if (appeared) {
    m_events.Record("upstream_announced",
                    { { "upstream", aDescription.m_name },
                      { "incarnation", aDescription.m_incarnation } });
    m_loadChanged = true;
    LaunchStartable(upstream);
  }
  return absl::OkStatus();
}

absl::Status
Agent::ReportLoad(const std::string& aName, uint32_t, uint32_t)
{
  return m_upstreams.Find(aName)
           ? absl::OkStatus()
           : base::MakeError(base::ErrorKind::NoUpstream, "not announced");
}

absl::Status
Agent::ReportCacheEvents(const std::string& aName, uint64_t aSequence, size_t)
{
  if (!m_upstreams.Find(aName)) {
    return base::MakeError(base::ErrorKind::NoUpstream, "not announced");
  }
  const std::lock_guard lock(m_linkLock);
  uint64_t& last = m_cacheSequence[aName];
  m_cacheGaps.Increment(aSequence > last + 1 ? 1 : 0);
  last = std::max(last, aSequence);
  return absl::OkStatus();
}

absl::Status
Agent::Leave(const std::string& aName)
{
  const LockedUpstreamPointer upstream = m_upstreams.Find(aName);
  if (!upstream) {
    return base::MakeError(base::ErrorKind::NoUpstream, "not announced");
  }
  m_events.Record("upstream_leaving", { { "upstream", aName } });
  DrainUpstream(upstream);
  AnnounceToControl();
  return absl::OkStatus();
}

void
Agent::DrainUpstream(const LockedUpstreamPointer& aUpstream)
{
  std::vector<AttemptKey> waiting;
  {
    const std::lock_guard lock(aUpstream->m_lock);
    aUpstream->m_state.SetLeaving();
    waiting = aUpstream->m_state.TakeWaiting();
  }
  m_loadChanged = true;
  RejectAll(
    waiting,
    base::MakeError(base::ErrorKind::ShuttingDown, "upstream is leaving"));
}

// --- Losses ------------------------------------------------------------------

void
Agent::HandleLoss(const std::string& aUpstream, const UpstreamLoss& aLoss)
{
  m_lossesTotal.Increment();
  m_loadChanged = true;
  m_events.Record(
    "upstream_lost",
    { { "upstream", aUpstream },
      { "why", aLoss.m_reason },
      { "in_flight", std::to_string(aLoss.m_fingerprints.size()) } });
  for (const AttemptKey& key : aLoss.m_attempts) {
    if (auto attempt = m_attempts.Find(key)) {
      attempt->OnUpstreamLost();
    }
  }
  wire::ReportLossT report;
  report.loss_id = std::to_string(m_identity.m_incarnation) + "/" + aUpstream +
                   "/" + std::to_string(++m_lossCount);
  report.fingerprints = aLoss.m_fingerprints;
  m_settlementPoster.Submit(SuspectShardKey(report.fingerprints.front()),
                            report);
}

void
Agent::RequestProbe(const std::string& aUpstream)
{
  const LockedUpstreamPointer upstream = m_upstreams.Find(aUpstream);
  if (!upstream) {
    return;
  }
  {
    const std::lock_guard lock(upstream->m_lock);
    if (upstream->m_probing) {
      return;
    }
    upstream->m_probing = true;
  }
  net::Spawn(m_context.get_executor(),
             "probe",
             [this, aUpstream, upstream]() -> net::Task<void> {
               return Probe(aUpstream, upstream);
             });
}

// Any HTTP response proves that the upstream is alive. A failed connection then
// says nothing about the other requests in flight, so the upstream is not
// marked lost.
net::Task<void>
Agent::Probe(std::string aName, LockedUpstreamPointer aUpstream)
{
  std::string address;
  std::string incarnation;
  {
    const std::lock_guard lock(aUpstream->m_lock);
    address = aUpstream->m_state.Description().m_address;
    incarnation = aUpstream->m_state.Description().m_incarnation;
  }
  const base::Endpoint endpoint =
    base::Endpoint::Parse(address).value_or(base::Endpoint());
  net::HttpTimeouts timeouts;
  timeouts.m_connect = timeouts.m_header = detail::kProbeTimeout;
  net::HttpRequest request("GET", "/healthz");
  const auto answer =
    co_await net::HttpCall(endpoint, std::move(request), timeouts);
  std::optional<UpstreamLoss> loss;
  {
    const std::lock_guard lock(aUpstream->m_lock);
    aUpstream->m_probing = false;
    if (!answer.ok() &&
        aUpstream->m_state.Description().m_incarnation == incarnation) {
      loss = aUpstream->m_state.MarkLost("no answer to a probe", Now());
    }
  }
  if (loss) {
    HandleLoss(aName, *loss);
  }
}

// --- Periodic work -----------------------------------------------------------

wire::UpstreamInfoT
Agent::InfoOf(const UpstreamState& aState) const
{
  const UpstreamDescription& description = aState.Description();
  wire::UpstreamInfoT info;
  info.name = description.m_name;
  info.agent = m_identity.m_process;
  info.agent_address = LinkEndpoint().ToString();
  info.failure_domain = m_identity.m_failureDomain;
  info.kind = description.m_kind;
  info.model = description.m_model;
  info.version = description.m_version;
  info.service = description.m_service;
  info.limit = aState.Limit();
  info.running = static_cast<uint32_t>(aState.RunningCount());
  info.queued = static_cast<uint32_t>(aState.WaitingCount());
  info.leaving = description.m_leaving || m_draining;
  info.removed = !aState.IsPresent(Now());
  return info;
}

wire::UpstreamInfoT
Agent::UpstreamInfoOf(const std::string& aUpstream)
{
  const LockedUpstreamPointer upstream = m_upstreams.Find(aUpstream);
  if (!upstream) {
    wire::UpstreamInfoT info;
    info.name = aUpstream;
    info.removed = true;
    return info;
  }
  const std::lock_guard lock(upstream->m_lock);
  return InfoOf(upstream->m_state);
}

std::vector<std::unique_ptr<wire::UpstreamInfoT>>
Agent::AllInfos() const
{
  std::vector<std::unique_ptr<wire::UpstreamInfoT>> infos;
  for (const LockedUpstreamPointer& upstream : m_upstreams.All()) {
    const std::lock_guard lock(upstream->m_lock);
    infos.push_back(
      std::make_unique<wire::UpstreamInfoT>(InfoOf(upstream->m_state)));
  }
  return infos;
}

void
Agent::AnnounceToControl()
{
  wire::AnnounceRequestT announce;
  announce.agent = m_identity.m_process;
  announce.agent_address = LinkEndpoint().ToString();
  announce.failure_domain = m_identity.m_failureDomain;
  announce.incarnation = m_identity.m_incarnation;
  announce.upstreams = AllInfos();
  m_control.Broadcast(wire::MakeMessage(std::move(announce)));
}

void
Agent::SendLoadReports()
{
  if (!m_loadChanged.exchange(false)) {
    return;
  }
  wire::LoadReportT report;
  report.upstreams = AllInfos();
  report.revision = Revision();
  const wire::MessageT message = wire::MakeMessage(std::move(report));
  const std::lock_guard lock(m_linkLock);
  for (const auto& [entry, links] : m_entryLinks) {
    for (const net::Link::Pointer& link : links) {
      (void)link->Send(message);
    }
  }
}

void
Agent::SweepUpstream(const LockedUpstreamPointer& aUpstream)
{
  std::vector<AttemptKey> overdue;
  bool expired = false;
  std::string name;
  {
    const std::lock_guard lock(aUpstream->m_lock);
    overdue = aUpstream->m_state.TakeOverdue(Now());
    expired = aUpstream->m_state.TakeAnnouncementExpired(Now());
    name = aUpstream->m_state.Description().m_name;
  }
  RejectAll(overdue,
            base::MakeError(base::ErrorKind::DeadlineExceeded,
                            "deadline passed while it waited"));
  // Called periodically too, because the limiter pauses admission after an
  // overload response and nothing else signals the end of the pause.
  LaunchStartable(aUpstream);
  if (expired) {
    m_loadChanged = true;
    m_events.Record("upstream_expired", { { "upstream", name } });
    RequestProbe(name);
  }
}

void
Agent::SweepAttempt(const AttemptPointer& aAttempt)
{
  if (aAttempt->IsFinished()) {
    const base::Millis keep = aAttempt->IsRejected()
                                ? detail::kRejectionRetention
                                : detail::kResultRetention;
    if (Now() - aAttempt->FinishedAt() >= keep) {
      m_attempts.Erase(aAttempt->Key());
    }
    return;
  }
  if (aAttempt->LinkLostTooLong() && !WithdrawWaiting(aAttempt)) {
    aAttempt->OnEntryLost();
  }
}

void
Agent::Sweep()
{
  for (const LockedUpstreamPointer& upstream : m_upstreams.All()) {
    SweepUpstream(upstream);
  }
  size_t buffered = 0;
  for (const AttemptPointer& attempt : m_attempts.All()) {
    buffered += attempt->HeldBytes();
    SweepAttempt(attempt);
  }
  m_bufferedBytes.Set(static_cast<int64_t>(buffered));
  if (m_draining) {
    m_settlementPoster.ShortenGracePeriods();
  }
  m_settlementPoster.PostDue();
  if (!m_draining || !IsDrained()) {
    m_drainedAt.reset();
  } else if (!m_drainedAt) {
    m_drainedAt = Now();
  } else if (Now() - *m_drainedAt >= detail::kLinkFlushTime && m_onDrained) {
    std::exchange(m_onDrained, nullptr)();
  }
}

// --- Shutdown ----------------------------------------------------------------

bool
Agent::IsDrained() const
{
  for (const AttemptPointer& attempt : m_attempts.All()) {
    if (!attempt->IsFinished() || !attempt->IsDelivered()) {
      return false;
    }
  }
  return m_settlementPoster.UnsettledCount() == 0;
}

void
Agent::Drain(std::function<void()> aDone)
{
  m_onDrained = std::move(aDone);
  m_draining = true;
  m_events.Record("drain_started");
  for (const LockedUpstreamPointer& upstream : m_upstreams.All()) {
    DrainUpstream(upstream);
  }
  AnnounceToControl();
  SendLoadReports();
}

} // namespace chivefront::agent
