// One control process of a deployment that is configured by numbered
// documents: the replicated state, the upstreams that register themselves, and
// the answers to entries that watch both.
//
//   site::Node node(context, identity, options, events, metrics, log);
//   absl::Status status = node.Start();
//   auto outcome = co_await node.Order(site::SetDomain{ "riga-a", true });
//   if (base::KindOf(outcome.status()) == base::ErrorKind::NotLeader)
//     ... send the operator to node.Leader() ...
//
// A control process is named by its internal address, so that the others reach
// it by its name. Use the node on the context's single thread.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "chivefront/base/decision_log.h"
#include "chivefront/base/metrics.h"
#include "chivefront/consensus/group.h"
#include "chivefront/net/link.h"
#include "chivefront/routing/registry.h"
#include "chivefront/site/store.h"

namespace chivefront::site {

struct NodeOptions
{
  std::string m_folder;             // of the replicated log
  base::Endpoint m_listen;          // for links; its text is the node's name
  std::vector<std::string> m_seeds; // names of control processes to ask
  // The seeds may found the group. False on a host that joins one that exists.
  bool m_mayBootstrap = false;
  // Control processes that vote; the others stand by.
  uint32_t m_voters = 3;
  // Called on another thread when the log can't be written.
  consensus::Group::FatalFunction m_onFatal;
};

class Node
{
public:
  Node(net::asio::io_context& aContext,
       const net::LinkIdentity& aIdentity,
       NodeOptions aOptions,
       base::EventLog& aEvents,
       base::Metrics& aMetrics,
       base::DecisionLog& aLog);
  ~Node();

  // Corrupt or StorageFailed for a folder that can't be used, Unavailable for
  // an address that can't be bound.
  absl::Status Start();

  // Commits aCommand. NotLeader: certainly not accepted; Unavailable: not
  // known.
  net::Task<absl::StatusOr<Outcome>> Order(Command aCommand);
  // The state that was newest at some moment after the call. NotLeader when
  // this process can't be sure of that.
  net::Task<absl::StatusOr<std::shared_ptr<const State>>> ReadNewest();
  // The state held here, possibly old.
  std::shared_ptr<const State> Held() const;

  // Name of the leading process, empty when not known.
  std::string Leader() const;
  bool Leads() const;

  // Takes in what an upstream said of itself and tells the other control
  // processes. False for a record that is out of date.
  bool Register(const routing::Instance& aRecord);
  // aBorn 0: whatever its incarnation.
  void Unregister(const std::string& aId, uint64_t aBorn);

  // Further control processes to ask, after a reload of the settings.
  void AddSeeds(const std::vector<std::string>& aNames);

  // Hands leadership over when another replica takes it, and closes the links.
  net::Task<void> Leave();
  // Stops the group's thread; call it when the context no longer runs.
  void Stop();

private:
  struct Parts;
  std::unique_ptr<Parts> m_parts;
};

} // namespace chivefront::site
