// Options and event loop of the fake programs.
#include "fakes/program.h"

#include <iostream>

#include "chivefront/base/log.h"
#include "chivefront/net/task.h"

namespace fakes {

void
AddEndpoint(CLI::App& aApp,
            const std::string& aName,
            base::Endpoint& aEndpoint,
            const std::string& aHelp)
{
  aApp.add_option_function<std::string>(
    aName,
    [aName, &aEndpoint](const std::string& aText) {
      const auto endpoint = base::Endpoint::Parse(aText);
      if (!endpoint) {
        throw CLI::ValidationError(aName, "expected IP:PORT");
      }
      aEndpoint = *endpoint;
    },
    aHelp);
}

void
AddMillis(CLI::App& aApp,
          const std::string& aName,
          base::Millis& aMillis,
          const std::string& aHelp)
{
  aApp.add_option_function<uint32_t>(
    aName,
    [&aMillis](uint32_t aCount) { aMillis = base::Millis(aCount); },
    aHelp);
}

int
RunProgram(net::Runtime& aRuntime,
           const std::string& aProgram,
           const base::Endpoint& aBound,
           std::function<net::Task<void>()> aOnStop)
{
  base::InitLogging(base::Severity::Info);
  aRuntime.OnShutdown([&aRuntime, onStop = std::move(aOnStop)] {
    net::Spawn(
      aRuntime.Executor(), "fake", [&aRuntime, onStop]() -> net::Task<void> {
        if (onStop) {
          co_await onStop();
        }
        aRuntime.Stop();
      });
  });
  std::cout << aProgram << " ready listen=" << aBound.ToString() << std::endl;
  aRuntime.Run();
  return 0;
}

} // namespace fakes
