// Test stand-in for the way between an entry and a control process: passes
// calls on to a real site::Node and delays each answer by the time that its
// bytes take on a link of a given rate, one answer after the other.
#pragma once

#include <memory>
#include <string>

#include <boost/test/unit_test.hpp>

#include "chivefront/net/link.h"
#include "chivefront/net/testing/reserved_port.h"
#include "chivefront/wire/codec.h"

namespace chivefront::site::testing {

class SlowControl
{
public:
  // aNode is the address of the node.
  SlowControl(net::asio::io_context& aContext,
              const net::LinkIdentity& aNodeSide,
              const base::Endpoint& aNode,
              uint64_t aBytesPerMilli)
    : m_context(aContext)
    , m_bytesPerMilli(aBytesPerMilli)
    , m_identity(aNodeSide)
    , m_server(aContext, m_identity, MakeHandlers(true))
    , m_connector(std::make_shared<net::LinkConnector>(aContext,
                                                       aNodeSide,
                                                       aNode,
                                                       MakeHandlers(false)))
  {
    m_identity.m_process = Name();
    BOOST_REQUIRE(m_server.Listen({ "127.0.0.1", m_port.Port() }).ok());
    m_connector->Start();
  }

  std::string Name() const
  {
    return "127.0.0.1:" + std::to_string(m_port.Port());
  }

private:
  static constexpr base::Millis kCallTimeout{ 5000 };

  net::Link::Handlers MakeHandlers(bool aFromEntries)
  {
    net::Link::Handlers handlers;
    handlers.m_onOpen = [](const net::Link::Pointer&) {};
    handlers.m_onClose = [](const net::Link::Pointer&, const absl::Status&) {};
    handlers.m_onMessage = [this, aFromEntries](const net::Link::Pointer& aLink,
                                                wire::MessageT aMessage) {
      if (!aFromEntries) {
        return;
      }
      auto message = std::make_shared<wire::MessageT>(std::move(aMessage));
      net::Spawn(m_context.get_executor(),
                 "slow-control",
                 [this, aLink, message]() -> net::Task<void> {
                   return PassOn(aLink, message);
                 });
    };
    return handlers;
  }

  net::Task<void> PassOn(net::Link::Pointer aLink,
                         std::shared_ptr<wire::MessageT> aMessage)
  {
    const net::Link::Pointer node = m_connector->Current();
    if (!node) {
      co_return;
    }
    const uint64_t correlation = aMessage->correlation;
    auto answer = co_await node->Call(std::move(*aMessage), kCallTimeout);
    if (!answer.ok()) {
      co_return;
    }
    // The entry must not learn of a way around this link.
    if (auto* reply = answer->body.AsWatchReply()) {
      reply->members.clear();
      reply->leader = reply->leader.empty() ? "" : Name();
    }
    answer->correlation = correlation;
    const auto bytes = static_cast<uint64_t>(wire::EncodeFrame(*answer).size());
    const base::TimePoint now = base::SteadyClock::Instance().Now();
    m_busyUntil = std::max(m_busyUntil, now) +
                  base::Millis(static_cast<int64_t>(bytes / m_bytesPerMilli));
    co_await net::Sleep(m_busyUntil - now);
    (void)aLink->Send(std::move(*answer));
  }

  net::asio::io_context& m_context;
  const uint64_t m_bytesPerMilli;
  const net::testing::ReservedPort m_port;
  net::LinkIdentity m_identity;
  net::LinkServer m_server;
  std::shared_ptr<net::LinkConnector> m_connector;
  base::TimePoint m_busyUntil;
};

} // namespace chivefront::site::testing
