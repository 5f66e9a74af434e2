// Establishes links: LinkServer accepts them, LinkConnector opens a link and
// opens it again whenever it closes.
#include "chivefront/net/link.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "chivefront/base/errors.h"
#include "chivefront/base/ids.h"
#include "chivefront/base/log.h"

namespace chivefront::net {
namespace detail {

using Tcp = asio::ip::tcp;

constexpr base::Millis kInitialBackoff{ 50 };
constexpr base::Millis kMaxBackoff{ 1000 };
constexpr base::Millis kAcceptRetryDelay{ 100 };

absl::StatusOr<Tcp::endpoint>
ToTcp(const base::Endpoint& aEndpoint)
{
  boost::system::error_code error;
  const auto address = asio::ip::make_address(aEndpoint.m_address, error);
  if (error) {
    return base::MakeError(base::ErrorKind::Unavailable, error.message());
  }
  return Tcp::endpoint(address, aEndpoint.m_port);
}

// A delay that is uniformly distributed between zero and aCeiling. After an
// outage, the processes reconnect spread over the whole interval instead of all
// at once.
base::Millis
FullJitter(base::Millis aCeiling)
{
  return base::Millis(static_cast<int64_t>(
    base::RandomBits() % static_cast<uint64_t>(aCeiling.Count() + 1)));
}

} // namespace detail

LinkServer::LinkServer(asio::io_context& aContext,
                       const LinkIdentity& aIdentity,
                       Link::Handlers aHandlers,
                       LinkLimits aLimits)
  : m_context(aContext)
  , m_identity(aIdentity)
  , m_handlers(std::move(aHandlers))
  , m_limits(aLimits)
  , m_acceptor(asio::make_strand(aContext))
{
}

LinkServer::~LinkServer() = default;

absl::Status
LinkServer::Listen(const base::Endpoint& aEndpoint)
{
  const auto endpoint = detail::ToTcp(aEndpoint);
  if (!endpoint.ok()) {
    return endpoint.status();
  }
  boost::system::error_code error;
  m_acceptor.open(endpoint->protocol(), error);
  m_acceptor.set_option(asio::socket_base::reuse_address(true), error);
  m_acceptor.bind(*endpoint, error);
  if (error) {
    return base::MakeError(base::ErrorKind::Unavailable,
                           aEndpoint.ToString() + ": " + error.message());
  }
  m_acceptor.listen(asio::socket_base::max_listen_connections, error);
  if (error) {
    return base::MakeError(base::ErrorKind::Unavailable, error.message());
  }
  Spawn(m_acceptor.get_executor(), "link", [this]() -> Task<void> {
    return AcceptLoop();
  });
  return absl::OkStatus();
}

base::Endpoint
LinkServer::BoundEndpoint() const
{
  boost::system::error_code error;
  const auto endpoint = m_acceptor.local_endpoint(error);
  if (error) {
    return {};
  }
  return { endpoint.address().to_string(), endpoint.port() };
}

void
LinkServer::Stop()
{
  asio::post(m_acceptor.get_executor(), [this] {
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
  });
}

Task<void>
LinkServer::AcceptLoop()
{
  while (m_acceptor.is_open()) {
    boost::system::error_code error;
    auto strand = asio::make_strand(m_context);
    auto socket = co_await m_acceptor.async_accept(
      strand, asio::redirect_error(asio::use_awaitable, error));
    if (error == asio::error::operation_aborted) {
      co_return;
    }
    if (error) {
      // The most likely cause is a lack of file descriptors. Accepting again
      // immediately would loop without a pause.
      base::LogWarning("link", "accept failed", { { "why", error.message() } });
      co_await Sleep(detail::kAcceptRetryDelay);
      continue;
    }
    auto link = std::make_shared<Link>(
      Link::Socket(std::move(socket)), m_identity, m_limits, m_handlers, false);
    Spawn(
      strand, "link", [link]() -> Task<void> { (void)co_await link->Run(); });
  }
}

LinkConnector::LinkConnector(asio::io_context& aContext,
                             const LinkIdentity& aIdentity,
                             base::Endpoint aPeer,
                             Link::Handlers aHandlers,
                             LinkLimits aLimits)
  : m_context(aContext)
  , m_identity(aIdentity)
  , m_peer(std::move(aPeer))
  , m_handlers(std::move(aHandlers))
  , m_limits(aLimits)
{
}

void
LinkConnector::Start()
{
  Spawn(m_context.get_executor(),
        "link",
        [self = shared_from_this()]() -> Task<void> {
          return self->ConnectLoop();
        });
}

void
LinkConnector::Stop()
{
  m_stopped = true;
  const std::lock_guard lock(m_lock);
  if (m_link) {
    m_link->Close(base::MakeError(base::ErrorKind::LinkClosed, "stopped"));
  }
}

Link::Pointer
LinkConnector::Current() const
{
  const std::lock_guard lock(m_lock);
  return m_link && m_link->IsOpen() ? m_link : nullptr;
}

// Runs on aStrand, which becomes the strand of the link.
Task<absl::StatusOr<Link::Pointer>>
LinkConnector::Connect(Strand aStrand)
{
  const auto endpoint = detail::ToTcp(m_peer);
  if (!endpoint.ok()) {
    co_return endpoint.status();
  }
  auto socket = std::make_shared<Link::Socket>(aStrand);
  asio::steady_timer timer(aStrand);
  timer.expires_after(m_limits.m_connectTimeout.ToChrono());
  timer.async_wait([socket](const boost::system::error_code& aError) {
    boost::system::error_code ignored;
    if (!aError) {
      socket->close(ignored);
    }
  });
  boost::system::error_code error;
  co_await socket->async_connect(
    *endpoint, asio::redirect_error(asio::use_awaitable, error));
  timer.cancel();
  if (error) {
    co_return base::MakeError(base::ErrorKind::LinkClosed, error.message());
  }
  co_return std::make_shared<Link>(
    std::move(*socket), m_identity, m_limits, m_handlers, true);
}

// Connects and serves one link. Returns how long the link existed, zero when
// connecting failed.
Task<base::Millis>
LinkConnector::ServeOneLink(Strand aStrand)
{
  auto link = co_await Connect(aStrand);
  if (!link.ok()) {
    co_return base::Millis(0);
  }
  {
    const std::lock_guard lock(m_lock);
    m_link = *link;
  }
  const base::TimePoint opened = base::SteadyClock::Instance().Now();
  (void)co_await (*link)->Run();
  co_return base::SteadyClock::Instance().Now() - opened;
}

Task<void>
LinkConnector::ConnectLoop()
{
  const auto self = shared_from_this();
  base::Millis ceiling = detail::kInitialBackoff;
  while (!m_stopped) {
    Strand strand = asio::make_strand(m_context);
    const base::Millis lifetime = co_await asio::co_spawn(
      strand, ServeOneLink(strand), asio::use_awaitable);
    if (m_stopped) {
      break;
    }
    // Only a link that stayed open longer than the maximum backoff proves that
    // the peer has recovered.
    if (lifetime > detail::kMaxBackoff) {
      ceiling = detail::kInitialBackoff;
    }
    co_await Sleep(detail::FullJitter(ceiling));
    ceiling = std::min(ceiling * 2, detail::kMaxBackoff);
  }
}

} // namespace chivefront::net
