// Construction of the entry's components, reports of lost upstreams, shutdown.
#include "chivefront/entry/core.h"

#include <map>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "chivefront/base/log.h"

namespace chivefront::entry {
namespace detail {

constexpr base::Millis kDrainPollInterval{ 20 };
// The report of a loss is retried for this time, because the requests that ran
// on the lost upstream may be sent again.
constexpr base::Millis kLossReportTimeout{ 10000 };

// A name that is unique to this incarnation of the process.
std::string
HolderName(const net::LinkIdentity& aIdentity)
{
  return aIdentity.m_process + "#" + std::to_string(aIdentity.m_incarnation);
}

std::string
Hex(uint64_t aNumber)
{
  constexpr size_t kDigits = 16;
  std::string text(kDigits, '0');
  for (size_t i = 0; i < kDigits; ++i) {
    text[kDigits - 1 - i] = "0123456789abcdef"[(aNumber >> (4 * i)) & 15U];
  }
  return text;
}

} // namespace detail

EntryCore::EntryCore(net::asio::io_context& aContext,
                     const net::LinkIdentity& aIdentity,
                     std::vector<base::Endpoint> aControl,
                     const EntryLimits& aLimits,
                     const net::HttpLimits& aHttp,
                     base::EventLog& aEvents,
                     base::Metrics& aMetrics)
  : m_context(aContext)
  , m_events(aEvents)
  , m_control(aContext, aIdentity, std::move(aControl))
  , m_watcher(aContext,
              m_control,
              detail::HolderName(aIdentity),
              wire::Role::Entry,
              base::SteadyClock::Instance(),
              aEvents)
  , m_ledger(m_control)
  , m_agents(
      aContext,
      aIdentity,
      m_running,
      [this](uint64_t aIncarnation,
             const std::vector<RunningAttempt>& aAttempts) {
        OnAgentLost(aIncarnation, aAttempts);
      },
      [this](const wire::UpstreamInfoT& aInfo) {
        m_placementQueue.UpdateLoad(aInfo);
      })
  , m_placementQueue(m_agents,
                     m_watcher,
                     aIdentity.m_failureDomain,
                     aLimits.m_queueCapacity,
                     aMetrics)
  , m_components{ detail::HolderName(aIdentity),
                  aIdentity.m_failureDomain,
                  aLimits,
                  m_watcher,
                  m_ledger,
                  m_agents,
                  m_placementQueue,
                  m_running,
                  aEvents,
                  aMetrics,
                  base::SteadyClock::Instance(),
                  aContext.get_executor() }
  , m_flows(m_components)
  , m_server(aContext, m_flows, aHttp)
{
}

absl::Status
EntryCore::Start(const base::Endpoint& aCallers)
{
  if (const absl::Status status = m_server.Listen(aCallers); !status.ok()) {
    return status;
  }
  m_watcher.OnChange([this](const client::ViewPointer& aView) {
    // Placement comes first, so that it knows an upstream before the link to
    // its agent opens on another thread.
    m_placementQueue.Update(*aView);
    m_agents.Update(*aView);
    m_flows.OnView(*aView);
    m_flows.m_evidence.SetRollouts(*aView->m_catalog);
  });
  m_watcher.SetEvidenceSource(
    [this](uint64_t) { return m_flows.m_evidence.Totals(); });
  m_control.Start();
  m_watcher.Start();
  return absl::OkStatus();
}

std::string
EntryCore::Status() const
{
  boost::json::object status;
  status["running"] = m_running.Size();
  status["agents"] = m_agents.ConnectedCount();
  status["revision"] = m_watcher.Revision();
  status["fresh"] = m_watcher.Fresh();
  status["leaving"] = m_shuttingDown.load();
  return boost::json::serialize(status);
}

net::Task<void>
EntryCore::ReportLoss(wire::ReportLossT aLoss)
{
  const std::string shard = detail::Hex(aLoss.fingerprints.front());
  const base::TimePoint until =
    base::SteadyClock::Instance().Now() + detail::kLossReportTimeout;
  const auto reply = co_await m_ledger.Run(shard, std::move(aLoss), until);
  if (!reply.ok()) {
    base::LogWarning("entry",
                     "could not report the loss of an upstream to the ledger",
                     { { "why", base::MessageOf(reply.status()) } });
  }
}

void
EntryCore::OnAgentLost(uint64_t aIncarnation,
                       const std::vector<RunningAttempt>& aAttempts)
{
  std::map<std::string, wire::ReportLossT> losses; // by upstream
  for (const RunningAttempt& attempt : aAttempts) {
    wire::ReportLossT& loss = losses[attempt.m_upstream];
    loss.loss_id = std::to_string(aIncarnation) + "/" + attempt.m_upstream;
    loss.fingerprints.push_back(attempt.m_fingerprint);
  }
  for (const auto& [upstream, loss] : losses) {
    m_events.Record(
      "upstream_lost",
      { { "upstream", upstream },
        { "loss", loss.loss_id },
        { "running", std::to_string(loss.fingerprints.size()) } });
    net::Spawn(
      net::asio::make_strand(m_context),
      "entry",
      [this, loss = loss]() -> net::Task<void> { return ReportLoss(loss); });
  }
}

net::Task<void>
EntryCore::DrainAndStop(base::Millis aAcceptFor, std::function<void()> aDone)
{
  co_await net::Sleep(aAcceptFor);
  m_server.Http().StopAccepting();
  m_events.Record("accepting_stopped");
  // A handler returns only after the bill and the claim of its request.
  while (m_server.Http().ActiveRequests() > 0) {
    co_await net::Sleep(detail::kDrainPollInterval);
  }
  m_server.Http().CloseIdle();
  m_watcher.Stop();
  m_agents.Stop();
  m_control.Stop();
  m_events.Record("drained");
  aDone();
}

void
EntryCore::BeginShutdown(base::Millis aAcceptFor, std::function<void()> aDone)
{
  if (m_shuttingDown.exchange(true)) {
    return;
  }
  m_events.Record("shutdown_began");
  net::Spawn(net::asio::make_strand(m_context),
             "entry",
             [this, aAcceptFor, done = std::move(aDone)]() -> net::Task<void> {
               return DrainAndStop(aAcceptFor, done);
             });
}

} // namespace chivefront::entry
