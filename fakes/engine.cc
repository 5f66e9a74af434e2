// HTTP interface of the fake engine.
#include "fakes/engine.h"

#include <algorithm>

#include <boost/json.hpp>

#include "chivefront/base/ids.h"

namespace fakes {
namespace {

namespace json = boost::json;

constexpr size_t kBytesPerToken = 4;
// How often a waiting request checks the engine's state.
constexpr base::Millis kPollPeriod{ 2 };
// One of so many cache reports is dropped, because real engines lose some.
constexpr uint64_t kDroppedReportInterval = 10;

base::TimePoint
Now()
{
  return base::SteadyClock::Instance().Now();
}

json::object
ParseObject(const std::string& aText)
{
  boost::system::error_code error;
  json::value value = json::parse(aText, error);
  return !error && value.is_object() ? value.as_object() : json::object();
}

void
ReadFlag(const json::object& aObject, const char* aName, bool& aFlag)
{
  const json::value* value = aObject.if_contains(aName);
  if (value != nullptr && value->is_bool()) {
    aFlag = value->as_bool();
  }
}

void
ReadNumber(const json::object& aObject, const char* aName, uint32_t& aNumber)
{
  const json::value* value = aObject.if_contains(aName);
  boost::system::error_code error;
  if (value != nullptr) {
    const auto number = value->to_number<uint32_t>(error);
    aNumber = error ? aNumber : number;
  }
}

std::string
PromptOf(const json::object& aBody)
{
  std::string prompt;
  const json::value* messages = aBody.if_contains("messages");
  if (messages == nullptr || !messages->is_array()) {
    return prompt;
  }
  for (const json::value& message : messages->as_array()) {
    const json::value* content = message.is_object()
                                   ? message.as_object().if_contains("content")
                                   : nullptr;
    if (content != nullptr && content->is_string()) {
      prompt += content->as_string().c_str();
      prompt += '\n';
    }
  }
  return prompt;
}

json::object
Announcement(const EngineOptions& aOptions,
             const std::string& aIncarnation,
             const std::string& aAddress)
{
  return { { "name", aOptions.m_name },   { "kind", "model" },
           { "model", aOptions.m_model }, { "version", aOptions.m_version },
           { "address", aAddress },       { "incarnation", aIncarnation } };
}

net::HttpResponse
ErrorResponse(int aStatus, const char* aWhy)
{
  json::object body{ { "error", json::object{ { "message", aWhy } } } };
  return { aStatus, "application/json", {}, json::serialize(body) };
}

} // namespace

FakeEngine::FakeEngine(net::asio::io_context& aContext, EngineOptions aOptions)
  : m_context(aContext)
  , m_options(std::move(aOptions))
  , m_record(m_options.m_recordPath)
  , m_incarnation(base::RequestId::Random().ToString())
  , m_server(aContext,
             {},
             [this](net::HttpExchange& aExchange) { return Handle(aExchange); })
  , m_listening(m_server.Listen(m_options.m_listen))
  , m_announcer(
      aContext,
      m_options.m_agent,
      Announcement(m_options,
                   m_incarnation,
                   m_server.BoundEndpoint().ToString()),
      [this] { return DelayedLoad(); },
      [this] {
        const std::lock_guard lock(m_lock);
        return m_frozen || m_crashed;
      })
  , m_model(m_options.m_limits, Now())
  , m_cache(m_options.m_cacheBlocks)
  , m_checksFencing(m_options.m_checksFencing)
  , m_crashMarker(m_options.m_crashMarker)
  , m_answerTokens(m_options.m_answerTokens)
{
}

absl::Status
FakeEngine::Start()
{
  if (m_listening.ok()) {
    m_announcer.Start();
  }
  return m_listening;
}

void
FakeEngine::Crash()
{
  {
    const std::lock_guard lock(m_lock);
    m_crashed = true;
  }
  m_server.StopAccepting();
  m_server.CloseIdle();
  if (m_options.m_onCrash) {
    m_options.m_onCrash();
  }
}

ReportedLoad
FakeEngine::DelayedLoad()
{
  const std::lock_guard lock(m_lock);
  m_loadHistory.push_back({ Now(), { m_model.Running(), m_model.Waiting() } });
  while (m_loadHistory.size() > 1 &&
         Now() - m_loadHistory[1].first >= m_options.m_loadLag) {
    m_loadHistory.pop_front();
  }
  return m_loadHistory.front().second;
}

net::Task<void>
FakeEngine::WaitWhileFrozen()
{
  while (true) {
    {
      const std::lock_guard lock(m_lock);
      if (!m_frozen) {
        co_return;
      }
    }
    co_await net::Sleep(kPollPeriod);
  }
}

net::Task<void>
FakeEngine::Handle(net::HttpExchange& aExchange)
{
  const net::HttpRequest& request = aExchange.Request();
  const std::string_view path = request.Path();
  constexpr std::string_view kRequests = "/v1/requests/";
  if (path == "/fake/behave") {
    co_await HandleBehave(aExchange);
    co_return;
  }
  if (path == "/fake/history") {
    net::HttpResponse response(200, "application/json", {}, History());
    (void)co_await aExchange.Respond(std::move(response));
    co_return;
  }
  co_await WaitWhileFrozen();
  if (path == "/v1/chat/completions") {
    co_await HandleChat(aExchange);
  } else if (path == "/v1/orders") {
    co_await HandleOrder(aExchange);
  } else if (request.m_method == "DELETE" &&
             path.substr(0, kRequests.size()) == kRequests) {
    co_await HandleCancel(aExchange,
                          std::string(path.substr(kRequests.size())));
  } else {
    net::HttpResponse response(200, "text/plain", {}, "ok\n");
    (void)co_await aExchange.Respond(std::move(response));
  }
}

net::Task<void>
FakeEngine::HandleCancel(net::HttpExchange& aExchange, std::string aId)
{
  bool held = true;
  {
    const std::lock_guard lock(m_lock);
    m_model.Cancel(aId);
  }
  while (held) {
    co_await net::Sleep(kPollPeriod);
    const std::lock_guard lock(m_lock);
    held = m_model.Holds(aId) && !m_crashed;
  }
  net::HttpResponse response(200, "application/json", {}, "{}");
  (void)co_await aExchange.Respond(std::move(response));
}

net::Task<void>
FakeEngine::HandleBehave(net::HttpExchange& aExchange)
{
  const json::object body = ParseObject(aExchange.Request().m_body);
  boost::system::error_code error;
  bool exit = false;
  {
    const std::lock_guard lock(m_lock);
    bool cold = false;
    if (const json::value* bad = body.if_contains("bad")) {
      m_lowRatedShare = bad->is_bool() && bad->as_bool() ? 1.0 : 0.0;
    }
    if (const json::value* share = body.if_contains("bad_share")) {
      m_lowRatedShare = share->to_number<double>(error);
    }
    ReadFlag(body, "frozen", m_frozen);
    ReadFlag(body, "refuse", m_refusing);
    ReadFlag(body, "checks_fencing", m_checksFencing);
    ReadFlag(body, "cold", cold);
    ReadFlag(body, "exit", exit);
    ReadNumber(body, "answer_tokens", m_answerTokens);
    ReadNumber(body, "bound", m_model.Limits().m_maxHeld);
    ReadNumber(body, "cold_requests", m_model.Limits().m_coldRequests);
    if (const json::value* marker = body.if_contains("crash_marker");
        marker != nullptr && marker->is_string()) {
      m_crashMarker = marker->as_string().c_str();
    }
    uint32_t tokenMs = 0;
    ReadNumber(body, "token_ms", tokenMs);
    if (tokenMs != 0) {
      m_model.Limits().m_tokenBase = base::Millis(tokenMs);
    }
    if (cold) {
      m_model.BecomeCold(Now());
    }
  }
  net::HttpResponse response(200, "application/json", {}, "{}");
  (void)co_await aExchange.Respond(std::move(response));
  if (exit) {
    Crash();
  }
}

net::Task<void>
FakeEngine::HandleOrder(net::HttpExchange& aExchange)
{
  const json::object body = ParseObject(aExchange.Request().m_body);
  net::HttpResponse response(200, "application/json", {}, "{}");
  const json::value* value = body.if_contains("fence");
  boost::system::error_code error;
  const uint64_t fence =
    value == nullptr ? 0 : value->to_number<uint64_t>(error);
  {
    const std::lock_guard lock(m_lock);
    if (m_checksFencing && fence < m_highestFence) {
      ++m_refusedOrders;
      response = ErrorResponse(409, "fencing number is too old");
    } else {
      m_highestFence = std::max(m_highestFence, fence);
    }
  }
  (void)co_await aExchange.Respond(std::move(response));
}

std::string
FakeEngine::History() const
{
  const std::lock_guard lock(m_lock);
  json::object ran;
  for (const auto& [id, count] : m_model.Ran()) {
    ran[id] = count;
  }
  json::array order;
  for (const std::string& id : m_model.StartOrder()) {
    order.emplace_back(id);
  }
  const json::object history{ { "ran", ran },
                              { "start_order", order },
                              { "largest_held", m_model.LargestHeld() },
                              { "exceeded", m_model.Exceeded() },
                              { "canceled", m_model.CanceledCount() },
                              { "held", m_model.Running() + m_model.Waiting() },
                              { "fence", m_highestFence },
                              { "refused_orders", m_refusedOrders } };
  return json::serialize(history);
}

// --- Requests

FakeEngine::Job
FakeEngine::ReadJob(const net::HttpRequest& aRequest)
{
  const json::object body = ParseObject(aRequest.m_body);
  Job job;
  job.m_id = aRequest.Header("X-Request-Id");
  job.m_prompt = PromptOf(body);
  job.m_paying = aRequest.Header("X-Priority") == "paying";
  ReadFlag(body, "stream", job.m_stream);
  job.m_promptTokens =
    static_cast<uint32_t>(job.m_prompt.size() / kBytesPerToken + 1);
  std::vector<uint64_t> added;
  {
    const std::lock_guard lock(m_lock);
    job.m_tokens = m_answerTokens;
    if (job.m_id.empty()) {
      job.m_id = "unnamed-" + std::to_string(++m_unnamedRequests);
    }
    job.m_cachedTokens =
      static_cast<uint32_t>(m_cache.Use(job.m_prompt, added) / kBytesPerToken);
  }
  ReadNumber(body, "max_tokens", job.m_tokens);
  ReportCache(std::move(added));
  return job;
}

void
FakeEngine::ReportCache(std::vector<uint64_t> aAdded)
{
  if (aAdded.empty()) {
    return;
  }
  uint64_t sequence = 0;
  {
    const std::lock_guard lock(m_lock);
    sequence = ++m_cacheSequence;
  }
  if (sequence % kDroppedReportInterval == 0) {
    return;
  }
  json::array events;
  for (const uint64_t hash : aAdded) {
    events.push_back(json::object{ { "stored", hash } });
  }
  json::object body{ { "name", m_options.m_name },
                     { "sequence", sequence },
                     { "events", events } };
  net::Spawn(
    m_context.get_executor(),
    "engine",
    [this, body = std::move(body)]() -> net::Task<void> {
      return [](FakeEngine& aSelf, json::object aBody) -> net::Task<void> {
        co_await net::Sleep(aSelf.m_options.m_cacheLag);
        co_await aSelf.m_announcer.Post("/v1/cache-events", std::move(aBody));
      }(*this, body);
    });
}

} // namespace fakes
