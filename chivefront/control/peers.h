// The links of a control process to the other control processes.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "chivefront/net/link.h"

namespace chivefront::control {

// "a=127.0.0.1:1,b=127.0.0.1:2"; Invalid when it is not that. May contain this
// process itself.
using PeerMap = std::map<std::string, base::Endpoint>;
absl::StatusOr<PeerMap>
ParsePeers(const std::string& aText);

// Thread-safe after construction.
class Peers
{
public:
  // aOwnName is left out of aPeers.
  Peers(net::asio::io_context& aContext,
        const net::LinkIdentity& aIdentity,
        const PeerMap& aPeers,
        const net::Link::Handlers& aHandlers);

  void Start();
  void Stop();

  std::vector<std::string> Names() const;
  // The open link, or null.
  net::Link::Pointer LinkTo(const std::string& aName) const;
  // Sends an envelope of a group; drops it when there is no link, as the
  // group's protocol allows.
  void SendEnvelope(uint32_t aGroup,
                    const std::string& aTo,
                    const std::string& aPayload) const;

private:
  const std::string m_name;
  std::map<std::string, std::shared_ptr<net::LinkConnector>> m_connectors;
};

} // namespace chivefront::control
