// Polls control processes to keep a process's view of the configuration, its
// freshness lease and the upstream registry up to date.
//
//   client::Watcher watcher(context, control, name, role, clock, events);
//   watcher.OnChange([](const client::ViewPointer& view) { ... });
//   watcher.Start();
//   ...
//   auto fresh = watcher.FreshView(); // NotFresh: start no new work
//   if (!fresh.ok()) return fresh.status();
//   catalog::CheckVersionAllowed(*(*fresh)->m_catalog, ...);
//
// Call FreshView() directly before each dispatch, not once per request: the
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

// By upstream name.
using Registry = std::map<std::string, wire::UpstreamInfoT>;

// Immutable snapshot of the state that control processes have sent.
struct View
{
  catalog::Pointer m_catalog;                 // never null
  std::shared_ptr<const Registry> m_registry; // never null
  uint32_t m_liveEntries = 1; // number of entry processes, at least 1
  // Fingerprints of requests with a loss; sent to entries only.
  std::set<uint64_t> m_suspects;
};

using ViewPointer = std::shared_ptr<const View>;

// Interval of polls. One lease covers several polls, so that it does not expire
// because one reply is lost or one control process fails.
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

  // Sets the handler that is called on the polling strand after each new view.
  void OnChange(std::function<void(const ViewPointer&)> aHandler);
  // Returns the version evidence to send with a poll: everything since
  // aSequence, the last report sequence that control has acknowledged.
  using EvidenceSource =
    std::function<std::vector<wire::VersionEvidenceT>(uint64_t aSequence)>;
  void SetEvidenceSource(EvidenceSource aSource);

  void Start();
  void Stop();

  // The current view if the lease is valid now, else NotFresh. Thread-safe.
  absl::StatusOr<ViewPointer> FreshView() const;
  // The last view whatever its age; never null. For display only: it does not
  // permit new work.
  ViewPointer LastView() const;
  // Revision of the last view; 0 before the first reply.
  uint64_t Revision() const;
  bool Fresh() const;
  // Whether a control process has sent its complete registry. Before that, the
  // view may contain only the upstreams that announced themselves to a control
  // process that has just started.
  bool HasFullRegistry() const;

  // Applies a reply to a request sent at aSentAt. Returns false if it is
  // rejected (older revision, invalid configuration). Public for tests.
  bool Accept(base::TimePoint aSentAt, const wire::WatchReplyT& aReply);

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

  mutable std::mutex m_lock; // guards the members below
  catalog::Entries m_entries;
  uint64_t m_revision = 0; // never decreases
  Registry m_registry;
  uint64_t m_registryEpoch = 0;
  uint64_t m_registrySequence = 0;
  uint64_t m_reportSequence = 0;
  Lease m_lease; // for a revision that is not above m_revision
  ViewPointer m_view;
};

} // namespace chivefront::client
