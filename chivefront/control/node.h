// One control process without its command line: both groups, the links to the
// other control processes, and the server.
//
//   control::Node node(context, identity, options, events, metrics);
//   absl::Status status = node.Start();
//   ...
//   co_await node.Leave();   // hands leadership over
//   context.stop(); ...      // wait until no thread runs the context
//   node.Stop();
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "chivefront/base/metrics.h"
#include "chivefront/consensus/group.h"
#include "chivefront/control/peers.h"

namespace chivefront::control {

struct NodeOptions
{
  std::string m_folder; // each group has a folder of its own in it
  PeerMap m_peers;      // with or without this process
  base::Endpoint m_listen;
  uint64_t m_snapshotEvery = 10000;
  // Called on a group's thread when its log can't be written: the node must
  // not answer any more.
  consensus::Group::FatalFunction m_onFatal;
};

class Node
{
public:
  Node(net::asio::io_context& aContext,
       const net::LinkIdentity& aIdentity,
       NodeOptions aOptions,
       base::EventLog& aEvents,
       base::Metrics& aMetrics);
  ~Node();

  // Corrupt or StorageFailed for a folder that can't be used, Unavailable for
  // an endpoint that can't be bound.
  absl::Status Start();
  base::Endpoint BoundEndpoint() const;

  bool Fresh();
  std::string StatusJson();
  bool LeadsConfiguration() const;

  // Hands leadership over, if another replica takes it in time, and closes
  // the links.
  net::Task<void> Leave();
  // Stops the groups; call it when no thread runs the context any more.
  void Stop();

private:
  struct Parts;
  std::unique_ptr<Parts> m_parts;
};

} // namespace chivefront::control
