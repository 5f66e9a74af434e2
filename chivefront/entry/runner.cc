// Dispatch and retries. relay.cc relays the answers.
#include "chivefront/entry/runner.h"

#include <algorithm>

#include <boost/asio/this_coro.hpp>

#include "chivefront/base/ids.h"
#include "chivefront/entry/attempt.h"

namespace chivefront::entry {
namespace detail {

wire::DispatchT
MakeDispatch(const RunSpec& aSpec,
             uint32_t aAttempt,
             const std::string& aUpstream,
             uint64_t aRevision,
             bool aSuspect,
             base::Millis aTimeLeft,
             size_t aCredit)
{
  wire::DispatchT dispatch;
  dispatch.request_id = aSpec.m_requestId;
  dispatch.attempt = aAttempt;
  dispatch.run = aSpec.m_run;
  dispatch.team = aSpec.m_team;
  dispatch.caller_class = aSpec.m_class;
  dispatch.upstream = aUpstream;
  dispatch.model = aSpec.m_model;
  dispatch.version = aSpec.m_version;
  dispatch.service = aSpec.m_service;
  dispatch.session = aSpec.m_session;
  dispatch.idempotent = aSpec.m_idempotent;
  dispatch.claim_key = aSpec.m_claimKey;
  dispatch.fingerprint = aSpec.m_fingerprint;
  dispatch.suspect = aSuspect;
  dispatch.deadline_ms = static_cast<uint32_t>(aTimeLeft.Count());
  dispatch.revision = aRevision;
  dispatch.method = aSpec.m_method;
  dispatch.target = aSpec.m_target;
  dispatch.content_type = aSpec.m_contentType;
  dispatch.body = aSpec.m_body;
  dispatch.stream = aSpec.m_stream;
  dispatch.credit_bytes = static_cast<uint32_t>(aCredit);
  return dispatch;
}

// Checks that apply to every attempt and use the newest catalogue.
absl::Status
CheckRules(const catalog::Catalog& aCatalog, const RunSpec& aSpec)
{
  if (aCatalog.m_quarantined.count(aSpec.m_fingerprint) != 0) {
    return base::MakeError(base::ErrorKind::Quarantined,
                           "this request made several upstreams fail");
  }
  if (aSpec.m_service.empty()) {
    return catalog::CheckVersionAllowed(
      aCatalog, aSpec.m_team, aSpec.m_version);
  }
  return catalog::CheckServiceAllowed(aCatalog, aSpec.m_team, aSpec.m_service);
}

} // namespace detail

Runner::Runner(EntryComponents& aComponents, Evidence& aEvidence)
  : m_components(aComponents)
  , m_evidence(aEvidence)
  , m_attempts(
      aComponents.m_metrics.AddCounter("chivefront_entry_attempts_total",
                                       "Dispatches sent to agents."))
  , m_retries(aComponents.m_metrics.AddCounter("chivefront_entry_retries_total",
                                               "Attempts after the first."))
  , m_resumes(aComponents.m_metrics.AddCounter("chivefront_entry_resumes_total",
                                               "Streams asked for again."))
  , m_droppedChunks(aComponents.m_metrics.AddCounter(
      "chivefront_entry_dropped_chunks_total",
      "Chunks of old attempts, repeated chunks, and chunks out of order."))
  , m_firstChunkMs(aComponents.m_metrics.AddSummary(
      "chivefront_entry_first_chunk_ms",
      "Time from dispatch to the first chunk."))
{
}

net::Task<absl::Status>
Runner::AcquireUpstream(const RunSpec& aSpec,
                        const std::set<std::string>& aTried,
                        Attempt& aAttempt)
{
  UpstreamRequirements requirements;
  requirements.m_route = PlacementRouteOf(aSpec.m_version, aSpec.m_service);
  requirements.m_team = aSpec.m_team;
  requirements.m_class = aSpec.m_class == wire::CallerClass::Paying
                           ? catalog::CallerClass::Paying
                           : catalog::CallerClass::Free;
  requirements.m_prefix =
    aSpec.m_session.empty()
      ? 0
      : base::StableHash(aSpec.m_team + "/" + aSpec.m_session);
  requirements.m_tried = &aTried;
  requirements.m_deadline = aSpec.m_deadline;
  const auto placed =
    co_await m_components.m_placementQueue.Acquire(requirements);
  if (!placed.ok()) {
    co_return placed.status();
  }
  aAttempt.m_upstream = placed->m_name;
  aAttempt.m_agentAddress = placed->m_agentAddress;
  aAttempt.m_incarnation = placed->m_link->Peer().m_incarnation;
  aAttempt.m_link = placed->m_link;
  co_return absl::OkStatus();
}

absl::Status
Runner::CheckAllowed(const RunSpec& aSpec,
                     const client::View& aView,
                     const Attempt& aAttempt) const
{
  if (const auto status = detail::CheckRules(*aView.m_catalog, aSpec);
      !status.ok()) {
    return status;
  }
  const auto info = aView.m_registry->find(aAttempt.m_upstream);
  if (info == aView.m_registry->end() || info->second.leaving) {
    return base::MakeError(base::ErrorKind::NoUpstream,
                           "the upstream is leaving");
  }
  if (m_components.m_clock.Now() >= aSpec.m_deadline) {
    return base::MakeError(base::ErrorKind::DeadlineExceeded,
                           "the deadline passed before dispatch");
  }
  return catalog::CheckInService(
    *aView.m_catalog, aAttempt.m_upstream, info->second.failure_domain);
}

absl::Status
Runner::Dispatch(const RunSpec& aSpec, Attempt& aAttempt)
{
  // The freshness check and the send must not be separated by a suspension:
  // the process may have been frozen for any time while it waited for a
  // credit, and a dispatch must not use a stale view.
  const auto view = m_components.m_watcher.FreshView();
  if (!view.ok()) {
    return view.status();
  }
  if (const auto status = CheckAllowed(aSpec, **view, aAttempt); !status.ok()) {
    return status;
  }
  const base::TimePoint now = m_components.m_clock.Now();
  const uint64_t revision = (*view)->m_catalog->m_revision;
  aAttempt.m_sentAt = now;
  aAttempt.m_waitDeadline = aSpec.m_deadline;
  m_components.m_running.Add({ aSpec.m_requestId,
                               aAttempt.m_number,
                               aAttempt.m_agentAddress,
                               aAttempt.m_upstream,
                               aSpec.m_fingerprint,
                               aAttempt.m_mailbox });
  m_components.m_events.Record(
    "dispatched",
    { { "team", aSpec.m_team },
      { "upstream", aAttempt.m_upstream },
      { "version",
        aSpec.m_version.empty() ? aSpec.m_service : aSpec.m_version },
      { "attempt", std::to_string(aAttempt.m_number) },
      { "run", std::to_string(aSpec.m_run) },
      { "revision", std::to_string(revision) } },
    aSpec.m_requestId);
  const absl::Status sent = aAttempt.m_link->Send(wire::MakeMessage(
    detail::MakeDispatch(aSpec,
                         aAttempt.m_number,
                         aAttempt.m_upstream,
                         revision,
                         m_suspects.Contains(aSpec.m_fingerprint) ||
                           (*view)->m_suspects.count(aSpec.m_fingerprint) != 0,
                         aSpec.m_deadline - now,
                         m_components.m_limits.m_windowBytes)));
  aAttempt.m_sent = sent.ok();
  if (sent.ok()) {
    m_attempts.Increment();
  }
  return absl::OkStatus();
}

// Returns false when the retry budget forbids a retry. Takes a retry from the
// budget only if DecideRetry would choose one.
bool
Runner::ConsumeRetryBudget(const RunSpec& aSpec, RetryContext aContext)
{
  aContext.m_budgetLeft = true;
  if (DecideRetry(aContext).m_action != RetryAction::Retry) {
    return true;
  }
  const std::lock_guard lock(m_lock);
  return m_retryBudget.TryRetry(aSpec.m_class == wire::CallerClass::Paying
                                  ? catalog::CallerClass::Paying
                                  : catalog::CallerClass::Free,
                                m_components.m_clock.Now());
}

// Returns the upstream credit that the attempt held.
void
Runner::ReleaseCredit(const Attempt& aAttempt,
                      FailurePoint aPoint,
                      const RunResult& aResult)
{
  if (aAttempt.m_upstream.empty()) {
    return; // the attempt never got a credit
  }
  if (aPoint == FailurePoint::Rejected && !aResult.m_done) {
    m_components.m_placementQueue.OnRejected(aAttempt.m_upstream);
    return;
  }
  std::optional<base::Millis> latency;
  if (aResult.m_done) {
    latency = m_components.m_clock.Now() - aAttempt.m_sentAt;
  }
  m_components.m_placementQueue.OnFinished(aAttempt.m_upstream, latency);
}

net::Task<RunResult>
Runner::Run(const RunSpec& aSpec, AnswerSink& aSink)
{
  const auto executor = co_await net::asio::this_coro::executor;
  const base::TimePoint startedAt = m_components.m_clock.Now();
  std::set<std::string> tried;
  CallerError lastAgentError;
  bool earlierMayHaveRun = false;
  bool dispatched = false;
  uint32_t number = aSpec.m_firstAttempt;
  if (aSpec.m_run == 0) {
    const std::lock_guard lock(m_lock);
    m_retryBudget.OnNewRequest(startedAt);
  }
  while (true) {
    RunResult result;
    Attempt attempt(
      aSpec, number, executor, m_components.m_limits.m_windowBytes);
    FailurePoint point = FailurePoint::NoLink;
    absl::Status status = co_await AcquireUpstream(aSpec, tried, attempt);
    if (status.ok()) {
      status = Dispatch(aSpec, attempt);
    }
    if (!status.ok()) {
      // An upstream that went out of service after it was chosen is skipped
      // like an upstream without a link, and another one is tried.
      point = base::KindOf(status) == base::ErrorKind::NoUpstream &&
                  !attempt.m_upstream.empty()
                ? FailurePoint::NoLink
                : FailurePoint::Refused;
    } else if (attempt.m_sent) {
      if (!dispatched && !aSpec.m_version.empty()) {
        // Counted at dispatch and not at the answer, because the roll-out
        // judge bounds the number of requests exposed to a bad version.
        m_evidence.OnDispatched(aSpec.m_version);
      }
      point = co_await Relay(aSpec, attempt, aSink, result);
    }
    m_components.m_running.Remove(aSpec.m_requestId);
    ReleaseCredit(attempt, point, result);
    result.m_nextAttempt = ++number;
    dispatched = dispatched || attempt.m_sent;
    result.m_dispatched = dispatched;
    result.m_upstream = attempt.m_upstream;
    result.m_agentAddress = attempt.m_agentAddress;
    result.m_elapsed = m_components.m_clock.Now() - startedAt;
    if (result.m_done) {
      m_suspects.Remove(aSpec.m_fingerprint);
      co_return result;
    }
    if (point == FailurePoint::UpstreamLost ||
        point == FailurePoint::AgentRestarted) {
      m_suspects.Add(aSpec.m_fingerprint);
    }
    RetryContext context;
    context.m_point = point;
    context.m_idempotent = aSpec.m_idempotent;
    context.m_claimed = !aSpec.m_claimKey.empty();
    context.m_earlierMayHaveRun = earlierMayHaveRun;
    context.m_answerBegun = aSink.Begun();
    context.m_timeLeft = m_components.m_clock.Now() < aSpec.m_deadline;
    context.m_budgetLeft = attempt.m_permanentRejection ||
                           result.m_readerGone ||
                           ConsumeRetryBudget(aSpec, context);
    const RetryDecision decision = DecideRetry(context);
    const bool retrying = decision.m_action == RetryAction::Retry &&
                          !attempt.m_permanentRejection && !result.m_readerGone;
    m_components.m_events.Record(
      retrying ? "retried" : "attempt_failed",
      { { "point", std::string(kFailurePointNames.Name(point)) },
        { "upstream", attempt.m_upstream },
        { "attempt", std::to_string(attempt.m_number) },
        { "run", std::string(base::kOutcomeNames.Name(decision.m_outcome)) } },
      aSpec.m_requestId);
    if (point == FailurePoint::Rejected || point == FailurePoint::EndNotRun) {
      lastAgentError = attempt.m_agentError;
    }
    const bool shouldCancel = point == FailurePoint::DeadlinePassed ||
                              point == FailurePoint::OverCredit ||
                              point == FailurePoint::AnswerCut;
    if (shouldCancel && aSpec.m_idempotent) {
      SendCancel(attempt);
    }
    if (!retrying) {
      if (point == FailurePoint::Refused) {
        const bool exhausted =
          base::KindOf(status) == base::ErrorKind::NoUpstream &&
          !lastAgentError.m_message.empty();
        result.m_error = exhausted ? lastAgentError : CallerError(status);
      } else if (point == FailurePoint::Rejected) {
        result.m_error = attempt.m_agentError;
      } else {
        result.m_error =
          CallerError(decision.m_kind, attempt.m_agentError.m_message);
      }
      result.m_error.m_outcome = decision.m_outcome;
      co_return result;
    }
    earlierMayHaveRun = earlierMayHaveRun || !ProvesNotRun(point);
    tried.insert(attempt.m_upstream);
    aSink.Restart();
    m_retries.Increment();
  }
}

void
Runner::Settle(const RunSpec& aSpec, const RunResult& aResult)
{
  const auto link = m_components.m_agents.Current(aResult.m_agentAddress);
  if (!link) {
    // The agent posts its unsettled bill lines again; the ledger removes
    // duplicates.
    return;
  }
  wire::SettledT settled;
  settled.request_id = aSpec.m_requestId;
  settled.run = aSpec.m_run;
  (void)link->Send(wire::MakeMessage(std::move(settled)));
}

} // namespace chivefront::entry
