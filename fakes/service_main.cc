// fake-service: a fake of one plain service.
#include <cstdlib>
#include <iostream>

#include "fakes/program.h"
#include "fakes/service.h"

using namespace chivefront;

int
main(int argc, char** argv)
{
  constexpr int kCrashExitCode = 3;
  fakes::ServiceOptions options;
  CLI::App app("Stand-in for a plain service.");
  app.add_option("--name", options.m_name, "Name of the upstream.");
  app.add_option("--service", options.m_service, "Service id.");
  app.add_option(
    "--record", options.m_recordPath, "File to which it appends what it ran.");
  fakes::AddEndpoint(app, "--listen", options.m_listen, "Address to serve.");
  fakes::AddEndpoint(
    app, "--agent", options.m_agent, "Agent to which it announces itself.");
  fakes::AddMillis(app, "--slow-ms", options.m_slow, "Time per execution.");
  CLI11_PARSE(app, argc, argv);
  options.m_onCrash = [] { std::_Exit(kCrashExitCode); };
  net::Runtime runtime(2);
  fakes::FakeService service(runtime.Context(), options);
  if (const absl::Status status = service.Start(); !status.ok()) {
    std::cerr << status << "\n";
    return 1;
  }
  return fakes::RunProgram(runtime, "fake-service", service.BoundEndpoint());
}
