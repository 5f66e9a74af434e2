// A control process without its command line: both consensus groups, the links
// to the other control processes, and the server.
//
//   control::Node node(context, identity, options, events, metrics);
//   absl::Status status = node.Start();
//   ...
//   co_await node.TransferAndCloseLinks();
//   context.stop(); ...   // wait until no thread runs the context
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
  std::string m_folder; // contains a folder for each group
  PeerMap m_peers;      // may contain this process
  base::Endpoint m_listen;
  uint64_t m_snapshotEvery = 10000; // applied commands between snapshots
  // Called on a group's thread when its log can't be written. The node must
  // not send any more replies then.
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

  // True while this process knows that its configuration is current, within the
  // lease duration.
  bool IsFresh();
  std::string StatusJson();
  bool LeadsConfiguration() const;

  // Transfers the leadership of both groups, when another replica takes over
  // within the timeout, and then closes the links.
  net::Task<void> TransferAndCloseLinks();
  // Stops the groups. Call it when no thread runs the context any more.
  void Stop();

private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace chivefront::control
