// Sends the request of one attempt to its upstream and relays the answer.
#include "chivefront/agent/attempt.h"

#include <algorithm>
#include <utility>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "chivefront/agent/stall_meter.h"

namespace chivefront::agent {
namespace detail {

constexpr int kHttpOk = 200;
// Limits the wait for the response header only: once the header arrived, a
// stream has no deadline of its own.
constexpr base::Millis kMaxHeaderTimeout{ 120000 };
// For each piece of an answer, and for bytes without progress in a row.
constexpr base::Millis kPieceTimeout{ 30000 };
// Limits the cancel request to an engine. A cancelled request keeps its slot at
// most this long.
constexpr base::Millis kCancelTimeout{ 2000 };
constexpr base::Millis kMaxWakeWait{ 3600 * 1000 };

} // namespace detail

net::HttpRequest
Attempt::MakeRequest()
{
  net::HttpRequest request;
  request.m_method = m_dispatch.method.empty() ? "POST" : m_dispatch.method;
  if (IsPlainService()) {
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
Attempt::Timeouts() const
{
  net::HttpTimeouts timeouts;
  const base::Millis timeSpent = m_host.Now() - m_createdAt;
  const base::Millis timeLeft =
    m_dispatch.deadline_ms == 0
      ? detail::kMaxHeaderTimeout
      : base::Millis(m_dispatch.deadline_ms) - timeSpent;
  timeouts.m_header =
    std::clamp(timeLeft, base::Millis(1), detail::kMaxHeaderTimeout);
  timeouts.m_piece = detail::kPieceTimeout;
  return timeouts;
}

absl::Status
Attempt::BeforeSend(std::function<void()> aAbort)
{
  if (m_stopReason != StopReason::None) {
    return base::MakeError(base::ErrorKind::RejectedByAgent,
                           "canceled before it was sent");
  }
  if (absl::Status status = m_host.CheckBeforeSend(m_dispatch); !status.ok()) {
    return status;
  }
  m_abortOpen = std::move(aAbort);
  m_sent = true;
  SendStarted();
  return absl::OkStatus();
}

net::Task<void>
Attempt::Forward(UpstreamDescription aUpstream)
{
  m_upstream = std::move(aUpstream);
  const base::Endpoint endpoint =
    base::Endpoint::Parse(m_upstream.m_address).value_or(base::Endpoint());
  net::HttpRequest request = MakeRequest();
  const net::HttpTimeouts timeouts = Timeouts();
  net::HttpClientStream::BeforeSend beforeSend =
    [this](std::function<void()> aAbort) {
      return BeforeSend(std::move(aAbort));
    };
  auto opened = co_await net::HttpClientStream::Open(
    endpoint, std::move(request), timeouts, beforeSend);
  m_abortOpen = nullptr;
  if (!opened.ok()) {
    absl::Status why = opened.status();
    co_await OnOpenFailed(std::move(why));
    co_return;
  }
  m_stream = std::move(*opened);
  m_httpStatus = m_stream->Status();
  m_contentType = net::FindHeader(m_stream->Headers(), "Content-Type");
  absl::Status status = co_await RelayAnswer();
  m_stream.reset();
  co_await FinishAndFreeSlot(status);
}

// Sends the result, and frees the slot once the upstream does not hold the
// request any more.
net::Task<void>
Attempt::FinishAndFreeSlot(absl::Status aStatus)
{
  RecordResult(aStatus);
  if (!aStatus.ok() && m_stopReason == StopReason::None && !IsPlainService()) {
    co_await CancelAtEngine();
  }
  while (m_cancelPending) {
    co_await WaitForWake();
  }
  m_host.OnSlotFreed(shared_from_this(), UpstreamOutcomeOf(aStatus));
}

net::Task<void>
Attempt::OnOpenFailed(absl::Status aReason)
{
  if (!m_sent) {
    const bool connectFailed =
      base::KindOf(aReason) == base::ErrorKind::NoUpstream &&
      m_stopReason == StopReason::None;
    Reject(aReason, base::Millis(0));
    m_host.OnSlotFreed(shared_from_this(), UpstreamOutcome::NotSent);
    if (connectFailed) {
      m_host.RequestProbe(m_dispatch.upstream);
    }
    co_return;
  }
  co_await FinishAndFreeSlot(std::move(aReason));
}

bool
Attempt::MayRead() const
{
  return m_stopReason != StopReason::None || m_readingForClaim ||
         (m_link != nullptr && m_buffer.WantsMore());
}

net::Task<absl::Status>
Attempt::RelayPiece(std::string_view aPiece)
{
  if (!std::exchange(m_firstByteSeen, true)) {
    m_host.OnFirstByte(shared_from_this());
  }
  std::string relayed;
  absl::Status status = m_scanner.Scan(aPiece, relayed);
  if (m_readingForClaim) {
    co_return status;
  }
  m_buffer.Append(relayed);
  Flush();
  while (!MayRead()) {
    co_await WaitForWake();
  }
  co_return status;
}

net::Task<absl::Status>
Attempt::RelayAnswer()
{
  StallMeter stall;
  while (m_stopReason == StopReason::None) {
    const base::TimePoint readFrom = m_host.Now();
    auto piece = co_await m_stream->Read();
    const base::Millis waited = m_host.Now() - readFrom;
    if (!piece.ok()) {
      co_return piece.status();
    }
    if (piece->empty()) {
      break;
    }
    if (absl::Status status = co_await RelayPiece(*piece); !status.ok()) {
      co_return status;
    }
    stall.OnRead(waited, m_scanner.Progress());
    if (stall.IsStalled(detail::kPieceTimeout)) {
      co_return base::MakeError(base::ErrorKind::Timeout,
                                "no progress of the answer");
    }
  }
  if (m_stopReason != StopReason::None) {
    co_return StopStatus();
  }
  if (!IsPlainService() && IsEngineFailure(m_httpStatus)) {
    co_return base::MakeError(base::ErrorKind::UpstreamFailed,
                              "engine answered with an error status");
  }
  absl::Status status = m_scanner.Finish();
  const bool isStream = m_httpStatus == detail::kHttpOk && m_dispatch.stream;
  co_return status.ok() || isStream ? status : absl::OkStatus();
}

net::Task<void>
Attempt::WaitForWake()
{
  m_wakeTimer.expires_after(detail::kMaxWakeWait.ToChrono());
  boost::system::error_code canceled;
  co_await m_wakeTimer.async_wait(
    net::asio::redirect_error(net::asio::use_awaitable, canceled));
}

net::Task<void>
Attempt::CancelAtEngine()
{
  const base::Endpoint endpoint =
    base::Endpoint::Parse(m_upstream.m_address).value_or(base::Endpoint());
  net::HttpRequest request("DELETE", "/v1/requests/" + m_key.m_requestId);
  net::HttpTimeouts timeouts;
  timeouts.m_connect = detail::kCancelTimeout;
  timeouts.m_header = detail::kCancelTimeout;
  const auto answer =
    co_await net::HttpCall(endpoint, std::move(request), timeouts);
  if (!answer.ok()) {
    m_host.RequestProbe(m_dispatch.upstream);
  }
  m_cancelPending = false;
  m_wakeTimer.cancel();
}

} // namespace chivefront::agent
