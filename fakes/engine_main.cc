// fake-engine: a fake of one model engine.
#include <cstdlib>
#include <iostream>

#include "fakes/engine.h"
#include "fakes/program.h"

using namespace chivefront;

int
main(int argc, char** argv)
{
  constexpr int kCrashExitCode = 3;
  fakes::EngineOptions options;
  CLI::App app("Stand-in for a model engine.");
  app.add_option("--name", options.m_name, "Name of the upstream.");
  app.add_option("--model", options.m_model, "Model id.");
  app.add_option("--engine-version", options.m_version, "Version id.");
  app.add_option(
    "--record", options.m_recordPath, "File to which it appends what it ran.");
  fakes::AddEndpoint(app, "--listen", options.m_listen, "Address to serve.");
  fakes::AddEndpoint(
    app, "--agent", options.m_agent, "Agent to which it announces itself.");
  fakes::EngineLimits& limits = options.m_limits;
  app.add_option("--batch", limits.m_batch, "Requests that run at once.");
  app.add_option("--bound", limits.m_maxHeld, "Requests it can hold.");
  app.add_option(
    "--cold-bound", limits.m_coldMaxHeld, "Requests it can hold while cold.");
  app.add_option("--cold-requests",
                 limits.m_coldRequests,
                 "Requests it has to run before it is warm.");
  fakes::AddMillis(app, "--cold-ms", limits.m_coldTime, "Time it stays cold.");
  fakes::AddMillis(app, "--token-ms", limits.m_tokenBase, "Time per token.");
  app.add_option("--token-per-request-us",
                 limits.m_tokenPerRequestUs,
                 "More time per token for each request in the batch.");
  app.add_option(
    "--answer-tokens", options.m_answerTokens, "Tokens of an answer.");
  app.add_option("--seed", options.m_seed, "Seed of its answers.");
  fakes::AddMillis(
    app, "--load-lag-ms", options.m_loadLag, "Age of the load it reports.");
  fakes::AddMillis(
    app, "--cache-lag-ms", options.m_cacheLag, "Delay of its cache events.");
  app.add_option(
    "--cache-blocks", options.m_cacheBlocks, "Size of its prefix cache.");
  app.add_flag("--exit-on-overload",
               options.m_exitOnOverload,
               "Exit when it holds too much, instead of refusing all.");
  app.add_option("--checks-fencing",
                 options.m_checksFencing,
                 "Refuse orders with an old fencing number.");
  app.add_option("--crash-marker",
                 options.m_crashMarker,
                 "A prompt with this text crashes it.");
  CLI11_PARSE(app, argc, argv);
  // Ends without destructors and without flushing, as a real crash does.
  options.m_onCrash = [] { std::_Exit(kCrashExitCode); };
  net::Runtime runtime(2);
  fakes::FakeEngine engine(runtime.Context(), options);
  if (const absl::Status status = engine.Start(); !status.ok()) {
    std::cerr << status << "\n";
    return 1;
  }
  return fakes::RunProgram(runtime, "fake-engine", engine.BoundEndpoint(), [&] {
    return engine.Leave();
  });
}
