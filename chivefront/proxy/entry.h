// An entry: accepts callers and passes their requests on to upstreams.
//
//   proxy::Entry entry(context, options, watch, dialect, log, metrics);
//   absl::Status status = entry.Start();
//   ... entry.Ready() ...           // for the balancer
//   co_await entry.Drain(time);     // graceful shutdown
#pragma once

#include <memory>
#include <set>
#include <string>

#include <boost/asio/io_context.hpp>

#include "chivefront/proxy/shared_state.h"

namespace chivefront::proxy {

class CallerConnection;

struct EntryOptions
{
  base::Endpoint m_listen; // where callers connect
  std::string m_domain;    // failure domain of this host
  RetryBudgetLimits m_retryBudget;
  size_t m_maxConnections = 3000; // of callers, below the descriptors' limit
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

  // Unavailable when the address can't be bound.
  absl::Status Start();
  // It has a configuration and is not shutting down.
  bool Ready() const;

  // Answers requests for aNotice more with "Connection: close", so that the
  // balancer can move on, then accepts no connection and waits until the
  // requests under way have ended, at most until aMost after the call.
  net::Task<void> Drain(base::Millis aNotice, base::Millis aMost);

private:
  net::Task<void> AcceptLoop();
  net::Task<void> Serve(std::shared_ptr<CallerConnection> aCaller);
  net::Task<bool> Sweep();
  void CloseIdle();

  net::asio::io_context& m_context;
  const EntryOptions m_options;
  site::Watch& m_watch;
  net::asio::ip::tcp::acceptor m_acceptor;
  Upstreams m_upstreams;
  Evidence m_evidence;
  RequestMetrics m_metrics;
  EntryParts m_parts;
  std::set<std::shared_ptr<CallerConnection>> m_callers;
};

} // namespace chivefront::proxy
