// A framed connection between two Chivefront processes.
//
// Each side proves that it knows the cluster secret before the other side reads
// any other message. An open link sends a heartbeat every
// LinkLimits::m_heartbeatInterval and closes itself after
// LinkLimits::m_silenceTimeout without a received message, because a connection
// can stop carrying data without an error at either end.
//
//   link->Send(wire::MakeMessage(std::move(chunk)));          // one way
//   auto reply = co_await link->Call(wire::MakeMessage(...),  // request
//                                    base::Millis(500));
//
// Send, Call and Close may be called from any thread. The handlers of a link
// run one at a time on the link's own strand and must not block.
#pragma once

#include <atomic>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include <absl/status/statusor.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include "chivefront/base/clock.h"
#include "chivefront/base/events.h"
#include "chivefront/base/settings.h"
#include "chivefront/net/task.h"
#include "chivefront/wire/codec.h"

namespace chivefront::net {

// How this process identifies itself on every link.
struct LinkIdentity
{
  wire::Role m_role = wire::Role::Entry;
  std::string m_cluster;
  std::string m_process;
  std::string m_failureDomain;
  uint64_t m_incarnation = 0; // differs after each start of the process
  std::string m_secret;
  base::EventLog* m_events = nullptr; // may be null
};

struct LinkLimits
{
  base::Millis m_heartbeatInterval{ 500 };
  base::Millis m_silenceTimeout{ 1500 };
  base::Millis m_handshakeTimeout{ 2000 };
  base::Millis m_connectTimeout{ 1000 };
  // When more bytes than this are queued for a peer that does not read, the
  // link is closed.
  size_t m_maxQueuedBytes = 32 * 1024 * 1024;
};

// How the peer identified itself in the handshake.
struct LinkPeer
{
  wire::Role m_role = wire::Role::Entry;
  std::string m_process;
  std::string m_failureDomain;
  uint64_t m_incarnation = 0;
};

class Link : public std::enable_shared_from_this<Link>
{
public:
  using Pointer = std::shared_ptr<Link>;
  using Socket = asio::ip::tcp::socket;

  // Callbacks of one link. m_onOpen is called first, once, after the handshake;
  // m_onClose is called last, once, and only if m_onOpen was called.
  // m_onMessage receives every message that is neither a heartbeat nor a reply
  // to a Call.
  struct Handlers
  {
    std::function<void(const Pointer&)> m_onOpen;
    std::function<void(const Pointer&, wire::MessageT)> m_onMessage;
    std::function<void(const Pointer&, const absl::Status&)> m_onClose;
  };

  // aInitiator: whether this side opened the connection. The executor of
  // aSocket must be a strand.
  Link(Socket aSocket,
       const LinkIdentity& aIdentity,
       const LinkLimits& aLimits,
       Handlers aHandlers,
       bool aInitiator);

  // Performs the handshake and serves the link until it closes. Returns the
  // reason for closing.
  Task<absl::Status> Run();

  // Queues a message. Overloaded when LinkLimits::m_maxQueuedBytes is exceeded,
  // LinkClosed when the link is not open. OK does not mean that the peer
  // received the message.
  absl::Status Send(wire::MessageT aMessage);

  // Sends a request and waits for its reply. After Timeout or LinkClosed, it is
  // unknown whether the peer processed the request.
  Task<absl::StatusOr<wire::MessageT>> Call(wire::MessageT aMessage,
                                            base::Millis aTimeout);

  // Sends the reply to a request with the number aCorrelation.
  template<typename BodyT>
  absl::Status Reply(uint64_t aCorrelation, BodyT aBody)
  {
    return Send(wire::MakeMessage(std::move(aBody), aCorrelation));
  }

  // Closes the link; m_onClose receives aReason.
  void Close(absl::Status aReason);

  bool IsOpen() const { return m_open; }
  // Valid once the link is open.
  const LinkPeer& Peer() const { return m_peer; }

private:
  struct PendingCall
  {
    explicit PendingCall(const asio::any_io_executor& aExecutor)
      : m_timer(aExecutor)
    {
    }
    asio::steady_timer m_timer;
    absl::StatusOr<wire::MessageT> m_result;
  };

  Task<absl::Status> Handshake();
  Task<absl::StatusOr<wire::MessageT>> ReadMessage(size_t aMaxBytes);
  Task<absl::Status> ReadLoop();
  Task<void> WriteLoop();
  Task<void> HeartbeatLoop();
  Task<absl::StatusOr<wire::MessageT>> CallOnStrand(wire::MessageT aMessage,
                                                    base::Millis aTimeout);
  void Enqueue(std::string aFrame);
  void Handle(wire::MessageT aMessage);
  void CloseOnStrand(const absl::Status& aReason);
  // Whether this side numbered the call, so that a message with this number is
  // a reply.
  bool IsOwnCorrelation(uint64_t aCorrelation) const;

  Socket m_socket; // its executor is this link's strand
  const LinkIdentity& m_identity;
  const LinkLimits m_limits;
  const Handlers m_handlers;
  const bool m_initiator;
  LinkPeer m_peer;
  std::atomic<bool> m_open{ false };
  std::atomic<size_t> m_queuedBytes{ 0 };

  // The members below are used on the strand only.
  std::deque<std::string> m_outgoing;
  bool m_writing = false;
  bool m_closed = false;
  absl::Status m_closeReason;
  base::TimePoint m_lastReceived;
  // The initiator numbers its calls with odd numbers and the other side with
  // even numbers, so that the number tells a reply from a request.
  uint64_t m_nextCorrelation;
  std::unordered_map<uint64_t, std::shared_ptr<PendingCall>> m_calls;
};

// Accepts links on one endpoint.
class LinkServer
{
public:
  LinkServer(asio::io_context& aContext,
             const LinkIdentity& aIdentity,
             Link::Handlers aHandlers,
             LinkLimits aLimits = {});
  ~LinkServer();

  // Unavailable when the endpoint can't be bound. Port 0 chooses a free port.
  absl::Status Listen(const base::Endpoint& aEndpoint);
  // The endpoint on which the server listens, with the chosen port.
  base::Endpoint BoundEndpoint() const;
  void Stop();

private:
  Task<void> AcceptLoop();

  asio::io_context& m_context;
  const LinkIdentity& m_identity;
  const Link::Handlers m_handlers;
  const LinkLimits m_limits;
  asio::ip::tcp::acceptor m_acceptor;
};

// Keeps one link to a peer open: connects, and connects again whenever the link
// closes. The backoff has full jitter, so that many processes don't reconnect
// to one peer at the same time.
class LinkConnector : public std::enable_shared_from_this<LinkConnector>
{
public:
  LinkConnector(asio::io_context& aContext,
                const LinkIdentity& aIdentity,
                base::Endpoint aPeer,
                Link::Handlers aHandlers,
                LinkLimits aLimits = {});

  void Start();
  // Closes the link and stops connecting.
  void Stop();

  // The open link, or null.
  Link::Pointer Current() const;
  const base::Endpoint& PeerEndpoint() const { return m_peer; }

private:
  using Strand = asio::strand<asio::io_context::executor_type>;

  Task<void> ConnectLoop();
  Task<base::Millis> ServeOneLink(Strand aStrand);
  Task<absl::StatusOr<Link::Pointer>> Connect(Strand aStrand);

  asio::io_context& m_context;
  const LinkIdentity& m_identity;
  const base::Endpoint m_peer;
  const Link::Handlers m_handlers;
  const LinkLimits m_limits;
  std::atomic<bool> m_stopped{ false };
  mutable std::mutex m_lock;
  Link::Pointer m_link; // guarded by m_lock
};

} // namespace chivefront::net
