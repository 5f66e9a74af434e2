// A fake of a plain service (bookings, paper orders), over HTTP:
//   any    /v1/services/<service>/...   executes once per call
//   POST   /fake/behave                 {"slow_ms","die_after_execute","down"}
//   GET    /fake/history                executions by idempotency id
// The idempotency id is the Idempotency-Key header, else X-Request-Id.
#pragma once

#include <functional>
#include <map>
#include <mutex>
#include <string>

#include "chivefront/net/http_server.h"
#include "fakes/announcer.h"
#include "fakes/run_record.h"

namespace fakes {

struct ServiceOptions
{
  std::string m_name = "service-1";
  std::string m_service = "booking";
  base::Endpoint m_listen{ "127.0.0.1", 0 };
  std::string m_recordPath; // file of the requests it ran; empty: no file
  base::Endpoint m_agent;   // empty: it announces itself to no agent
  base::Millis m_slow;      // time that each execution takes
  std::function<void()> m_onCrash; // called last; ends the program
};

class FakeService
{
public:
  FakeService(net::asio::io_context& aContext, ServiceOptions aOptions);

  absl::Status Start();
  base::Endpoint BoundEndpoint() const { return m_server.BoundEndpoint(); }
  std::string History() const;

private:
  net::Task<void> Handle(net::HttpExchange& aExchange);
  net::Task<void> HandleBehave(net::HttpExchange& aExchange);
  net::Task<void> Execute(net::HttpExchange& aExchange);

  const ServiceOptions m_options;
  RunRecord m_record;
  net::HttpServer m_server;
  const absl::Status m_listening; // bound before the address is announced
  Announcer m_announcer;

  mutable std::mutex m_lock; // guards all members below
  std::map<std::string, uint32_t> m_executed;
  uint32_t m_running = 0;
  uint32_t m_largestRunning = 0;
  base::Millis m_slow;
  bool m_crashAfterExecute = false;
  bool m_crashed = false;
};

} // namespace fakes
