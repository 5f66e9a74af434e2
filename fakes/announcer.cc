// Periodic announcements to the agent.
#include "fakes/announcer.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>

namespace fakes {
namespace {

constexpr base::Millis kPeriod{ 500 };
constexpr base::Millis kTimeout{ 400 };

} // namespace

Announcer::Announcer(net::asio::io_context& aContext,
                     base::Endpoint aAgent,
                     boost::json::object aBody,
                     std::function<ReportedLoad()> aLoad,
                     std::function<bool()> aIsSilent)
  : m_context(aContext)
  , m_agent(std::move(aAgent))
  , m_body(std::move(aBody))
  , m_load(std::move(aLoad))
  , m_isSilent(std::move(aIsSilent))
{
}

void
Announcer::Start()
{
  if (m_agent.m_address.empty()) {
    return;
  }
  net::SpawnPeriodic(net::asio::make_strand(m_context),
                     "announcer",
                     kPeriod,
                     [this] { return AnnounceOnce(); });
}

net::Task<bool>
Announcer::AnnounceOnce()
{
  if (!m_stopped && !m_isSilent()) {
    const ReportedLoad load = m_load();
    boost::json::object body = m_body;
    body["running"] = load.m_running;
    body["queued"] = load.m_queued;
    co_await Post("/v1/announce", std::move(body));
  }
  co_return !m_stopped;
}

net::Task<void>
Announcer::Stop(bool aNotifyAgent)
{
  m_stopped = true;
  if (aNotifyAgent) {
    boost::json::object body{ { "name", m_body.at("name") } };
    co_await Post("/v1/end", std::move(body));
  }
}

net::Task<void>
Announcer::Post(std::string aPath, boost::json::object aBody)
{
  if (m_agent.m_address.empty()) {
    co_return;
  }
  net::HttpRequest request("POST", std::move(aPath));
  request.m_body = boost::json::serialize(aBody);
  net::HttpTimeouts timeouts;
  timeouts.m_connect = timeouts.m_header = timeouts.m_piece = kTimeout;
  (void)co_await net::HttpCall(m_agent, std::move(request), timeouts);
}

} // namespace fakes
