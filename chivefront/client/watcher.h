// Keeps a process's view of the configuration, its freshness lease and the
// upstream registry up to date by polling control processes.
//
//   client::Watcher watcher(context, control, name, role, clock);
//   watcher.OnChange([](const client::View& view) { ... });
//   watcher.Start();
//   ...
//   auto fresh = watcher.FreshView();     // NotFresh: start no new work
//   if (!fresh.ok()) return fresh.status();
//   catalog::CheckVersionAllowed(*(*fresh)->m_catalog, ...);
//
// Check FreshView() directly before each dispatch, not once per request: the
// process may have been frozen in between.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "chivefront/catalog/catalog.h"
#include "chivefront/client/control_links.h"
#include "chivefront/client/lease.h"

namespace chivefront::client {

using Registry = std::map<std::string, wire::UpstreamInfoT>; // by upstream

// An immutable picture of what the control processes said.
struct View
{
  catalog::Pointer m_catalog;                 // never null
  std::shared_ptr<const Registry> m_registry; // never null
  uint32_t m_liveEntries = 1;                 // entry processes, at least 1
  std::set<uint64_t> m_suspects; // fingerprints with a loss; entries only
};

using ViewPointer = std::shared_ptr<const View>;

// How often control is asked. Several questions fit into one lease, so that a
// lost answer or a control process that fails does not end it.
inline constexpr base::Millis kWatchPeriod{ 200 };

class Watcher
{
public:
  Watcher(net::asio::io_context& aContext,
          ControlLinks& aControl,
          std::string aHolder,
          wire::Role aRole,
          const base::Clock& aClock,
          base::EventLog& aEvents);

  // Called on the polling strand after each new view.
  void OnChange(std::function<void(const ViewPointer&)> aHandler);
  // Evidence to attach to each poll. The source is asked for everything since
  // the report sequence that control acknowledged last.
  using EvidenceSource =
    std::function<std::vector<wire::VersionEvidenceT>(uint64_t aSequence)>;
  void SetEvidenceSource(EvidenceSource aSource);

  void Start();
  void Stop();

  // The view when the lease is valid now, else NotFresh. Thread-safe.
  absl::StatusOr<ViewPointer> FreshView() const;
  // The last view whatever its age; never null. For display only.
  ViewPointer LastView() const;
  // Revision of the last view; 0 before the first answer.
  uint64_t Revision() const;
  bool Fresh() const;
  // Whether a control process has sent its whole registry; before that, single
  // upstreams may be known from processes that have just started.
  bool HasFullRegistry() const;

  // Takes in an answer to a question sent at aAskedAt. Public for tests;
  // returns false when the answer was refused (older revision, invalid).
  bool Accept(base::TimePoint aAskedAt, const wire::WatchReplyT& aReply);

private:
  net::Task<bool> Poll();
  wire::WatchRequestT MakeRequest() const;
  bool AcceptEntries(const wire::WatchReplyT& aReply);
  void AcceptSuspects(const wire::WatchReplyT& aReply);
  void AcceptRegistry(const wire::WatchReplyT& aReply);

  net::asio::io_context& m_context;
  ControlLinks& m_control;
  const std::string m_holder;
  const wire::Role m_role;
  const base::Clock& m_clock;
  base::EventLog& m_events;
  std::function<void(const ViewPointer&)> m_onChange;
  EvidenceSource m_evidence;
  std::atomic<bool> m_stopped{ false };

  mutable std::mutex m_lock; // guards what follows
  catalog::Entries m_entries;
  uint64_t m_revision = 0; // never decreases
  Registry m_registry;
  uint64_t m_registryEpoch = 0;
  uint64_t m_registrySequence = 0;
  uint64_t m_reportSequence = 0;
  Lease m_lease; // confirmed for a revision not above m_revision
  ViewPointer m_view;
};

} // namespace chivefront::client
