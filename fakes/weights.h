// A fake of the weight store, over HTTP:
//   GET  /v1/weights/<version>   bytes, or 429 with Retry-After over the rate
//   GET  /fake/history           downloads served and refused
#pragma once

#include <mutex>

#include "chivefront/net/http_server.h"

namespace fakes {

using namespace chivefront;

struct WeightsOptions
{
  base::Endpoint m_listen{ "127.0.0.1", 0 };
  double m_perSecond = 1; // downloads started per second
  double m_burst = 2;     // downloads that may start at once
  uint32_t m_bytes = 1024 * 1024;
};

// A token bucket of downloads; not thread-safe.
class DownloadRate
{
public:
  DownloadRate(double aPerSecond, double aBurst)
    : m_perSecond(aPerSecond)
    , m_burst(aBurst)
    , m_tokens(aBurst)
  {
  }

  // Zero when a download may start now, else the time until the next try.
  base::Millis TryStart(base::TimePoint aNow);

private:
  const double m_perSecond;
  const double m_burst;
  double m_tokens;
  base::TimePoint m_last;
};

class FakeWeights
{
public:
  FakeWeights(net::asio::io_context& aContext, WeightsOptions aOptions);

  absl::Status Start() { return m_server.Listen(m_options.m_listen); }
  base::Endpoint BoundEndpoint() const { return m_server.BoundEndpoint(); }

private:
  net::Task<void> Handle(net::HttpExchange& aExchange);
  net::Task<void> Download(net::HttpExchange& aExchange);

  const WeightsOptions m_options;
  std::mutex m_lock; // guards the next three
  DownloadRate m_rate;
  uint64_t m_served = 0;
  uint64_t m_refused = 0;
  net::HttpServer m_server;
};

} // namespace fakes
