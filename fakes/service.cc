// HTTP interface of the fake service.
#include "fakes/service.h"

#include <algorithm>

#include <boost/json.hpp>

#include "chivefront/base/ids.h"

namespace fakes {
namespace {

namespace json = boost::json;

json::object
Announcement(const ServiceOptions& aOptions, const std::string& aAddress)
{
  return { { "name", aOptions.m_name },
           { "kind", "plain" },
           { "service", aOptions.m_service },
           { "address", aAddress },
           { "incarnation", base::RequestId::Random().ToString() } };
}

} // namespace

FakeService::FakeService(net::asio::io_context& aContext,
                         ServiceOptions aOptions)
  : m_options(std::move(aOptions))
  , m_record(m_options.m_recordPath)
  , m_server(aContext,
             {},
             [this](net::HttpExchange& aExchange) { return Handle(aExchange); })
  , m_listening(m_server.Listen(m_options.m_listen))
  , m_announcer(
      aContext,
      m_options.m_agent,
      Announcement(m_options, m_server.BoundEndpoint().ToString()),
      [this] {
        const std::lock_guard lock(m_lock);
        return ReportedLoad{ m_running, 0 };
      },
      [this] {
        const std::lock_guard lock(m_lock);
        return m_crashed;
      })
  , m_slow(m_options.m_slow)
{
}

absl::Status
FakeService::Start()
{
  if (m_listening.ok()) {
    m_announcer.Start();
  }
  return m_listening;
}

net::Task<void>
FakeService::Handle(net::HttpExchange& aExchange)
{
  const std::string_view path = aExchange.Request().Path();
  constexpr std::string_view kPrefix = "/v1/services/";
  if (path == "/fake/behave") {
    co_await HandleBehave(aExchange);
  } else if (path == "/fake/history") {
    net::HttpResponse response(200, "application/json", {}, History());
    (void)co_await aExchange.Respond(std::move(response));
  } else if (path.substr(0, kPrefix.size()) == kPrefix) {
    co_await Execute(aExchange);
  } else {
    net::HttpResponse response(200, "text/plain", {}, "ok\n");
    (void)co_await aExchange.Respond(std::move(response));
  }
}

net::Task<void>
FakeService::HandleBehave(net::HttpExchange& aExchange)
{
  boost::system::error_code error;
  const json::value body = json::parse(aExchange.Request().m_body, error);
  if (!error && body.is_object()) {
    const std::lock_guard lock(m_lock);
    const json::object& fields = body.as_object();
    if (const auto* slow = fields.if_contains("slow_ms")) {
      m_slow = base::Millis(slow->to_number<int64_t>(error));
    }
    if (const auto* crash = fields.if_contains("die_after_execute")) {
      m_crashAfterExecute = crash->is_bool() && crash->as_bool();
    }
  }
  net::HttpResponse response(200, "application/json", {}, "{}");
  (void)co_await aExchange.Respond(std::move(response));
}

net::Task<void>
FakeService::Execute(net::HttpExchange& aExchange)
{
  const net::HttpRequest& request = aExchange.Request();
  std::string id(request.Header("Idempotency-Key"));
  if (id.empty()) {
    id = request.Header("X-Request-Id");
  }
  m_record.Add(id);
  base::Millis slow;
  uint32_t executions = 0;
  {
    const std::lock_guard lock(m_lock);
    executions = ++m_executed[id];
    slow = m_slow;
    m_largestRunning = std::max(m_largestRunning, ++m_running);
  }
  co_await net::Sleep(slow);
  bool crashes = false;
  {
    const std::lock_guard lock(m_lock);
    --m_running;
    m_crashed = m_crashed || m_crashAfterExecute;
    crashes = m_crashed;
  }
  if (crashes) {
    m_server.StopAccepting();
    if (m_options.m_onCrash) {
      m_options.m_onCrash();
    }
    co_return; // the connection closes without a response
  }
  const json::object answer{ { "id", id },
                             { "executions", executions },
                             { "method", request.m_method },
                             { "target", request.m_target },
                             { "received_bytes", request.m_body.size() } };
  net::HttpResponse response(
    200, "application/json", {}, json::serialize(answer));
  (void)co_await aExchange.Respond(std::move(response));
}

std::string
FakeService::History() const
{
  const std::lock_guard lock(m_lock);
  json::object executed;
  uint32_t most = 0;
  for (const auto& [id, count] : m_executed) {
    executed[id] = count;
    most = std::max(most, count);
  }
  return json::serialize(
    json::object{ { "executed", executed },
                  { "most_executions", most },
                  { "largest_running", m_largestRunning } });
}

} // namespace fakes
