// The agent's view of its upstreams: announcements, losses, periodic work.
#include "chivefront/agent/agent.h"

#include <algorithm>
#include <cstdio>

#include <boost/asio/strand.hpp>

#include "chivefront/base/errors.h"
#include "chivefront/base/log.h"

namespace chivefront::agent {
namespace detail {

constexpr base::Millis kAnnouncePeriod{ 500 };
constexpr base::Millis kSweepPeriod{ 100 };
constexpr base::Millis kLoadPeriod{ 50 };
constexpr base::Millis kProbeTimeout{ 1000 };
// A result stays for this long for an entry that asks for it again.
constexpr base::Millis kKeepResult{ 15000 };
// Between the last result and the end of the process, so that frames that are
// queued on links reach the entries.
constexpr base::Millis kLastWords{ 500 };

std::string
FingerprintHex(uint64_t aFingerprint)
{
  char text[17];
  std::snprintf(text,
                sizeof(text),
                "%016llx",
                static_cast<unsigned long long>(aFingerprint));
  return text;
}

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
  periodic(detail::kAnnouncePeriod, &Agent::AnnounceAll);
  periodic(detail::kSweepPeriod, &Agent::Sweep);
  periodic(detail::kLoadPeriod, &Agent::ReportLoad);
}

// --- Reports of upstreams
// -----------------------------------------------------

catalog::UpstreamRule
Agent::RuleOf(const UpstreamFacts& aFacts) const
{
  const client::ViewPointer view = m_watcher.LastView();
  const catalog::UpstreamRule* rule =
    aFacts.m_kind == wire::UpstreamKind::Plain
      ? view->m_catalog->RuleForService(aFacts.m_service)
      : view->m_catalog->RuleForVersion(aFacts.m_version);
  return rule == nullptr ? catalog::UpstreamRule() : *rule;
}

absl::Status
Agent::Announce(const UpstreamFacts& aFacts, uint32_t, uint32_t)
{
  if (aFacts.m_name.empty() || aFacts.m_incarnation.empty() ||
      !base::Endpoint::Parse(aFacts.m_address)) {
    return base::MakeError(base::ErrorKind::BadRequest,
                           "name, incarnation and address are needed");
  }
  const catalog::UpstreamRule rule = RuleOf(aFacts);
  const ShardPointer shard = m_upstreams.FindOrAdd(aFacts.m_name, rule);
  if (!shard) {
    return base::MakeError(base::ErrorKind::Overloaded, "too many upstreams");
  }
  std::optional<Loss> loss;
  bool appeared = false;
  {
    const std::lock_guard lock(shard->m_lock);
    appeared = !shard->m_state.Present(Now());
    shard->m_state.SetRule(rule);
    loss = shard->m_state.Announce(aFacts, Now());
  }
  if (loss) {
    HandleLoss(aFacts.m_name, *loss);
  }
  if (appeared) {
    m_events.Record("upstream_announced",
                    { { "upstream", aFacts.m_name },
                      { "incarnation", aFacts.m_incarnation } });
    m_loadChanged = true;
    LaunchNext(shard);
  }
  return absl::OkStatus();
}

absl::Status
Agent::Load(const std::string& aName, uint32_t, uint32_t)
{
  return m_upstreams.Find(aName)
           ? absl::OkStatus()
           : base::MakeError(base::ErrorKind::NoUpstream, "not announced");
}

absl::Status
Agent::CacheEvents(const std::string& aName, uint64_t aSequence, size_t)
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
Agent::End(const std::string& aName)
{
  const ShardPointer shard = m_upstreams.Find(aName);
  if (!shard) {
    return base::MakeError(base::ErrorKind::NoUpstream, "not announced");
  }
  m_events.Record("upstream_leaving", { { "upstream", aName } });
  LeaveUpstream(shard);
  AnnounceAll();
  return absl::OkStatus();
}

void
Agent::LeaveUpstream(const ShardPointer& aShard)
{
  std::vector<RunKey> waiting;
  {
    const std::lock_guard lock(aShard->m_lock);
    aShard->m_state.SetLeaving();
    waiting = aShard->m_state.TakeWaiting();
  }
  m_loadChanged = true;
  RejectAll(
    waiting,
    base::MakeError(base::ErrorKind::ShuttingDown, "upstream is leaving"));
}

// --- Losses
// -------------------------------------------------------------------

void
Agent::HandleLoss(const std::string& aUpstream, const Loss& aLoss)
{
  m_lost.Increment();
  m_loadChanged = true;
  m_events.Record(
    "upstream_lost",
    { { "upstream", aUpstream },
      { "why", aLoss.m_why },
      { "in_flight", std::to_string(aLoss.m_fingerprints.size()) } });
  for (const RunKey& key : aLoss.m_runs) {
    if (auto run = m_runs.Find(key)) {
      run->UpstreamLost();
    }
  }
  wire::ReportLossT report;
  report.loss_id = std::to_string(m_identity.m_incarnation) + "/" + aUpstream +
                   "/" + std::to_string(++m_losses);
  report.fingerprints = aLoss.m_fingerprints;
  m_settler.Submit(detail::FingerprintHex(report.fingerprints.front()), report);
}

void
Agent::Suspect(const std::string& aUpstream)
{
  const ShardPointer shard = m_upstreams.Find(aUpstream);
  if (!shard) {
    return;
  }
  {
    const std::lock_guard lock(shard->m_lock);
    if (shard->m_probing) {
      return;
    }
    shard->m_probing = true;
  }
  net::Spawn(m_context.get_executor(),
             "probe",
             [this, aUpstream, shard]() -> net::Task<void> {
               return Probe(aUpstream, shard);
             });
}

// Any HTTP response proves that the upstream is alive; then a broken
// connection says nothing about the other requests in flight.
net::Task<void>
Agent::Probe(std::string aUpstream, ShardPointer aShard)
{
  std::string address;
  std::string incarnation;
  {
    const std::lock_guard lock(aShard->m_lock);
    address = aShard->m_state.Facts().m_address;
    incarnation = aShard->m_state.Facts().m_incarnation;
  }
  const base::Endpoint endpoint =
    base::Endpoint::Parse(address).value_or(base::Endpoint());
  net::HttpTimeouts timeouts;
  timeouts.m_connect = timeouts.m_header = detail::kProbeTimeout;
  net::HttpRequest request("GET", "/healthz");
  const auto answer =
    co_await net::HttpCall(endpoint, std::move(request), timeouts);
  std::optional<Loss> loss;
  {
    const std::lock_guard lock(aShard->m_lock);
    aShard->m_probing = false;
    if (!answer.ok() && aShard->m_state.Facts().m_incarnation == incarnation) {
      loss = aShard->m_state.MarkLost("no answer to a probe", Now());
    }
  }
  if (loss) {
    HandleLoss(aUpstream, *loss);
  }
}

// --- Periodic work
// --------------------------------------------------------------

wire::UpstreamInfoT
Agent::InfoOf(const UpstreamState& aState) const
{
  const UpstreamFacts& facts = aState.Facts();
  wire::UpstreamInfoT info;
  info.name = facts.m_name;
  info.agent = m_identity.m_process;
  info.agent_address = LinkEndpoint().ToString();
  info.failure_domain = m_identity.m_failureDomain;
  info.kind = facts.m_kind;
  info.model = facts.m_model;
  info.version = facts.m_version;
  info.service = facts.m_service;
  info.limit = aState.Limit();
  info.running = static_cast<uint32_t>(aState.RunningCount());
  info.queued = static_cast<uint32_t>(aState.WaitingCount());
  info.leaving = facts.m_leaving || m_draining;
  info.removed = !aState.Present(Now());
  return info;
}

wire::UpstreamInfoT
Agent::LoadOf(const std::string& aUpstream)
{
  const ShardPointer shard = m_upstreams.Find(aUpstream);
  if (!shard) {
    wire::UpstreamInfoT info;
    info.name = aUpstream;
    info.removed = true;
    return info;
  }
  const std::lock_guard lock(shard->m_lock);
  return InfoOf(shard->m_state);
}

std::vector<std::unique_ptr<wire::UpstreamInfoT>>
Agent::AllInfos() const
{
  std::vector<std::unique_ptr<wire::UpstreamInfoT>> infos;
  for (const ShardPointer& shard : m_upstreams.All()) {
    const std::lock_guard lock(shard->m_lock);
    infos.push_back(
      std::make_unique<wire::UpstreamInfoT>(InfoOf(shard->m_state)));
  }
  return infos;
}

void
Agent::AnnounceAll()
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
Agent::ReportLoad()
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
Agent::SweepUpstream(const ShardPointer& aShard)
{
  std::vector<RunKey> overdue;
  bool expired = false;
  std::string name;
  {
    const std::lock_guard lock(aShard->m_lock);
    overdue = aShard->m_state.TakeOverdue(Now());
    expired = aShard->m_state.TakeExpired(Now());
    name = aShard->m_state.Facts().m_name;
  }
  RejectAll(overdue,
            base::MakeError(base::ErrorKind::DeadlineExceeded,
                            "deadline passed while it waited"));
  // Also after the pause that follows refused work.
  LaunchNext(aShard);
  if (expired) {
    m_loadChanged = true;
    m_events.Record("upstream_expired", { { "upstream", name } });
    Suspect(name);
  }
}

void
Agent::SweepRun(const RunPointer& aRun)
{
  if (aRun->Over()) {
    if (Now() - aRun->OverAt() >= detail::kKeepResult) {
      m_runs.Erase(aRun->Key());
    }
    return;
  }
  if (aRun->LinkLostTooLong() && !WithdrawWaiting(aRun)) {
    aRun->EntryLost();
  }
}

void
Agent::Sweep()
{
  for (const ShardPointer& shard : m_upstreams.All()) {
    SweepUpstream(shard);
  }
  for (const RunPointer& run : m_runs.All()) {
    SweepRun(run);
  }
  if (m_draining) {
    m_settler.Hurry();
  }
  m_settler.Tick();
  if (!m_draining || !Drained()) {
    m_drainedAt.reset();
  } else if (!m_drainedAt) {
    m_drainedAt = Now();
  } else if (Now() - *m_drainedAt >= detail::kLastWords && m_onDrained) {
    std::exchange(m_onDrained, nullptr)();
  }
}

// --- Shutdown
// -------------------------------------------------------------------

bool
Agent::Drained() const
{
  for (const RunPointer& run : m_runs.All()) {
    if (!run->Over() || !run->Delivered()) {
      return false;
    }
  }
  return m_settler.Unsettled() == 0;
}

void
Agent::Drain(std::function<void()> aDone)
{
  m_onDrained = std::move(aDone);
  m_draining = true;
  m_events.Record("drain_started");
  for (const ShardPointer& shard : m_upstreams.All()) {
    LeaveUpstream(shard);
  }
  AnnounceAll();
  ReportLoad();
}

} // namespace chivefront::agent
