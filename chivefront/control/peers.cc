// Parses the list of peers and manages the links to them.
#include "chivefront/control/peers.h"

#include <absl/strings/str_split.h>

#include "chivefront/base/errors.h"

namespace chivefront::control {

absl::StatusOr<PeerMap>
ParsePeers(const std::string& aText)
{
  PeerMap peers;
  for (const absl::string_view part :
       absl::StrSplit(aText, ',', absl::SkipWhitespace())) {
    const std::pair<std::string, std::string> pair =
      absl::StrSplit(part, absl::MaxSplits('=', 1));
    const auto endpoint = base::Endpoint::Parse(pair.second);
    if (pair.first.empty() || !endpoint ||
        !peers.emplace(pair.first, *endpoint).second) {
      return base::MakeError(base::ErrorKind::Invalid,
                             "'" + std::string(part) +
                               "' is not name=IP:PORT or appears twice");
    }
  }
  return peers;
}

Peers::Peers(net::asio::io_context& aContext,
             const net::LinkIdentity& aIdentity,
             const PeerMap& aPeers,
             const net::Link::Handlers& aHandlers)
  : m_context(aContext)
  , m_identity(aIdentity)
  , m_handlers(aHandlers)
  , m_name(aIdentity.m_process)
{
  for (const auto& [name, endpoint] : aPeers) {
    if (name != m_name) {
      m_connectors[name] = std::make_shared<net::LinkConnector>(
        aContext, aIdentity, endpoint, aHandlers);
    }
  }
}

void
Peers::Start()
{
  const std::lock_guard lock(m_lock);
  for (const auto& [name, connector] : m_connectors) {
    connector->Start();
  }
}

void
Peers::Stop()
{
  const std::lock_guard lock(m_lock);
  m_stopped = true;
  for (const auto& [name, connector] : m_connectors) {
    connector->Stop();
  }
}

std::vector<std::string>
Peers::Names() const
{
  const std::lock_guard lock(m_lock);
  std::vector<std::string> names;
  for (const auto& [name, connector] : m_connectors) {
    names.push_back(name);
  }
  return names;
}

net::Link::Pointer
Peers::LinkTo(const std::string& aName) const
{
  const std::lock_guard lock(m_lock);
  const auto found = m_connectors.find(aName);
  return found == m_connectors.end() ? nullptr : found->second->Current();
}

net::Link::Pointer
Peers::LinkOrConnect(const std::string& aName)
{
  const std::lock_guard lock(m_lock);
  const auto found = m_connectors.find(aName);
  if (found != m_connectors.end()) {
    return found->second->Current();
  }
  const auto address = base::Endpoint::Parse(aName);
  if (m_stopped || aName == m_name || !address) {
    return nullptr;
  }
  const auto connector = std::make_shared<net::LinkConnector>(
    m_context, m_identity, *address, m_handlers);
  m_connectors.emplace(aName, connector);
  connector->Start();
  return nullptr; // the link opens asynchronously
}

void
Peers::SendEnvelope(uint32_t aGroup,
                    const std::string& aTo,
                    const std::string& aPayload)
{
  const net::Link::Pointer link = LinkOrConnect(aTo);
  // A wrong --peers setting may lead to another process at this address.
  if (!link || link->Peer().m_process != aTo) {
    return;
  }
  wire::RaftEnvelopeT envelope;
  envelope.group = aGroup;
  envelope.from = m_name;
  envelope.payload.assign(aPayload.begin(), aPayload.end());
  (void)link->Send(wire::MakeMessage(std::move(envelope)));
}

} // namespace chivefront::control
