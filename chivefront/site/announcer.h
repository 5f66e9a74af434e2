// Tells the other control processes of upstreams that registered here.
//
//   site::Announcer announcer(executor, name, peers, registry, clock);
//   announcer.SetPeers(names);              // the processes to tell
//   announcer.Announce("i-1");              // after each change by an upstream
//   announcer.AnnounceRenewal("i-1");       // only time and sequence changed
//   announcer.AnnounceAll("10.0.0.4:7340"); // when a link to a process opens
//   announcer.OnTick();                     // from time to time
//
// Renewals wait and go to each process together, once in kRenewalPeriod.
//
// A process that does not acknowledge is told again until it does, or until the
// record has expired. An upstream that is gone sends no further record, and one
// that leaves may send its next one after its last request.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "chivefront/control/peers.h"
#include "chivefront/routing/registry.h"

namespace chivefront::site {

// Between two batches of renewals to a process.
inline constexpr base::Millis kRenewalPeriod{ 2000 };
// How much later than a change a renewal is known elsewhere: the period, a tick
// of the sender, and an announcement that is repeated once.
inline constexpr base::Millis kRenewalDelay{ 3000 };

// Use it on the executor, which must be a single thread. It must outlive the
// coroutines on the executor.
class Announcer
{
public:
  Announcer(const net::asio::any_io_executor& aExecutor,
            std::string aName,
            control::Peers& aPeers,
            const routing::Registry& aRegistry,
            const base::Clock& aClock);

  // Names of the other control processes. Tells new ones all that is known and
  // forgets those that are missing.
  void SetPeers(const std::set<std::string>& aNames);
  // Tells all peers the current record of the upstream at once.
  void Announce(const std::string& aId);
  // Tells all peers with the next batch.
  void AnnounceRenewal(const std::string& aId);
  // Tells one peer the records of all upstreams. Processes compare what they
  // know in this way, also what a third one has told only one of them.
  void AnnounceAll(const std::string& aPeer);
  // Tells the renewals that are due, and again what has not been acknowledged.
  // Call it periodically.
  void OnTick();
  bool HasPeers() const { return !m_states.empty(); }

private:
  struct Peer
  {
    std::set<std::string> m_unacknowledged; // ids of upstreams
    std::set<std::string> m_renewed;        // ids for the next batch
    base::TimePoint m_batchedAt;            // when the last batch was begun
    bool m_calling = false;                 // an announcement is under way
  };

  void Start(const std::string& aName);
  net::Task<void> Send(std::string aName);
  std::vector<routing::Instance> NextRecords(Peer& aPeer) const;
  wire::AnnounceRequestT MakeRequest(
    const std::vector<routing::Instance>& aRecords) const;
  // The peer holds these records.
  void Settle(Peer& aPeer,
              const std::vector<routing::Instance>& aRecords) const;

  const net::asio::any_io_executor m_executor;
  const std::string m_name;
  control::Peers& m_peers;
  const routing::Registry& m_registry;
  const base::Clock& m_clock;
  std::map<std::string, Peer> m_states; // by name of the peer
};

} // namespace chivefront::site
