// HTTP side of the fake engine.
#include "fakes/engine.h"

#include <algorithm>

#include <boost/json.hpp>

#include "chivefront/base/ids.h"

namespace fakes {
namespace {

namespace json = boost::json;

constexpr size_t kBytesPerToken = 4;
// How often a waiting request looks whether something changed for it.
constexpr base::Millis kPoll{ 2 };
constexpr int kMicrosPerMilli = 1000;
// Every so many cache events one is left out, as real engines lose some.
constexpr uint64_t kCacheGap = 10;

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
  , m_incarnation(base::RequestId::Random().ToString())
  , m_server(aContext,
             {},
             [this](net::HttpExchange& aExchange) { return Handle(aExchange); })
  , m_listening(m_server.Listen(m_options.m_listen))
  , m_announcer(
      aContext,
      m_options.m_agent,
      Announcement(m_options, m_incarnation, m_server.Bound().ToString()),
      [this] { return LoadWithLag(); },
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
FakeEngine::LoadWithLag()
{
  const std::lock_guard lock(m_lock);
  m_loads.push_back({ Now(), { m_model.Running(), m_model.Waiting() } });
  while (m_loads.size() > 1 &&
         Now() - m_loads[1].first >= m_options.m_loadLag) {
    m_loads.pop_front();
  }
  return m_loads.front().second;
}

net::Task<void>
FakeEngine::WhileFrozen()
{
  while (true) {
    {
      const std::lock_guard lock(m_lock);
      if (!m_frozen) {
        co_return;
      }
    }
    co_await net::Sleep(kPoll);
  }
}

net::Task<void>
FakeEngine::Handle(net::HttpExchange& aExchange)
{
  const net::HttpRequest& request = aExchange.Request();
  const std::string_view path = request.Path();
  constexpr std::string_view kRequests = "/v1/requests/";
  if (path == "/fake/behave") {
    co_await Behave(aExchange);
    co_return;
  }
  if (path == "/fake/history") {
    net::HttpResponse response(200, "application/json", {}, History());
    (void)co_await aExchange.Respond(std::move(response));
    co_return;
  }
  co_await WhileFrozen();
  if (path == "/v1/chat/completions") {
    co_await HandleChat(aExchange);
  } else if (path == "/v1/orders") {
    co_await Order(aExchange);
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
    co_await net::Sleep(kPoll);
    const std::lock_guard lock(m_lock);
    held = m_model.Holds(aId) && !m_crashed;
  }
  net::HttpResponse response(200, "application/json", {}, "{}");
  (void)co_await aExchange.Respond(std::move(response));
}

net::Task<void>
FakeEngine::Behave(net::HttpExchange& aExchange)
{
  const json::object body = ParseObject(aExchange.Request().m_body);
  bool exit = false;
  {
    const std::lock_guard lock(m_lock);
    bool cold = false;
    ReadFlag(body, "bad", m_bad);
    ReadFlag(body, "frozen", m_frozen);
    ReadFlag(body, "refuse", m_refusing);
    ReadFlag(body, "checks_fencing", m_checksFencing);
    ReadFlag(body, "cold", cold);
    ReadFlag(body, "exit", exit);
    ReadNumber(body, "answer_tokens", m_answerTokens);
    ReadNumber(body, "bound", m_model.Limits().m_bound);
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
FakeEngine::Order(net::HttpExchange& aExchange)
{
  const json::object body = ParseObject(aExchange.Request().m_body);
  net::HttpResponse response(200, "application/json", {}, "{}");
  const json::value* value = body.if_contains("fence");
  boost::system::error_code error;
  const uint64_t fence =
    value == nullptr ? 0 : value->to_number<uint64_t>(error);
  {
    const std::lock_guard lock(m_lock);
    if (m_checksFencing && fence < m_fence) {
      ++m_refusedOrders;
      response = ErrorResponse(409, "fencing number is too old");
    } else {
      m_fence = std::max(m_fence, fence);
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
                              { "fence", m_fence },
                              { "refused_orders", m_refusedOrders } };
  return json::serialize(history);
}

// --- Requests
// -----------------------------------------------------------------

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
      job.m_id = "unnamed-" + std::to_string(++m_unnamed);
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
  if (sequence % kCacheGap == 0) {
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

FakeEngine::Step
FakeEngine::StepOf(const Job& aJob) const
{
  if (m_crashed) {
    return Step::Crashed;
  }
  return m_model.Canceled(aJob.m_id) ? Step::Canceled : Step::Go;
}

net::Task<FakeEngine::Step>
FakeEngine::WaitForBatch(const Job& aJob)
{
  while (true) {
    {
      const std::lock_guard lock(m_lock);
      const Step step = StepOf(aJob);
      if (step != Step::Go || m_model.InBatch(aJob.m_id)) {
        co_return step;
      }
    }
    co_await net::Sleep(kPoll);
  }
}

net::Task<FakeEngine::Step>
FakeEngine::WaitForToken(const Job& aJob)
{
  base::Millis span;
  {
    const std::lock_guard lock(m_lock);
    span = m_model.TokenTime();
  }
  co_await net::Sleep(span);
  co_await WhileFrozen();
  const std::lock_guard lock(m_lock);
  co_return StepOf(aJob);
}

net::Task<void>
FakeEngine::HandleChat(net::HttpExchange& aExchange)
{
  const Job job = ReadJob(aExchange.Request());
  bool crash = false;
  bool refuse = false;
  {
    const std::lock_guard lock(m_lock);
    refuse = m_refusing || m_crashed;
    crash = !m_crashMarker.empty() &&
            job.m_prompt.find(m_crashMarker) != job.m_prompt.npos;
    if (!refuse && !m_model.Enter(job.m_id, job.m_paying, Now())) {
      m_refusing = true;
      crash = crash || m_options.m_exitOnOverload;
    }
  }
  if (crash) {
    Crash();
    co_return;
  }
  if (refuse) {
    net::HttpResponse response = ErrorResponse(503, "overloaded");
    (void)co_await aExchange.Respond(std::move(response));
    co_return;
  }
  const bool completed = co_await Generate(aExchange, job);
  const std::lock_guard lock(m_lock);
  m_model.Leave(job.m_id, completed);
}

std::string
FakeEngine::Word(const Job& aJob, uint32_t aIndex) const
{
  constexpr uint64_t kWords = 10000;
  const uint64_t hash =
    base::StableHash(aJob.m_prompt + std::to_string(aIndex), m_options.m_seed);
  const std::lock_guard lock(m_lock);
  const bool marked = m_bad && aIndex == 0;
  return (marked ? std::string(kBadMarker) + " " : std::string()) + "w" +
         std::to_string(hash % kWords) + " ";
}

json::object
FakeEngine::Usage(const Job& aJob) const
{
  return { { "prompt_tokens", aJob.m_promptTokens },
           { "completion_tokens", aJob.m_tokens },
           { "total_tokens", aJob.m_promptTokens + aJob.m_tokens },
           { "prompt_tokens_details",
             json::object{ { "cached_tokens", aJob.m_cachedTokens } } } };
}

net::Task<bool>
FakeEngine::SendEvent(net::HttpExchange& aExchange, json::object aEvent)
{
  aEvent["object"] = "chat.completion.chunk";
  aEvent["model"] = m_options.m_version;
  std::string text = "data: " + json::serialize(aEvent) + "\n\n";
  const absl::Status status = co_await aExchange.Write(std::move(text));
  co_return status.ok();
}

net::Task<bool>
FakeEngine::Generate(net::HttpExchange& aExchange, const Job& aJob)
{
  if (co_await WaitForBatch(aJob) != Step::Go) {
    co_return false;
  }
  const int64_t prefill =
    static_cast<int64_t>(aJob.m_promptTokens - aJob.m_cachedTokens) *
    m_options.m_prefillUs / kMicrosPerMilli;
  co_await net::Sleep(base::Millis(prefill));
  if (aJob.m_stream) {
    net::HttpHeaders none;
    (void)co_await aExchange.BeginStream(200, "text/event-stream", none);
  }
  std::string whole;
  for (uint32_t i = 0; i < aJob.m_tokens; ++i) {
    if (co_await WaitForToken(aJob) != Step::Go) {
      co_return false; // the connection closes without the answer's end
    }
    const std::string word = Word(aJob, i);
    whole += word;
    if (aJob.m_stream) {
      json::object delta{ { "content", word } };
      json::object choice{ { "index", 0 }, { "delta", delta } };
      json::object event{ { "choices", json::array{ choice } } };
      if (!co_await SendEvent(aExchange, std::move(event))) {
        co_return false;
      }
    }
  }
  if (aJob.m_stream) {
    json::object event{ { "choices", json::array() },
                        { "usage", Usage(aJob) } };
    (void)co_await SendEvent(aExchange, std::move(event));
    (void)co_await aExchange.Write("data: [DONE]\n\n");
    const absl::Status ended = co_await aExchange.EndStream();
    co_return ended.ok();
  }
  json::object message{ { "role", "assistant" }, { "content", whole } };
  json::object choice{ { "index", 0 },
                       { "message", message },
                       { "finish_reason", "stop" } };
  json::object body{ { "id", aJob.m_id },
                     { "object", "chat.completion" },
                     { "model", m_options.m_version },
                     { "choices", json::array{ choice } },
                     { "usage", Usage(aJob) } };
  net::HttpResponse response(
    200, "application/json", {}, json::serialize(body));
  const absl::Status sent = co_await aExchange.Respond(std::move(response));
  co_return sent.ok();
}

} // namespace fakes
