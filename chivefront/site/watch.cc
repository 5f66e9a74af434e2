// Polling of control processes and updates of the view.
#include "chivefront/site/watch.h"

#include <algorithm>
#include <iterator>

#include "chivefront/base/errors.h"
#include "chivefront/base/ids.h"
#include "chivefront/control/watcher_table.h"
#include "chivefront/site/messages.h"

namespace chivefront::site {
namespace detail {

// A tenth of the time within which a change must be in force.
constexpr base::Millis kPollPeriod{ 200 };
constexpr base::Millis kPollTimeout{ 500 };
// Used until the first configuration arrives.
constexpr base::Millis kInitialPollPeriod{ 40 };
// Five polls without a leader; an election takes less than this.
constexpr base::Millis kLeaderSilence{ 1000 };
// For so long a new entry waits for a control process that hears a leader,
// before it takes the state of one that has lost its leader.
constexpr base::Millis kLeaderWait{ 3000 };
// A part takes 26 ms on a link of 10 Mbit/s.
constexpr base::Millis kPartTimeout{ 500 };
// Before another control process is asked for a document. It may not have
// applied yet what the leader has committed.
constexpr base::Millis kFetchRetryPause{ 50 };

} // namespace detail

Watch::Watch(net::asio::io_context& aContext,
             const net::LinkIdentity& aIdentity,
             const std::vector<std::string>& aSeeds,
             const base::Clock& aClock,
             base::DecisionLog& aLog,
             routing::DocumentDecoder aDecoder)
  : m_context(aContext)
  , m_identity(aIdentity)
  , m_clock(aClock)
  , m_startedAt(aClock.Now())
  , m_log(aLog)
  , m_decoder(std::move(aDecoder))
  , m_holder(aIdentity.m_process + "#" +
             std::to_string(aIdentity.m_incarnation))
  , m_documentLink(base::StableHash(m_holder))
  , m_registryFeed(aLog)
{
  AddSeeds(aSeeds);
}

void
Watch::AddSeeds(const std::vector<std::string>& aNames)
{
  for (const std::string& name : aNames) {
    Connect(name);
  }
}

void
Watch::SetEvidenceSource(EvidenceSource aSource)
{
  m_evidence = std::move(aSource);
}

void
Watch::SetCrashReportSource(CrashReportSource aSource)
{
  m_crashReport = std::move(aSource);
}

void
Watch::SetRateExchange(RateReportSource aSource, RateAnswerSink aSink)
{
  m_rateReport = std::move(aSource);
  m_rateAnswer = std::move(aSink);
}

// The name of a control process is its address.
void
Watch::Connect(const std::string& aName)
{
  const auto address = base::Endpoint::Parse(aName);
  if (!address || m_controlLinks.count(aName) > 0) {
    return;
  }
  net::Link::Handlers handlers;
  handlers.m_onOpen = [](const net::Link::Pointer&) {};
  handlers.m_onMessage = [](const net::Link::Pointer&, const wire::MessageT&) {
  };
  handlers.m_onClose = [](const net::Link::Pointer&, const absl::Status&) {};
  const auto connector = std::make_shared<net::LinkConnector>(
    m_context, m_identity, *address, handlers);
  m_controlLinks.emplace(aName, connector);
  connector->Start();
}

void
Watch::Start()
{
  net::Spawn(m_context.get_executor(), "watch", [this]() -> net::Task<void> {
    bool again = true;
    while (again) {
      again = co_await Poll();
      base::Millis pause = detail::kPollPeriod;
      if (!m_view.m_config) {
        pause = detail::kInitialPollPeriod;
      }
      co_await net::Sleep(pause);
    }
  });
}

void
Watch::Stop()
{
  m_stopped = true;
  for (const auto& [name, connector] : m_controlLinks) {
    connector->Stop();
  }
}

// The link to the leader if it is open, else open links in round-robin order.
net::Link::Pointer
Watch::ChooseLink()
{
  const auto leader = m_controlLinks.find(m_leader);
  if (leader != m_controlLinks.end()) {
    if (net::Link::Pointer link = leader->second->Current()) {
      return link;
    }
  }
  ++m_nextLink;
  return OpenLink(m_nextLink);
}

// The first open link from the position aIndex on, which becomes that of the
// link; null if no link is open.
net::Link::Pointer
Watch::OpenLink(size_t& aIndex) const
{
  for (size_t i = 0; i < m_controlLinks.size(); ++i, ++aIndex) {
    const auto position =
      static_cast<ptrdiff_t>(aIndex % m_controlLinks.size());
    if (net::Link::Pointer link =
          std::next(m_controlLinks.begin(), position)->second->Current()) {
      return link;
    }
  }
  return nullptr;
}

wire::WatchRequestT
Watch::MakeRequest()
{
  wire::WatchRequestT request;
  request.holder = m_holder;
  request.role = wire::Role::Entry;
  request.have_revision = m_view.m_revision;
  request.have_number = m_view.m_number;
  request.fetches_documents = true;
  m_registryFeed.Ask(request);
  if (m_evidence) {
    for (wire::VersionEvidenceT& row : m_evidence()) {
      request.evidence.push_back(
        std::make_unique<wire::VersionEvidenceT>(std::move(row)));
    }
  }
  const base::TimePoint now = m_clock.Now();
  if (m_crashReport) {
    AddCrashReport(m_crashReport(m_suspectCauses), now, request);
  }
  request.quarantined_parts = ToWire(m_view.m_quarantinedCauses, now);
  if (m_rateReport) {
    const RateReport report = m_rateReport();
    request.request_limits = ToWire(report.m_limits, now);
    request.permits = ToWire(report.m_permits);
  }
  if (m_loads) {
    request.loads = ToWire(m_loads());
  }
  if (m_view.m_leaderAnsweredAt != base::TimePoint()) {
    request.live_entries = m_view.m_liveEntries;
  }
  if (m_usageReporter) {
    m_usageReporter->AddTo(request);
  }
  m_polledAt = now;
  return request;
}

net::Task<bool>
Watch::Poll()
{
  const net::Link::Pointer link = ChooseLink();
  bool answered = false;
  std::string answeredBy;
  if (link) {
    wire::MessageT message = wire::MakeMessage(MakeRequest());
    const auto reply =
      co_await link->Call(std::move(message), detail::kPollTimeout);
    const wire::WatchReplyT* answer =
      reply.ok() ? reply->body.AsWatchReply() : nullptr;
    answered = answer != nullptr;
    if (answered) {
      answeredBy = link->Peer().m_process;
      Accept(*answer);
    }
  }
  if (!answered) {
    m_leader.clear();
  }
  if (answered != m_connected) {
    m_connected = answered;
    m_log.Record(
      answered ? "control_regained" : "control_lost",
      base::LogCategory::State,
      { { "revision", m_view.m_revision }, { "number", m_view.m_number } });
  }
  ReportLeaderContact(answeredBy);
  m_view.m_registry.Expire(m_clock.Now());
  co_return !m_stopped;
}

void
Watch::Accept(const wire::WatchReplyT& aReply)
{
  const base::TimePoint now = m_clock.Now();
  AcceptMembers(aReply);
  m_leader = aReply.leader;
  if (aReply.fresh) {
    m_view.m_leaderAnsweredAt = now;
    AcceptLiveEntries(std::max<uint32_t>(1, aReply.live_entries), now);
  }
  const bool isNewState =
    aReply.snapshot && aReply.revision > m_view.m_revision;
  const bool isNewDocument = aReply.document_number > m_view.m_number;
  if ((isNewState || isNewDocument) && MayAdoptState(aReply)) {
    if (isNewState) {
      AcceptState(aReply, now);
    }
    WantDocument(aReply.document_number);
  }
  m_registryFeed.Accept(aReply, m_polledAt, now, m_view.m_registry);
  AcceptCrashCauses(aReply, now);
  AcceptRates(aReply, now);
  if (m_usageReporter) {
    m_usageReporter->Accept(aReply, m_polledAt);
  }
}

// An entry without a configuration does not take one from a process that has
// only read its disk: entries of this host may have served a newer one. A
// process that has lost its leader may be cut off from a newer state that
// another one has, so its state is taken only after kLeaderWait. An entry that
// has a configuration takes any newer state.
bool
Watch::MayAdoptState(const wire::WatchReplyT& aReply)
{
  const bool hearsLeader = aReply.fresh || !aReply.leader.empty();
  const bool hasWaited = m_clock.Now() - m_startedAt >= detail::kLeaderWait;
  const bool mayAdopt =
    m_view.m_config || (!aReply.unconfirmed && (hearsLeader || hasWaited));
  if (!mayAdopt && !m_refusesState) {
    m_log.Record(
      "state_unconfirmed",
      base::LogCategory::State,
      { { "revision", aReply.revision },
        { "leader", aReply.leader },
        { "applied_since_start", aReply.unconfirmed ? "no" : "yes" } });
  }
  m_refusesState = !mayAdopt;
  return mayAdopt;
}

// control_lost covers the case that no control process answers. An answer of a
// process that hears no leader itself carries state of unknown age.
void
Watch::ReportLeaderContact(const std::string& aAnsweredBy)
{
  if (m_view.m_leaderAnsweredAt == base::TimePoint()) {
    return; // there is no state yet
  }
  const base::Millis silence = m_clock.Now() - m_view.m_leaderAnsweredAt;
  const bool hearsLeader = silence < detail::kLeaderSilence;
  if (hearsLeader == m_hearsLeader) {
    return;
  }
  m_hearsLeader = hearsLeader;
  m_log.Record(hearsLeader ? "leader_heard" : "leader_unheard",
               base::LogCategory::State,
               { { "answered_by", aAnsweredBy },
                 { "leader", m_leader },
                 { "silent_ms", silence.Count() },
                 { "revision", m_view.m_revision },
                 { "number", m_view.m_number } });
}

// A process that has just started to lead knows only the entries that have
// polled it since, so a lower number counts when it has lasted. Each entry's
// share of a bound would be too large otherwise.
void
Watch::AcceptLiveEntries(uint32_t aCount, base::TimePoint aNow)
{
  const bool isFewer = aCount < m_view.m_liveEntries;
  if (isFewer && m_fewerEntriesSince == base::TimePoint()) {
    m_fewerEntriesSince = aNow;
  }
  if (isFewer && aNow - m_fewerEntriesSince < control::kWatcherTimeout) {
    return;
  }
  m_view.m_liveEntries = aCount;
  m_fewerEntriesSince = base::TimePoint();
}

void
Watch::AcceptState(const wire::WatchReplyT& aReply, base::TimePoint aNow)
{
  State state;
  if (const absl::Status status = FromEntries(aReply.entries, aNow, state);
      !status.ok()) {
    m_log.Record("state_refused",
                 base::LogCategory::State,
                 { { "why", base::MessageOf(status) } });
    return;
  }
  if (state.m_document) { // from a control process of an older release
    AdoptDocument(state.m_number, *state.m_document, aNow);
  }
  m_view.m_domainsOut = std::move(state.m_domainsOut);
  m_view.m_rollouts = std::move(state.m_rollouts);
  m_view.m_revision = aReply.revision;
  m_log.Record(
    "state_adopted",
    base::LogCategory::State,
    { { "number", m_view.m_number },
      { "revision", m_view.m_revision },
      { "leader", aReply.leader },
      { "domains_out", static_cast<uint64_t>(m_view.m_domainsOut.size()) },
      { "rollouts", static_cast<uint64_t>(m_view.m_rollouts.size()) } });
}

void
Watch::AdoptDocument(uint64_t aNumber,
                     const std::string& aDocument,
                     base::TimePoint aNow)
{
  if (aNumber <= m_view.m_number) {
    return;
  }
  const auto config = m_decoder(aDocument);
  if (!config.ok()) {
    // Control processes accept only documents that they can decode, so this
    // process runs another release.
    m_log.Record(
      "configuration_refused",
      base::LogCategory::State,
      { { "number", aNumber }, { "why", base::MessageOf(config.status()) } });
    m_refusedNumber = std::max(m_refusedNumber, aNumber);
    return;
  }
  if (!m_view.m_config) {
    m_view.m_configuredAt = aNow;
  }
  m_view.m_config = *config;
  m_view.m_number = aNumber;
}

void
Watch::WantDocument(uint64_t aNumber)
{
  m_wantedNumber = std::max(m_wantedNumber, aNumber);
  if (m_fetching || !IsDocumentMissing()) {
    return;
  }
  m_fetching = true;
  m_fetchesFromPolled = false;
  m_wantedSince = m_clock.Now();
  net::Spawn(m_context.get_executor(), "watch", [this]() -> net::Task<void> {
    return FetchDocument();
  });
}

bool
Watch::IsDocumentMissing() const
{
  return m_wantedNumber > std::max(m_view.m_number, m_refusedNumber);
}

net::Task<void>
Watch::FetchDocument()
{
  while (!m_stopped && IsDocumentMissing()) {
    const bool progress = co_await FetchPart();
    if (progress) {
      continue;
    }
    // The process that answers the polls is alive; another one that is chosen
    // by its link alone may be silent too.
    m_fetchesFromPolled = !m_fetchesFromPolled;
    ++m_documentLink;
    co_await net::Sleep(detail::kFetchRetryPause);
  }
  m_fetching = false;
}

// Fetches the next part and adopts the document when it is whole. Returns false
// if another control process should be asked.
net::Task<bool>
Watch::FetchPart()
{
  const net::Link::Pointer link =
    m_fetchesFromPolled ? ChooseLink() : OpenLink(m_documentLink);
  if (!link) {
    co_return false;
  }
  wire::MessageT message = wire::MakeMessage(m_documentFetch.MakeRequest());
  const auto reply =
    co_await link->Call(std::move(message), detail::kPartTimeout);
  const wire::DocumentReplyT* part =
    reply.ok() ? reply->body.AsDocumentReply() : nullptr;
  if (part == nullptr) {
    co_return false;
  }
  const auto isWhole = m_documentFetch.Accept(*part, m_wantedNumber);
  if (!isWhole.ok() || !*isWhole) {
    co_return isWhole.ok();
  }
  const uint64_t number = m_documentFetch.Number();
  const size_t packedBytes = m_documentFetch.PackedBytes();
  const auto document = m_documentFetch.Take();
  const base::TimePoint now = m_clock.Now();
  m_log.Record("document_fetched",
               base::LogCategory::State,
               { { "number", number },
                 { "from", link->Peer().m_process },
                 { "result", base::MessageOf(document.status()) },
                 { "bytes", document.ok() ? document->size() : size_t(0) },
                 { "packed_bytes", packedBytes },
                 { "took_ms", (now - m_wantedSince).Count() } });
  m_wantedSince = now;
  if (document.ok()) {
    AdoptDocument(number, *document, now);
  }
  co_return document.ok();
}

// A process that has just started to lead does not know all quarantined
// causes, so one that is missing in an answer stays.
void
Watch::AcceptCrashCauses(const wire::WatchReplyT& aReply, base::TimePoint aNow)
{
  m_suspectCauses = { aReply.suspect_parts.begin(),
                      aReply.suspect_parts.end() };
  for (const auto& [cause, until] : FromWire(aReply.quarantined_parts, aNow)) {
    base::TimePoint& known = m_view.m_quarantinedCauses[cause];
    known = std::max(known, until);
  }
  std::erase_if(m_view.m_quarantinedCauses,
                [aNow](const auto& aCause) { return aCause.second <= aNow; });
}

void
Watch::AcceptRates(const wire::WatchReplyT& aReply, base::TimePoint aNow)
{
  if (m_rateAnswer) {
    m_rateAnswer({ FromWire(aReply.request_limits, aNow),
                   FromWire(aReply.permits),
                   m_polledAt });
  }
}

void
Watch::AcceptMembers(const wire::WatchReplyT& aReply)
{
  for (const std::string& name : aReply.members) {
    Connect(name);
  }
}

} // namespace chivefront::site
