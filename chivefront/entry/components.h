// The components of an entry process that all requests share, and its limits.
#pragma once

#include <optional>
#include <string>

#include "chivefront/base/events.h"
#include "chivefront/base/metrics.h"
#include "chivefront/base/settings.h"
#include "chivefront/client/ledger_client.h"
#include "chivefront/client/watcher.h"
#include "chivefront/entry/agents.h"
#include "chivefront/entry/placement.h"
#include "chivefront/entry/running_requests.h"

namespace chivefront::entry {

struct EntryLimits
{
  // Flow control window of one answer: the bytes that an agent may have in
  // flight to one reader. With the slack of one piece (16 KiB), one incomplete
  // event (8 KiB) and the beginning that is kept for rating (8 KiB), an entry
  // holds at most 64 KiB of answer data for one reader.
  size_t m_windowBytes = 16 * 1024;
  // Limit of an answer that is not streamed. Such an answer is held in memory
  // until its bill is durable.
  size_t m_maxAnswerBytes = 1024 * 1024;
  base::Millis m_deadline{ 60000 }; // of requests that give none
  // How long an attempt waits for a new link to its agent. It need not include
  // the time to detect a silent link (1500 ms), because the wait starts when
  // the link is closed.
  base::Millis m_reconnectTimeout{ 3000 };
  // A ledger command is retried for this time, which is longer than an election
  // (about 1 s).
  base::Millis m_ledgerTimeout{ 4000 };
  // Requests that may wait in this entry for one version or service.
  size_t m_queueCapacity = 1000;
  // The rating service; without it, nothing is rated or escalated.
  std::optional<base::Endpoint> m_ratingEndpoint;
  base::Millis m_ratingTimeout{ 2000 };
};

struct EntryComponents
{
  std::string m_name;
  std::string m_failureDomain;
  EntryLimits m_limits;
  const client::Watcher& m_watcher;
  client::LedgerClient& m_ledger;
  AgentLinks& m_agents;
  PlacementQueue& m_placementQueue;
  RunningRequests& m_running;
  base::EventLog& m_events;
  base::Metrics& m_metrics;
  const base::Clock& m_clock;
  // Executor for work for which no caller waits.
  net::asio::any_io_executor m_background;
};

} // namespace chivefront::entry
