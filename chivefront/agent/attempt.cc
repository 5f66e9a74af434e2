// Handles the entry's messages for one attempt (credit, resumption,
// cancellation), and builds and sends the result of the attempt.
#include "chivefront/agent/attempt.h"

#include <boost/asio/post.hpp>

namespace chivefront::agent {
namespace detail {

constexpr int kHttpTooMany = 429;
constexpr int kHttpServerError = 500;
constexpr int kHttpUnavailable = 503;

AnswerFormat
AnswerFormatOf(const wire::DispatchT& aDispatch)
{
  if (!aDispatch.service.empty()) {
    return AnswerFormat::Raw;
  }
  return aDispatch.stream ? AnswerFormat::EventStream : AnswerFormat::Json;
}

} // namespace detail

Attempt::Attempt(net::asio::io_context& aContext,
                 AttemptHost& aHost,
                 wire::DispatchT aDispatch,
                 net::Link::Pointer aLink,
                 std::string aEntry)
  : m_strand(net::asio::make_strand(aContext))
  , m_host(aHost)
  , m_dispatch(std::move(aDispatch))
  , m_key{ m_dispatch.request_id, m_dispatch.attempt }
  , m_entry(std::move(aEntry))
  , m_createdAt(aHost.Now())
  , m_link(std::move(aLink))
  , m_wakeTimer(m_strand)
  , m_buffer(m_dispatch.credit_bytes)
  , m_scanner(detail::AnswerFormatOf(m_dispatch), !m_dispatch.claim_key.empty())
{
}

void
Attempt::PostToStrand(std::function<void()> aBody)
{
  // Always posts, even when called on the strand: callers may hold a lock that
  // the body takes.
  net::asio::post(
    m_strand, [self = shared_from_this(), body = std::move(aBody)] { body(); });
}

template<typename BodyT>
void
Attempt::Send(BodyT aBody)
{
  if (m_link) {
    aBody.request_id = m_key.m_requestId;
    aBody.attempt = m_key.m_attempt;
    (void)m_link->Send(wire::MakeMessage(std::move(aBody)));
  }
}

bool
Attempt::IsEngineFailure(int aHttpStatus)
{
  return aHttpStatus == detail::kHttpTooMany ||
         aHttpStatus >= detail::kHttpServerError;
}

void
Attempt::SendStarted()
{
  Send(wire::StartedT{});
}

// --- Messages of the entry ---------------------------------------------------

void
Attempt::Launch(const UpstreamDescription& aUpstream)
{
  PostToStrand([this, aUpstream] {
    m_launched = true;
    net::Spawn(m_strand,
               "run",
               [self = shared_from_this(), aUpstream]() -> net::Task<void> {
                 return self->Forward(aUpstream);
               });
  });
}

void
Attempt::Reject(absl::Status aReason, base::Millis aRetryAfter)
{
  PostToStrand([this, why = std::move(aReason), aRetryAfter] {
    if (m_finished) {
      return;
    }
    wire::RejectedT rejected;
    rejected.kind = base::ErrorName(base::KindOf(why));
    rejected.message = base::MessageOf(why);
    rejected.retry_after_ms = static_cast<uint32_t>(aRetryAfter.Count());
    rejected.revision = m_host.Revision();
    m_rejected = std::move(rejected);
    m_dispatch.body.clear();
    m_finishedAt = m_host.Now();
    m_isRejected = true;
    m_finished = true;
    if (!m_link && !m_dispatch.claim_key.empty()) {
      m_host.OnResult(shared_from_this(), MakeReleasedClaim());
    }
    SendRejected();
  });
}

// The claim command for a request that did not run and whose entry is lost and
// so cannot release the claim itself.
Settlement
Attempt::MakeReleasedClaim() const
{
  wire::FinishClaimT claim;
  claim.team = m_dispatch.team;
  claim.key = m_dispatch.claim_key;
  claim.request_id = m_key.m_requestId;
  claim.state = wire::ClaimState::Released;
  Settlement settlement;
  settlement.m_claim = std::move(claim);
  return settlement;
}

void
Attempt::SendRejected()
{
  wire::RejectedT rejected = *m_rejected;
  rejected.load = std::make_unique<wire::UpstreamInfoT>(
    m_host.UpstreamInfoOf(m_dispatch.upstream));
  Send(std::move(rejected));
  m_delivered = m_link != nullptr;
}

void
Attempt::AddCredit(net::Link::Pointer aLink, uint32_t aBytes)
{
  PostToStrand([this, link = std::move(aLink), aBytes] {
    if (link == m_link) {
      m_buffer.AddCredit(aBytes);
      Flush();
    }
  });
}

void
Attempt::Resume(net::Link::Pointer aLink,
                uint32_t aNextSequence,
                uint32_t aCredit)
{
  PostToStrand([this, link = std::move(aLink), aNextSequence, aCredit] {
    m_link = link;
    m_linkLost = false;
    if (m_rejected) {
      SendRejected();
      return;
    }
    if (!m_buffer.Resume(aNextSequence, aCredit)) {
      wire::EndT end;
      end.outcome = wire::Outcome::Unknown;
      end.kind = base::ErrorName(base::ErrorKind::AnswerIncomplete);
      end.message = "the requested part of the answer is not kept any more";
      Send(std::move(end));
      Stop(StopReason::CanceledByEntry);
      return;
    }
    m_endSent = false;
    Flush();
  });
}

void
Attempt::OnLinkClosed(net::Link::Pointer aLink)
{
  PostToStrand([this, link = std::move(aLink)] {
    if (m_link == link) {
      m_link = nullptr;
      m_linkLostAt = m_host.Now();
      m_linkLost = true;
    }
  });
}

void
Attempt::OnEntryLost()
{
  PostToStrand([this] {
    if (m_link || m_finished || m_readingForClaim) {
      return;
    }
    if (m_launched && !m_dispatch.claim_key.empty()) {
      // The result is needed even without the entry: a caller that sends the
      // request again receives the result from the claim.
      m_readingForClaim = true;
      m_wakeTimer.cancel();
      return;
    }
    Stop(StopReason::EntryLost);
  });
}

void
Attempt::Cancel()
{
  PostToStrand([this] { Stop(StopReason::CanceledByEntry); });
}

void
Attempt::OnUpstreamLost()
{
  PostToStrand([this] { Stop(StopReason::UpstreamLost); });
}

void
Attempt::Stop(StopReason aReason)
{
  if (m_finished || m_stopReason != StopReason::None) {
    return;
  }
  m_stopReason = aReason;
  if (m_sent && !IsPlainService()) {
    m_cancelPending = true;
    net::Spawn(
      m_strand, "run", [self = shared_from_this()]() -> net::Task<void> {
        return self->CancelAtEngine();
      });
  }
  if (m_abortOpen) {
    m_abortOpen();
  }
  if (m_stream) {
    m_stream->Cancel();
  }
  m_wakeTimer.cancel();
}

// --- Result ------------------------------------------------------------------

absl::Status
Attempt::StopStatus() const
{
  switch (m_stopReason) {
    case StopReason::UpstreamLost:
      return base::MakeError(base::ErrorKind::UpstreamLost,
                             "upstream was lost while it ran");
    case StopReason::EntryLost:
      return base::MakeError(base::ErrorKind::LinkClosed,
                             "entry did not come back");
    default:
      return base::MakeError(base::ErrorKind::OutcomeUnknown,
                             "canceled by the entry");
  }
}

UpstreamOutcome
Attempt::UpstreamOutcomeOf(const absl::Status& aStatus) const
{
  if (m_stopReason != StopReason::None) {
    return UpstreamOutcome::Canceled;
  }
  if (aStatus.ok()) {
    return UpstreamOutcome::Succeeded;
  }
  const bool overloaded = m_httpStatus == detail::kHttpTooMany ||
                          m_httpStatus == detail::kHttpUnavailable;
  return overloaded ? UpstreamOutcome::Overloaded : UpstreamOutcome::Failed;
}

Settlement
Attempt::MakeSettlement(const wire::EndT& aEnd) const
{
  Settlement settlement;
  const bool done = aEnd.outcome == wire::Outcome::Done;
  // A failed request may be repeated under the same run number, so its bill
  // must not take the place of the bill of the repetition. Cancelled requests
  // are final.
  if (done || m_stopReason == StopReason::CanceledByEntry ||
      m_stopReason == StopReason::EntryLost) {
    wire::BillLineT bill;
    bill.request_id = m_key.m_requestId;
    bill.run = m_dispatch.run;
    bill.team = m_dispatch.team;
    bill.version = m_dispatch.version;
    bill.prompt_tokens = aEnd.prompt_tokens;
    bill.answer_tokens = aEnd.answer_tokens;
    bill.cost_micros = m_host.CostOf(m_dispatch.version, m_scanner.GetUsage());
    settlement.m_bill = std::move(bill);
  }
  if (!m_dispatch.claim_key.empty()) {
    wire::FinishClaimT claim;
    claim.team = m_dispatch.team;
    claim.key = m_dispatch.claim_key;
    claim.request_id = m_key.m_requestId;
    const bool complete = done && m_scanner.CopyComplete();
    claim.state = complete ? wire::ClaimState::Done : wire::ClaimState::Unknown;
    if (complete) {
      claim.http_status = aEnd.http_status;
      claim.content_type = aEnd.content_type;
      claim.body = m_scanner.Copy();
    }
    settlement.m_claim = std::move(claim);
  }
  return settlement;
}

void
Attempt::RecordResult(const absl::Status& aStatus)
{
  if (m_finished) {
    return;
  }
  const absl::Status status =
    m_stopReason == StopReason::None ? aStatus : StopStatus();
  wire::EndT end;
  end.outcome = status.ok() ? wire::Outcome::Done : wire::Outcome::Unknown;
  if (!status.ok()) {
    end.kind = base::ErrorName(base::KindOf(status));
    end.message = base::MessageOf(status);
  }
  end.http_status = static_cast<uint32_t>(m_httpStatus);
  end.content_type = m_contentType;
  const Usage& usage = m_scanner.GetUsage();
  end.prompt_tokens = usage.m_promptTokens;
  end.answer_tokens = usage.m_answerTokens;
  end.cached_tokens = usage.m_cachedTokens;
  const base::ErrorKind kind = base::KindOf(status);
  const bool truncated = kind == base::ErrorKind::LinkClosed ||
                         kind == base::ErrorKind::AnswerIncomplete;
  end.upstream_lost = kind == base::ErrorKind::UpstreamLost ||
                      (truncated && m_stopReason == StopReason::None);
  m_host.OnResult(shared_from_this(), MakeSettlement(end));
  const bool suspect = end.upstream_lost && m_stopReason == StopReason::None;
  m_end = std::move(end);
  m_finishedAt = m_host.Now();
  m_finished = true;
  Flush();
  if (suspect) {
    m_host.RequestProbe(m_dispatch.upstream);
  }
}

void
Attempt::Flush()
{
  if (m_link) {
    while (auto chunk = m_buffer.TakeChunk()) {
      wire::ChunkT message;
      message.sequence = chunk->m_sequence;
      message.data = std::move(chunk->m_data);
      Send(std::move(message));
    }
    // A failed answer ends at once: the entry does not need the bytes that were
    // not sent yet.
    const bool failed = m_end && m_end->outcome != wire::Outcome::Done;
    if (m_end && !m_endSent && (failed || m_buffer.IsDrained())) {
      wire::EndT end = *m_end;
      end.chunks = m_buffer.ChunkCount();
      end.load = std::make_unique<wire::UpstreamInfoT>(
        m_host.UpstreamInfoOf(m_dispatch.upstream));
      Send(std::move(end));
      m_endSent = true;
      m_delivered = true;
    }
  }
  m_heldBytes = m_buffer.HeldBytes();
  m_wakeTimer.cancel();
}

} // namespace chivefront::agent
