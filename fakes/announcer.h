// Announces a fake upstream to the agent of its host, every 500 ms.
#pragma once

#include <atomic>
#include <functional>
#include <string>

#include <boost/json.hpp>

#include "chivefront/base/settings.h"
#include "chivefront/net/http_client.h"

namespace fakes {

using namespace chivefront;

// The figures that an upstream reports about itself.
struct ReportedLoad
{
  uint32_t m_running = 0;
  uint32_t m_queued = 0;
};

class Announcer
{
public:
  // aBody: the announcement without its load figures. No agent when aAgent is
  // empty. aLoad is asked before each announcement; aSilent stops them.
  Announcer(net::asio::io_context& aContext,
            base::Endpoint aAgent,
            boost::json::object aBody,
            std::function<ReportedLoad()> aLoad,
            std::function<bool()> aSilent);

  void Start();
  // Announces no more; with aSayEnd the agent is told.
  net::Task<void> Stop(bool aSayEnd);
  // Sends one report to the agent; failures are ignored, as fakes do not
  // depend on their agent.
  net::Task<void> Post(std::string aPath, boost::json::object aBody);

private:
  net::Task<bool> AnnounceOnce();

  net::asio::io_context& m_context;
  const base::Endpoint m_agent;
  const boost::json::object m_body;
  const std::function<ReportedLoad()> m_load;
  const std::function<bool()> m_silent;
  std::atomic<bool> m_stopped{ false };
};

} // namespace fakes
