// Generation of answers by the fake engine.
#include "fakes/engine.h"

#include <boost/json.hpp>

#include "chivefront/base/ids.h"

namespace fakes {
namespace {

namespace json = boost::json;

// How often a waiting request checks the engine's state.
constexpr base::Millis kPollPeriod{ 2 };
constexpr int kMicrosPerMilli = 1000;

base::TimePoint
Now()
{
  return base::SteadyClock::Instance().Now();
}

} // namespace

FakeEngine::JobState
FakeEngine::StateOf(const Job& aJob) const
{
  if (m_crashed) {
    return JobState::Crashed;
  }
  return m_model.Canceled(aJob.m_id) ? JobState::Canceled : JobState::Active;
}

net::Task<FakeEngine::JobState>
FakeEngine::WaitForBatch(const Job& aJob)
{
  while (true) {
    {
      const std::lock_guard lock(m_lock);
      const JobState state = StateOf(aJob);
      if (state != JobState::Active || m_model.InBatch(aJob.m_id)) {
        co_return state;
      }
    }
    co_await net::Sleep(kPollPeriod);
  }
}

net::Task<FakeEngine::JobState>
FakeEngine::WaitForToken(const Job& aJob)
{
  base::Millis tokenTime;
  {
    const std::lock_guard lock(m_lock);
    tokenTime = m_model.TokenTime();
  }
  co_await net::Sleep(tokenTime);
  co_await WaitWhileFrozen();
  const std::lock_guard lock(m_lock);
  co_return StateOf(aJob);
}

net::Task<void>
FakeEngine::HandleChat(net::HttpExchange& aExchange)
{
  const Job job = ReadJob(aExchange.Request());
  m_record.Add(job.m_id);
  bool crash = false;
  bool refuse = false;
  {
    const std::lock_guard lock(m_lock);
    refuse = m_refusing || m_crashed;
    crash = !m_crashMarker.empty() &&
            job.m_prompt.find(m_crashMarker) != job.m_prompt.npos;
    if (!refuse && !m_model.Add(job.m_id, job.m_paying, Now())) {
      m_refusing = true;
      crash = crash || m_options.m_exitOnOverload;
    }
  }
  if (crash) {
    Crash();
    co_return;
  }
  if (refuse) {
    net::HttpResponse response(
      503, "application/json", {}, R"({"error":{"message":"overloaded"}})");
    (void)co_await aExchange.Respond(std::move(response));
    co_return;
  }
  if (!co_await Generate(aExchange, job)) {
    const std::lock_guard lock(m_lock);
    m_model.Remove(job.m_id, false);
  }
}

std::string
FakeEngine::TokenText(const Job& aJob, uint32_t aIndex) const
{
  constexpr uint64_t kWords = 10000;
  const uint64_t hash =
    base::StableHash(aJob.m_prompt + std::to_string(aIndex), m_options.m_seed);
  const std::lock_guard lock(m_lock);
  // Every engine with this seed marks the same requests.
  const uint64_t hashOfId = base::StableHash(aJob.m_id, m_options.m_seed);
  const bool marked =
    aIndex == 0 && static_cast<double>(hashOfId % kWords) <
                     m_lowRatedShare * static_cast<double>(kWords);
  return (marked ? std::string(kLowRatingMarker) + " " : std::string()) + "w" +
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

// Returns whether the whole answer was generated. The job is removed then.
net::Task<bool>
FakeEngine::Generate(net::HttpExchange& aExchange, const Job& aJob)
{
  if (co_await WaitForBatch(aJob) != JobState::Active) {
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
  std::string answer;
  for (uint32_t i = 0; i < aJob.m_tokens; ++i) {
    if (co_await WaitForToken(aJob) != JobState::Active) {
      co_return false; // the connection closes without the answer's end
    }
    const std::string word = TokenText(aJob, i);
    answer += word;
    if (aJob.m_stream) {
      json::object delta{ { "content", word } };
      json::object choice{ { "index", 0 }, { "delta", delta } };
      json::object event{ { "choices", json::array{ choice } } };
      if (!co_await SendEvent(aExchange, std::move(event))) {
        co_return false;
      }
    }
  }
  // The slot is free before the end of the answer can be seen. Otherwise a
  // caller that sends the next request at once would seem to send too many.
  {
    const std::lock_guard lock(m_lock);
    m_model.Remove(aJob.m_id, true);
  }
  if (aJob.m_stream) {
    json::object event{ { "choices", json::array() },
                        { "usage", Usage(aJob) } };
    (void)co_await SendEvent(aExchange, std::move(event));
    (void)co_await aExchange.Write("data: [DONE]\n\n");
    (void)co_await aExchange.EndStream();
    co_return true;
  }
  json::object message{ { "role", "assistant" }, { "content", answer } };
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
  (void)co_await aExchange.Respond(std::move(response));
  co_return true;
}

} // namespace fakes
