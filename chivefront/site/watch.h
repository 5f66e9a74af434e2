// An entry's view of the deployment, kept up to date by polling a control
// process, preferably the leader.
//
//   site::Watch watch(context, identity, seeds, clock, log, decoder);
//   watch.Start();
//   if (!watch.View().m_config) ... no configuration yet ...
//
// An entry that reaches no control process goes on with its last view. Numbers
// and revisions in the view never decrease. The document of a configuration is
// fetched beside the polls, in parts, from any control process that has it. Use
// the watch on the context's single thread.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "chivefront/base/decision_log.h"
#include "chivefront/net/link.h"
#include "chivefront/routing/config.h"
#include "chivefront/routing/crash_quarantine.h"
#include "chivefront/routing/registry.h"
#include "chivefront/site/document_parts.h"
#include "chivefront/site/load_collector.h"
#include "chivefront/site/rate_messages.h"
#include "chivefront/site/registry_feed.h"
#include "chivefront/site/store.h"
#include "chivefront/site/usage_reporter.h"

namespace chivefront::site {

struct WatchView
{
  routing::ConfigPointer m_config; // null until the first answer
  uint64_t m_number = 0;           // of the configuration
  uint64_t m_revision = 0;
  std::set<std::string> m_domainsOut;
  std::map<std::string, Rollout> m_rollouts; // by service
  routing::Registry m_registry;
  uint32_t m_liveEntries = 1;         // entries that share global bounds
  base::TimePoint m_leaderAnsweredAt; // last answer from a leader
  base::TimePoint m_configuredAt;     // when the first configuration came
  // These requests, and requests with these prompt parts, are refused until the
  // time given.
  routing::QuarantinedCauses m_quarantinedCauses;
};

class Watch
{
public:
  // Returns the evidence to send with a poll, as totals since the process
  // started.
  using EvidenceSource = std::function<std::vector<wire::VersionEvidenceT>()>;

  // Returns what the entry has seen of crashes; the argument names the causes
  // that other entries suspect.
  using CrashReportSource =
    std::function<routing::CrashReport(const std::set<routing::CauseKey>&)>;

  // Returns the request limits that the entry knows and the permits that it
  // wants. Called once for each poll.
  using RateReportSource = std::function<RateReport()>;
  using RateAnswerSink = std::function<void(const RateAnswer&)>;

  // Returns the loads of services that may be scaled; none in a deployment
  // without such services.
  using LoadSource = std::function<std::vector<EntryLoad>()>;

  Watch(net::asio::io_context& aContext,
        const net::LinkIdentity& aIdentity,
        const std::vector<std::string>& aSeeds,
        const base::Clock& aClock,
        base::DecisionLog& aLog,
        routing::DocumentDecoder aDecoder);

  void SetEvidenceSource(EvidenceSource aSource);
  void SetCrashReportSource(CrashReportSource aSource);
  void SetRateExchange(RateReportSource aSource, RateAnswerSink aSink);
  // Counts of usage go with the polls. Without a reporter the polls say nothing
  // of usage.
  void SetUsageReporter(UsageReporter* aReporter)
  {
    m_usageReporter = aReporter;
  }
  void SetLoadSource(LoadSource aSource) { m_loads = std::move(aSource); }
  // Adds control processes to poll, after a reload of the settings.
  void AddSeeds(const std::vector<std::string>& aNames);
  void Start();
  void Stop();

  const WatchView& View() const { return m_view; }

  // Applies an answer to the view. Public for tests.
  void Accept(const wire::WatchReplyT& aReply);
  // Logs when a leader has not answered for a while, and when one answers
  // again. aAnsweredBy is the process that answered the last poll; empty: none
  // did. Public for tests.
  void ReportLeaderContact(const std::string& aAnsweredBy);
  // Whether a leader has answered lately, as last reported.
  bool HearsLeader() const { return m_hearsLeader; }
  // Returns the next poll. Public for tests.
  wire::WatchRequestT MakeRequest();

private:
  net::Task<bool> Poll();
  net::Link::Pointer ChooseLink();
  void AcceptLiveEntries(uint32_t aCount, base::TimePoint aNow);
  bool MayAdoptState(const wire::WatchReplyT& aReply);
  void AcceptState(const wire::WatchReplyT& aReply, base::TimePoint aNow);
  void AdoptDocument(uint64_t aNumber,
                     const std::string& aDocument,
                     base::TimePoint aNow);
  // Begins to fetch a document of at least this number.
  void WantDocument(uint64_t aNumber);
  bool IsDocumentMissing() const;
  net::Task<void> FetchDocument();
  net::Task<bool> FetchPart();
  net::Link::Pointer OpenLink(size_t& aIndex) const;
  void AcceptMembers(const wire::WatchReplyT& aReply);
  void AcceptCrashCauses(const wire::WatchReplyT& aReply, base::TimePoint aNow);
  void AcceptRates(const wire::WatchReplyT& aReply, base::TimePoint aNow);
  void Connect(const std::string& aName);

  net::asio::io_context& m_context;
  const net::LinkIdentity& m_identity;
  const base::Clock& m_clock;
  const base::TimePoint m_startedAt;
  base::DecisionLog& m_log;
  const routing::DocumentDecoder m_decoder;
  const std::string m_holder;
  EvidenceSource m_evidence;
  CrashReportSource m_crashReport;
  RateReportSource m_rateReport;
  RateAnswerSink m_rateAnswer;
  UsageReporter* m_usageReporter = nullptr; // not owned
  base::TimePoint m_polledAt;               // when the last poll was sent
  LoadSource m_loads;
  // Since when answers name fewer live entries than the view; unset: they do
  // not.
  base::TimePoint m_fewerEntriesSince;
  std::set<routing::CauseKey> m_suspectCauses; // from the last answer
  WatchView m_view;
  std::map<std::string, std::shared_ptr<net::LinkConnector>> m_controlLinks;
  std::string m_leader;  // from the last answer; empty: unknown
  size_t m_nextLink = 0; // round robin while the leader is unknown
  // The control process that parts of documents are fetched from. Entries begin
  // at different ones, so that all share the work.
  size_t m_documentLink;
  // After a failure: parts come from the process that is polled.
  bool m_fetchesFromPolled = false;
  DocumentFetch m_documentFetch;
  // The highest number in an answer whose state may be adopted.
  uint64_t m_wantedNumber = 0;
  uint64_t m_refusedNumber = 0;  // highest of a document that can't be decoded
  base::TimePoint m_wantedSince; // when the running fetch began
  bool m_fetching = false;
  RegistryFeed m_registryFeed;
  bool m_connected = false;    // last logged state
  bool m_hearsLeader = false;  // last logged state
  bool m_refusesState = false; // last logged state
  bool m_stopped = false;
};

} // namespace chivefront::site
