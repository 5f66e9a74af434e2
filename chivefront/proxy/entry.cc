// Accepts connections of callers and drains them at shutdown.
#include "chivefront/proxy/entry.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "chivefront/base/errors.h"
#include "chivefront/base/ids.h"
#include "chivefront/net/accept_pending.h"
#include "chivefront/proxy/caller_connection.h"
#include "chivefront/proxy/exchange.h"

namespace chivefront::proxy {
using boost::system::error_code;
using Tcp = net::asio::ip::tcp;

namespace detail {

constexpr base::Millis kSweepPeriod{ 500 };
constexpr base::Millis kAcceptRetryDelay{ 50 };
constexpr base::Millis kDrainPollPeriod{ 20 };
// Part of the drain in which the requests that still run are answered.
constexpr base::Millis kLastAnswersTime{ 100 };
// Limits of callers before the first configuration.
constexpr routing::CallerLimits kDefaultLimits{};

} // namespace detail

Entry::Entry(net::asio::io_context& aContext,
             EntryOptions aOptions,
             site::Watch& aWatch,
             const HeaderCodec& aHeaderCodec,
             base::DecisionLog& aLog,
             base::Metrics& aMetrics)
  : m_context(aContext)
  , m_options(std::move(aOptions))
  , m_watch(aWatch)
  , m_acceptor(aContext)
  , m_upstreams(aWatch, base::SteadyClock::Instance(), base::RandomBits())
  , m_rolloutEvidence(aWatch)
  , m_metrics(aMetrics)
  , m_heldBytesGauge(
      aMetrics.AddGauge("chivefront_proxy_held_bytes",
                        "Bodies of requests and answers that are held."))
  , m_heldBytes(std::make_shared<HeldBytes>(m_options.m_maxHeldBytes))
  , m_shared{ base::SteadyClock::Instance(),
              aWatch,
              m_upstreams,
              aHeaderCodec,
              m_rolloutEvidence,
              m_crashEvidence,
              aLog,
              m_metrics,
              m_heldBytes,
              m_options.m_domain,
              m_options.m_retryBudget }
{
  if (m_options.m_usageWindow > base::Millis(0)) {
    m_usage.emplace(
      m_options.m_usageWindow, m_shared.m_clock, base::WallClockMillis);
    m_shared.m_usage = &*m_usage;
    m_usageDroppedGauge = &aMetrics.AddGauge(
      "chivefront_proxy_usage_dropped",
      "Runs that were not counted since the start: too many teams.");
    aWatch.SetUsageReporter(m_shared.m_usage);
  }
  aWatch.SetEvidenceSource([this] { return m_rolloutEvidence.Rows(); });
  aWatch.SetCrashReportSource(
    [this](const std::set<routing::CauseKey>& aSuspects) {
      return m_crashEvidence.Report(aSuspects, m_shared.m_clock.Now());
    });
  aWatch.SetRateExchange([this] { return m_upstreams.MakeRateReport(); },
                         [this](const site::RateAnswer& aAnswer) {
                           m_upstreams.AcceptRates(aAnswer);
                         });
  aWatch.SetLoadSource([this] {
    const routing::ConfigPointer& config = m_watch.View().m_config;
    return config ? m_shared.m_loads.Rows(*config)
                  : std::vector<site::EntryLoad>();
  });
}

Entry::~Entry() = default;

absl::Status
Entry::Start()
{
  error_code error;
  const auto address =
    net::asio::ip::make_address(m_options.m_listen.m_address, error);
  if (error) {
    return base::MakeError(base::ErrorKind::Unavailable, error.message());
  }
  const Tcp::endpoint endpoint(address, m_options.m_listen.m_port);
  m_acceptor.open(endpoint.protocol(), error);
  m_acceptor.set_option(net::asio::socket_base::reuse_address(true), error);
  m_acceptor.bind(endpoint, error);
  if (!error) {
    m_acceptor.listen(net::asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return base::MakeError(base::ErrorKind::Unavailable,
                           m_options.m_listen.ToString() + ": " +
                             error.message());
  }
  net::Spawn(m_context.get_executor(), "entry", [this]() -> net::Task<void> {
    return AcceptLoop();
  });
  net::SpawnPeriodic(m_context.get_executor(),
                     "entry",
                     detail::kSweepPeriod,
                     [this] { return Sweep(); });
  return absl::OkStatus();
}

bool
Entry::Ready() const
{
  return m_watch.View().m_config != nullptr && !m_shared.m_draining;
}

net::Task<bool>
Entry::Sweep()
{
  m_upstreams.Sweep();
  m_heldBytesGauge.Set(static_cast<int64_t>(m_heldBytes->Total()));
  if (m_usage) {
    m_usageDroppedGauge->Set(static_cast<int64_t>(m_usage->DroppedCount()));
  }
  co_return true;
}

net::Task<void>
Entry::AcceptLoop()
{
  while (m_acceptor.is_open()) {
    error_code error;
    Tcp::socket socket = co_await m_acceptor.async_accept(
      net::asio::redirect_error(net::asio::use_awaitable, error));
    if (error == net::asio::error::operation_aborted) {
      co_return;
    }
    if (error) {
      m_shared.m_log.Record("accept_failed",
                            base::LogCategory::State,
                            { { "why", error.message() } });
      co_await net::Sleep(detail::kAcceptRetryDelay);
      continue;
    }
    Admit(std::move(socket));
  }
}

void
Entry::Admit(Tcp::socket aSocket)
{
  if (m_callers.size() >= m_options.m_maxConnections) {
    m_shared.m_log.Record(
      "caller_turned_away",
      base::LogCategory::Failure,
      { { "connections", static_cast<uint64_t>(m_callers.size()) } });
    return; // the socket's destructor closes the connection
  }
  auto caller =
    std::make_shared<CallerConnection>(std::move(aSocket), m_heldBytes);
  m_callers.insert(caller);
  net::Spawn(m_context.get_executor(),
             "entry",
             [this, caller]() -> net::Task<void> { return Serve(caller); });
}

// Admits the connections that the kernel has accepted already. The close of the
// listening socket would reset them, with the requests that they have sent.
void
Entry::StopAccepting()
{
  for (Tcp::socket& socket : net::AcceptPending(m_acceptor)) {
    Admit(std::move(socket));
  }
  error_code ignored; // the acceptor is not used again
  m_acceptor.close(ignored);
}

net::Task<void>
Entry::Serve(std::shared_ptr<CallerConnection> aCaller)
{
  bool keepAlive = true;
  while (keepAlive) {
    const routing::ConfigPointer config = m_watch.View().m_config;
    const routing::CallerLimits limits =
      config ? config->Limits() : detail::kDefaultLimits;
    const ReadResult result = co_await aCaller->ReadRequest(limits);
    if (result == ReadResult::Refused) {
      m_shared.m_log.Record(
        "request_unreadable",
        base::LogCategory::Failure,
        { { "status", aCaller->RefusedStatus() },
          { "held_bytes", static_cast<uint64_t>(m_heldBytes->Total()) } });
    }
    if (result != ReadResult::Request) {
      break;
    }
    const auto exchange = std::make_shared<Exchange>(m_shared, aCaller);
    m_exchanges.insert(exchange);
    co_await exchange->Run();
    m_exchanges.erase(exchange);
    keepAlive = aCaller->KeepAlive() && !m_shared.m_draining;
  }
  aCaller->Close();
  m_callers.erase(aCaller);
}

void
Entry::CloseIdle()
{
  for (const auto& caller : m_callers) {
    caller->CloseIfIdle();
  }
}

net::Task<void>
Entry::AwaitCallers(base::TimePoint aUntil)
{
  while (!m_callers.empty() && m_shared.m_clock.Now() < aUntil) {
    CloseIdle();
    co_await net::Sleep(detail::kDrainPollPeriod);
  }
}

net::Task<void>
Entry::Drain(base::Millis aNoticeTime, base::Millis aMaxDuration)
{
  const base::TimePoint exit = m_shared.m_clock.Now() + aMaxDuration;
  m_shared.m_draining = true;
  m_shared.m_drainEnd = exit - detail::kLastAnswersTime;
  m_shared.m_log.Record(
    "draining",
    base::LogCategory::State,
    { { "connections", static_cast<uint64_t>(m_callers.size()) } });
  co_await net::Sleep(aNoticeTime);
  StopAccepting();
  co_await AwaitCallers(m_shared.m_drainEnd);
  uint64_t requestsEnded = 0;
  for (const auto& exchange : m_exchanges) {
    requestsEnded += exchange->EndForShutdown() ? 1 : 0;
  }
  co_await AwaitCallers(exit);
  m_shared.m_log.Record(
    "drained",
    base::LogCategory::State,
    { { "connections_cut", static_cast<uint64_t>(m_callers.size()) },
      { "requests_ended", requestsEnded } });
}

} // namespace chivefront::proxy
