// chivefront-control: the control process. Runs the replicated configuration
// and ledger, the upstream registry, and the system changes.
#include <iostream>

#include "chivefront/base/errors.h"
#include "chivefront/base/log.h"
#include "chivefront/control/node.h"
#include "chivefront/net/process.h"

namespace {

using namespace chivefront;

constexpr int kExitFailure = 1;

void
AddSettings(base::Settings& aSettings)
{
  aSettings.AddText("data", "Folder for logs and snapshots.").Required();
  aSettings
    .AddText("peers",
             "All control processes of the cluster, name=IP:PORT,...; this "
             "one may be among them.")
    .WithCheck([](const std::string& aText) {
      const auto peers = control::ParsePeers(aText);
      return peers.ok() ? std::string()
                        : std::string(base::MessageOf(peers.status()));
    });
  aSettings.AddInteger("snapshot-every",
                       "Applied commands between two snapshots of a group.",
                       10000,
                       1,
                       100000000);
}

int
RunNode(net::Process& aProcess)
{
  control::NodeOptions options;
  options.m_folder = aProcess.Settings().Text("data");
  options.m_peers = *control::ParsePeers(aProcess.Settings().Text("peers"));
  options.m_listen = aProcess.ListenEndpoint();
  options.m_snapshotEvery =
    static_cast<uint64_t>(aProcess.Settings().Integer("snapshot-every"));
  std::atomic<bool> failed{ false };
  // A replica that can't write its log must not send any more replies.
  options.m_onFatal = [&](const absl::Status& aWhy) {
    base::LogError("control",
                   "stopping because a consensus log can't be written",
                   { { "why", base::MessageOf(aWhy) } });
    aProcess.Events().Record("log_failed",
                             { { "why", std::string(base::MessageOf(aWhy)) } });
    failed = true;
    aProcess.Loop().Stop();
  };
  control::Node node(aProcess.Context(),
                     aProcess.Identity(),
                     std::move(options),
                     aProcess.Events(),
                     aProcess.Metrics());
  if (const absl::Status status = node.Start(); !status.ok()) {
    base::LogError(
      "control", "cannot start", { { "why", base::MessageOf(status) } });
    return kExitFailure;
  }
  aProcess.AddReadyField("listen", node.BoundEndpoint().ToString());
  aProcess.Loop().OnShutdown([&] {
    net::Spawn(
      aProcess.Context().get_executor(), "control", [&]() -> net::Task<void> {
        co_await node.TransferAndCloseLinks();
        aProcess.Loop().Stop();
      });
  });
  const int code = aProcess.Run([&] { return node.IsFresh(); },
                                [&] { return node.StatusJson(); });
  node.Stop();
  return failed ? kExitFailure : code;
}

} // namespace

int
main(int argc, char** argv)
{
  net::Process process(
    "chivefront-control",
    wire::Role::Control,
    "Holds the replicated configuration and ledger of a cluster.");
  AddSettings(process.Settings());
  if (const auto code = process.Start(argc, argv)) {
    return *code;
  }
  return RunNode(process);
}
