// Announces a fake upstream to the agent on its host every 500 ms.
#pragma once

#include <atomic>
#include <functional>
#include <string>

#include <boost/json.hpp>

#include "chivefront/base/settings.h"
#include "chivefront/net/http_client.h"

namespace fakes {

using namespace chivefront;

// The load that an upstream reports about itself, in requests.
struct ReportedLoad
{
  uint32_t m_running = 0;
  uint32_t m_queued = 0;
};

class Announcer
{
public:
  // aBody is the announcement without its load. Without an address in aAgent
  // nothing is sent. aLoad is called before each announcement; none is sent
  // while aIsSilent returns true.
  Announcer(net::asio::io_context& aContext,
            base::Endpoint aAgent,
            boost::json::object aBody,
            std::function<ReportedLoad()> aLoad,
            std::function<bool()> aIsSilent);

  void Start();
  // Ends the announcements; with aNotifyAgent the agent gets an end message.
  net::Task<void> Stop(bool aNotifyAgent);
  // Sends one report to the agent. Failures are ignored, because fakes don't
  // depend on their agent.
  net::Task<void> Post(std::string aPath, boost::json::object aBody);

private:
  net::Task<bool> AnnounceOnce();

  net::asio::io_context& m_context;
  const base::Endpoint m_agent;
  const boost::json::object m_body;
  const std::function<ReportedLoad()> m_load;
  const std::function<bool()> m_isSilent;
  std::atomic<bool> m_stopped{ false };
};

} // namespace fakes
