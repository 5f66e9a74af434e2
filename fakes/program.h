// What the main functions of the fake programs share: options, ready line and
// event loop.
#pragma once

#include <functional>
#include <string>

#include <CLI/CLI.hpp>

#include "chivefront/base/clock.h"
#include "chivefront/base/settings.h"
#include "chivefront/net/runtime.h"
#include "chivefront/net/task.h"

namespace fakes {

using namespace chivefront;

// Adds an option that takes IP:PORT.
void
AddEndpoint(CLI::App& aApp,
            const std::string& aName,
            base::Endpoint& aEndpoint,
            const std::string& aHelp);
// Adds an option that takes whole milliseconds.
void
AddMillis(CLI::App& aApp,
          const std::string& aName,
          base::Millis& aMillis,
          const std::string& aHelp);

// Prints "<program> ready listen=IP:PORT" and runs the event loop until a
// shutdown signal; then runs aOnStop, if given, and returns the exit code.
int
RunProgram(net::Runtime& aRuntime,
           const std::string& aProgram,
           const base::Endpoint& aBound,
           std::function<net::Task<void>()> aOnStop = {});

} // namespace fakes
