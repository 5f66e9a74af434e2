// fake-weights: a fake of the weight store.
#include <iostream>

#include "fakes/program.h"
#include "fakes/weights.h"

using namespace chivefront;

int
main(int argc, char** argv)
{
  fakes::WeightsOptions options;
  CLI::App app("Stand-in for the weight store.");
  fakes::AddEndpoint(app, "--listen", options.m_listen, "Address to serve.");
  app.add_option(
    "--per-second", options.m_perSecond, "Downloads started per second.");
  app.add_option("--burst", options.m_burst, "Downloads that start at once.");
  app.add_option("--bytes", options.m_bytes, "Size of a download.");
  CLI11_PARSE(app, argc, argv);
  net::Runtime runtime(2);
  fakes::FakeWeights weights(runtime.Context(), options);
  if (const absl::Status status = weights.Start(); !status.ok()) {
    std::cerr << status << "\n";
    return 1;
  }
  return fakes::RunProgram(runtime, "fake-weights", weights.BoundEndpoint());
}
