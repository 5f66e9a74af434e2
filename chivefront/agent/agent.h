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

#include "chivefront/agent/settler.h"
#include "chivefront/agent/tables.h"
#include "chivefront/agent/upstream_events.h"
#include "chivefront/agent/upstream_http.h"
#include "chivefront/client/watcher.h"

namespace chivefront::agent {

class Agent final
  : public UpstreamEvents
  , public RunHost
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
  // Announces that all upstreams leave, refuses new work, and calls aDone
  // once running work has ended and everything is settled. Call once.
  void Drain(std::function<void()> aDone);

  base::Endpoint LinkEndpoint() const { return m_links.BoundEndpoint(); }
  base::Endpoint UpstreamEndpoint() const { return m_http.BoundEndpoint(); }
  bool Ready() const { return m_watcher.Fresh() && !m_draining; }
  std::string StatusJson() const;

  // UpstreamEvents
  absl::Status Announce(const UpstreamFacts& aFacts,
                        uint32_t aRunning,
                        uint32_t aQueued) override;
  absl::Status Load(const std::string& aName,
                    uint32_t aRunning,
                    uint32_t aQueued) override;
  absl::Status CacheEvents(const std::string& aName,
                           uint64_t aSequence,
                           size_t aCount) override;
  absl::Status End(const std::string& aName) override;

  // RunHost
  base::TimePoint Now() const override { return m_clock.Now(); }
  absl::Status CheckBeforeSend(const wire::DispatchT& aDispatch) override;
  void FirstByte(const RunPointer& aRun) override;
  void SlotFreed(const RunPointer& aRun, Ending aEnding) override;
  void ResultKnown(const RunPointer& aRun, Settlement aSettlement) override;
  void Suspect(const std::string& aUpstream) override;
  wire::UpstreamInfoT LoadOf(const std::string& aUpstream) override;
  uint64_t CostOf(const std::string& aVersion, const Usage& aUsage) override;
  uint64_t Revision() const override { return m_watcher.Revision(); }

private:
  // One event of a run for the time line.
  void RecordRun(std::string_view aEvent, const wire::DispatchT& aDispatch);
  net::Link::Handlers LinkHandlers();
  void OnLinkOpen(const net::Link::Pointer& aLink);
  void OnLinkClosed(const net::Link::Pointer& aLink);
  void OnMessage(const net::Link::Pointer& aLink, wire::MessageT aMessage);
  void OnDispatch(const net::Link::Pointer& aLink, wire::DispatchT aDispatch);
  void OnResume(const net::Link::Pointer& aLink, const wire::ResumeT& aResume);

  bool WithdrawWaiting(const RunPointer& aRun);

  // OK and the shard when aDispatch may be admitted now.
  absl::StatusOr<ShardPointer> Check(const wire::DispatchT& aDispatch);
  void Admit(const RunPointer& aRun, const ShardPointer& aShard);
  void LaunchNext(const ShardPointer& aShard);
  void RejectAll(const std::vector<RunKey>& aKeys, const absl::Status& aWhy);
  void LeaveUpstream(const ShardPointer& aShard);
  void HandleLoss(const std::string& aUpstream, const Loss& aLoss);
  net::Task<void> Probe(std::string aUpstream, ShardPointer aShard);

  wire::UpstreamInfoT InfoOf(const UpstreamState& aState) const;
  std::vector<std::unique_ptr<wire::UpstreamInfoT>> AllInfos() const;
  catalog::UpstreamRule RuleOf(const UpstreamFacts& aFacts) const;
  void AnnounceAll();
  void ReportLoad();
  void Sweep();
  void SweepUpstream(const ShardPointer& aShard);
  void SweepRun(const RunPointer& aRun);
  bool Drained() const;

  net::asio::io_context& m_context;
  const net::LinkIdentity& m_identity;
  base::EventLog& m_events;
  const base::Clock& m_clock;
  client::ControlLinks m_control;
  client::Watcher m_watcher;
  Settler m_settler;
  UpstreamTable m_upstreams;
  RunTable m_runs;
  net::LinkServer m_links;
  UpstreamHttp m_http;
  std::atomic<bool> m_draining{ false };
  std::atomic<bool> m_loadChanged{ false };
  std::atomic<uint64_t> m_losses{ 0 };
  base::Counter& m_dispatched;
  base::Counter& m_rejected;
  base::Counter& m_lost;
  base::Counter& m_cacheGaps;
  base::Gauge& m_buffered;

  std::mutex m_linkLock; // guards the next two
  std::map<std::string, std::set<net::Link::Pointer>> m_entryLinks;
  std::map<std::string, uint64_t> m_cacheSequence; // by upstream
  std::function<void()> m_onDrained;               // set before m_draining
  std::optional<base::TimePoint> m_drainedAt;      // used by Sweep only
};

} // namespace chivefront::agent
