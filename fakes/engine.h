// A fake model engine, over HTTP:
//   POST   /v1/chat/completions   OpenAI format, streamed or in one piece
//   DELETE /v1/requests/<id>      cancels; answers when the request has ended
//   POST   /v1/orders             orders with fencing numbers
//   POST   /fake/behave           sets the faults to inject from now on
//   GET    /fake/history          which requests ran, for the checks of tests
#pragma once

#include <deque>
#include <functional>
#include <mutex>
#include <set>
#include <string>

#include "chivefront/net/http_server.h"
#include "fakes/announcer.h"
#include "fakes/engine_model.h"
#include "fakes/prefix_cache.h"
#include "fakes/run_record.h"

namespace fakes {

// Part of an answer that makes the fake rating service rate it low.
inline constexpr std::string_view kLowRatingMarker = "[bad]";

struct EngineOptions
{
  std::string m_name = "engine-1";
  std::string m_model = "small";
  std::string m_version = "small-1";
  base::Endpoint m_listen{ "127.0.0.1", 0 };
  std::string m_recordPath; // file of the requests it ran; empty: no file
  base::Endpoint m_agent;   // empty: it announces itself to no agent
  EngineLimits m_limits;
  uint32_t m_answerTokens = 20; // unless the request has max_tokens
  uint64_t m_seed = 1;
  base::Millis m_loadLag;         // age of the load that it reports
  base::Millis m_cacheLag{ 200 }; // delay of its cache reports
  size_t m_cacheBlocks = 4096;
  uint32_t m_prefillUs = 20; // per prompt token that is not cached
  // On overload: true crashes it, false makes it refuse all later requests.
  bool m_exitOnOverload = false;
  bool m_checksFencing = true;
  std::string m_crashMarker;       // a prompt with this text crashes it
  std::function<void()> m_onCrash; // called last; ends the program
};

class FakeEngine
{
public:
  FakeEngine(net::asio::io_context& aContext, EngineOptions aOptions);

  absl::Status Start();
  base::Endpoint BoundEndpoint() const { return m_server.BoundEndpoint(); }
  // Simulates a crash: closes the port, breaks off all answers and ends the
  // announcements.
  void Crash();
  // Tells its agent that it ends, and ends the announcements.
  net::Task<void> Leave() { return m_announcer.Stop(true); }
  std::string History() const;

private:
  struct Job
  {
    std::string m_id;
    std::string m_prompt;
    bool m_stream = false;
    bool m_paying = false;
    uint32_t m_tokens = 0;
    uint32_t m_promptTokens = 0;
    uint32_t m_cachedTokens = 0;
  };
  // Whether a job may generate its next token.
  enum class JobState
  {
    Active,
    Canceled,
    Crashed,
  };

  net::Task<void> Handle(net::HttpExchange& aExchange);
  net::Task<void> HandleChat(net::HttpExchange& aExchange);
  net::Task<void> HandleCancel(net::HttpExchange& aExchange, std::string aId);
  net::Task<void> HandleBehave(net::HttpExchange& aExchange);
  net::Task<void> HandleOrder(net::HttpExchange& aExchange);
  net::Task<bool> Generate(net::HttpExchange& aExchange, const Job& aJob);
  net::Task<JobState> WaitForBatch(const Job& aJob);
  net::Task<JobState> WaitForToken(const Job& aJob);
  net::Task<bool> SendEvent(net::HttpExchange& aExchange,
                            boost::json::object aEvent);
  net::Task<void> WaitWhileFrozen();
  JobState StateOf(const Job& aJob) const;
  Job ReadJob(const net::HttpRequest& aRequest);
  void ReportCache(std::vector<uint64_t> aAdded);
  boost::json::object Usage(const Job& aJob) const;
  std::string TokenText(const Job& aJob, uint32_t aIndex) const;
  ReportedLoad DelayedLoad();

  net::asio::io_context& m_context;
  const EngineOptions m_options;
  RunRecord m_record;
  const std::string m_incarnation;
  net::HttpServer m_server;
  const absl::Status m_listening; // bound before the address is announced
  Announcer m_announcer;

  mutable std::mutex m_lock; // guards all members below
  EngineModel m_model;
  PrefixCache m_cache;
  double m_lowRatedShare = 0; // of answers that contain kLowRatingMarker
  bool m_frozen = false;
  bool m_refusing = false;
  bool m_crashed = false;
  bool m_checksFencing;
  std::string m_crashMarker;
  uint32_t m_answerTokens;
  uint64_t m_highestFence = 0;
  uint64_t m_refusedOrders = 0;
  uint64_t m_cacheSequence = 0;
  uint32_t m_unnamedRequests = 0;
  std::deque<std::pair<base::TimePoint, ReportedLoad>> m_loadHistory;
};

} // namespace fakes
