// All components of an entry process, connected to each other.
//
//   EntryCore core(context, identity, control, limits, http, events, metrics);
//   absl::Status status = core.Start(callersEndpoint);
//   ...
//   core.BeginShutdown(acceptFor, [&] { loop.Stop(); });
#pragma once

#include <atomic>
#include <functional>
#include <vector>

#include "chivefront/entry/server.h"

namespace chivefront::entry {

class EntryCore
{
public:
  EntryCore(net::asio::io_context& aContext,
            const net::LinkIdentity& aIdentity,
            std::vector<base::Endpoint> aControl,
            const EntryLimits& aLimits,
            const net::HttpLimits& aHttp,
            base::EventLog& aEvents,
            base::Metrics& aMetrics);

  // Opens the callers' port and starts to watch the configuration and the
  // registry.
  absl::Status Start(const base::Endpoint& aCallers);

  // True when the load balancer may send requests to this entry.
  bool Ready() const
  {
    return !m_shuttingDown && m_watcher.Fresh() && m_watcher.HasFullRegistry();
  }
  // The status as JSON for the admin port.
  std::string Status() const;

  // Fails readiness at once and keeps accepting requests for aAcceptFor, so
  // that the load balancer notices. Then drains the running requests with their
  // bills and calls aDone. Further calls have no effect.
  void BeginShutdown(base::Millis aAcceptFor, std::function<void()> aDone);

  client::Watcher& Watcher() { return m_watcher; }
  AgentLinks& Agents() { return m_agents; }
  FlowComponents& Flows() { return m_flows; }
  RunningRequests& Running() { return m_running; }
  base::Endpoint Callers() const { return m_server.BoundEndpoint(); }

private:
  void OnAgentLost(uint64_t aIncarnation,
                   const std::vector<RunningAttempt>& aAttempts);
  net::Task<void> ReportLoss(wire::ReportLossT aLoss);
  net::Task<void> DrainAndStop(base::Millis aAcceptFor,
                               std::function<void()> aDone);

  net::asio::io_context& m_context;
  base::EventLog& m_events;
  std::atomic<bool> m_shuttingDown{ false };
  client::ControlLinks m_control;
  client::Watcher m_watcher;
  client::LedgerClient m_ledger;
  RunningRequests m_running;
  AgentLinks m_agents;
  PlacementQueue m_placementQueue;
  EntryComponents m_components;
  FlowComponents m_flows;
  EntryServer m_server;
};

} // namespace chivefront::entry
