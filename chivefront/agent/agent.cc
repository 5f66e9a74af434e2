// Links of entries and the path of a dispatch.
#include "chivefront/agent/agent.h"

#include <boost/asio/strand.hpp>
#include <boost/json.hpp>

#include "chivefront/base/errors.h"
#include "chivefront/base/log.h"

namespace chivefront::agent {
namespace detail {

// Names an entry process and its incarnation.
std::string
EntryOf(const net::Link::Pointer& aLink)
{
  const net::LinkPeer& peer = aLink->Peer();
  return peer.m_process + "#" + std::to_string(peer.m_incarnation);
}

WaitingRun
ToWaiting(const wire::DispatchT& aDispatch, base::TimePoint aNow)
{
  // A dispatch without a deadline still does not wait for ever.
  constexpr uint32_t kLongestWaitMs = 60000;
  WaitingRun waiting;
  waiting.m_key = { aDispatch.request_id, aDispatch.attempt };
  waiting.m_class = aDispatch.caller_class == wire::CallerClass::Paying
                      ? catalog::CallerClass::Paying
                      : catalog::CallerClass::Free;
  waiting.m_suspect = aDispatch.suspect;
  waiting.m_stream = aDispatch.stream;
  waiting.m_fingerprint = aDispatch.fingerprint;
  const uint32_t left =
    aDispatch.deadline_ms == 0 ? kLongestWaitMs : aDispatch.deadline_ms;
  waiting.m_deadline = aNow + base::Millis(left);
  return waiting;
}

} // namespace detail

Agent::Agent(net::asio::io_context& aContext,
             const net::LinkIdentity& aIdentity,
             base::EventLog& aEvents,
             base::Metrics& aMetrics,
             std::vector<base::Endpoint> aControl)
  : m_context(aContext)
  , m_identity(aIdentity)
  , m_events(aEvents)
  , m_clock(base::SteadyClock::Instance())
  , m_control(aContext, aIdentity, std::move(aControl))
  , m_watcher(aContext,
              m_control,
              aIdentity.m_process + "#" +
                std::to_string(aIdentity.m_incarnation),
              wire::Role::Agent,
              m_clock,
              aEvents)
  , m_settler(aContext, m_control, m_clock, aMetrics)
  , m_links(aContext, aIdentity, LinkHandlers())
  , m_http(aContext, *this)
  , m_dispatched(aMetrics.AddCounter("chivefront_agent_dispatched_total",
                                     "Dispatches received."))
  , m_rejected(aMetrics.AddCounter("chivefront_agent_rejected_total",
                                   "Dispatches refused, not run."))
  , m_lost(aMetrics.AddCounter("chivefront_agent_upstream_losses_total",
                               "Losses of an upstream with work in flight."))
  , m_cacheGaps(aMetrics.AddCounter("chivefront_agent_cache_gaps_total",
                                    "Gaps in the cache events of upstreams."))
  , m_buffered(aMetrics.AddGauge("chivefront_agent_buffered_bytes",
                                 "Answers held for entries."))
{
}

absl::Status
Agent::Listen(const base::Endpoint& aLinks, const base::Endpoint& aUpstreams)
{
  if (absl::Status status = m_links.Listen(aLinks); !status.ok()) {
    return status;
  }
  return m_http.Listen(aUpstreams);
}

net::Link::Handlers
Agent::LinkHandlers()
{
  net::Link::Handlers handlers;
  handlers.m_onOpen = [this](const net::Link::Pointer& aLink) {
    OnLinkOpen(aLink);
  };
  handlers.m_onClose = [this](const net::Link::Pointer& aLink,
                              const absl::Status&) { OnLinkClosed(aLink); };
  handlers.m_onMessage = [this](const net::Link::Pointer& aLink,
                                wire::MessageT aMessage) {
    OnMessage(aLink, std::move(aMessage));
  };
  return handlers;
}

void
Agent::OnLinkOpen(const net::Link::Pointer& aLink)
{
  const std::string entry = detail::EntryOf(aLink);
  {
    const std::lock_guard lock(m_linkLock);
    m_entryLinks[entry].insert(aLink);
  }
  m_settler.EntryBack(entry);
  wire::LoadReportT report;
  report.upstreams = AllInfos();
  report.revision = Revision();
  (void)aLink->Send(wire::MakeMessage(std::move(report)));
}

void
Agent::OnLinkClosed(const net::Link::Pointer& aLink)
{
  const std::string entry = detail::EntryOf(aLink);
  bool last = false;
  {
    const std::lock_guard lock(m_linkLock);
    auto& links = m_entryLinks[entry];
    links.erase(aLink);
    last = links.empty();
    if (last) {
      m_entryLinks.erase(entry);
    }
  }
  for (const RunPointer& run : m_runs.All()) {
    if (run->Entry() == entry) {
      run->LinkClosed(aLink);
    }
  }
  if (last) {
    m_settler.EntryGone(entry);
  }
}

void
Agent::OnMessage(const net::Link::Pointer& aLink, wire::MessageT aMessage)
{
  switch (aMessage.body.type) {
    case wire::Body::Dispatch:
      OnDispatch(aLink, std::move(*aMessage.body.AsDispatch()));
      return;
    case wire::Body::Resume:
      OnResume(aLink, *aMessage.body.AsResume());
      return;
    case wire::Body::Credit: {
      const wire::CreditT& credit = *aMessage.body.AsCredit();
      if (auto run = m_runs.Find({ credit.request_id, credit.attempt })) {
        run->AddCredit(aLink, credit.bytes);
      }
      return;
    }
    case wire::Body::Cancel: {
      const wire::CancelT& cancel = *aMessage.body.AsCancel();
      if (auto run = m_runs.Find({ cancel.request_id, cancel.attempt })) {
        if (!WithdrawWaiting(run)) {
          run->Cancel();
        }
      }
      return;
    }
    case wire::Body::Settled: {
      const wire::SettledT& settled = *aMessage.body.AsSettled();
      m_settler.Settle({ settled.request_id, settled.run });
      for (const RunPointer& run : m_runs.Attempts(settled.request_id)) {
        if (run->Over() && run->Dispatch().run == settled.run) {
          m_runs.Erase(run->Key());
        }
      }
      return;
    }
    default:
      base::LogWarning(
        "agent", "unexpected message", { { "peer", aLink->Peer().m_process } });
  }
}

// Ends a run that still waits for a slot; false when it does not wait.
bool
Agent::WithdrawWaiting(const RunPointer& aRun)
{
  const ShardPointer shard = m_upstreams.Find(aRun->Dispatch().upstream);
  if (!shard) {
    return false;
  }
  {
    const std::lock_guard lock(shard->m_lock);
    if (!shard->m_state.Withdraw(aRun->Key())) {
      return false;
    }
  }
  aRun->Reject(base::MakeError(base::ErrorKind::RejectedByAgent,
                               "canceled while it waited"),
               base::Millis(0));
  return true;
}

void
Agent::OnResume(const net::Link::Pointer& aLink, const wire::ResumeT& aResume)
{
  auto run = m_runs.Find({ aResume.request_id, aResume.attempt });
  if (run) {
    run->Resume(aLink, aResume.next_sequence, aResume.credit_bytes);
    return;
  }
  // This agent may have restarted, or the dispatch may still be on its way
  // over the former link, so nothing is proved.
  wire::EndT end;
  end.request_id = aResume.request_id;
  end.attempt = aResume.attempt;
  end.outcome = wire::Outcome::Unknown;
  end.kind = base::ErrorName(base::ErrorKind::OutcomeUnknown);
  end.message = "agent does not know this request";
  (void)aLink->Send(wire::MakeMessage(std::move(end)));
}

// --- Path of a dispatch --------------------------------------------------

absl::StatusOr<ShardPointer>
Agent::Check(const wire::DispatchT& aDispatch)
{
  if (m_draining) {
    return base::MakeError(base::ErrorKind::ShuttingDown,
                           "agent is shutting down");
  }
  auto view = m_watcher.FreshView();
  if (!view.ok()) {
    return view.status();
  }
  ShardPointer shard = m_upstreams.Find(aDispatch.upstream);
  if (!shard) {
    return base::MakeError(base::ErrorKind::NoUpstream,
                           "upstream is not known here");
  }
  const std::lock_guard lock(shard->m_lock);
  absl::Status status = CheckDispatch(*(*view)->m_catalog,
                                      aDispatch,
                                      shard->m_state.Facts(),
                                      m_identity.m_failureDomain);
  if (!status.ok()) {
    return status;
  }
  return shard;
}

absl::Status
Agent::CheckBeforeSend(const wire::DispatchT& aDispatch)
{
  const absl::Status status = Check(aDispatch).status();
  if (status.ok()) {
    RecordRun("sent_to_upstream", aDispatch);
  }
  return status;
}

void
Agent::RecordRun(std::string_view aEvent, const wire::DispatchT& aDispatch)
{
  m_events.Record(aEvent,
                  { { "team", aDispatch.team },
                    { "upstream", aDispatch.upstream },
                    { "version", aDispatch.version },
                    { "attempt", std::to_string(aDispatch.attempt) },
                    { "revision", std::to_string(Revision()) } },
                  aDispatch.request_id);
}

void
Agent::OnDispatch(const net::Link::Pointer& aLink, wire::DispatchT aDispatch)
{
  m_dispatched.Increment();
  const uint32_t credit = aDispatch.credit_bytes;
  auto view = m_watcher.FreshView();
  if (view.ok() && QueueClass(*(*view)->m_catalog, aDispatch) ==
                     catalog::CallerClass::Free) {
    aDispatch.caller_class = wire::CallerClass::Free;
  }
  auto run = std::make_shared<Run>(
    m_context, *this, std::move(aDispatch), aLink, detail::EntryOf(aLink));
  RunPointer present;
  if (!m_runs.Insert(run, present)) {
    present->Resume(aLink, 0, credit); // sent twice: never run twice
    return;
  }
  RecordRun("dispatch_received", run->Dispatch());
  auto shard = Check(run->Dispatch());
  absl::Status refusal = shard.status();
  if (refusal.ok() && m_settler.Full()) {
    refusal = base::MakeError(base::ErrorKind::Overloaded,
                              "too many unsettled results");
  }
  if (!refusal.ok()) {
    m_rejected.Increment();
    RecordRun("dispatch_rejected", run->Dispatch());
    run->Reject(refusal, base::Millis(0));
    return;
  }
  Admit(run, *shard);
}

void
Agent::Admit(const RunPointer& aRun, const ShardPointer& aShard)
{
  Admission admission;
  UpstreamFacts facts;
  {
    const std::lock_guard lock(aShard->m_lock);
    admission =
      aShard->m_state.Admit(detail::ToWaiting(aRun->Dispatch(), Now()), Now());
    facts = aShard->m_state.Facts();
  }
  m_loadChanged = true;
  switch (admission.m_kind) {
    case Admission::Kind::Start:
      aRun->Launch(facts);
      break;
    case Admission::Kind::Wait:
      if (admission.m_displaced) {
        RejectAll({ *admission.m_displaced },
                  base::MakeError(base::ErrorKind::Overloaded,
                                  "displaced by a paying request"));
      }
      break;
    case Admission::Kind::Refuse:
      m_rejected.Increment();
      RecordRun("dispatch_rejected", aRun->Dispatch());
      aRun->Reject(admission.m_why, admission.m_retryAfter);
      break;
  }
}

void
Agent::LaunchNext(const ShardPointer& aShard)
{
  std::vector<RunKey> keys;
  UpstreamFacts facts;
  {
    const std::lock_guard lock(aShard->m_lock);
    keys = aShard->m_state.TakeStartable(Now());
    facts = aShard->m_state.Facts();
  }
  for (const RunKey& key : keys) {
    if (auto run = m_runs.Find(key)) {
      run->Launch(facts);
    }
  }
}

void
Agent::RejectAll(const std::vector<RunKey>& aKeys, const absl::Status& aWhy)
{
  for (const RunKey& key : aKeys) {
    if (auto run = m_runs.Find(key)) {
      m_rejected.Increment();
      RecordRun("dispatch_rejected", run->Dispatch());
      run->Reject(aWhy, base::Millis(0));
    }
  }
}

void
Agent::FirstByte(const RunPointer& aRun)
{
  RecordRun("upstream_answering", aRun->Dispatch());
  if (const ShardPointer shard = m_upstreams.Find(aRun->Dispatch().upstream)) {
    const std::lock_guard lock(shard->m_lock);
    shard->m_state.FirstByte(aRun->Key(), Now());
  }
}

void
Agent::SlotFreed(const RunPointer& aRun, Ending aEnding)
{
  m_loadChanged = true;
  const ShardPointer shard = m_upstreams.Find(aRun->Dispatch().upstream);
  if (!shard) {
    return;
  }
  {
    const std::lock_guard lock(shard->m_lock);
    shard->m_state.Finish(
      aRun->Key(), aEnding, Now() - aRun->CreatedAt(), Now());
  }
  if (aEnding == Ending::Succeeded && aRun->Dispatch().suspect) {
    wire::ClearSuspectT clear;
    clear.fingerprint = aRun->Dispatch().fingerprint;
    m_settler.Submit(SuspectShard(clear.fingerprint), clear);
  }
  LaunchNext(shard);
}

void
Agent::ResultKnown(const RunPointer& aRun, Settlement aSettlement)
{
  RecordRun("run_ended", aRun->Dispatch());
  if (aSettlement.m_bill || aSettlement.m_claim) {
    m_settler.Add({ aRun->Key().m_requestId, aRun->Dispatch().run },
                  std::move(aSettlement),
                  aRun->Entry());
  }
}

uint64_t
Agent::CostOf(const std::string& aVersion, const Usage& aUsage)
{
  constexpr uint64_t kTokensPerPrice = 1000;
  const client::ViewPointer view = m_watcher.LastView();
  const catalog::Version* version = view->m_catalog->FindVersion(aVersion);
  if (version == nullptr) {
    return 0;
  }
  return (aUsage.m_promptTokens * version->m_promptCost +
          aUsage.m_answerTokens * version->m_answerCost) /
         kTokensPerPrice;
}

std::string
Agent::StatusJson() const
{
  boost::json::array upstreams;
  for (const auto& info : AllInfos()) {
    upstreams.push_back(boost::json::object{ { "name", info->name },
                                             { "version", info->version },
                                             { "service", info->service },
                                             { "limit", info->limit },
                                             { "running", info->running },
                                             { "queued", info->queued },
                                             { "leaving", info->leaving },
                                             { "removed", info->removed } });
  }
  return boost::json::serialize(
    boost::json::object{ { "upstreams", upstreams },
                         { "runs", m_runs.Size() },
                         { "unsettled", m_settler.Unsettled() },
                         { "revision", m_watcher.Revision() },
                         { "fresh", m_watcher.Fresh() },
                         { "draining", m_draining.load() } });
}

} // namespace chivefront::agent
