// The agent process, which runs on the host of its upstreams.
#include <boost/asio/post.hpp>

#include "chivefront/agent/agent.h"
#include "chivefront/base/errors.h"
#include "chivefront/base/log.h"
#include "chivefront/net/process.h"

using namespace chivefront;

int
main(int argc, char** argv)
{
  net::Process process(
    "chivefront-agent", wire::Role::Agent, "Guards the upstreams of its host.");
  process.Settings().AddEndpoint("upstreams",
                                 "HTTP address on which upstreams announce "
                                 "themselves; port 0 takes a free one.",
                                 "127.0.0.1:0");
  if (const auto code = process.Start(argc, argv)) {
    return *code;
  }
  agent::Agent agent(process.Context(),
                     process.Identity(),
                     process.Events(),
                     process.Metrics(),
                     process.ControlEndpoints());
  const absl::Status status = agent.Listen(
    process.ListenEndpoint(), process.Settings().EndpointOf("upstreams"));
  if (!status.ok()) {
    base::LogError(
      "agent", "cannot listen", { { "why", base::MessageOf(status) } });
    return 1;
  }
  agent.Start();
  process.AddReadyField("listen", agent.LinkEndpoint().ToString());
  process.AddReadyField("upstreams", agent.UpstreamEndpoint().ToString());
  process.Loop().OnShutdown(
    [&] { agent.Drain([&] { process.Loop().Stop(); }); });
  return process.Run([&] { return agent.Ready(); },
                     [&] { return agent.StatusJson(); });
}
