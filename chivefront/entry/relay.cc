// Relays the answer of one attempt: chunks, credit grants, resume, end.
#include <algorithm>

#include "chivefront/entry/attempt.h"

namespace chivefront::entry {
namespace detail {

// Wait for the agent's remaining messages after a cancel or after its End.
// Only few messages are outstanding then.
constexpr base::Millis kDrainTimeout{ 5000 };

// The request deadline applies to the first chunk only. A later part of the
// answer may take any time as long as no pause exceeds this timeout.
constexpr base::Millis kIdleTimeout{ 60000 };

// True for rejections that any other upstream would repeat.
bool
IsPermanentRejection(base::ErrorKind aKind)
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

void
Runner::SendResume(Attempt& aAttempt)
{
  aAttempt.m_mailbox->StopCoalescing();
  wire::ResumeT resume;
  resume.request_id = aAttempt.m_spec.m_requestId;
  resume.attempt = aAttempt.m_number;
  resume.next_sequence = aAttempt.m_assembler.NextSequence();
  resume.credit_bytes =
    static_cast<uint32_t>(aAttempt.m_assembler.CreditForResume());
  m_components.m_events.Record(
    "resumed",
    { { "upstream", aAttempt.m_upstream },
      { "attempt", std::to_string(aAttempt.m_number) },
      { "next", std::to_string(resume.next_sequence) } },
    resume.request_id);
  (void)aAttempt.m_link->Send(wire::MakeMessage(std::move(resume)));
  aAttempt.m_resumed = true;
  aAttempt.m_resumePending = true;
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

// The reader takes no more data. An idempotent request is cancelled, and the
// attempt waits for the agent's End, which tells what is to be billed. A
// non-idempotent request runs on, because its outcome has to be known.
void
Runner::OnReaderGone(Attempt& aAttempt)
{
  m_components.m_events.Record("reader_gone",
                               { { "upstream", aAttempt.m_upstream } },
                               aAttempt.m_spec.m_requestId);
  aAttempt.m_streaming = false;
  if (aAttempt.m_spec.m_idempotent) {
    SendCancel(aAttempt);
    aAttempt.m_waitDeadline =
      std::min(aAttempt.m_waitDeadline,
               m_components.m_clock.Now() + detail::kDrainTimeout);
  }
}

net::Task<std::optional<FailurePoint>>
Runner::OnChunkBatch(const ChunkBatch& aBatch,
                     Attempt& aAttempt,
                     AnswerSink& aSink,
                     RunResult& aResult)
{
  const size_t bytes = aBatch.m_data.size();
  switch (aAttempt.m_assembler.OnChunk(
    aBatch.m_attempt, aBatch.m_first, bytes, aBatch.m_count)) {
    case StreamAssembler::ChunkStatus::Accepted:
      break;
    case StreamAssembler::ChunkStatus::Gap:
      if (!aAttempt.m_resumePending && aAttempt.m_link) {
        SendResume(aAttempt);
      }
      m_droppedChunks.Increment();
      co_return std::nullopt;
    case StreamAssembler::ChunkStatus::OverCredit:
      co_return FailurePoint::OverCredit;
    default:
      m_droppedChunks.Increment();
      co_return std::nullopt;
  }
  aAttempt.m_resumePending = false;
  aAttempt.m_streaming = !aResult.m_readerGone;
  if (aBatch.m_first == 0) {
    const base::Millis waited = m_components.m_clock.Now() - aAttempt.m_sentAt;
    m_firstChunkMs.Observe(static_cast<double>(waited.Count()));
    m_components.m_events.Record(
      "first_chunk",
      { { "upstream", aAttempt.m_upstream },
        { "attempt", std::to_string(aAttempt.m_number) },
        { "waited_ms", std::to_string(waited.Count()) } },
      aAttempt.m_spec.m_requestId);
  }
  if (!aResult.m_readerGone) {
    const absl::Status taken = co_await aSink.OnData(aBatch.m_data);
    if (!taken.ok()) {
      aResult.m_readerGone = true;
      OnReaderGone(aAttempt);
    }
  }
  const size_t credit = aAttempt.m_assembler.OnDelivered(bytes);
  if (credit > 0 && aAttempt.m_link) {
    wire::CreditT grant;
    grant.request_id = aAttempt.m_spec.m_requestId;
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
  aAttempt.m_agentError.m_message = aEnd.message;
  if (aEnd.outcome == wire::Outcome::NotRun) {
    return FailurePoint::EndNotRun;
  }
  if (aEnd.outcome == wire::Outcome::Unknown) {
    return aEnd.upstream_lost ? FailurePoint::UpstreamLost
                              : FailurePoint::EndUnknown;
  }
  if (aAttempt.m_assembler.Complete()) {
    aResult.m_done = true;
    return FailurePoint::EndUnknown; // ignored because m_done is set
  }
  if (aAttempt.m_resumePending ||
      aAttempt.m_assembler.NextSequence() > aEnd.chunks || !aAttempt.m_link) {
    return FailurePoint::AnswerCut;
  }
  SendResume(aAttempt);
  aAttempt.m_streaming = false;
  aAttempt.m_waitDeadline = m_components.m_clock.Now() + detail::kDrainTimeout;
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
  // An answer that has begun gets the idle timeout again; otherwise the
  // deadline for the first chunk still applies.
  aAttempt.m_waitDeadline =
    aAttempt.m_assembler.NextSequence() == 0
      ? aAttempt.m_spec.m_deadline
      : m_components.m_clock.Now() + detail::kIdleTimeout;
  SendResume(aAttempt);
  return std::nullopt;
}

// Handles the events of the attempt until it ends. Returns where it failed;
// the value is meaningless when aResult.m_done is set.
net::Task<FailurePoint>
Runner::Relay(const RunSpec& aSpec,
              Attempt& aAttempt,
              AnswerSink& aSink,
              RunResult& aResult)
{
  while (true) {
    if (aAttempt.m_streaming) {
      aAttempt.m_waitDeadline =
        m_components.m_clock.Now() + detail::kIdleTimeout;
    }
    auto event = co_await aAttempt.m_mailbox->Next(aAttempt.m_waitDeadline);
    std::optional<FailurePoint> failure;
    if (!event) {
      const bool late = aAttempt.m_assembler.NextSequence() == 0 &&
                        m_components.m_clock.Now() >= aSpec.m_deadline;
      failure = late               ? FailurePoint::DeadlinePassed
                : !aAttempt.m_link ? FailurePoint::AgentUnreachable
                                   : FailurePoint::AnswerCut;
    } else if (const auto* chunks = std::get_if<ChunkBatch>(&*event)) {
      failure = co_await OnChunkBatch(*chunks, aAttempt, aSink, aResult);
    } else if (const auto* end = std::get_if<wire::EndT>(&*event)) {
      failure = OnEnd(*end, aAttempt, aResult);
    } else if (const auto* rejected = std::get_if<wire::RejectedT>(&*event)) {
      const base::ErrorKind kind = KindByName(rejected->kind);
      aAttempt.m_agentError = CallerError(kind, rejected->message);
      aAttempt.m_agentError.m_retryAfter =
        base::Millis(rejected->retry_after_ms);
      aAttempt.m_permanentRejection = detail::IsPermanentRejection(kind);
      failure = aAttempt.m_resumed ? FailurePoint::RejectedResume
                                   : FailurePoint::Rejected;
    } else if (const auto* down = std::get_if<LinkDown>(&*event)) {
      if (down->m_link == aAttempt.m_link) {
        aAttempt.m_link = nullptr;
        aAttempt.m_streaming = false;
        aAttempt.m_waitDeadline =
          m_components.m_clock.Now() + m_components.m_limits.m_reconnectTimeout;
      }
    } else if (const auto* up = std::get_if<LinkUp>(&*event)) {
      failure = OnLinkUp(up->m_link, aAttempt);
    } else if (std::holds_alternative<MailboxOverflow>(*event)) {
      failure = FailurePoint::OverCredit;
    }
    if (failure) {
      co_return *failure;
    }
  }
}

} // namespace chivefront::entry
