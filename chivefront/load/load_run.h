// Sends the planned requests and checks their answers.
#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <optional>

#include <boost/asio/io_context.hpp>

#include "chivefront/base/errors.h"
#include "chivefront/load/arrivals.h"
#include "chivefront/load/stats.h"
#include "chivefront/net/http_client.h"

namespace chivefront::load {

class LoadRun
{
public:
  // aEngine is where direct mixes go.
  LoadRun(net::asio::io_context& aContext,
          const Scenario& aScenario,
          base::Endpoint aEntry,
          std::optional<base::Endpoint> aEngine,
          Stats& aStats);

  // Calls aDone once all requests have ended.
  void Start(std::function<void()> aDone);

private:
  using Clock = std::chrono::steady_clock; // finer than base::Clock

  // What is left of one response.
  struct Response
  {
    Response() = default;
    int m_status = 0;
    net::HttpHeaders m_headers;
    std::string m_body; // of responses that are not streamed
    bool m_endedCleanly = false;
    base::ErrorKind m_failure = base::ErrorKind::None;
  };

  net::Task<void> SendAll(std::function<void()> aDone);
  net::Task<void> RunArrival(Arrival aArrival);
  net::Task<void> RunSession(Arrival aArrival);
  net::Task<void> RunService(Arrival aArrival);
  // aVersion is the session's so far, and taken over from the first answer.
  net::Task<std::string> RunChat(const Arrival& aArrival,
                                 const std::string& aMessages,
                                 const std::string& aEnginePrompt,
                                 const std::string& aSession,
                                 std::string& aVersion);
  net::Task<Response> Exchange(const Mix& aMix,
                               net::HttpRequest aRequest,
                               Sample& aSample,
                               StreamCheck* aCheck);
  net::Task<void> PaceReading(const Mix& aMix, size_t aBytes, bool aFirst);
  net::HttpRequest MakeChatRequest(const Mix& aMix,
                                   const std::string& aMessages,
                                   const std::string& aSession) const;

  net::asio::io_context& m_context;
  const Scenario& m_scenario;
  const base::Endpoint m_entry;
  const std::optional<base::Endpoint> m_engine;
  Stats& m_stats;
  std::atomic<size_t> m_running{ 0 };
};

} // namespace chivefront::load
