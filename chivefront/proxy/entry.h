// An entry accepts connections of callers and forwards their requests to
// upstreams.
//
//   proxy::Entry entry(context, options, watch, headerCodec, log, metrics);
//   absl::Status status = entry.Start();
//   ... entry.Ready() ...                    // for the load balancer
//   co_await entry.Drain(noticeTime, maxDuration); // graceful shutdown
#pragma once

#include <memory>
#include <optional>
#include <set>
#include <string>

#include <boost/asio/io_context.hpp>

#include "chivefront/proxy/shared_state.h"

namespace chivefront::proxy {

class CallerConnection;
class Exchange;

struct EntryOptions
{
  base::Endpoint m_listen; // address for callers
  std::string m_domain;    // failure domain of this host
  RetryBudgetLimits m_retryBudget;
  // Connections of callers; below the limit of file descriptors.
  size_t m_maxConnections = 3000;
  // Bodies held over all connections. A body is copied while it is sent on, so
  // this takes up to twice as much; the smallest hosts have 88 MB.
  size_t m_maxHeldBytes = 16 * 1024 * 1024;
  // Length of the windows in which the requests of each team are counted; 0:
  // they are not counted.
  base::Millis m_usageWindow{ 0 };
};

class Entry
{
public:
  Entry(net::asio::io_context& aContext,
        EntryOptions aOptions,
        site::Watch& aWatch,
        const HeaderCodec& aHeaderCodec,
        base::DecisionLog& aLog,
        base::Metrics& aMetrics);
  ~Entry();

  // Returns Unavailable if the address cannot be bound.
  absl::Status Start();
  // Whether the entry has a configuration and is not draining.
  bool Ready() const;

  // Shuts down gracefully. For aNoticeTime requests are still accepted, so that
  // the load balancer can switch to other entries; those that could run for
  // longer than the drain are refused. Then no connection is accepted, and
  // Drain returns when all connections have ended or aMaxDuration after the
  // call. Requests whose response has not begun shortly before are answered.
  net::Task<void> Drain(base::Millis aNoticeTime, base::Millis aMaxDuration);

private:
  net::Task<void> AcceptLoop();
  void Admit(net::asio::ip::tcp::socket aSocket);
  void StopAccepting();
  net::Task<void> Serve(std::shared_ptr<CallerConnection> aCaller);
  net::Task<bool> Sweep();
  void CloseIdle();
  // Closes idle connections until none is left or aUntil has passed.
  net::Task<void> AwaitCallers(base::TimePoint aUntil);

  net::asio::io_context& m_context;
  const EntryOptions m_options;
  site::Watch& m_watch;
  net::asio::ip::tcp::acceptor m_acceptor;
  Upstreams m_upstreams;
  RolloutEvidence m_rolloutEvidence;
  routing::CrashEvidence m_crashEvidence;
  RequestMetrics m_metrics;
  base::Gauge& m_heldBytesGauge;
  std::optional<site::UsageReporter> m_usage; // unset: not counted
  base::Gauge* m_usageDroppedGauge = nullptr; // null if m_usage is unset
  const std::shared_ptr<HeldBytes> m_heldBytes;
  SharedState m_shared;
  std::set<std::shared_ptr<CallerConnection>> m_callers;
  std::set<std::shared_ptr<Exchange>> m_exchanges; // running
};

} // namespace chivefront::proxy
