// The upstreams that registered themselves, as one control process knows them:
// takes in their records and those that other control processes announce, tells
// the others, keeps a copy on disk, and makes departures durable.
//
//   site::Registrations registrations(context, options, peers, store, log,
//                                     metrics);
//   registrations.Load();
//   absl::Status status = co_await registrations.Register(record);
//   registrations.OnTick(now, names);           // from time to time
//   registrations.Known().ForEach(...);
#pragma once

#include <set>
#include <string>

#include "chivefront/base/ids.h"
#include "chivefront/base/metrics.h"
#include "chivefront/site/announcer.h"
#include "chivefront/site/departure_recorder.h"
#include "chivefront/site/registry_file.h"

namespace chivefront::site {

struct RegistrationsOptions
{
  std::string m_name;     // of this process
  std::string m_folder;   // of the copy; not used when m_diskless
  bool m_diskless = true; // nothing is written
  DepartureRecorder::LeaderFunction m_leader;
  DepartureRecorder::CommitFunction m_commit;
};

// Use it on the context's single thread. It must outlive the coroutines on the
// context.
class Registrations
{
public:
  Registrations(net::asio::io_context& aContext,
                RegistrationsOptions aOptions,
                control::Peers& aPeers,
                const Store& aStore,
                base::DecisionLog& aLog,
                base::Metrics& aMetrics);

  // Reads the copy on disk.
  void Load();

  // See Node::Register and Node::Unregister.
  net::Task<absl::Status> Register(routing::Instance aRecord);
  net::Task<absl::Status> Unregister(std::string aId, uint64_t aBorn);

  // Takes in the records of another control process and answers it.
  void OnAnnounce(const net::Link::Pointer& aLink,
                  uint64_t aCorrelation,
                  const wire::AnnounceRequestT& aRequest);
  // Fills in what the answer to a poll tells of upstreams.
  void Answer(const wire::WatchRequestT& aRequest,
              base::TimePoint aNow,
              wire::WatchReplyT& aReply);
  // A link to another control process has opened.
  void OnLinkOpen(const std::string& aPeer);
  // Expires, takes over departures, announces again and saves. aOthers names
  // the other control processes.
  void OnTick(base::TimePoint aNow, const std::set<std::string>& aOthers);

  const routing::Registry& Known() const { return m_registry; }
  // How much later than at its upstream a registration may arrive in Known().
  base::Millis RegistrationDelay() const
  {
    return m_announcer.HasPeers() ? kRenewalDelay : base::Millis();
  }

private:
  routing::MergeResult Merge(routing::Instance aRecord);
  void TakeOverDepartures(base::TimePoint aNow);
  void AnswerOnceDurable(net::Link::Pointer aLink,
                         uint64_t aCorrelation,
                         const wire::AnnounceRequestT& aRequest);
  void Save(base::TimePoint aNow);

  net::asio::io_context& m_context;
  const RegistrationsOptions m_options;
  const Store& m_store;
  base::DecisionLog& m_log;
  const base::Clock& m_clock;
  base::Counter& m_recordCounter;
  RegistryFile m_file;
  uint64_t m_savedNotice = 0; // LastNotice() of m_registry
  base::TimePoint m_savedAt;
  uint64_t m_departuresTaken = 0; // number of the last one in m_registry
  routing::Registry m_registry;
  const uint64_t m_epoch = base::RandomBits(); // of m_registry's numbers
  Announcer m_announcer;
  DepartureRecorder m_departureRecorder;
};

} // namespace chivefront::site
