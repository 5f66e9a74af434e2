// Sending a request to its upstream and relaying the answer.
#include "chivefront/agent/run.h"

#include <algorithm>
#include <utility>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace chivefront::agent {
namespace detail {

constexpr int kHttpOk = 200;
// Streams have no deadline of their own once their header came.
constexpr base::Millis kLongestHeaderWait{ 120000 };
constexpr base::Millis kPieceWait{ 30000 };
// A cancelled request keeps its slot at most this long.
constexpr base::Millis kCancelWait{ 2000 };
constexpr base::Millis kLongWait{ 3600 * 1000 };

} // namespace detail

net::HttpRequest
Run::MakeRequest()
{
  net::HttpRequest request;
  request.m_method = m_dispatch.method.empty() ? "POST" : m_dispatch.method;
  if (IsPlain()) {
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
  SendStarted();
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
  co_await Retire(status);
}

// Tells the result, and frees the slot once the upstream does not hold the
// request any more.
net::Task<void>
Run::Retire(absl::Status aStatus)
{
  Conclude(aStatus);
  if (!aStatus.ok() && m_stop == Stop::None && !IsPlain()) {
    co_await CancelAtEngine();
  }
  while (m_cancelPending) {
    co_await Wait();
  }
  m_host.SlotFreed(shared_from_this(), EndingOf(aStatus));
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
  co_await Retire(std::move(aWhy));
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
  if (!IsPlain() && IsEngineFailure(m_httpStatus)) {
    co_return base::MakeError(base::ErrorKind::UpstreamFailed,
                              "engine answered with an error status");
  }
  absl::Status status = m_scanner.Finish();
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
  const auto answer =
    co_await net::HttpCall(endpoint, std::move(request), timeouts);
  if (!answer.ok()) {
    m_host.Suspect(m_dispatch.upstream);
  }
  m_cancelPending = false;
  m_wake.cancel();
}

} // namespace chivefront::agent
