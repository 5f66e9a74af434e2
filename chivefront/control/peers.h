// The links of a control process to the other control processes.
//
// A process that is named by its address, like "10.0.0.4:7340", needs no place
// in the list: the first envelope to it opens a link.
#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "chivefront/net/link.h"

namespace chivefront::control {

// "a=127.0.0.1:1,b=127.0.0.1:2"; Invalid when it is not that. May contain this
// process itself.
using PeerMap = std::map<std::string, base::Endpoint>;
absl::StatusOr<PeerMap>
ParsePeers(const std::string& aText);

// Thread-safe.
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
  // The open link, or null. A name that is an address and has no link yet gets
  // one.
  net::Link::Pointer LinkOrConnect(const std::string& aName);
  // Sends an envelope of a group; drops it when there is no link, as the
  // group's protocol allows.
  void SendEnvelope(uint32_t aGroup,
                    const std::string& aTo,
                    const std::string& aPayload);

private:
  net::asio::io_context& m_context;
  const net::LinkIdentity& m_identity;
  const net::Link::Handlers m_handlers;
  const std::string m_name;
  mutable std::mutex m_lock; // guards what follows
  bool m_stopped = false;
  std::map<std::string, std::shared_ptr<net::LinkConnector>> m_connectors;
};

} // namespace chivefront::control
