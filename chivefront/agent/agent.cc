// Handles the links of entries, and admits and launches their dispatches.
#include "chivefront/agent/agent.h"

#include <boost/asio/strand.hpp>
#include <boost/json.hpp>

#include "chivefront/base/errors.h"
#include "chivefront/base/log.h"

namespace chivefront::agent {
namespace detail {

// The name of an entry process together with its incarnation.
std::string
EntryNameOf(const net::Link::Pointer& aLink)
{
  const net::LinkPeer& peer = aLink->Peer();
  return peer.m_process + "#" + std::to_string(peer.m_incarnation);
}

WaitingAttempt
ToWaitingAttempt(const wire::DispatchT& aDispatch, base::TimePoint aNow)
{
  // Bounds the wait of a dispatch that has no deadline.
  constexpr uint32_t kMaxWaitMs = 60000;
  WaitingAttempt waiting;
  waiting.m_key = { aDispatch.request_id, aDispatch.attempt };
  waiting.m_class = aDispatch.caller_class == wire::CallerClass::Paying
                      ? catalog::CallerClass::Paying
                      : catalog::CallerClass::Free;
  waiting.m_suspect = aDispatch.suspect;
  waiting.m_stream = aDispatch.stream;
  waiting.m_fingerprint = aDispatch.fingerprint;
  const uint32_t waitMs =
    aDispatch.deadline_ms == 0 ? kMaxWaitMs : aDispatch.deadline_ms;
  waiting.m_deadline = aNow + base::Millis(waitMs);
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
  , m_settlementPoster(aContext, m_control, m_clock, aMetrics)
  , m_links(aContext, aIdentity, LinkHandlers())
  , m_http(aContext, *this)
  , m_dispatched(aMetrics.AddCounter("chivefront_agent_dispatched_total",
                                     "Dispatches received."))
  , m_rejected(aMetrics.AddCounter("chivefront_agent_rejected_total",
                                   "Dispatches refused, not run."))
  , m_lossesTotal(
      aMetrics.AddCounter("chivefront_agent_upstream_losses_total",
                          "Losses of an upstream with work in flight."))
  , m_cacheGaps(aMetrics.AddCounter("chivefront_agent_cache_gaps_total",
                                    "Gaps in the cache events of upstreams."))
  , m_bufferedBytes(aMetrics.AddGauge("chivefront_agent_buffered_bytes",
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
  const std::string entry = detail::EntryNameOf(aLink);
  {
    const std::lock_guard lock(m_linkLock);
    m_entryLinks[entry].insert(aLink);
  }
  m_settlementPoster.OnEntryConnected(entry);
  wire::LoadReportT report;
  report.upstreams = AllInfos();
  report.revision = Revision();
  (void)aLink->Send(wire::MakeMessage(std::move(report)));
}

void
Agent::OnLinkClosed(const net::Link::Pointer& aLink)
{
  const std::string entry = detail::EntryNameOf(aLink);
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
  for (const AttemptPointer& attempt : m_attempts.All()) {
    if (attempt->Entry() == entry) {
      attempt->OnLinkClosed(aLink);
    }
  }
  if (last) {
    m_settlementPoster.OnEntryDisconnected(entry);
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
      if (auto attempt =
            m_attempts.Find({ credit.request_id, credit.attempt })) {
        attempt->AddCredit(aLink, credit.bytes);
      }
      return;
    }
    case wire::Body::Cancel: {
      const wire::CancelT& cancel = *aMessage.body.AsCancel();
      if (auto attempt =
            m_attempts.Find({ cancel.request_id, cancel.attempt })) {
        if (!WithdrawWaiting(attempt)) {
          attempt->Cancel();
        }
      }
      return;
    }
    case wire::Body::Settled: {
      const wire::SettledT& settled = *aMessage.body.AsSettled();
      m_settlementPoster.OnSettled({ settled.request_id, settled.run });
      for (const AttemptPointer& attempt :
           m_attempts.AttemptsOf(settled.request_id)) {
        if (attempt->IsFinished() && attempt->Dispatch().run == settled.run) {
          m_attempts.Erase(attempt->Key());
        }
      }
      return;
    }
    default:
      base::LogWarning(
        "agent", "unexpected message", { { "peer", aLink->Peer().m_process } });
  }
}

// Rejects an attempt that still waits for a slot. False when it does not wait.
bool
Agent::WithdrawWaiting(const AttemptPointer& aAttempt)
{
  const LockedUpstreamPointer upstream =
    m_upstreams.Find(aAttempt->Dispatch().upstream);
  if (!upstream) {
    return false;
  }
  {
    const std::lock_guard lock(upstream->m_lock);
    if (!upstream->m_state.Withdraw(aAttempt->Key())) {
      return false;
    }
  }
  aAttempt->Reject(base::MakeError(base::ErrorKind::RejectedByAgent,
                                   "canceled while it waited"),
                   base::Millis(0));
  return true;
}

void
Agent::OnResume(const net::Link::Pointer& aLink, const wire::ResumeT& aResume)
{
  auto attempt = m_attempts.Find({ aResume.request_id, aResume.attempt });
  if (attempt) {
    attempt->Resume(aLink, aResume.next_sequence, aResume.credit_bytes);
    return;
  }
  // This agent may have restarted, or the dispatch may still be on its way over
  // the former link. The absence of the request therefore does not prove that
  // it didn't run.
  wire::EndT end;
  end.request_id = aResume.request_id;
  end.attempt = aResume.attempt;
  end.outcome = wire::Outcome::Unknown;
  end.kind = base::ErrorName(base::ErrorKind::OutcomeUnknown);
  end.message = "agent does not know this request";
  (void)aLink->Send(wire::MakeMessage(std::move(end)));
}

// --- Admission ---------------------------------------------------------------

absl::StatusOr<LockedUpstreamPointer>
Agent::CheckAdmissible(const wire::DispatchT& aDispatch)
{
  if (m_draining) {
    return base::MakeError(base::ErrorKind::ShuttingDown,
                           "agent is shutting down");
  }
  auto view = m_watcher.FreshView();
  if (!view.ok()) {
    return view.status();
  }
  LockedUpstreamPointer upstream = m_upstreams.Find(aDispatch.upstream);
  if (!upstream) {
    return base::MakeError(base::ErrorKind::NoUpstream,
                           "upstream is not known here");
  }
  const std::lock_guard lock(upstream->m_lock);
  absl::Status status = CheckDispatch(*(*view)->m_catalog,
                                      aDispatch,
                                      upstream->m_state.Description(),
                                      m_identity.m_failureDomain);
  if (!status.ok()) {
    return status;
  }
  return upstream;
}

absl::Status
Agent::CheckBeforeSend(const wire::DispatchT& aDispatch)
{
  const absl::Status status = CheckAdmissible(aDispatch).status();
  if (status.ok()) {
    RecordAttemptEvent("sent_to_upstream", aDispatch);
  }
  return status;
}

void
Agent::RecordAttemptEvent(std::string_view aEvent,
                          const wire::DispatchT& aDispatch)
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
  auto attempt = std::make_shared<Attempt>(
    m_context, *this, std::move(aDispatch), aLink, detail::EntryNameOf(aLink));
  AttemptPointer existing;
  if (!m_attempts.Insert(attempt, existing)) {
    // The dispatch was sent twice and must not run twice.
    existing->Resume(aLink, 0, credit);
    return;
  }
  RecordAttemptEvent("dispatch_received", attempt->Dispatch());
  auto upstream = CheckAdmissible(attempt->Dispatch());
  absl::Status refusal = upstream.status();
  if (refusal.ok() && m_settlementPoster.IsFull()) {
    refusal = base::MakeError(base::ErrorKind::Overloaded,
                              "too many unsettled results");
  }
  if (!refusal.ok()) {
    m_rejected.Increment();
    RecordAttemptEvent("dispatch_rejected", attempt->Dispatch());
    attempt->Reject(refusal, base::Millis(0));
    return;
  }
  Admit(attempt, *upstream);
}

void
Agent::Admit(const AttemptPointer& aAttempt,
             const LockedUpstreamPointer& aUpstream)
{
  AdmissionDecision admission;
  UpstreamDescription description;
  {
    const std::lock_guard lock(aUpstream->m_lock);
    admission = aUpstream->m_state.Admit(
      detail::ToWaitingAttempt(aAttempt->Dispatch(), Now()), Now());
    description = aUpstream->m_state.Description();
  }
  m_loadChanged = true;
  switch (admission.m_kind) {
    case AdmissionDecision::Kind::Start:
      aAttempt->Launch(description);
      break;
    case AdmissionDecision::Kind::Wait:
      if (admission.m_displaced) {
        RejectAll({ *admission.m_displaced },
                  base::MakeError(base::ErrorKind::Overloaded,
                                  "displaced by a paying request"));
      }
      break;
    case AdmissionDecision::Kind::Refuse:
      m_rejected.Increment();
      RecordAttemptEvent("dispatch_rejected", aAttempt->Dispatch());
      aAttempt->Reject(admission.m_reason, admission.m_retryAfter);
      break;
  }
}

void
Agent::LaunchStartable(const LockedUpstreamPointer& aUpstream)
{
  std::vector<AttemptKey> keys;
  UpstreamDescription description;
  {
    const std::lock_guard lock(aUpstream->m_lock);
    keys = aUpstream->m_state.TakeStartable(Now());
    description = aUpstream->m_state.Description();
  }
  for (const AttemptKey& key : keys) {
    if (auto attempt = m_attempts.Find(key)) {
      attempt->Launch(description);
    }
  }
}

void
Agent::RejectAll(const std::vector<AttemptKey>& aKeys,
                 const absl::Status& aReason)
{
  for (const AttemptKey& key : aKeys) {
    if (auto attempt = m_attempts.Find(key)) {
      m_rejected.Increment();
      RecordAttemptEvent("dispatch_rejected", attempt->Dispatch());
      attempt->Reject(aReason, base::Millis(0));
    }
  }
}

void
Agent::OnFirstByte(const AttemptPointer& aAttempt)
{
  RecordAttemptEvent("upstream_answering", aAttempt->Dispatch());
  if (const LockedUpstreamPointer upstream =
        m_upstreams.Find(aAttempt->Dispatch().upstream)) {
    const std::lock_guard lock(upstream->m_lock);
    upstream->m_state.OnFirstByte(aAttempt->Key(), Now());
  }
}

void
Agent::OnSlotFreed(const AttemptPointer& aAttempt, UpstreamOutcome aOutcome)
{
  m_loadChanged = true;
  const LockedUpstreamPointer upstream =
    m_upstreams.Find(aAttempt->Dispatch().upstream);
  if (!upstream) {
    return;
  }
  {
    const std::lock_guard lock(upstream->m_lock);
    upstream->m_state.Finish(
      aAttempt->Key(), aOutcome, Now() - aAttempt->CreatedAt(), Now());
  }
  if (aOutcome == UpstreamOutcome::Succeeded && aAttempt->Dispatch().suspect) {
    wire::ClearSuspectT clear;
    clear.fingerprint = aAttempt->Dispatch().fingerprint;
    m_settlementPoster.Submit(SuspectShardKey(clear.fingerprint), clear);
  }
  LaunchStartable(upstream);
}

void
Agent::OnResult(const AttemptPointer& aAttempt, Settlement aSettlement)
{
  RecordAttemptEvent("run_ended", aAttempt->Dispatch());
  if (aSettlement.m_bill || aSettlement.m_claim) {
    m_settlementPoster.Add(
      { aAttempt->Key().m_requestId, aAttempt->Dispatch().run },
      std::move(aSettlement),
      aAttempt->Entry());
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
                         { "runs", m_attempts.Size() },
                         { "unsettled", m_settlementPoster.UnsettledCount() },
                         { "revision", m_watcher.Revision() },
                         { "fresh", m_watcher.Fresh() },
                         { "draining", m_draining.load() } });
}

} // namespace chivefront::agent
