// One control process of a deployment that is configured by numbered
// documents. It replicates the state, keeps the registry of upstreams, and
// answers the entries that watch both.
//
//   site::Node node(context, identity, options, events, metrics, log);
//   absl::Status status = node.Start();
//   auto outcome = co_await node.Commit(site::SetDomain{ "riga-a", true });
//   if (base::KindOf(outcome.status()) == base::ErrorKind::NotLeader)
//     ... send the operator to node.Leader() ...
//
// The name of a control process is its internal address, so that other
// processes can connect to it by its name. Use the node on the context's single
// thread.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "chivefront/base/decision_log.h"
#include "chivefront/base/metrics.h"
#include "chivefront/consensus/group.h"
#include "chivefront/duty/duty.h"
#include "chivefront/net/link.h"
#include "chivefront/routing/registry.h"
#include "chivefront/site/duty_runner.h"
#include "chivefront/site/store.h"

namespace chivefront::site {

struct NodeOptions
{
  std::string m_folder;    // of the replicated log; not used when m_diskless
  base::Endpoint m_listen; // for links; as text, the node's name
  std::string m_domain;    // failure domain of the host
  // The host has no disk: nothing is written, and the replica never votes.
  bool m_diskless = false;
  std::vector<std::string> m_seeds; // names of known control processes
  // The seeds may bootstrap the group. False on a host that joins an existing
  // group.
  bool m_mayBootstrap = false;
  // Smallest number of control processes that vote. More hosts with a disk want
  // more voters (consensus::GroupOptions::m_targetVoters); the others are
  // standbys.
  uint32_t m_voters = 3;
  // Called on another thread when the replicated log can't be written.
  consensus::Group::FatalFunction m_onFatal;
  // The duties of this process; none: it has none. Without a source of windows
  // in them, the usage that entries report is the source.
  std::optional<DutyOptions> m_duties;
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

  // Returns Corrupt or StorageFailed when the folder can't be used, Unavailable
  // when the address can't be bound.
  absl::Status Start();

  // Commits aCommand to the replicated log. NotLeader: the command was
  // certainly not accepted. Unavailable: the result is unknown.
  net::Task<absl::StatusOr<Outcome>> Commit(Command aCommand);
  // Linearizable read: the newest committed state at some time after the call.
  // Returns NotLeader when this process can't confirm its leadership.
  net::Task<absl::StatusOr<std::shared_ptr<const State>>> ReadLinearizable();
  // The state applied by this process, possibly stale.
  std::shared_ptr<const State> LocalState() const;

  // Name of the leader, empty when unknown.
  std::string Leader() const;
  bool IsLeader() const;

  // The usage windows that may be decided, oldest first; the same ones until
  // they are forgotten. None at a process that does not lead, or without the
  // duty.
  std::vector<duty::WindowUsage> DecidableUsage();
  // Drops the usage windows up to aWindow, which are decided.
  void ForgetUsage(uint64_t aWindow);

  // Merges an upstream's registration and sends it to the other control
  // processes. An outdated record is no error. When the upstream drains,
  // returns only once that is durable. Returns Overloaded if there is no room
  // for another upstream, Unavailable if it is not known whether it is durable.
  net::Task<absl::Status> Register(routing::Instance aRecord);
  // Marks an upstream as gone, and returns once that is durable. aBorn 0: any
  // incarnation. Returns Unavailable if it is not known whether it is durable,
  // or if aBorn is 0 and no incarnation is known here.
  net::Task<absl::Status> Unregister(std::string aId, uint64_t aBorn);

  // Adds control processes to connect to, after a reload of the settings.
  void AddSeeds(const std::vector<std::string>& aNames);

  // Transfers leadership if another replica takes it, and closes the links.
  net::Task<void> Leave();
  // Stops the group's thread. Call it when the context no longer runs.
  void Stop();

private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace chivefront::site
