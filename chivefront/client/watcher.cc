// Polls control processes and applies their replies.
#include "chivefront/client/watcher.h"

#include "chivefront/base/errors.h"
#include "chivefront/base/log.h"

namespace chivefront::client {
namespace detail {

constexpr base::Millis kPollTimeout{ 600 };
// A control process whose state is older than this is probably partitioned.
// Switching at this age leaves enough of the lease to get a reply from another
// process. The state of a healthy follower is at most about 300 ms old.
constexpr base::Millis kMaxStateAge{ 700 };

ViewPointer
EmptyView()
{
  auto view = std::make_shared<View>();
  view->m_catalog = std::make_shared<catalog::Catalog>();
  view->m_registry = std::make_shared<Registry>();
  return view;
}

} // namespace detail

Watcher::Watcher(net::asio::io_context& aContext,
                 ControlLinks& aControl,
                 std::string aHolder,
                 wire::Role aRole,
                 const base::Clock& aClock,
                 base::EventLog& aEvents)
  : m_context(aContext)
  , m_control(aControl)
  , m_holder(std::move(aHolder))
  , m_role(aRole)
  , m_clock(aClock)
  , m_events(aEvents)
  , m_view(detail::EmptyView())
{
}

void
Watcher::OnChange(std::function<void(const ViewPointer&)> aHandler)
{
  m_onChange = std::move(aHandler);
}

void
Watcher::SetEvidenceSource(EvidenceSource aSource)
{
  m_evidence = std::move(aSource);
}

void
Watcher::Start()
{
  net::SpawnPeriodic(net::asio::make_strand(m_context),
                     "watch",
                     kWatchPeriod,
                     [this] { return Poll(); });
}

void
Watcher::Stop()
{
  m_stopped = true;
}

wire::WatchRequestT
Watcher::MakeRequest() const
{
  wire::WatchRequestT request;
  request.holder = m_holder;
  request.role = m_role;
  const std::lock_guard lock(m_lock);
  request.have_revision = m_revision;
  request.registry_epoch = m_registryEpoch;
  request.registry_sequence = m_registrySequence;
  request.report_sequence = m_reportSequence;
  return request;
}

net::Task<bool>
Watcher::Poll()
{
  wire::WatchRequestT request = MakeRequest();
  if (m_evidence) {
    for (wire::VersionEvidenceT& row : m_evidence(request.report_sequence)) {
      request.evidence.push_back(
        std::make_unique<wire::VersionEvidenceT>(std::move(row)));
    }
  }
  const base::TimePoint sentAt = m_clock.Now();
  auto reply = co_await m_control.CallAny(wire::MakeMessage(std::move(request)),
                                          detail::kPollTimeout);
  if (!reply.ok()) {
    co_return !m_stopped;
  }
  const wire::WatchReplyT* watch = reply->body.AsWatchReply();
  if (watch == nullptr) {
    co_return !m_stopped;
  }
  const ViewPointer before = LastView();
  const bool accepted = Accept(sentAt, *watch);
  if (!accepted || !watch->fresh ||
      base::Millis(watch->age_ms) > detail::kMaxStateAge) {
    m_control.PreferNext();
  }
  if (accepted) {
    const ViewPointer after = LastView();
    if (after != before && m_onChange) {
      m_onChange(after);
    }
  }
  co_return !m_stopped;
}

bool
Watcher::AcceptEntries(const wire::WatchReplyT& aReply)
{
  if (aReply.revision < m_revision) {
    // This control process lags behind, so its lease does not cover this view.
    return false;
  }
  if (aReply.revision == m_revision) {
    return true;
  }
  catalog::Entries entries = aReply.snapshot ? catalog::Entries() : m_entries;
  for (const auto& entry : aReply.entries) {
    if (entry->removed) {
      entries.erase(entry->key);
    } else {
      entries[entry->key] = entry->value;
    }
  }
  std::vector<catalog::EntryError> errors;
  catalog::Pointer built = catalog::Build(entries, aReply.revision, errors);
  if (!built) {
    base::LogError("watch",
                   "configuration is invalid, keeping the last one",
                   { { "revision", aReply.revision },
                     { "entry", errors.front().m_path },
                     { "problem", errors.front().m_problem } });
    return false;
  }
  m_entries = std::move(entries);
  m_revision = aReply.revision;
  auto view = std::make_shared<View>(*m_view);
  view->m_catalog = std::move(built);
  m_view = std::move(view);
  m_events.Record("configuration_in_force",
                  { { "revision", std::to_string(m_revision) } });
  return true;
}

void
Watcher::AcceptRegistry(const wire::WatchReplyT& aReply)
{
  const bool changed = !aReply.upstreams.empty() ||
                       aReply.registry_epoch != m_registryEpoch ||
                       aReply.registry_sequence != m_registrySequence;
  if (!changed && aReply.live_entries == m_view->m_liveEntries) {
    return;
  }
  if (aReply.registry_snapshot) {
    m_registry.clear();
  }
  for (const auto& upstream : aReply.upstreams) {
    if (upstream->removed) {
      m_registry.erase(upstream->name);
    } else {
      m_registry[upstream->name] = *upstream;
    }
  }
  m_registryEpoch = aReply.registry_epoch;
  m_registrySequence = aReply.registry_sequence;
  auto view = std::make_shared<View>(*m_view);
  view->m_registry = std::make_shared<const Registry>(m_registry);
  view->m_liveEntries = std::max<uint32_t>(aReply.live_entries, 1);
  m_view = std::move(view);
}

void
Watcher::AcceptSuspects(const wire::WatchReplyT& aReply)
{
  std::set<uint64_t> suspects(aReply.suspects.begin(), aReply.suspects.end());
  if (suspects == m_view->m_suspects) {
    return;
  }
  auto view = std::make_shared<View>(*m_view);
  view->m_suspects = std::move(suspects);
  m_view = std::move(view);
}

bool
Watcher::Accept(base::TimePoint aSentAt, const wire::WatchReplyT& aReply)
{
  const std::lock_guard lock(m_lock);
  AcceptRegistry(aReply);
  if (aReply.report_sequence > m_reportSequence) {
    m_reportSequence = aReply.report_sequence;
  }
  if (!AcceptEntries(aReply)) {
    return false;
  }
  AcceptSuspects(aReply);
  if (aReply.fresh) {
    m_lease.Confirm(aSentAt, base::Millis(aReply.age_ms));
  }
  return true;
}

bool
Watcher::HasFullRegistry() const
{
  const std::lock_guard lock(m_lock);
  return m_registryEpoch != 0;
}

absl::StatusOr<ViewPointer>
Watcher::FreshView() const
{
  const std::lock_guard lock(m_lock);
  if (!m_lease.ValidAt(m_clock.Now())) {
    return base::MakeError(base::ErrorKind::NotFresh,
                           "the configuration was not confirmed recently");
  }
  return m_view;
}

ViewPointer
Watcher::LastView() const
{
  const std::lock_guard lock(m_lock);
  return m_view;
}

uint64_t
Watcher::Revision() const
{
  const std::lock_guard lock(m_lock);
  return m_revision;
}

bool
Watcher::Fresh() const
{
  const std::lock_guard lock(m_lock);
  return m_lease.ValidAt(m_clock.Now());
}

} // namespace chivefront::client
