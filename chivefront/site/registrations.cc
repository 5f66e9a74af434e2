// Merging of registrations, and their copies elsewhere.
#include "chivefront/site/registrations.h"

#include <algorithm>

#include "chivefront/base/errors.h"
#include "chivefront/site/messages.h"
#include "chivefront/site/registry_feed.h"

namespace chivefront::site {
namespace detail {

constexpr base::Millis kSavePeriod{ 1000 };

} // namespace detail

Registrations::Registrations(net::asio::io_context& aContext,
                             RegistrationsOptions aOptions,
                             control::Peers& aPeers,
                             const Store& aStore,
                             base::DecisionLog& aLog,
                             base::Metrics& aMetrics)
  : m_context(aContext)
  , m_options(std::move(aOptions))
  , m_store(aStore)
  , m_log(aLog)
  , m_clock(base::SteadyClock::Instance())
  , m_recordCounter(aMetrics.AddCounter("chivefront_site_registrations_total",
                                        "Records of upstreams taken in."))
  , m_file(m_options.m_folder + "/upstreams")
  , m_announcer(aContext.get_executor(),
                m_options.m_name,
                aPeers,
                m_registry,
                m_clock)
  , m_departureRecorder(m_options.m_name,
                        aPeers,
                        aStore,
                        m_options.m_leader,
                        m_options.m_commit,
                        aLog)
{
}

void
Registrations::Load()
{
  if (m_options.m_diskless) {
    return;
  }
  const base::TimePoint now = m_clock.Now();
  const absl::Status loaded = m_file.Load(m_registry, now);
  m_log.Record("registry_loaded",
               base::LogCategory::State,
               { { "result", base::MessageOf(loaded) } });
  TakeOverDepartures(now);
}

// Without renewals: a process that reads the copy does not go by its times.
void
Registrations::Save(base::TimePoint aNow)
{
  if (m_options.m_diskless || m_registry.LastNotice() == m_savedNotice ||
      aNow - m_savedAt < detail::kSavePeriod) {
    return;
  }
  m_savedNotice = m_registry.LastNotice();
  m_savedAt = aNow;
  if (const absl::Status status = m_file.Save(m_registry, aNow); !status.ok()) {
    m_log.Record("registry_not_saved",
                 base::LogCategory::State,
                 { { "why", base::MessageOf(status) } });
  }
}

net::Task<absl::Status>
Registrations::Register(routing::Instance aRecord)
{
  const routing::Instance* known = m_registry.Find(aRecord.m_id);
  const bool changed = known == nullptr || known->m_state != aRecord.m_state ||
                       known->m_born != aRecord.m_born;
  const routing::MergeResult result = Merge(aRecord);
  const bool isNew = result != routing::MergeResult::Refused;
  if (!isNew && m_registry.Find(aRecord.m_id) == nullptr &&
      m_registry.IsFull()) {
    co_return base::MakeError(base::ErrorKind::Overloaded,
                              "too many upstreams are registered");
  }
  if (isNew && changed) {
    m_log.Record(
      "upstream_registered",
      base::LogCategory::State,
      { { "upstream", aRecord.m_id },
        { "service", aRecord.m_service },
        { "address", aRecord.m_address.ToString() },
        { "version", aRecord.m_version },
        { "state", routing::kInstanceStateNames.Name(aRecord.m_state) },
        { "sequence", aRecord.m_sequence } });
  }
  if (result == routing::MergeResult::Changed) {
    m_announcer.Announce(aRecord.m_id);
  } else if (result == routing::MergeResult::Renewed) {
    m_announcer.AnnounceRenewal(aRecord.m_id);
  }
  if (aRecord.m_state == routing::InstanceState::Ready) {
    co_return absl::OkStatus();
  }
  // Also for a repeated record: the first one may not have become durable.
  co_return co_await m_departureRecorder.Record(std::move(aRecord));
}

net::Task<absl::Status>
Registrations::Unregister(std::string aId, uint64_t aBorn)
{
  if (m_registry.Remove(aId, aBorn, m_clock.Now())) {
    m_log.Record(
      "upstream_left", base::LogCategory::State, { { "upstream", aId } });
    m_announcer.Announce(aId);
  }
  const routing::Instance* known = m_registry.Find(aId);
  if (known == nullptr) {
    co_return base::MakeError(base::ErrorKind::Unavailable,
                              "the upstream is not known here");
  }
  routing::Instance leaving = *known;
  leaving.m_state = routing::InstanceState::Gone;
  leaving.m_born = aBorn != 0 ? aBorn : known->m_born;
  co_return co_await m_departureRecorder.Record(std::move(leaving));
}

void
Registrations::OnAnnounce(const net::Link::Pointer& aLink,
                          uint64_t aCorrelation,
                          const wire::AnnounceRequestT& aRequest)
{
  const base::TimePoint now = m_clock.Now();
  for (const auto& info : aRequest.upstreams) {
    routing::Instance record;
    if (!FromWire(*info, now, record)) {
      m_log.Record("instance_unreadable",
                   base::LogCategory::Failure,
                   { { "upstream", info->name }, { "peer", aRequest.agent } });
      continue;
    }
    (void)Merge(std::move(record)); // an outdated record is no error
  }
  if (aRequest.until_durable) {
    AnswerOnceDurable(aLink, aCorrelation, aRequest);
  } else if (aCorrelation != 0) { // 0: a release without acknowledgements
    (void)aLink->Reply(aCorrelation, wire::AnnounceReplyT());
  }
}

// Answers a control process that does not lead. This process commits the
// departures if it leads, and does not pass them on to a third one.
void
Registrations::AnswerOnceDurable(net::Link::Pointer aLink,
                                 uint64_t aCorrelation,
                                 const wire::AnnounceRequestT& aRequest)
{
  const bool isLeader = m_options.m_leader() == m_options.m_name;
  std::vector<routing::Instance> leaving;
  for (const auto& info : aRequest.upstreams) {
    routing::Instance record;
    if (isLeader && FromWire(*info, m_clock.Now(), record)) {
      leaving.push_back(std::move(record));
    }
  }
  net::Spawn(m_context.get_executor(),
             "site",
             [this, aLink, aCorrelation, leaving]() -> net::Task<void> {
               wire::AnnounceReplyT reply;
               reply.durable = !leaving.empty();
               for (const routing::Instance& record : leaving) {
                 const absl::Status status =
                   co_await m_departureRecorder.Record(record);
                 reply.durable = reply.durable && status.ok();
               }
               (void)aLink->Reply(aCorrelation, reply);
             });
}

void
Registrations::Answer(const wire::WatchRequestT& aRequest,
                      base::TimePoint aNow,
                      wire::WatchReplyT& aReply)
{
  AnswerRegistry(m_registry, m_epoch, aRequest, aNow, aReply);
}

void
Registrations::OnLinkOpen(const std::string& aPeer)
{
  m_announcer.AnnounceAll(aPeer);
}

void
Registrations::OnTick(base::TimePoint aNow,
                      const std::set<std::string>& aOthers)
{
  m_registry.Expire(aNow);
  m_registry.MarkSilent(aNow);
  TakeOverDepartures(aNow);
  m_announcer.SetPeers(aOthers);
  m_announcer.OnTick();
  Save(aNow);
}

// Merges a record, which may be from before the departure of its upstream.
routing::MergeResult
Registrations::Merge(routing::Instance aRecord)
{
  using routing::InstanceState;
  const auto departures = m_store.Current()->m_departures;
  const int64_t wallClock = base::WallClockMillis();
  for (const InstanceState state :
       { InstanceState::Draining, InstanceState::Gone }) {
    if (departures->Holds(aRecord.m_id, aRecord.m_born, state, wallClock)) {
      aRecord.m_state = std::max(aRecord.m_state, state);
    }
  }
  const routing::MergeResult result = m_registry.MergeRecord(aRecord);
  if (result != routing::MergeResult::Refused) {
    m_recordCounter.Increment();
  }
  return result;
}

// Takes over what the replicated log has brought since the last call. After a
// restart this corrects the records of the copy on disk.
void
Registrations::TakeOverDepartures(base::TimePoint aNow)
{
  const auto departures = m_store.Current()->m_departures;
  const int64_t wallClock = base::WallClockMillis();
  departures->ForEachAfter(m_departuresTaken, [&](const Departure& aDeparture) {
    const auto& [id, born, state, recordedAt, number] = aDeparture;
    if (!departures->Holds(id, born, state, wallClock)) {
      return; // of an incarnation that may have been followed by another one
    }
    const bool isNews = state == routing::InstanceState::Gone
                          ? m_registry.Remove(id, born, aNow)
                          : m_registry.MarkDraining(id, born);
    if (isNews) {
      m_log.Record("upstream_departure_learnt",
                   base::LogCategory::State,
                   { { "upstream", id },
                     { "state", routing::kInstanceStateNames.Name(state) },
                     { "number", number } });
    }
  });
  m_departuresTaken = departures->LastNumber();
}

} // namespace chivefront::site
