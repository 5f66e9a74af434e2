// Forwarding, credit, resumption and ending of one run.
#include "chivefront/agent/run.h"

#include <algorithm>
#include <utility>

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace chivefront::agent {
namespace detail {

constexpr int kHttpOk = 200;
constexpr int kHttpTooMany = 429;
constexpr int kHttpServerError = 500;
constexpr int kHttpUnavailable = 503;
// Streams have no deadline of their own once their header came.
constexpr base::Millis kLongestHeaderWait{ 120000 };
constexpr base::Millis kPieceWait{ 30000 };
// A cancelled request keeps its slot at most this long.
constexpr base::Millis kCancelWait{ 2000 };
constexpr base::Millis kLongWait{ 3600 * 1000 };

AnswerForm
FormOf(const wire::DispatchT& aDispatch)
{
  if (!aDispatch.service.empty()) {
    return AnswerForm::Raw;
  }
  return aDispatch.stream ? AnswerForm::EventStream : AnswerForm::Json;
}

bool
IsPlain(const wire::DispatchT& aDispatch)
{
  return !aDispatch.service.empty();
}

// An engine's answers of these kinds are refusals or faults, not answers.
bool
IsEngineFailure(int aHttpStatus)
{
  return aHttpStatus == kHttpTooMany || aHttpStatus >= kHttpServerError;
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
Run::AddCredit(uint32_t aBytes)
{
  OnStrand([this, aBytes] {
    m_buffer.AddCredit(aBytes);
    Flush();
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
  if (m_sent && !detail::IsPlain(m_dispatch)) {
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

// --- Forwarding --------------------------------------------------------------

net::HttpRequest
Run::MakeRequest()
{
  net::HttpRequest request;
  request.m_method = m_dispatch.method.empty() ? "POST" : m_dispatch.method;
  if (detail::IsPlain(m_dispatch)) {
    request.m_target = "/v1/services/" + m_dispatch.service + m_dispatch.target;
    if (!m_dispatch.claim_key.empty()) {
      request.m_headers.emplace_back("Idempotency-Key", m_dispatch.claim_key);
    }
  } else {
    request.m_target = "/v1/chat/completions";
    request.m_headers.emplace_back(
      "X-Priority",
      m_dispatch.caller_class == wire::CallerClass::Paying ? "paying" : "free");
  }
  request.m_headers.emplace_back("X-Request-Id", m_key.m_requestId);
  if (!m_dispatch.content_type.empty()) {
    request.m_headers.emplace_back("Content-Type", m_dispatch.content_type);
  }
  request.m_body = std::move(m_dispatch.body);
  m_dispatch.body.clear();
  return request;
}

net::HttpTimeouts
Run::Timeouts() const
{
  net::HttpTimeouts timeouts;
  const base::Millis spent = m_host.Now() - m_createdAt;
  const base::Millis left = m_dispatch.deadline_ms == 0
                              ? detail::kLongestHeaderWait
                              : base::Millis(m_dispatch.deadline_ms) - spent;
  timeouts.m_header =
    std::clamp(left, base::Millis(1), detail::kLongestHeaderWait);
  timeouts.m_piece = detail::kPieceWait;
  return timeouts;
}

absl::Status
Run::BeforeSend(std::function<void()> aAbort)
{
  if (m_stop != Stop::None) {
    return base::MakeError(base::ErrorKind::RejectedByAgent,
                           "canceled before it was sent");
  }
  if (absl::Status status = m_host.CheckBeforeSend(m_dispatch); !status.ok()) {
    return status;
  }
  m_abortOpen = std::move(aAbort);
  m_sent = true;
  Send(wire::StartedT{});
  return absl::OkStatus();
}

net::Task<void>
Run::Forward(UpstreamFacts aUpstream)
{
  m_upstream = std::move(aUpstream);
  const base::Endpoint endpoint =
    base::Endpoint::Parse(m_upstream.m_address).value_or(base::Endpoint());
  net::HttpRequest request = MakeRequest();
  const net::HttpTimeouts timeouts = Timeouts();
  net::HttpClientStream::BeforeSend hook =
    [this](std::function<void()> aAbort) {
      return BeforeSend(std::move(aAbort));
    };
  auto opened = co_await net::HttpClientStream::Open(
    endpoint, std::move(request), timeouts, hook);
  m_abortOpen = nullptr;
  if (!opened.ok()) {
    absl::Status why = opened.status();
    co_await FailOpen(std::move(why));
    co_return;
  }
  m_stream = std::move(*opened);
  m_httpStatus = m_stream->Status();
  m_contentType = net::FindHeader(m_stream->Headers(), "Content-Type");
  absl::Status status = co_await Relay();
  m_stream.reset();
  Conclude(status);
  while (m_cancelPending) {
    co_await Wait();
  }
  m_host.SlotFreed(shared_from_this(), EndingOf(status));
}

net::Task<void>
Run::FailOpen(absl::Status aWhy)
{
  if (!m_sent) {
    const bool refused =
      base::KindOf(aWhy) == base::ErrorKind::NoUpstream && m_stop == Stop::None;
    Reject(aWhy, base::Millis(0));
    m_host.SlotFreed(shared_from_this(), Ending::NotSent);
    if (refused) {
      m_host.Suspect(m_dispatch.upstream);
    }
    co_return;
  }
  Conclude(aWhy);
  while (m_cancelPending) {
    co_await Wait();
  }
  m_host.SlotFreed(shared_from_this(), EndingOf(aWhy));
}

bool
Run::MayRead() const
{
  return m_stop != Stop::None || m_unattended ||
         (m_link != nullptr && m_buffer.WantsMore());
}

net::Task<absl::Status>
Run::TakePiece(std::string_view aPiece)
{
  if (!std::exchange(m_firstByte, true)) {
    m_host.FirstByte(shared_from_this());
  }
  std::string passed;
  absl::Status status = m_scanner.Take(aPiece, passed);
  if (m_unattended) {
    co_return status;
  }
  m_buffer.Append(passed);
  Flush();
  while (!MayRead()) {
    co_await Wait();
  }
  co_return status;
}

net::Task<absl::Status>
Run::Relay()
{
  while (m_stop == Stop::None) {
    auto piece = co_await m_stream->Read();
    if (!piece.ok()) {
      co_return piece.status();
    }
    if (piece->empty()) {
      break;
    }
    if (absl::Status status = co_await TakePiece(*piece); !status.ok()) {
      co_return status;
    }
  }
  if (m_stop != Stop::None) {
    co_return StopStatus();
  }
  if (!detail::IsPlain(m_dispatch) && detail::IsEngineFailure(m_httpStatus)) {
    co_return base::MakeError(base::ErrorKind::UpstreamFailed,
                              "engine answered with an error status");
  }
  std::string rest;
  absl::Status status = m_scanner.Finish(rest);
  m_buffer.Append(rest);
  const bool isStream = m_httpStatus == detail::kHttpOk && m_dispatch.stream;
  co_return status.ok() || isStream ? status : absl::OkStatus();
}

net::Task<void>
Run::Wait()
{
  m_wake.expires_after(detail::kLongWait.ToChrono());
  boost::system::error_code canceled;
  co_await m_wake.async_wait(
    net::asio::redirect_error(net::asio::use_awaitable, canceled));
}

net::Task<void>
Run::CancelAtEngine()
{
  const base::Endpoint endpoint =
    base::Endpoint::Parse(m_upstream.m_address).value_or(base::Endpoint());
  net::HttpRequest request("DELETE", "/v1/requests/" + m_key.m_requestId);
  net::HttpTimeouts timeouts;
  timeouts.m_connect = detail::kCancelWait;
  timeouts.m_header = detail::kCancelWait;
  (void)co_await net::HttpCall(endpoint, std::move(request), timeouts);
  m_cancelPending = false;
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
  m_wake.cancel();
}

} // namespace chivefront::agent
