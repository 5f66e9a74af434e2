// Makes the leaving of an upstream durable before it is acknowledged.
//
//   site::DepartureRecorder recorder(name, peers, group, store, commit, log);
//   absl::Status status = co_await recorder.Record(instance);
//   if (status.ok()) ... acknowledge ...
//
// The record is committed to the replicated log, through the leader if another
// process leads. It therefore survives the end of all processes, and of as many
// disks as the group bears, and each process learns it with the log.
#pragma once

#include <functional>
#include <string>

#include "chivefront/base/decision_log.h"
#include "chivefront/control/peers.h"
#include "chivefront/site/store.h"

namespace chivefront::site {

// Use it on the context's single thread.
class DepartureRecorder
{
public:
  using CommitFunction =
    std::function<net::Task<absl::StatusOr<Outcome>>(Command)>;
  using LeaderFunction = std::function<std::string()>;

  // aName is the name of this process, aLeader returns that of the leader,
  // empty when unknown, and aCommit commits a command while this process leads.
  DepartureRecorder(std::string aName,
                    control::Peers& aPeers,
                    const Store& aStore,
                    LeaderFunction aLeader,
                    CommitFunction aCommit,
                    base::DecisionLog& aLog);

  // Returns once it is durable that the incarnation is in the state of
  // aInstance, Draining or Gone. Unavailable: that is not known; the upstream
  // may ask again anywhere.
  net::Task<absl::Status> Record(routing::Instance aInstance);

private:
  net::Task<absl::Status> RecordAtLeader(const routing::Instance& aInstance);
  net::Task<absl::Status> Commit(const routing::Instance& aInstance);

  const std::string m_name;
  control::Peers& m_peers;
  const Store& m_store;
  const LeaderFunction m_leader;
  const CommitFunction m_commit;
  base::DecisionLog& m_log;
};

} // namespace chivefront::site
