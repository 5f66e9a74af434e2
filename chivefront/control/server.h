// Handles the messages that a control process receives over its links: watch
// requests, announcements, changes, ledger commands, status requests, and the
// envelopes of the consensus groups.
//
//   control::Server server(context, parts, options);
//   server.Start();
//   handlers.m_onMessage = [&](auto link, auto message) {
//     server.Handle(link, std::move(message));
//   };
#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "chivefront/base/events.h"
#include "chivefront/base/metrics.h"
#include "chivefront/control/changes.h"
#include "chivefront/control/freshness.h"
#include "chivefront/control/registry.h"
#include "chivefront/control/rollout_judge.h"
#include "chivefront/control/version_watch.h"
#include "chivefront/control/watcher_table.h"
#include "chivefront/ledger/ledger.h"
#include "chivefront/ledger/log_time.h"
#include "chivefront/net/link.h"

namespace chivefront::control {

// Group numbers in RaftEnvelope.
inline constexpr uint32_t kConfigGroup = 0;
inline constexpr uint32_t kLedgerGroup = 1;

// Hints for operators by the item that needs attention.
using OperatorHints = std::map<std::string, std::string>;

// The objects that the server uses. All of them outlive the server, and the
// replicas make no more callbacks once the server is destroyed.
struct ServerParts
{
  ConfigStore& m_store;
  ReplicaPort& m_configReplica;
  ledger::Ledger& m_ledger;
  ReplicaPort& m_ledgerReplica;
  RolloutJudge& m_judge;
  const base::Clock& m_clock;
  base::EventLog& m_events;
  base::Metrics& m_metrics;
};

struct ServerOptions
{
  std::string m_name;               // of this process
  std::vector<std::string> m_peers; // the other control processes
  // The open link to a peer, or null.
  std::function<net::Link::Pointer(const std::string&)> m_linkTo;
};

class Server
{
public:
  Server(net::asio::io_context& aContext,
         ServerParts aParts,
         ServerOptions aOptions);

  // Starts the periodic confirmation of freshness and the proposals of system
  // changes.
  void Start();
  void Stop();

  // Thread-safe; runs on the link's strand.
  void Handle(const net::Link::Pointer& aLink, wire::MessageT aMessage);

  // True while this process replies to watchers with a fresh configuration.
  bool IsFresh();
  std::string StatusJson();

private:
  void OnWatch(const net::Link::Pointer& aLink,
               uint64_t aCorrelation,
               const wire::WatchRequestT& aRequest);
  void OnFollowerWatch(const net::Link::Pointer& aLink,
                       uint64_t aCorrelation,
                       const wire::WatchRequestT& aRequest);
  wire::WatchReplyT MakeWatchReply(const wire::WatchRequestT& aRequest);
  void OnAnnounce(const net::Link::Pointer& aLink,
                  uint64_t aCorrelation,
                  const wire::AnnounceRequestT& aRequest);
  void OnChange(const net::Link::Pointer& aLink,
                uint64_t aCorrelation,
                wire::ChangeRequestT aRequest);
  void OnLedger(const net::Link::Pointer& aLink,
                uint64_t aCorrelation,
                const wire::LedgerRequestT& aRequest);
  void OnEnvelope(const net::Link::Pointer& aLink, wire::RaftEnvelopeT aBody);

  // Confirms leadership on the leader; queries the leader on a follower.
  net::Task<bool> ConfirmFreshness();
  net::Task<void> QueryLeader(net::Link::Pointer aLink);
  net::Task<bool> ProposeSystemChanges();
  wire::VersionEvidenceT EvidenceFor(const std::string& aVersion,
                                     uint64_t aSince);
  // The withdrawals of versions found bad. Records the bad versions that have
  // no replacement in m_unreplaced.
  std::vector<wire::ChangeRequestT> CheckVersions();
  // The versions of upstreams that are in service.
  std::set<std::string> ServingVersions(const catalog::Catalog& aCatalog);
  // The hints that apply now. Also updates m_hintSince.
  OperatorHints CollectHints(const catalog::Catalog* aCatalog);
  // The caller of these functions holds m_lock.
  void RecordRevision(base::TimePoint aNow);
  uint32_t LiveEntries(base::TimePoint aNow) const;
  uint64_t RevisionInForce(base::TimePoint aNow) const;

  net::asio::io_context& m_context;
  const ServerParts m_parts;
  const ServerOptions m_options;
  const base::TimePoint m_startedAt;
  LeadershipConfirmer m_confirmer;
  ChangeProcessor m_changes;
  std::atomic<bool> m_stopped{ false };
  std::atomic<bool> m_systemChangePending{ false };
  int m_confirmStep = 0; // used on the strand of ConfirmFreshness only
  // Used on the strand of ProposeSystemChanges only.
  VersionWatch m_versionWatch;
  int m_systemChangeStep = 0;

  base::Counter& m_watches;
  base::Counter& m_staleWatches;
  base::Counter& m_ledgerCommands;
  base::Counter& m_changeRequests;

  std::mutex m_lock; // guards all members below
  Freshness m_freshness;
  UpstreamRegistry m_registry;
  WatcherTable m_watchers;
  ledger::LogTime m_logTime;
  uint32_t m_leaderEntries = 0; // live entries that the leader reported
  base::TimePoint m_leaderEntriesAt;
  struct AppliedRevision
  {
    uint64_t m_revision;
    base::TimePoint m_at; // when this process first saw the revision applied
  };
  // From the revision in force to the current one, rising.
  std::vector<AppliedRevision> m_appliedRevisions;
  uint64_t m_revisionInForce = 0; // never decreases
  // Bad versions without a replacement, each with the measure that dropped.
  // Empty on followers.
  std::map<std::string, std::string> m_unreplaced;
  // Since when this process has given each present hint; not replicated.
  std::map<std::string, base::TimePoint> m_hintSince;
};

} // namespace chivefront::control
