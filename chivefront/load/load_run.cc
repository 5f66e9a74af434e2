// Sends requests and sessions, and reads responses at the speed of the mix.
#include "chivefront/load/load_run.h"

#include <algorithm>

#include <boost/asio/strand.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace chivefront::load {
namespace detail {

constexpr base::Millis kDrainPollInterval{ 20 };
// Small, so that the kernel of a slow or stalled reader can't buffer a long
// answer.
constexpr int kSlowReceiveBufferBytes = 4096;
constexpr int kStatusOk = 200;
constexpr size_t kMillisPerSecond = 1000;

double
MillisSince(std::chrono::steady_clock::time_point aBegin)
{
  return std::chrono::duration<double, std::milli>(
           std::chrono::steady_clock::now() - aBegin)
    .count();
}

std::string
Message(std::string_view aRole, const std::string& aContent)
{
  boost::json::object message;
  message["role"] = std::string(aRole);
  message["content"] = aContent;
  return boost::json::serialize(message);
}

} // namespace detail

LoadRun::LoadRun(net::asio::io_context& aContext,
                 const Scenario& aScenario,
                 base::Endpoint aEntry,
                 std::optional<base::Endpoint> aEngine,
                 Stats& aStats)
  : m_context(aContext)
  , m_scenario(aScenario)
  , m_entry(std::move(aEntry))
  , m_engine(std::move(aEngine))
  , m_stats(aStats)
{
}

void
LoadRun::Start(std::function<void()> aDone)
{
  net::Spawn(net::asio::make_strand(m_context),
             "load",
             [this, done = std::move(aDone)]() -> net::Task<void> {
               return SendAll(done);
             });
}

net::Task<void>
LoadRun::SendAll(std::function<void()> aDone)
{
  const auto begin = Clock::now();
  for (const Arrival& arrival : PlanArrivals(m_scenario)) {
    const double wait =
      static_cast<double>(arrival.m_at.Count()) - detail::MillisSince(begin);
    if (wait > 0) {
      co_await net::Sleep(base::Millis(static_cast<int64_t>(wait)));
    }
    m_stats.RecordSendLag(detail::MillisSince(begin) -
                          static_cast<double>(arrival.m_at.Count()));
    ++m_running;
    net::Spawn(
      net::asio::make_strand(m_context),
      "load",
      [this, arrival]() -> net::Task<void> { return RunArrival(arrival); });
  }
  while (m_running > 0) {
    co_await net::Sleep(detail::kDrainPollInterval);
  }
  aDone();
}

net::Task<void>
LoadRun::RunArrival(Arrival aArrival)
{
  if (m_scenario.m_mixes[aArrival.m_mixIndex].m_service.empty()) {
    co_await RunSession(aArrival);
  } else {
    co_await RunService(aArrival);
  }
  --m_running;
}

net::HttpRequest
LoadRun::MakeChatRequest(const Mix& aMix,
                         const std::string& aMessages,
                         const std::string& aSession) const
{
  net::HttpRequest request("POST", "/v1/chat/completions");
  request.m_headers = { { "Content-Type", "application/json" },
                        { "Authorization", "Bearer " + aMix.m_callerKey } };
  if (!aSession.empty()) {
    request.m_headers.emplace_back("X-Chivefront-Session", aSession);
  }
  if (!aMix.m_task.empty()) {
    request.m_headers.emplace_back("X-Chivefront-Task", aMix.m_task);
  }
  if (aMix.m_deadline.Count() > 0) {
    request.m_headers.emplace_back("X-Chivefront-Deadline-Ms",
                                   std::to_string(aMix.m_deadline.Count()));
  }
  request.m_body = "{\"model\":\"" + aMix.m_model + "\",\"messages\":[" +
                   aMessages + "]" + (aMix.m_stream ? ",\"stream\":true" : "") +
                   (aMix.m_maxTokens != 0
                      ? ",\"max_tokens\":" + std::to_string(aMix.m_maxTokens)
                      : "") +
                   "}";
  return request;
}

net::Task<void>
LoadRun::PaceReading(const Mix& aMix, size_t aBytes, bool aFirst)
{
  if (aMix.m_readerSpeed == ReaderSpeed::Slow) {
    co_await net::Sleep(base::Millis(static_cast<int64_t>(
      aBytes * detail::kMillisPerSecond / aMix.m_readBytesPerSecond)));
  } else if (aMix.m_readerSpeed == ReaderSpeed::Stalled && aFirst) {
    co_await net::Sleep(aMix.m_stall);
  }
}

net::Task<LoadRun::Response>
LoadRun::Exchange(const Mix& aMix,
                  net::HttpRequest aRequest,
                  Sample& aSample,
                  StreamCheck* aCheck)
{
  const auto begin = Clock::now();
  Response response;
  net::HttpTimeouts timeouts;
  if (aMix.m_readerSpeed != ReaderSpeed::Fast) {
    timeouts.m_receiveBufferBytes = detail::kSlowReceiveBufferBytes;
  }
  base::Endpoint endpoint = m_entry;
  if (aMix.m_direct && m_engine) {
    endpoint = *m_engine;
  }
  auto stream = co_await net::HttpClientStream::Open(
    std::move(endpoint), std::move(aRequest), timeouts);
  if (!stream.ok()) {
    response.m_failure = base::KindOf(stream.status());
    co_return response;
  }
  response.m_status = (*stream)->Status();
  response.m_headers = (*stream)->Headers();
  const bool streamed =
    aCheck != nullptr && response.m_status == detail::kStatusOk;
  auto lastTokenAt = begin;
  bool isFirstPiece = true;
  while (true) {
    const auto piece = co_await (*stream)->Read();
    if (!piece.ok()) {
      response.m_failure = base::KindOf(piece.status());
      break;
    }
    if (piece->empty()) {
      response.m_endedCleanly = true;
      break;
    }
    size_t tokens = 0;
    if (streamed) {
      tokens = aCheck->Feed(*piece);
    } else {
      response.m_body += *piece;
    }
    if (tokens > 0 && aSample.m_firstTokenMs >= 0) {
      aSample.m_tokenGapsMs.push_back(detail::MillisSince(lastTokenAt));
    }
    if ((tokens > 0 || !streamed) && aSample.m_firstTokenMs < 0) {
      aSample.m_firstTokenMs = detail::MillisSince(begin);
    }
    if (tokens > 0) {
      lastTokenAt = Clock::now();
    }
    co_await PaceReading(aMix, piece->size(), isFirstPiece);
    isFirstPiece = false;
  }
  aSample.m_totalMs = detail::MillisSince(begin);
  co_return response;
}

net::Task<std::string>
LoadRun::RunChat(const Arrival& aArrival,
                 const std::string& aMessages,
                 const std::string& aEnginePrompt,
                 const std::string& aSession,
                 std::string& aVersion)
{
  const Mix& mix = m_scenario.m_mixes[aArrival.m_mixIndex];
  ExpectedAnswer expected;
  expected.m_prompt = aEnginePrompt;
  if (m_scenario.m_engineSeed >= 0) {
    expected.m_engineSeed = static_cast<uint64_t>(m_scenario.m_engineSeed);
  }
  StreamCheck check(expected);
  Sample sample;
  net::HttpRequest request = MakeChatRequest(mix, aMessages, aSession);
  const Response response = co_await Exchange(
    mix, std::move(request), sample, mix.m_stream ? &check : nullptr);
  std::string version(
    net::FindHeader(response.m_headers, "X-Chivefront-Version"));
  const std::string id(
    net::FindHeader(response.m_headers, "X-Chivefront-Request"));
  if (response.m_status == 0) {
    sample.m_result.m_error = base::ErrorName(response.m_failure);
  } else if (response.m_status != detail::kStatusOk) {
    sample.m_result = ParseErrorBody(response.m_body);
  } else if (mix.m_stream) {
    sample.m_result = check.Finish(response.m_endedCleanly);
    if (!mix.m_direct && sample.m_result.m_complete &&
        check.RequestId() != id) {
      sample.m_otherViolations.emplace_back(
        "the trailer is of another request");
    }
  } else if (!response.m_endedCleanly) {
    sample.m_result.m_error = "cut";
  } else {
    sample.m_result = CheckBufferedAnswer(response.m_body, expected);
    const std::string cost(
      net::FindHeader(response.m_headers, "X-Chivefront-Cost-Micros"));
    sample.m_result.m_costMicros = cost.empty() ? 0 : std::stoull(cost);
  }
  if (!aSession.empty() && !version.empty()) {
    if (!aVersion.empty() && aVersion != version) {
      sample.m_otherViolations.emplace_back("the session changed its version");
    }
    aVersion = version;
  }
  m_stats.Add(aArrival.m_mixIndex, sample);
  co_return sample.m_result.m_text;
}

net::Task<void>
LoadRun::RunSession(Arrival aArrival)
{
  const Mix& mix = m_scenario.m_mixes[aArrival.m_mixIndex];
  std::string session;
  if (mix.m_sessionTurns > 0) {
    session = mix.m_name + "-" + std::to_string(m_scenario.m_seed) + "-" +
              std::to_string(aArrival.m_number);
  }
  std::string messages;
  std::string prompt; // the messages as the fake engine joins them
  std::string version;
  for (uint32_t turn = 0; turn < std::max<uint32_t>(mix.m_sessionTurns, 1);
       ++turn) {
    const std::string text = MakePrompt(m_scenario, aArrival, turn);
    messages += (messages.empty() ? "" : ",") + detail::Message("user", text);
    prompt += text + "\n";
    const std::string answer =
      co_await RunChat(aArrival, messages, prompt, session, version);
    messages += "," + detail::Message("assistant", answer);
    prompt += answer + "\n";
    if (turn + 1 < mix.m_sessionTurns) {
      co_await net::Sleep(mix.m_thinkTime);
    }
  }
}

net::Task<void>
LoadRun::RunService(Arrival aArrival)
{
  const Mix& mix = m_scenario.m_mixes[aArrival.m_mixIndex];
  const std::string target = "/v1/services/" + mix.m_service + mix.m_path;
  const std::string key = mix.m_name + "-" + std::to_string(m_scenario.m_seed) +
                          "-" + std::to_string(aArrival.m_number);
  std::string firstResult;
  for (int sent = 0; sent < (aArrival.m_sendTwice && mix.m_withKey ? 2 : 1);
       ++sent) {
    net::HttpRequest request(mix.m_method, target);
    request.m_headers = { { "Authorization", "Bearer " + mix.m_callerKey },
                          { "Content-Type", "application/json" } };
    if (mix.m_withKey) {
      request.m_headers.emplace_back("Idempotency-Key", key);
    }
    request.m_body = "{\"order\":\"" + key + "\"}";
    Sample sample;
    const Response response =
      co_await Exchange(mix, std::move(request), sample, nullptr);
    if (response.m_status == 0) {
      sample.m_result.m_error = base::ErrorName(response.m_failure);
    } else if (response.m_status != detail::kStatusOk) {
      sample.m_result = ParseErrorBody(response.m_body);
    } else if (!response.m_endedCleanly) {
      sample.m_result.m_error = "cut";
    } else {
      sample.m_result = CheckServiceAnswer(response.m_body, target);
      if (!firstResult.empty() && firstResult != response.m_body) {
        sample.m_otherViolations.emplace_back(
          "a repeated key got another result");
      }
      firstResult = response.m_body;
    }
    m_stats.Add(aArrival.m_mixIndex, sample);
  }
}

} // namespace chivefront::load
