// Links to agents, and delivery of the agents' messages to running requests.
#include "chivefront/entry/agents.h"

#include <set>

#include "chivefront/base/errors.h"

namespace chivefront::entry {

AgentLinks::AgentLinks(net::asio::io_context& aContext,
                       const net::LinkIdentity& aIdentity,
                       RunningRequests& aRunning,
                       LostHandler aOnAgentLost,
                       LoadHandler aOnLoad)
  : m_context(aContext)
  , m_identity(aIdentity)
  , m_running(aRunning)
  , m_onAgentLost(std::move(aOnAgentLost))
  , m_onLoad(std::move(aOnLoad))
{
}

net::Link::Handlers
AgentLinks::HandlersFor(const std::string& aAddress)
{
  net::Link::Handlers handlers;
  handlers.m_onOpen = [this, aAddress](const net::Link::Pointer& aLink) {
    OnOpen(aAddress, aLink);
  };
  handlers.m_onMessage = [this](const net::Link::Pointer& aLink,
                                wire::MessageT aMessage) {
    OnMessage(aLink, std::move(aMessage));
  };
  handlers.m_onClose = [this, aAddress](const net::Link::Pointer& aLink,
                                        const absl::Status&) {
    m_running.NotifyAgent(aAddress, LinkDown{ aLink });
  };
  return handlers;
}

void
AgentLinks::OnOpen(const std::string& aAddress, const net::Link::Pointer& aLink)
{
  const uint64_t incarnation = aLink->Peer().m_incarnation;
  uint64_t previous = 0;
  {
    const std::lock_guard lock(m_lock);
    const auto found = m_agents.find(aAddress);
    if (found != m_agents.end()) {
      previous = std::exchange(found->second.m_incarnation, incarnation);
    }
  }
  if (previous != 0 && previous != incarnation) {
    m_onAgentLost(previous, m_running.AttemptsAtAgent(aAddress));
  }
  m_running.NotifyAgent(aAddress, LinkUp{ aLink });
}

void
AgentLinks::DeliverLoad(const wire::UpstreamInfoT* aInfo)
{
  if (aInfo != nullptr && !aInfo->name.empty()) {
    m_onLoad(*aInfo);
  }
}

void
AgentLinks::OnMessage(const net::Link::Pointer& aLink, wire::MessageT aMessage)
{
  const auto deliver = [&](auto* aBody) {
    const std::string id = aBody->request_id;
    const uint32_t attempt = aBody->attempt;
    return m_running.Deliver(id, attempt, AttemptEvent(std::move(*aBody)));
  };
  switch (aMessage.body.type) {
    case wire::Body::Rejected:
      DeliverLoad(aMessage.body.AsRejected()->load.get());
      deliver(aMessage.body.AsRejected());
      return;
    case wire::Body::Started:
      deliver(aMessage.body.AsStarted());
      return;
    case wire::Body::Chunk: {
      wire::CancelT cancel;
      cancel.request_id = aMessage.body.AsChunk()->request_id;
      cancel.attempt = aMessage.body.AsChunk()->attempt;
      wire::ChunkT& chunk = *aMessage.body.AsChunk();
      ChunkBatch chunks;
      chunks.m_attempt = chunk.attempt;
      chunks.m_first = chunk.sequence;
      chunks.m_data = std::move(chunk.data);
      if (!m_running.Deliver(
            chunk.request_id, chunk.attempt, std::move(chunks))) {
        // This attempt no longer runs here, so the agent can stop sending.
        (void)aLink->Send(wire::MakeMessage(std::move(cancel)));
      }
      return;
    }
    case wire::Body::End:
      DeliverLoad(aMessage.body.AsEnd()->load.get());
      deliver(aMessage.body.AsEnd());
      return;
    case wire::Body::LoadReport:
      for (const auto& upstream : aMessage.body.AsLoadReport()->upstreams) {
        DeliverLoad(upstream.get());
      }
      return;
    default:
      aLink->Close(base::MakeError(base::ErrorKind::BadFrame,
                                   "an agent sent an unexpected message"));
  }
}

void
AgentLinks::Update(const client::View& aView)
{
  std::set<std::string> listed;
  for (const auto& [name, upstream] : *aView.m_registry) {
    listed.insert(upstream.agent_address);
  }
  const std::lock_guard lock(m_lock);
  for (const std::string& address : listed) {
    const auto endpoint = base::Endpoint::Parse(address);
    if (!endpoint || m_agents.count(address) != 0) {
      continue;
    }
    Agent& agent = m_agents[address];
    agent.m_connector = std::make_shared<net::LinkConnector>(
      m_context, m_identity, *endpoint, HandlersFor(address));
    agent.m_connector->Start();
  }
  for (auto agent = m_agents.begin(); agent != m_agents.end();) {
    const bool needed = listed.count(agent->first) != 0 ||
                        !m_running.AttemptsAtAgent(agent->first).empty();
    if (needed) {
      ++agent;
    } else {
      agent->second.m_connector->Stop();
      agent = m_agents.erase(agent);
    }
  }
}

void
AgentLinks::Stop()
{
  const std::lock_guard lock(m_lock);
  for (const auto& [address, agent] : m_agents) {
    agent.m_connector->Stop();
  }
}

net::Link::Pointer
AgentLinks::Current(const std::string& aAgentAddress) const
{
  const std::lock_guard lock(m_lock);
  const auto found = m_agents.find(aAgentAddress);
  return found == m_agents.end() ? nullptr
                                 : found->second.m_connector->Current();
}

size_t
AgentLinks::ConnectedCount() const
{
  const std::lock_guard lock(m_lock);
  size_t count = 0;
  for (const auto& [address, agent] : m_agents) {
    count += agent.m_connector->Current() ? 1 : 0;
  }
  return count;
}

} // namespace chivefront::entry
