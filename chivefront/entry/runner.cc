// Attempts, relay, resume, retry.
#include "chivefront/entry/runner.h"

#include <algorithm>

#include <boost/asio/this_coro.hpp>

#include "chivefront/base/ids.h"
#include "chivefront/entry/placement.h"

namespace chivefront::entry {
namespace detail {

// After a cancel or a known end the agent has little left to say.
constexpr base::Millis kDrain{ 5000 };
// Events that carry no answer data, such as Started, need room as well.
constexpr size_t kMailboxSlack = 2 * kCreditSlackBytes;

wire::DispatchT
MakeDispatch(const RunSpec& aSpec,
             uint32_t aAttempt,
             const std::string& aUpstream,
             uint64_t aRevision,
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

// Rules that hold for every attempt, by the newest view.
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

// A refusal by the agent that another upstream would repeat.
bool
IsFinalRefusal(base::ErrorKind aKind)
{
  switch (aKind) {
    case base::ErrorKind::NotAllowed:
    case base::ErrorKind::UnknownTeam:
    case base::ErrorKind::UnknownModel:
    case base::ErrorKind::UnknownRoute:
    case base::ErrorKind::VersionWithdrawn:
    case base::ErrorKind::Quarantined:
    case base::ErrorKind::BadRequest:
      return true;
    default:
      return false;
  }
}

} // namespace detail

// One attempt under way.
struct Runner::Attempt
{
  Attempt(const RunSpec& aSpec,
          uint32_t aNumber,
          const net::asio::any_io_executor& aExecutor,
          size_t aWindow)
    : m_spec(aSpec)
    , m_number(aNumber)
    , m_mailbox(
        std::make_shared<Mailbox>(aExecutor, aWindow + detail::kMailboxSlack))
    , m_assembler(aNumber, aWindow)
  {
  }

  const RunSpec& m_spec;
  const uint32_t m_number;
  const std::shared_ptr<Mailbox> m_mailbox;
  StreamAssembler m_assembler;
  net::Link::Pointer m_link; // null while the link is cut
  uint64_t m_incarnation = 0;
  std::string m_upstream;
  std::string m_agentAddress;
  base::TimePoint m_sentAt;
  base::TimePoint m_until; // the wait for the next event ends here
  bool m_sent = false;
  bool m_resumed = false;
  bool m_resumeAsked = false; // and no chunk accepted since
  // Set by Rejected and End.
  CallerError m_refusal;
  bool m_finalRefusal = false;
};

Runner::Runner(EntryParts& aParts)
  : m_parts(aParts)
  , m_attempts(aParts.m_metrics.AddCounter("chivefront_entry_attempts_total",
                                           "Dispatches sent to agents."))
  , m_retries(aParts.m_metrics.AddCounter("chivefront_entry_retries_total",
                                          "Attempts after the first."))
  , m_resumes(aParts.m_metrics.AddCounter("chivefront_entry_resumes_total",
                                          "Streams asked for again."))
  , m_staleChunks(aParts.m_metrics.AddCounter(
      "chivefront_entry_dropped_chunks_total",
      "Chunks of old attempts, repeated chunks, and chunks out of order."))
  , m_firstChunk(
      aParts.m_metrics.AddSummary("chivefront_entry_first_chunk_ms",
                                  "Time from dispatch to the first chunk."))
{
}

absl::Status
Runner::Dispatch(const RunSpec& aSpec,
                 const std::set<std::string>& aTried,
                 Attempt& aAttempt)
{
  // No suspension between this check and the send: the process may be frozen
  // for any time before it, but a view that was fresh is used at once.
  const auto view = m_parts.m_watcher.FreshView();
  if (!view.ok()) {
    return view.status();
  }
  if (const auto status = detail::CheckRules(*(*view)->m_catalog, aSpec);
      !status.ok()) {
    return status;
  }
  const base::TimePoint now = m_parts.m_clock.Now();
  if (now >= aSpec.m_deadline) {
    return base::MakeError(base::ErrorKind::DeadlineExceeded,
                           "the deadline passed before dispatch");
  }
  const auto placed =
    PlaceRequest(m_parts, **view, aSpec.m_version, aSpec.m_service, aTried);
  if (!placed) {
    return base::MakeError(base::ErrorKind::NoUpstream,
                           "no upstream can take the request now");
  }
  aAttempt.m_upstream = placed->m_name;
  aAttempt.m_agentAddress = placed->m_agentAddress;
  aAttempt.m_incarnation = placed->m_link->Peer().m_incarnation;
  aAttempt.m_sentAt = now;
  aAttempt.m_until = aSpec.m_deadline;
  m_parts.m_running.Add({ aSpec.m_requestId,
                          aAttempt.m_number,
                          placed->m_agentAddress,
                          placed->m_name,
                          aSpec.m_fingerprint,
                          aAttempt.m_mailbox });
  m_parts.m_events.Record(
    "dispatched",
    { { "team", aSpec.m_team },
      { "upstream", placed->m_name },
      { "version",
        aSpec.m_version.empty() ? aSpec.m_service : aSpec.m_version },
      { "attempt", std::to_string(aAttempt.m_number) },
      { "run", std::to_string(aSpec.m_run) },
      { "revision", std::to_string((*view)->m_catalog->m_revision) } },
    aSpec.m_requestId);
  const absl::Status sent = placed->m_link->Send(
    wire::MakeMessage(detail::MakeDispatch(aSpec,
                                           aAttempt.m_number,
                                           placed->m_name,
                                           (*view)->m_catalog->m_revision,
                                           aSpec.m_deadline - now,
                                           m_parts.m_limits.m_windowBytes)));
  aAttempt.m_sent = sent.ok();
  if (sent.ok()) {
    aAttempt.m_link = placed->m_link;
    m_attempts.Increment();
  }
  return absl::OkStatus();
}

void
Runner::AskResume(Attempt& aAttempt)
{
  wire::ResumeT resume;
  resume.request_id = aAttempt.m_spec.m_requestId;
  resume.attempt = aAttempt.m_number;
  resume.next_sequence = aAttempt.m_assembler.NextSequence();
  resume.credit_bytes =
    static_cast<uint32_t>(aAttempt.m_assembler.CreditForResume());
  m_parts.m_events.Record("resumed",
                          { { "upstream", aAttempt.m_upstream },
                            { "attempt", std::to_string(aAttempt.m_number) },
                            { "next", std::to_string(resume.next_sequence) } },
                          resume.request_id);
  (void)aAttempt.m_link->Send(wire::MakeMessage(std::move(resume)));
  aAttempt.m_resumed = true;
  aAttempt.m_resumeAsked = true;
  m_resumes.Increment();
}

void
Runner::SendCancel(Attempt& aAttempt)
{
  if (!aAttempt.m_link) {
    return;
  }
  wire::CancelT cancel;
  cancel.request_id = aAttempt.m_spec.m_requestId;
  cancel.attempt = aAttempt.m_number;
  (void)aAttempt.m_link->Send(wire::MakeMessage(std::move(cancel)));
}

// The upstream's work is of no use now, except that the outcome of a claimed
// call has to be learnt; the agent's End tells what is to be billed.
void
Runner::OnReaderGone(Attempt& aAttempt)
{
  m_parts.m_events.Record("reader_gone",
                          { { "upstream", aAttempt.m_upstream } },
                          aAttempt.m_spec.m_requestId);
  if (aAttempt.m_spec.m_idempotent) {
    SendCancel(aAttempt);
    aAttempt.m_until =
      std::min(aAttempt.m_until, m_parts.m_clock.Now() + detail::kDrain);
  }
}

net::Task<std::optional<FailurePoint>>
Runner::OnChunk(const wire::ChunkT& aChunk,
                Attempt& aAttempt,
                AnswerSink& aSink,
                RunResult& aResult)
{
  const size_t bytes = aChunk.data.size();
  switch (
    aAttempt.m_assembler.OnChunk(aChunk.attempt, aChunk.sequence, bytes)) {
    case StreamAssembler::Verdict::Accepted:
      break;
    case StreamAssembler::Verdict::Gap:
      if (!aAttempt.m_resumeAsked && aAttempt.m_link) {
        AskResume(aAttempt);
      }
      m_staleChunks.Increment();
      co_return std::nullopt;
    case StreamAssembler::Verdict::OverCredit:
      co_return FailurePoint::OverCredit;
    default:
      m_staleChunks.Increment();
      co_return std::nullopt;
  }
  aAttempt.m_resumeAsked = false;
  if (aChunk.sequence == 0) {
    const base::Millis waited = m_parts.m_clock.Now() - aAttempt.m_sentAt;
    m_firstChunk.Observe(static_cast<double>(waited.Count()));
    m_parts.m_events.Record("first_chunk",
                            { { "upstream", aAttempt.m_upstream },
                              { "attempt", std::to_string(aAttempt.m_number) },
                              { "waited_ms", std::to_string(waited.Count()) } },
                            aAttempt.m_spec.m_requestId);
  }
  if (!aResult.m_readerGone) {
    const absl::Status taken = co_await aSink.OnData(aChunk.data);
    if (!taken.ok()) {
      aResult.m_readerGone = true;
      OnReaderGone(aAttempt);
    }
  }
  const size_t credit = aAttempt.m_assembler.Release(bytes);
  if (credit > 0 && aAttempt.m_link) {
    wire::CreditT grant;
    grant.request_id = aChunk.request_id;
    grant.attempt = aAttempt.m_number;
    grant.bytes = static_cast<uint32_t>(credit);
    (void)aAttempt.m_link->Send(wire::MakeMessage(std::move(grant)));
  }
  co_return std::nullopt;
}

std::optional<FailurePoint>
Runner::OnEnd(const wire::EndT& aEnd, Attempt& aAttempt, RunResult& aResult)
{
  if (!aAttempt.m_assembler.OnEnd(aEnd.attempt, aEnd.chunks)) {
    return std::nullopt;
  }
  aResult.m_httpStatus = aEnd.http_status;
  aResult.m_contentType = aEnd.content_type;
  aResult.m_promptTokens = aEnd.prompt_tokens;
  aResult.m_answerTokens = aEnd.answer_tokens;
  aAttempt.m_refusal.m_message = aEnd.message;
  if (aEnd.outcome == wire::Outcome::NotRun) {
    return FailurePoint::EndNotRun;
  }
  if (aEnd.outcome == wire::Outcome::Unknown) {
    return aEnd.upstream_lost ? FailurePoint::UpstreamLost
                              : FailurePoint::EndUnknown;
  }
  if (aAttempt.m_assembler.Whole()) {
    aResult.m_done = true;
    return FailurePoint::EndUnknown; // not used when done
  }
  if (aAttempt.m_resumeAsked ||
      aAttempt.m_assembler.NextSequence() > aEnd.chunks || !aAttempt.m_link) {
    return FailurePoint::AnswerCut;
  }
  AskResume(aAttempt);
  aAttempt.m_until =
    std::min(aAttempt.m_until, m_parts.m_clock.Now() + detail::kDrain);
  return std::nullopt;
}

std::optional<FailurePoint>
Runner::OnLinkUp(const net::Link::Pointer& aLink, Attempt& aAttempt)
{
  if (aLink == aAttempt.m_link) {
    return std::nullopt;
  }
  if (aLink->Peer().m_incarnation != aAttempt.m_incarnation) {
    return FailurePoint::AgentRestarted;
  }
  aAttempt.m_link = aLink;
  aAttempt.m_until = aAttempt.m_spec.m_deadline;
  AskResume(aAttempt);
  return std::nullopt;
}

// Handles events until the attempt is over. The result is meaningless when
// aResult.m_done is set.
net::Task<FailurePoint>
Runner::Relay(const RunSpec& aSpec,
              Attempt& aAttempt,
              AnswerSink& aSink,
              RunResult& aResult)
{
  while (true) {
    auto event = co_await aAttempt.m_mailbox->Next(aAttempt.m_until);
    std::optional<FailurePoint> over;
    if (!event) {
      const bool late = m_parts.m_clock.Now() >= aSpec.m_deadline;
      over = late               ? FailurePoint::DeadlinePassed
             : !aAttempt.m_link ? FailurePoint::AgentUnreachable
                                : FailurePoint::AnswerCut;
    } else if (const auto* chunk = std::get_if<wire::ChunkT>(&*event)) {
      over = co_await OnChunk(*chunk, aAttempt, aSink, aResult);
    } else if (const auto* end = std::get_if<wire::EndT>(&*event)) {
      over = OnEnd(*end, aAttempt, aResult);
    } else if (const auto* rejected = std::get_if<wire::RejectedT>(&*event)) {
      const base::ErrorKind kind = KindByName(rejected->kind);
      aAttempt.m_refusal = CallerError(kind, rejected->message);
      aAttempt.m_refusal.m_retryAfter = base::Millis(rejected->retry_after_ms);
      aAttempt.m_finalRefusal = detail::IsFinalRefusal(kind);
      over = aAttempt.m_resumed ? FailurePoint::RejectedResume
                                : FailurePoint::Rejected;
    } else if (const auto* down = std::get_if<LinkDown>(&*event)) {
      if (down->m_link == aAttempt.m_link) {
        aAttempt.m_link = nullptr;
        aAttempt.m_until =
          std::min(aSpec.m_deadline,
                   m_parts.m_clock.Now() + m_parts.m_limits.m_reconnect);
      }
    } else if (const auto* up = std::get_if<LinkUp>(&*event)) {
      over = OnLinkUp(up->m_link, aAttempt);
    } else if (std::holds_alternative<Overrun>(*event)) {
      over = FailurePoint::OverCredit;
    }
    if (over) {
      co_return *over;
    }
  }
}

net::Task<RunResult>
Runner::Run(const RunSpec& aSpec, AnswerSink& aSink)
{
  const auto executor = co_await net::asio::this_coro::executor;
  const base::TimePoint began = m_parts.m_clock.Now();
  std::set<std::string> tried;
  CallerError lastRefusal;
  bool earlierUnknown = false;
  uint32_t number = aSpec.m_firstAttempt;
  while (true) {
    RunResult result;
    Attempt attempt(aSpec, number, executor, m_parts.m_limits.m_windowBytes);
    FailurePoint point = FailurePoint::NoLink;
    const absl::Status allowed = Dispatch(aSpec, tried, attempt);
    if (!allowed.ok()) {
      point = FailurePoint::Refused;
    } else if (attempt.m_sent) {
      point = co_await Relay(aSpec, attempt, aSink, result);
    }
    m_parts.m_running.Remove(aSpec.m_requestId);
    result.m_nextAttempt = ++number;
    result.m_upstream = attempt.m_upstream;
    result.m_agentAddress = attempt.m_agentAddress;
    result.m_elapsed = m_parts.m_clock.Now() - began;
    if (result.m_done) {
      co_return result;
    }
    RetryFacts facts;
    facts.m_point = point;
    facts.m_idempotent = aSpec.m_idempotent;
    facts.m_claimed = !aSpec.m_claimKey.empty();
    facts.m_earlierUnknown = earlierUnknown;
    facts.m_answerBegun = aSink.Begun();
    facts.m_timeLeft = m_parts.m_clock.Now() < aSpec.m_deadline;
    facts.m_budgetLeft = true;
    const RetryDecision decision = DecideAfter(facts);
    const bool again = decision.m_step == NextStep::Retry &&
                       !attempt.m_finalRefusal && !result.m_readerGone;
    m_parts.m_events.Record(
      again ? "retried" : "attempt_failed",
      { { "point", std::string(kFailurePointNames.Name(point)) },
        { "upstream", attempt.m_upstream },
        { "attempt", std::to_string(attempt.m_number) },
        { "run", std::string(base::kOutcomeNames.Name(decision.m_outcome)) } },
      aSpec.m_requestId);
    if (point == FailurePoint::Rejected || point == FailurePoint::EndNotRun) {
      lastRefusal = attempt.m_refusal;
    }
    if (point == FailurePoint::DeadlinePassed ||
        point == FailurePoint::OverCredit) {
      if (aSpec.m_idempotent) {
        SendCancel(attempt);
      }
    }
    if (!again) {
      if (point == FailurePoint::Refused) {
        const bool exhausted =
          base::KindOf(allowed) == base::ErrorKind::NoUpstream &&
          !lastRefusal.m_message.empty();
        result.m_error = exhausted ? lastRefusal : CallerError(allowed);
      } else if (point == FailurePoint::Rejected) {
        result.m_error = attempt.m_refusal;
      } else {
        result.m_error =
          CallerError(decision.m_kind, attempt.m_refusal.m_message);
      }
      result.m_error.m_outcome = decision.m_outcome;
      co_return result;
    }
    earlierUnknown = earlierUnknown || !ProvesNotRun(point);
    tried.insert(attempt.m_upstream);
    aSink.Restart();
    m_retries.Increment();
  }
}

void
Runner::Settle(const RunSpec& aSpec, const RunResult& aResult)
{
  const auto link = m_parts.m_agents.Current(aResult.m_agentAddress);
  if (!link) {
    return; // the agent posts again what it still holds; lines are deduplicated
  }
  wire::SettledT settled;
  settled.request_id = aSpec.m_requestId;
  settled.run = aSpec.m_run;
  (void)link->Send(wire::MakeMessage(std::move(settled)));
}

} // namespace chivefront::entry
