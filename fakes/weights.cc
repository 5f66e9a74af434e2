// Rate-limited downloads of the fake weight store.
#include "fakes/weights.h"

#include <algorithm>
#include <cmath>

#include <boost/json.hpp>

namespace fakes {
namespace {

constexpr double kMillisPerSecond = 1000;
constexpr size_t kChunkBytes = 64 * 1024;

} // namespace

base::Millis
DownloadRate::TryStart(base::TimePoint aNow)
{
  const auto elapsedMs = static_cast<double>((aNow - m_last).Count());
  m_last = aNow;
  m_tokens =
    std::min(m_burst, m_tokens + elapsedMs * m_perSecond / kMillisPerSecond);
  if (m_tokens >= 1) {
    m_tokens -= 1;
    return base::Millis(0);
  }
  const double wait = (1 - m_tokens) * kMillisPerSecond / m_perSecond;
  return base::Millis(static_cast<int64_t>(std::ceil(wait)));
}

FakeWeights::FakeWeights(net::asio::io_context& aContext,
                         WeightsOptions aOptions)
  : m_options(aOptions)
  , m_rate(aOptions.m_perSecond, aOptions.m_burst)
  , m_server(aContext, {}, [this](net::HttpExchange& aExchange) {
    return Handle(aExchange);
  })
{
}

net::Task<void>
FakeWeights::Handle(net::HttpExchange& aExchange)
{
  const std::string_view path = aExchange.Request().Path();
  constexpr std::string_view kPrefix = "/v1/weights/";
  if (path.substr(0, kPrefix.size()) == kPrefix) {
    co_await Download(aExchange);
    co_return;
  }
  net::HttpResponse response(404, "application/json", {}, "{}");
  if (path == "/fake/history") {
    const std::lock_guard lock(m_lock);
    response.m_status = 200;
    response.m_body = boost::json::serialize(
      boost::json::object{ { "served", m_served }, { "refused", m_refused } });
  }
  (void)co_await aExchange.Respond(std::move(response));
}

net::Task<void>
FakeWeights::Download(net::HttpExchange& aExchange)
{
  base::Millis wait;
  {
    const std::lock_guard lock(m_lock);
    wait = m_rate.TryStart(base::SteadyClock::Instance().Now());
    ++(wait.Count() == 0 ? m_served : m_refused);
  }
  if (wait.Count() > 0) {
    const auto seconds = static_cast<int64_t>(
      std::ceil(static_cast<double>(wait.Count()) / kMillisPerSecond));
    net::HttpResponse response(429, "application/json", {}, "{}");
    response.m_headers.emplace_back("Retry-After", std::to_string(seconds));
    (void)co_await aExchange.Respond(std::move(response));
    co_return;
  }
  net::HttpHeaders none;
  absl::Status status =
    co_await aExchange.BeginStream(200, "application/octet-stream", none);
  size_t left = m_options.m_bytes;
  while (status.ok() && left > 0) {
    const size_t size = std::min(left, kChunkBytes);
    left -= size;
    std::string chunk(size, 'w');
    status = co_await aExchange.Write(std::move(chunk));
  }
  if (status.ok()) {
    (void)co_await aExchange.EndStream();
  }
}

} // namespace fakes
