// Links to the agents that the registry lists, one link to each agent.
// Thread-safe.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "chivefront/client/watcher.h"
#include "chivefront/entry/running_requests.h"
#include "chivefront/net/link.h"

namespace chivefront::entry {

class AgentLinks
{
public:
  // Called when a new link shows that an agent has a new incarnation, with the
  // previous incarnation and the attempts that ran there.
  using LostHandler =
    std::function<void(uint64_t aIncarnation,
                       const std::vector<RunningAttempt>& aAttempts)>;

  // Called with each upstream load that an agent reports over its link.
  using LoadHandler = std::function<void(const wire::UpstreamInfoT&)>;

  AgentLinks(net::asio::io_context& aContext,
             const net::LinkIdentity& aIdentity,
             RunningRequests& aRunning,
             LostHandler aOnAgentLost,
             LoadHandler aOnLoad);

  // Connects to agents that are new in the view and closes the links to those
  // that left it. The link to an agent that left is kept while requests run
  // there, because the registry drops an agent long before its streams have to
  // end.
  void Update(const client::View& aView);
  void Stop();

  // The open link to an agent; null without one.
  net::Link::Pointer Current(const std::string& aAgentAddress) const;
  size_t ConnectedCount() const;

private:
  struct Agent
  {
    std::shared_ptr<net::LinkConnector> m_connector;
    uint64_t m_incarnation = 0; // 0 before the first link
  };

  net::Link::Handlers HandlersFor(const std::string& aAddress);
  void OnOpen(const std::string& aAddress, const net::Link::Pointer& aLink);
  void OnMessage(const net::Link::Pointer& aLink, wire::MessageT aMessage);
  void DeliverLoad(const wire::UpstreamInfoT* aInfo);

  net::asio::io_context& m_context;
  const net::LinkIdentity& m_identity;
  RunningRequests& m_running;
  const LostHandler m_onAgentLost;
  const LoadHandler m_onLoad;
  mutable std::mutex m_lock;
  std::map<std::string, Agent> m_agents; // by address
};

} // namespace chivefront::entry
