// Messages of the entry, credit, resumption and ending of one run.
#include "chivefront/agent/run.h"

#include <boost/asio/post.hpp>

namespace chivefront::agent {
namespace detail {

constexpr int kHttpTooMany = 429;
constexpr int kHttpServerError = 500;
constexpr int kHttpUnavailable = 503;

AnswerForm
FormOf(const wire::DispatchT& aDispatch)
{
  if (!aDispatch.service.empty()) {
    return AnswerForm::Raw;
  }
  return aDispatch.stream ? AnswerForm::EventStream : AnswerForm::Json;
}

} // namespace detail

Run::Run(net::asio::io_context& aContext,
         RunHost& aHost,
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
  , m_wake(m_strand)
  , m_buffer(m_dispatch.credit_bytes)
  , m_scanner(detail::FormOf(m_dispatch), !m_dispatch.claim_key.empty())
{
}

void
Run::OnStrand(std::function<void()> aBody)
{
  // Never inline: callers may hold a lock that the body takes.
  net::asio::post(
    m_strand, [self = shared_from_this(), body = std::move(aBody)] { body(); });
}

template<typename BodyT>
void
Run::Send(BodyT aBody)
{
  if (m_link) {
    aBody.request_id = m_key.m_requestId;
    aBody.attempt = m_key.m_attempt;
    (void)m_link->Send(wire::MakeMessage(std::move(aBody)));
  }
}

bool
Run::IsEngineFailure(int aHttpStatus)
{
  return aHttpStatus == detail::kHttpTooMany ||
         aHttpStatus >= detail::kHttpServerError;
}

void
Run::SendStarted()
{
  Send(wire::StartedT{});
}

// --- Messages of the entry ---------------------------------------------------

void
Run::Launch(const UpstreamFacts& aUpstream)
{
  OnStrand([this, aUpstream] {
    m_launched = true;
    net::Spawn(m_strand,
               "run",
               [self = shared_from_this(), aUpstream]() -> net::Task<void> {
                 return self->Forward(aUpstream);
               });
  });
}

void
Run::Reject(absl::Status aWhy, base::Millis aRetryAfter)
{
  OnStrand([this, why = std::move(aWhy), aRetryAfter] {
    if (m_over) {
      return;
    }
    wire::RejectedT rejected;
    rejected.kind = base::ErrorName(base::KindOf(why));
    rejected.message = base::MessageOf(why);
    rejected.retry_after_ms = static_cast<uint32_t>(aRetryAfter.Count());
    rejected.revision = m_host.Revision();
    m_rejected = std::move(rejected);
    m_dispatch.body.clear();
    m_overAt = m_host.Now();
    m_refused = true;
    m_over = true;
    if (!m_link && !m_dispatch.claim_key.empty()) {
      m_host.ResultKnown(shared_from_this(), ReleasedClaim());
    }
    SendRejected();
  });
}

// For a run that was not run and whose entry can't release the claim.
Settlement
Run::ReleasedClaim() const
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
Run::SendRejected()
{
  wire::RejectedT rejected = *m_rejected;
  rejected.load =
    std::make_unique<wire::UpstreamInfoT>(m_host.LoadOf(m_dispatch.upstream));
  Send(std::move(rejected));
  m_delivered = m_link != nullptr;
}

void
Run::AddCredit(net::Link::Pointer aLink, uint32_t aBytes)
{
  OnStrand([this, link = std::move(aLink), aBytes] {
    if (link == m_link) {
      m_buffer.AddCredit(aBytes);
      Flush();
    }
  });
}

void
Run::Resume(net::Link::Pointer aLink, uint32_t aNextSequence, uint32_t aCredit)
{
  OnStrand([this, link = std::move(aLink), aNextSequence, aCredit] {
    m_link = link;
    m_detached = false;
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
      Halt(Stop::ByEntry);
      return;
    }
    m_endSent = false;
    Flush();
  });
}

void
Run::LinkClosed(net::Link::Pointer aLink)
{
  OnStrand([this, link = std::move(aLink)] {
    if (m_link == link) {
      m_link = nullptr;
      m_detachedAt = m_host.Now();
      m_detached = true;
    }
  });
}

void
Run::EntryLost()
{
  OnStrand([this] {
    if (m_link || m_over || m_unattended) {
      return;
    }
    if (m_launched && !m_dispatch.claim_key.empty()) {
      // Its result is wanted even without the entry: a caller that sends the
      // request again gets it from the claim.
      m_unattended = true;
      m_wake.cancel();
      return;
    }
    Halt(Stop::EntryLost);
  });
}

void
Run::Cancel()
{
  OnStrand([this] { Halt(Stop::ByEntry); });
}

void
Run::UpstreamLost()
{
  OnStrand([this] { Halt(Stop::UpstreamLost); });
}

void
Run::Halt(Stop aWhy)
{
  if (m_over || m_stop != Stop::None) {
    return;
  }
  m_stop = aWhy;
  if (m_sent && !IsPlain()) {
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
  m_wake.cancel();
}

// --- Ending ------------------------------------------------------------------

absl::Status
Run::StopStatus() const
{
  switch (m_stop) {
    case Stop::UpstreamLost:
      return base::MakeError(base::ErrorKind::UpstreamLost,
                             "upstream was lost while it ran");
    case Stop::EntryLost:
      return base::MakeError(base::ErrorKind::LinkClosed,
                             "entry did not come back");
    default:
      return base::MakeError(base::ErrorKind::OutcomeUnknown,
                             "canceled by the entry");
  }
}

Ending
Run::EndingOf(const absl::Status& aStatus) const
{
  if (m_stop != Stop::None) {
    return Ending::Canceled;
  }
  if (aStatus.ok()) {
    return Ending::Succeeded;
  }
  const bool refused = m_httpStatus == detail::kHttpTooMany ||
                       m_httpStatus == detail::kHttpUnavailable;
  return refused ? Ending::Refused : Ending::Failed;
}

Settlement
Run::MakeSettlement(const wire::EndT& aEnd) const
{
  Settlement settlement;
  const bool done = aEnd.outcome == wire::Outcome::Done;
  // A run that failed may be repeated under the same run number, so its bill
  // must not take the place of the repetition's. Cancelled runs are final.
  if (done || m_stop == Stop::ByEntry || m_stop == Stop::EntryLost) {
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
    const bool whole = done && m_scanner.CopyComplete();
    claim.state = whole ? wire::ClaimState::Done : wire::ClaimState::Unknown;
    if (whole) {
      claim.http_status = aEnd.http_status;
      claim.content_type = aEnd.content_type;
      claim.body = m_scanner.Copy();
    }
    settlement.m_claim = std::move(claim);
  }
  return settlement;
}

void
Run::Conclude(const absl::Status& aStatus)
{
  if (m_over) {
    return;
  }
  const absl::Status status = m_stop == Stop::None ? aStatus : StopStatus();
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
  const bool cut = kind == base::ErrorKind::LinkClosed ||
                   kind == base::ErrorKind::AnswerIncomplete;
  end.upstream_lost =
    kind == base::ErrorKind::UpstreamLost || (cut && m_stop == Stop::None);
  m_host.ResultKnown(shared_from_this(), MakeSettlement(end));
  const bool suspect = end.upstream_lost && m_stop == Stop::None;
  m_end = std::move(end);
  m_overAt = m_host.Now();
  m_over = true;
  Flush();
  if (suspect) {
    m_host.Suspect(m_dispatch.upstream);
  }
}

void
Run::Flush()
{
  if (m_link) {
    while (auto chunk = m_buffer.TakeChunk()) {
      wire::ChunkT message;
      message.sequence = chunk->m_sequence;
      message.data = std::move(chunk->m_data);
      Send(std::move(message));
    }
    // A failed answer ends at once; its rest is of no use.
    const bool failed = m_end && m_end->outcome != wire::Outcome::Done;
    if (m_end && !m_endSent && (failed || m_buffer.Drained())) {
      wire::EndT end = *m_end;
      end.chunks = m_buffer.Chunks();
      end.load = std::make_unique<wire::UpstreamInfoT>(
        m_host.LoadOf(m_dispatch.upstream));
      Send(std::move(end));
      m_endSent = true;
      m_delivered = true;
    }
  }
  m_heldBytes = m_buffer.HeldBytes();
  m_wake.cancel();
}

} // namespace chivefront::agent
