// A framed connection between two Chivefront processes.
//
// Both sides prove knowledge of the cluster secret before any other message
// is read. A link sends a heartbeat when idle and closes itself after
// LinkLimits::m_silenceTimeout without any received byte, because a connection
// can stop carrying data without either end being told.
//
//   link->Send(wire::MakeMessage(std::move(chunk)));          // one way
//   auto reply = co_await link->Call(wire::MakeMessage(...),  // request
//                                    base::Millis(500));
//
// Send, Call and Close may be used from any thread. Handlers run one at a time
// on the link's own strand; they must not block.
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

// How this process presents itself on every link.
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
  // Bytes queued for a peer that does not read before the link is closed.
  size_t m_maxQueuedBytes = 32 * 1024 * 1024;
};

// What the other side said of itself in the handshake.
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

  // Callbacks of one link. m_onOpen comes first and once, m_onClose last and
  // once, and only if m_onOpen came.
  struct Handlers
  {
    std::function<void(const Pointer&)> m_onOpen;
    std::function<void(const Pointer&, wire::MessageT)> m_onMessage;
    std::function<void(const Pointer&, const absl::Status&)> m_onClose;
  };

  // aInitiator: this side made the connection. aSocket's executor must be a
  // strand.
  Link(Socket aSocket,
       const LinkIdentity& aIdentity,
       const LinkLimits& aLimits,
       Handlers aHandlers,
       bool aInitiator);

  // Performs the handshake and serves the link until it closes.
  Task<absl::Status> Run();

  // Queues a message. Overloaded when too much is queued already, LinkClosed
  // when the link is closed; OK does not mean that the peer received it.
  absl::Status Send(wire::MessageT aMessage);

  // Sends a request and waits for its reply. Timeout and LinkClosed leave open
  // whether the peer acted on it.
  Task<absl::StatusOr<wire::MessageT>> Call(wire::MessageT aMessage,
                                            base::Millis aTimeout);

  // Sends the reply to a request that carried aCorrelation.
  template<typename BodyT>
  absl::Status Reply(uint64_t aCorrelation, BodyT aBody)
  {
    return Send(wire::MakeMessage(std::move(aBody), aCorrelation));
  }

  void Close(absl::Status aWhy);

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
  void Shut(const absl::Status& aWhy);
  bool IsOwnCorrelation(uint64_t aCorrelation) const;

  Socket m_socket; // its executor is this link's strand
  const LinkIdentity& m_identity;
  const LinkLimits m_limits;
  const Handlers m_handlers;
  const bool m_initiator;
  LinkPeer m_peer;
  std::atomic<bool> m_open{ false };
  std::atomic<size_t> m_queuedBytes{ 0 };

  // Used on the strand only.
  std::deque<std::string> m_outgoing;
  bool m_writing = false;
  bool m_closed = false;
  absl::Status m_why;
  base::TimePoint m_lastReceived;
  // Initiators number their calls with odd, acceptors with even numbers, so
  // that a reply is told apart from a request by its number.
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

  // Unavailable when the endpoint can't be bound. Port 0 takes a free one.
  absl::Status Listen(const base::Endpoint& aEndpoint);
  // The endpoint that is bound.
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

// Keeps one link to a peer alive: connects, and connects again after each
// loss, with full jitter so that many peers do not return in step.
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
