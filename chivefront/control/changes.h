// Processes a change of the configuration from the request to the reply:
// confirms leadership, validates the resulting catalogue as a whole, and
// proposes the change to the configuration group.
#pragma once

#include <functional>
#include <memory>

#include "chivefront/base/events.h"
#include "chivefront/control/config_store.h"
#include "chivefront/control/leadership_confirmer.h"

namespace chivefront::control {

// Thread-safe. The store, replica and confirmer outlive it.
class ChangeProcessor
{
public:
  using ReplyCallback = std::function<void(wire::ChangeReplyT)>;
  // Runs a job asynchronously, not on the calling thread: validation takes
  // milliseconds and would block the group's thread.
  using PostFunction = std::function<void(std::function<void()>)>;

  ChangeProcessor(ConfigStore& aStore,
                  ReplicaPort& aReplica,
                  LeadershipConfirmer& aConfirmer,
                  base::EventLog& aEvents,
                  PostFunction aPost)
    : m_store(aStore)
    , m_replica(aReplica)
    , m_confirmer(aConfirmer)
    , m_events(aEvents)
    , m_post(std::move(aPost))
  {
  }

  // aDone is called once, with one of these failures or with the outcome.
  // NotLeader: this process has not accepted the change.
  // Unavailable: the outcome is unknown; the sender repeats the change with the
  // same change id.
  // A change without entries asks for the outcome of its change id; the result
  // is Invalid when the id is unknown.
  void Submit(wire::ChangeRequestT aChange,
              Proposer aProposer,
              ReplyCallback aDone);

private:
  struct PendingChange
  {
    wire::ChangeRequestT m_change;
    Proposer m_proposer;
    ReplyCallback m_done;
    int m_attempts = 0;
  };
  using PendingPointer = std::shared_ptr<PendingChange>;

  void Validate(const PendingPointer& aPending);
  void ReplyWithKnownOutcome(const PendingPointer& aPending);
  void OnProposed(const PendingPointer& aPending,
                  const absl::StatusOr<std::string>& aResult);
  void ReplyWithFailure(const PendingPointer& aPending,
                        const absl::Status& aWhy);
  void SendReply(const PendingPointer& aPending, wire::ChangeReplyT aReply);

  ConfigStore& m_store;
  ReplicaPort& m_replica;
  LeadershipConfirmer& m_confirmer;
  base::EventLog& m_events;
  const PostFunction m_post;
};

} // namespace chivefront::control
