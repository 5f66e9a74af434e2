// Calls to control processes with failover.
#include "chivefront/client/control_links.h"

#include "chivefront/base/errors.h"
#include "chivefront/base/ids.h"

namespace chivefront::client {
namespace detail {

// Delay after all control processes have failed once.
constexpr base::Millis kRetryDelay{ 50 };

net::Link::Handlers
IgnoreEvents()
{
  net::Link::Handlers handlers;
  handlers.m_onOpen = [](const net::Link::Pointer&) {};
  handlers.m_onMessage = [](const net::Link::Pointer&, wire::MessageT) {};
  handlers.m_onClose = [](const net::Link::Pointer&, const absl::Status&) {};
  return handlers;
}

} // namespace detail

ControlLinks::ControlLinks(net::asio::io_context& aContext,
                           const net::LinkIdentity& aIdentity,
                           std::vector<base::Endpoint> aControl)
{
  for (base::Endpoint& endpoint : aControl) {
    m_connectors.push_back(std::make_shared<net::LinkConnector>(
      aContext, aIdentity, std::move(endpoint), detail::IgnoreEvents()));
  }
  // Each process starts with a random preference, which spreads the load.
  m_preferred = m_connectors.empty() ? 0 : base::RandomBits() % 1024;
}

void
ControlLinks::Start()
{
  for (const auto& connector : m_connectors) {
    connector->Start();
  }
}

void
ControlLinks::Stop()
{
  for (const auto& connector : m_connectors) {
    connector->Stop();
  }
}

net::Link::Pointer
ControlLinks::Preferred()
{
  for (size_t i = 0; i < m_connectors.size(); ++i) {
    const size_t index = (m_preferred + i) % m_connectors.size();
    if (auto link = m_connectors[index]->Current()) {
      m_preferred = index;
      return link;
    }
  }
  return nullptr;
}

void
ControlLinks::PreferNext()
{
  ++m_preferred;
}

size_t
ControlLinks::Connected() const
{
  size_t count = 0;
  for (const auto& connector : m_connectors) {
    count += connector->Current() ? 1 : 0;
  }
  return count;
}

net::Task<absl::StatusOr<wire::MessageT>>
ControlLinks::CallAny(wire::MessageT aMessage, base::Millis aTimeout)
{
  const net::Link::Pointer link = Preferred();
  if (!link) {
    co_return base::MakeError(base::ErrorKind::LinkClosed,
                              "no control process is reachable");
  }
  auto reply = co_await link->Call(std::move(aMessage), aTimeout);
  if (!reply.ok()) {
    PreferNext();
  }
  co_return reply;
}

net::Task<absl::StatusOr<wire::MessageT>>
ControlLinks::CallUntil(wire::MessageT aMessage,
                        base::Millis aTimeout,
                        base::TimePoint aDeadline,
                        ReplyPredicate aAccept)
{
  const base::Clock& clock = base::SteadyClock::Instance();
  size_t failures = 0;
  while (clock.Now() < aDeadline) {
    wire::MessageT copy = aMessage;
    auto reply = co_await CallAny(std::move(copy), aTimeout);
    if (reply.ok() && aAccept(*reply)) {
      co_return reply;
    }
    if (reply.ok()) {
      PreferNext();
    }
    ++failures;
    if (failures % std::max<size_t>(m_connectors.size(), 1) == 0) {
      co_await net::Sleep(detail::kRetryDelay);
    }
  }
  co_return base::MakeError(base::ErrorKind::Unavailable,
                            "no control process confirmed in time");
}

void
ControlLinks::Broadcast(const wire::MessageT& aMessage)
{
  for (const auto& connector : m_connectors) {
    if (const auto link = connector->Current()) {
      (void)link->Send(aMessage);
    }
  }
}

} // namespace chivefront::client
