// The long-lived parts of an entry process that its request flows share.
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
  // Answer bytes an agent may have under way to one reader. With the slack of
  // one piece (16 KiB), one cut event (8 KiB) and the beginning that is kept
  // for rating (8 KiB) a reader holds at most 64 KiB of answer data here.
  size_t m_windowBytes = 16 * 1024;
  // Answers that are not streamed are held whole until the bill is durable.
  size_t m_maxAnswerBytes = 1024 * 1024;
  base::Millis m_deadline{ 60000 };
  // How long a stream waits for a new link to its agent. Longer than the
  // detection of a silent link (1500 ms) is not needed, because the wait
  // starts when the link is closed.
  base::Millis m_reconnect{ 3000 };
  // A ledger command is repeated this long; bridges an election (about 1 s).
  base::Millis m_ledger{ 4000 };
  // Requests that wait here for one version or service.
  size_t m_queue = 1000;
  // The rating service; without one nothing is rated or escalated.
  std::optional<base::Endpoint> m_rating;
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
  // For work that no caller waits for.
  net::asio::any_io_executor m_background;
};

} // namespace chivefront::entry
