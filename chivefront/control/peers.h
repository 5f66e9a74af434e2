// The links of a control process to the other control processes.
//
// A process whose name is its address, like "10.0.0.4:7340", need not be in the
// list of peers: the first envelope to it opens a link.
#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "chivefront/net/link.h"

namespace chivefront::control {

// Control processes by name; may contain this process itself.
using PeerMap = std::map<std::string, base::Endpoint>;

// Parses a list like "a=127.0.0.1:1,b=127.0.0.1:2". Invalid for another form,
// or when a name appears twice.
absl::StatusOr<PeerMap>
ParsePeers(const std::string& aText);

// Thread-safe.
class Peers
{
public:
  // Opens no link to the process itself when aPeers contains it.
  Peers(net::asio::io_context& aContext,
        const net::LinkIdentity& aIdentity,
        const PeerMap& aPeers,
        const net::Link::Handlers& aHandlers);

  void Start();
  void Stop();

  std::vector<std::string> Names() const;
  // The open link to a peer, or null.
  net::Link::Pointer LinkTo(const std::string& aName) const;
  // The open link to a peer, or null. When aName is an address without a
  // connector, starts connecting to it; a later call returns the link.
  net::Link::Pointer LinkOrConnect(const std::string& aName);
  // Sends an envelope of a consensus group. Drops it when no link is open,
  // which Raft tolerates.
  void SendEnvelope(uint32_t aGroup,
                    const std::string& aTo,
                    const std::string& aPayload);

private:
  net::asio::io_context& m_context;
  const net::LinkIdentity& m_identity;
  const net::Link::Handlers m_handlers;
  const std::string m_name;
  mutable std::mutex m_lock; // guards all members below
  bool m_stopped = false;
  std::map<std::string, std::shared_ptr<net::LinkConnector>> m_connectors;
};

} // namespace chivefront::control
