// What all server processes have in common: settings, identity, event log,
// metrics, event loop and admin port.
//
//   net::Process process("chivefront-entry", wire::Role::Entry, "Accepts ...");
//   process.Settings().AddEndpoint("callers", "...", "127.0.0.1:0");
//   if (auto code = process.Start(argc, argv)) return *code;
//   ... create the components ...
//   return process.Run([&] { return ready; }, [&] { return statusJson; });
//
// Run prints one line  "chivefront-entry ready admin=IP:PORT"  with the fields
// given by AddReadyField on standard output, so that a script can start
// processes on free ports and read the ports from that line.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "chivefront/base/events.h"
#include "chivefront/base/metrics.h"
#include "chivefront/base/settings.h"
#include "chivefront/net/admin.h"
#include "chivefront/net/link.h"
#include "chivefront/net/runtime.h"

namespace chivefront::net {

class Process
{
public:
  Process(std::string aProgram, wire::Role aRole, const std::string& aHelp);
  ~Process();

  base::Settings& Settings() { return m_settings; }

  // Reads the settings and sets up logging, events and the event loop. Returns
  // an exit code when the process should end immediately, else nothing.
  std::optional<int> Start(int argc, const char* const* argv);

  Runtime& Loop() { return *m_runtime; }
  asio::io_context& Context() { return m_runtime->Context(); }
  base::EventLog& Events() { return *m_events; }
  base::Metrics& Metrics() { return m_metrics; }
  // Lives as long as this object. Links keep a reference to the identity.
  const LinkIdentity& Identity() const { return m_identity; }
  const std::string& Name() const { return m_identity.m_process; }
  const std::string& FailureDomain() const
  {
    return m_identity.m_failureDomain;
  }
  // The control processes, from --control.
  std::vector<base::Endpoint> ControlEndpoints() const;
  // Where internal links are accepted, from --listen.
  base::Endpoint ListenEndpoint() const;

  // Adds name=value to the line that Run prints.
  void AddReadyField(std::string aName, std::string aValue);

  // Serves the admin port and runs the event loop until Loop().Stop().
  // Returns the exit code.
  int Run(std::function<bool()> aReady, std::function<std::string()> aStatus);

private:
  const std::string m_program;
  base::Settings m_settings;
  LinkIdentity m_identity;
  base::Metrics m_metrics;
  std::unique_ptr<base::EventLog> m_events;
  std::unique_ptr<Runtime> m_runtime;
  std::vector<std::pair<std::string, std::string>> m_readyFields;
};

} // namespace chivefront::net
