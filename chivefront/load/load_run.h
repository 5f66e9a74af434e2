// Sends the planned requests of a scenario to an entry and checks the answers.
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
  // The mixes with m_direct are sent to aEngine, all others to aEntry.
  LoadRun(net::asio::io_context& aContext,
          const Scenario& aScenario,
          base::Endpoint aEntry,
          std::optional<base::Endpoint> aEngine,
          Stats& aStats);

  // Starts the run and returns. Calls aDone when all requests have ended.
  void Start(std::function<void()> aDone);

private:
  using Clock = std::chrono::steady_clock; // finer than base::Clock

  // The end of one exchange: a response, or the failure to get one.
  struct Response
  {
    Response() = default;
    int m_status = 0; // 0 without a response
    net::HttpHeaders m_headers;
    std::string m_body; // empty when the response is streamed
    bool m_endedCleanly = false;
    base::ErrorKind m_failure = base::ErrorKind::None;
  };

  // Starts each request at its planned time and waits until all have ended.
  net::Task<void> SendAll(std::function<void()> aDone);
  net::Task<void> RunArrival(Arrival aArrival);
  // Runs a single model request, or the turns of a session one after another.
  net::Task<void> RunSession(Arrival aArrival);
  // Runs a service call, a second time when the arrival says so.
  net::Task<void> RunService(Arrival aArrival);
  // Sends one chat request, records its sample and returns the answer's text.
  // aVersion is the model version that has served the session so far; it is
  // empty before the first answer, and updated from each answer.
  net::Task<std::string> RunChat(const Arrival& aArrival,
                                 const std::string& aMessages,
                                 const std::string& aEnginePrompt,
                                 const std::string& aSession,
                                 std::string& aVersion);
  // Sends aRequest and reads the response. Adds the times to aSample. The body
  // of a streamed answer is passed to aCheck, which is null for other requests.
  net::Task<Response> Exchange(const Mix& aMix,
                               net::HttpRequest aRequest,
                               Sample& aSample,
                               StreamCheck* aCheck);
  // Waits after aBytes bytes were read, as long as the reader speed of the mix
  // requires.
  net::Task<void> PaceReading(const Mix& aMix, size_t aBytes, bool aFirst);
  net::HttpRequest MakeChatRequest(const Mix& aMix,
                                   const std::string& aMessages,
                                   const std::string& aSession) const;

  net::asio::io_context& m_context;
  const Scenario& m_scenario;
  const base::Endpoint m_entry;
  const std::optional<base::Endpoint> m_engine;
  Stats& m_stats;
  std::atomic<size_t> m_running{ 0 }; // arrivals that have not ended
};

} // namespace chivefront::load
