// Links to the agents that the registry names, one link to each.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "chivefront/client/watcher.h"
#include "chivefront/entry/running.h"
#include "chivefront/net/link.h"

namespace chivefront::entry {

// What an agent reported last of an upstream's load.
struct UpstreamLoad
{
  uint32_t m_limit = 0;
  uint32_t m_running = 0;
  uint32_t m_queued = 0;
};

class AgentLinks
{
public:
  // Called when an agent is found to be another incarnation than before, with
  // the incarnation that is gone and the attempts that ran there.
  using LostHandler =
    std::function<void(uint64_t aIncarnation,
                       const std::vector<RunningAttempt>& aAttempts)>;

  AgentLinks(net::asio::io_context& aContext,
             const net::LinkIdentity& aIdentity,
             RunningRequests& aRunning,
             LostHandler aLost);

  // Connects to agents that are new in the view. A link to an agent that left
  // the registry is kept while requests run there, because the registry
  // forgets an agent long before its streams have to end.
  void Update(const client::View& aView);
  void Stop();

  // The open link to an agent, or null.
  net::Link::Pointer Current(const std::string& aAgentAddress) const;
  // The load reported for an upstream over the link, which is fresher than
  // the registry's; nothing before the first report.
  std::optional<UpstreamLoad> LoadOf(const std::string& aUpstream) const;
  size_t Connected() const;

private:
  struct Agent
  {
    std::shared_ptr<net::LinkConnector> m_connector;
    uint64_t m_incarnation = 0; // 0 before the first link
  };

  net::Link::Handlers HandlersFor(const std::string& aAddress);
  void OnOpen(const std::string& aAddress, const net::Link::Pointer& aLink);
  void OnMessage(const net::Link::Pointer& aLink, wire::MessageT aMessage);
  void TakeLoad(const wire::UpstreamInfoT* aInfo);

  net::asio::io_context& m_context;
  const net::LinkIdentity& m_identity;
  RunningRequests& m_running;
  const LostHandler m_lost;
  mutable std::mutex m_lock;
  std::map<std::string, Agent> m_agents;       // by address
  std::map<std::string, UpstreamLoad> m_loads; // by upstream
};

} // namespace chivefront::entry
