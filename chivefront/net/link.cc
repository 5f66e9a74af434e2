// Handshake, framing, heartbeat and calls of a link.
#include "chivefront/net/link.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "chivefront/base/errors.h"
#include "chivefront/base/ids.h"
#include "chivefront/base/log.h"

namespace chivefront::net {
namespace detail {

// The size limit for frames before authentication. An unauthenticated peer
// can't make this process allocate more than this per connection.
constexpr size_t kMaxHandshakeBytes = 4096;

base::TimePoint
Now()
{
  return base::SteadyClock::Instance().Now();
}

absl::Status
LinkClosed(std::string_view aReason)
{
  return base::MakeError(base::ErrorKind::LinkClosed, aReason);
}

// The proof that a process knows the cluster secret. The proof covers the role
// and the name of that process, so that a peer can't authenticate by sending a
// proof back to the process that made it.
std::string
MakeProof(const LinkIdentity& aIdentity,
          std::string_view aNonce,
          wire::Role aRole,
          std::string_view aProcess)
{
  std::string text(aNonce);
  text += '\0';
  text += static_cast<char>('0' + static_cast<int>(aRole));
  text += aProcess;
  return base::HmacSha256(aIdentity.m_secret, text);
}

} // namespace detail

Link::Link(Socket aSocket,
           const LinkIdentity& aIdentity,
           const LinkLimits& aLimits,
           Handlers aHandlers,
           bool aInitiator)
  : m_socket(std::move(aSocket))
  , m_identity(aIdentity)
  , m_limits(aLimits)
  , m_handlers(std::move(aHandlers))
  , m_initiator(aInitiator)
  , m_lastReceived(detail::Now())
  , m_nextCorrelation(aInitiator ? 1 : 2)
{
}

bool
Link::IsOwnCorrelation(uint64_t aCorrelation) const
{
  return aCorrelation != 0 && (aCorrelation % 2 == 1) == m_initiator;
}

Task<absl::StatusOr<wire::MessageT>>
Link::ReadMessage(size_t aMaxBytes)
{
  boost::system::error_code error;
  auto token = asio::redirect_error(asio::use_awaitable, error);
  std::string header(wire::kFrameHeaderBytes, '\0');
  co_await asio::async_read(m_socket, asio::buffer(header), token);
  if (error) {
    co_return detail::LinkClosed(error.message());
  }
  const auto size = wire::ParseFrameHeader(header);
  if (!size.ok()) {
    co_return size.status();
  }
  if (*size > aMaxBytes) {
    co_return base::MakeError(base::ErrorKind::BadFrame,
                              "frame too large before authentication");
  }
  std::string payload(*size, '\0');
  co_await asio::async_read(m_socket, asio::buffer(payload), token);
  if (error) {
    co_return detail::LinkClosed(error.message());
  }
  m_lastReceived = detail::Now();
  co_return wire::DecodePayload(header, payload);
}

Task<absl::Status>
Link::Handshake()
{
  wire::HelloT hello;
  hello.version = wire::kProtocolVersion;
  hello.cluster = m_identity.m_cluster;
  hello.role = m_identity.m_role;
  hello.process = m_identity.m_process;
  hello.failure_domain = m_identity.m_failureDomain;
  hello.incarnation = m_identity.m_incarnation;
  hello.nonce = base::RequestId::Random().ToString();
  const std::string nonce = hello.nonce;
  Enqueue(wire::EncodeFrame(wire::MakeMessage(std::move(hello))));

  auto first = co_await ReadMessage(detail::kMaxHandshakeBytes);
  if (!first.ok()) {
    co_return first.status();
  }
  const wire::HelloT* peer = first->body.AsHello();
  if (peer == nullptr || peer->cluster != m_identity.m_cluster) {
    co_return base::MakeError(base::ErrorKind::AuthFailed,
                              "peer is not of this cluster");
  }
  m_peer = {
    peer->role, peer->process, peer->failure_domain, peer->incarnation
  };

  wire::AuthT auth;
  auth.mac = base::Sha256Hex(detail::MakeProof(
    m_identity, peer->nonce, m_identity.m_role, m_identity.m_process));
  Enqueue(wire::EncodeFrame(wire::MakeMessage(std::move(auth))));

  auto second = co_await ReadMessage(detail::kMaxHandshakeBytes);
  if (!second.ok()) {
    co_return second.status();
  }
  const wire::AuthT* proof = second->body.AsAuth();
  const std::string expected = base::Sha256Hex(
    detail::MakeProof(m_identity, nonce, m_peer.m_role, m_peer.m_process));
  if (proof == nullptr || !base::EqualConstantTime(proof->mac, expected)) {
    co_return base::MakeError(base::ErrorKind::AuthFailed,
                              "peer does not know the cluster secret");
  }
  co_return absl::OkStatus();
}

void
Link::Handle(wire::MessageT aMessage)
{
  if (m_identity.m_events != nullptr && aMessage.stamp != 0) {
    m_identity.m_events->Clock().Observe(aMessage.stamp);
  }
  switch (aMessage.body.type) {
    case wire::Body::Ping:
      Enqueue(wire::EncodeFrame(wire::MakeMessage(wire::PongT{})));
      return;
    case wire::Body::Pong:
      return;
    default:
      break;
  }
  if (!IsOwnCorrelation(aMessage.correlation)) {
    m_handlers.m_onMessage(shared_from_this(), std::move(aMessage));
    return;
  }
  const auto call = m_calls.find(aMessage.correlation);
  if (call == m_calls.end()) {
    return; // the call has timed out
  }
  call->second->m_result = std::move(aMessage);
  call->second->m_timer.cancel();
  m_calls.erase(call);
}

Task<absl::Status>
Link::ReadLoop()
{
  while (true) {
    auto message = co_await ReadMessage(wire::kMaxFrameBytes);
    if (!message.ok()) {
      co_return message.status();
    }
    Handle(std::move(*message));
  }
}

Task<void>
Link::HeartbeatLoop()
{
  while (!m_closed) {
    co_await Sleep(m_limits.m_heartbeatInterval);
    if (m_closed) {
      break;
    }
    if (detail::Now() - m_lastReceived > m_limits.m_silenceTimeout) {
      CloseOnStrand(
        base::MakeError(base::ErrorKind::Timeout, "link is silent"));
      break;
    }
    if (m_open) {
      Enqueue(wire::EncodeFrame(wire::MakeMessage(wire::PingT{})));
    }
  }
}

Task<absl::Status>
Link::Run()
{
  const auto self = shared_from_this();
  boost::system::error_code ignored;
  m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  Spawn(m_socket.get_executor(), "link", [self]() -> Task<void> {
    return self->HeartbeatLoop();
  });
  asio::steady_timer handshakeTimer(m_socket.get_executor());
  handshakeTimer.expires_after(m_limits.m_handshakeTimeout.ToChrono());
  handshakeTimer.async_wait([self](const boost::system::error_code& aError) {
    if (!aError) {
      self->CloseOnStrand(
        base::MakeError(base::ErrorKind::Timeout, "handshake timed out"));
    }
  });
  absl::Status status = co_await Handshake();
  handshakeTimer.cancel();
  const bool opened = status.ok() && !m_closed;
  if (opened) {
    m_open = true;
    m_handlers.m_onOpen(self);
    status = co_await ReadLoop();
  }
  CloseOnStrand(status);
  if (base::KindOf(m_closeReason) == base::ErrorKind::BadFrame ||
      base::KindOf(m_closeReason) == base::ErrorKind::AuthFailed) {
    base::LogWarning(
      "link",
      "closed the link after a bad frame or failed authentication",
      { { "peer", m_peer.m_process },
        { "why", base::MessageOf(m_closeReason) } });
  }
  if (m_identity.m_events != nullptr) {
    m_identity.m_events->Record(
      "link_closed",
      { { "peer", m_peer.m_process },
        { "kind", std::string(base::ErrorName(base::KindOf(m_closeReason))) },
        { "why", std::string(base::MessageOf(m_closeReason)) } });
  }
  if (opened) {
    m_handlers.m_onClose(self, m_closeReason);
  }
  co_return m_closeReason;
}

void
Link::CloseOnStrand(const absl::Status& aReason)
{
  if (m_closed) {
    return;
  }
  m_closed = true;
  m_open = false;
  m_closeReason = aReason.ok() ? detail::LinkClosed("closed") : aReason;
  boost::system::error_code ignored;
  m_socket.close(ignored);
  for (const auto& [correlation, call] : m_calls) {
    call->m_timer.cancel();
  }
  m_calls.clear();
}

void
Link::Close(absl::Status aReason)
{
  asio::post(m_socket.get_executor(),
             [self = shared_from_this(), reason = std::move(aReason)] {
               self->CloseOnStrand(reason);
             });
}

Task<void>
Link::WriteLoop()
{
  boost::system::error_code error;
  while (!m_outgoing.empty() && !m_closed) {
    // All frames that were queued during the last write go out in one write.
    std::deque<std::string> batch;
    batch.swap(m_outgoing);
    std::vector<asio::const_buffer> buffers;
    size_t bytes = 0;
    for (const std::string& frame : batch) {
      buffers.emplace_back(asio::buffer(frame));
      bytes += frame.size();
    }
    co_await asio::async_write(
      m_socket, buffers, asio::redirect_error(asio::use_awaitable, error));
    m_queuedBytes -= bytes;
    if (error) {
      CloseOnStrand(detail::LinkClosed(error.message()));
    }
  }
  m_writing = false;
}

void
Link::Enqueue(std::string aFrame)
{
  if (m_closed) {
    return;
  }
  m_queuedBytes += aFrame.size();
  m_outgoing.push_back(std::move(aFrame));
  if (!m_writing) {
    m_writing = true;
    Spawn(m_socket.get_executor(),
          "link",
          [self = shared_from_this()]() -> Task<void> {
            return self->WriteLoop();
          });
  }
}

absl::Status
Link::Send(wire::MessageT aMessage)
{
  if (!m_open) {
    return detail::LinkClosed("link is not open");
  }
  if (m_queuedBytes > m_limits.m_maxQueuedBytes) {
    Close(base::MakeError(base::ErrorKind::Overloaded, "peer does not read"));
    return base::MakeError(base::ErrorKind::Overloaded, "peer does not read");
  }
  if (m_identity.m_events != nullptr) {
    aMessage.stamp = m_identity.m_events->Clock().Tick();
  }
  asio::dispatch(
    m_socket.get_executor(),
    [self = shared_from_this(), frame = wire::EncodeFrame(aMessage)]() mutable {
      self->Enqueue(std::move(frame));
    });
  return absl::OkStatus();
}

Task<absl::StatusOr<wire::MessageT>>
Link::CallOnStrand(wire::MessageT aMessage, base::Millis aTimeout)
{
  if (m_closed || !m_open) {
    co_return detail::LinkClosed("link is not open");
  }
  const uint64_t correlation = m_nextCorrelation;
  m_nextCorrelation += 2;
  aMessage.correlation = correlation;
  if (m_identity.m_events != nullptr) {
    aMessage.stamp = m_identity.m_events->Clock().Tick();
  }
  auto call = std::make_shared<PendingCall>(m_socket.get_executor());
  call->m_result = detail::LinkClosed("link closed before the reply");
  call->m_timer.expires_after(aTimeout.ToChrono());
  m_calls.emplace(correlation, call);
  Enqueue(wire::EncodeFrame(aMessage));
  boost::system::error_code canceled;
  co_await call->m_timer.async_wait(
    asio::redirect_error(asio::use_awaitable, canceled));
  if (!canceled) {
    m_calls.erase(correlation);
    co_return base::MakeError(base::ErrorKind::Timeout, "no reply in time");
  }
  co_return std::move(call->m_result);
}

Task<absl::StatusOr<wire::MessageT>>
Link::Call(wire::MessageT aMessage, base::Millis aTimeout)
{
  const auto self = shared_from_this();
  co_return co_await asio::co_spawn(m_socket.get_executor(),
                                    CallOnStrand(std::move(aMessage), aTimeout),
                                    asio::use_awaitable);
}

} // namespace chivefront::net
