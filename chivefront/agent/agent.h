// The agent: the only path to the upstreams of its host.
//
//   agent::Agent agent(context, identity, events, metrics, control);
//   absl::Status status = agent.Listen(linkEndpoint, announceEndpoint);
//   agent.Start();
//   ...
//   agent.Drain([&] { runtime.Stop(); });   // graceful shutdown
#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <set>

#include "chivefront/agent/lookup_tables.h"
#include "chivefront/agent/settlement_poster.h"
#include "chivefront/agent/upstream_events.h"
#include "chivefront/agent/upstream_http.h"
#include "chivefront/client/watcher.h"

namespace chivefront::agent {

class Agent final
  : public UpstreamEvents
  , public AttemptHost
{
public:
  Agent(net::asio::io_context& aContext,
        const net::LinkIdentity& aIdentity,
        base::EventLog& aEvents,
        base::Metrics& aMetrics,
        std::vector<base::Endpoint> aControl);

  // Opens the port for entries and the port for upstreams.
  absl::Status Listen(const base::Endpoint& aLinks,
                      const base::Endpoint& aUpstreams);
  void Start();
  // Announces that all upstreams are leaving, rejects new work, and calls aDone
  // once all running work has ended and its results are settled. Call once.
  void Drain(std::function<void()> aDone);

  base::Endpoint LinkEndpoint() const { return m_links.BoundEndpoint(); }
  base::Endpoint UpstreamEndpoint() const { return m_http.BoundEndpoint(); }
  bool Ready() const { return m_watcher.Fresh() && !m_draining; }
  std::string StatusJson() const;

  // UpstreamEvents
  absl::Status Announce(const UpstreamDescription& aDescription,
                        uint32_t aRunning,
                        uint32_t aQueued) override;
  absl::Status ReportLoad(const std::string& aName,
                          uint32_t aRunning,
                          uint32_t aQueued) override;
  absl::Status ReportCacheEvents(const std::string& aName,
                                 uint64_t aSequence,
                                 size_t aCount) override;
  absl::Status Leave(const std::string& aName) override;

  // AttemptHost
  base::TimePoint Now() const override { return m_clock.Now(); }
  absl::Status CheckBeforeSend(const wire::DispatchT& aDispatch) override;
  void OnFirstByte(const AttemptPointer& aAttempt) override;
  void OnSlotFreed(const AttemptPointer& aAttempt,
                   UpstreamOutcome aOutcome) override;
  void OnResult(const AttemptPointer& aAttempt,
                Settlement aSettlement) override;
  void RequestProbe(const std::string& aUpstream) override;
  wire::UpstreamInfoT UpstreamInfoOf(const std::string& aUpstream) override;
  uint64_t CostOf(const std::string& aVersion, const Usage& aUsage) override;
  uint64_t Revision() const override { return m_watcher.Revision(); }

private:
  // Records an event of one attempt in the event log.
  void RecordAttemptEvent(std::string_view aEvent,
                          const wire::DispatchT& aDispatch);
  net::Link::Handlers LinkHandlers();
  void OnLinkOpen(const net::Link::Pointer& aLink);
  void OnLinkClosed(const net::Link::Pointer& aLink);
  void OnMessage(const net::Link::Pointer& aLink, wire::MessageT aMessage);
  void OnDispatch(const net::Link::Pointer& aLink, wire::DispatchT aDispatch);
  void OnResume(const net::Link::Pointer& aLink, const wire::ResumeT& aResume);

  bool WithdrawWaiting(const AttemptPointer& aAttempt);

  // Returns the upstream of aDispatch when the dispatch may be admitted now.
  absl::StatusOr<LockedUpstreamPointer> CheckAdmissible(
    const wire::DispatchT& aDispatch);
  void Admit(const AttemptPointer& aAttempt,
             const LockedUpstreamPointer& aUpstream);
  void LaunchStartable(const LockedUpstreamPointer& aUpstream);
  void RejectAll(const std::vector<AttemptKey>& aKeys,
                 const absl::Status& aReason);
  void DrainUpstream(const LockedUpstreamPointer& aUpstream);
  void HandleLoss(const std::string& aUpstream, const UpstreamLoss& aLoss);
  net::Task<void> Probe(std::string aName, LockedUpstreamPointer aUpstream);

  wire::UpstreamInfoT InfoOf(const UpstreamState& aState) const;
  std::vector<std::unique_ptr<wire::UpstreamInfoT>> AllInfos() const;
  catalog::UpstreamRule RuleOf(const UpstreamDescription& aDescription) const;
  void AnnounceToControl();
  void SendLoadReports();
  void Sweep();
  void SweepUpstream(const LockedUpstreamPointer& aUpstream);
  void SweepAttempt(const AttemptPointer& aAttempt);
  bool IsDrained() const;

  net::asio::io_context& m_context;
  const net::LinkIdentity& m_identity;
  base::EventLog& m_events;
  const base::Clock& m_clock;
  client::ControlLinks m_control;
  client::Watcher m_watcher;
  SettlementPoster m_settlementPoster;
  UpstreamTable m_upstreams;
  AttemptTable m_attempts;
  net::LinkServer m_links;
  UpstreamHttpServer m_http;
  std::atomic<bool> m_draining{ false };
  std::atomic<bool> m_loadChanged{ false };
  std::atomic<uint64_t> m_lossCount{ 0 };
  base::Counter& m_dispatched;
  base::Counter& m_rejected;
  base::Counter& m_lossesTotal;
  base::Counter& m_cacheGaps;
  base::Gauge& m_bufferedBytes;

  std::mutex m_linkLock; // guards m_entryLinks and m_cacheSequence
  std::map<std::string, std::set<net::Link::Pointer>> m_entryLinks;
  std::map<std::string, uint64_t> m_cacheSequence; // last one by upstream
  std::function<void()> m_onDrained;               // set before m_draining
  std::optional<base::TimePoint> m_drainedAt;      // used by Sweep() only
};

} // namespace chivefront::agent
