// chivefront-control: replicated configuration and ledger, upstream registry,
// freshness, and system changes.
#include <filesystem>
#include <iostream>

#include "chivefront/base/errors.h"
#include "chivefront/base/log.h"
#include "chivefront/control/peers.h"
#include "chivefront/control/policy_judge.h"
#include "chivefront/control/server.h"
#include "chivefront/net/process.h"

namespace {

using namespace chivefront;

constexpr int kExitFailure = 1;
// How long a planned stop waits for another replica to take over.
constexpr base::Millis kTransferTime{ 2000 };
constexpr base::Millis kTransferPoll{ 50 };

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

// Owns the groups and the server of one process.
class Control
{
public:
  Control(net::Process& aProcess, control::PeerMap aPeers)
    : m_process(aProcess)
    , m_handlers(MakeHandlers())
    , m_peers(aProcess.Context(), aProcess.Identity(), aPeers, m_handlers)
    , m_links(aProcess.Context(), aProcess.Identity(), m_handlers)
    , m_config(Options(control::kConfigGroup, "config"),
               m_store,
               Sender(control::kConfigGroup),
               OnFatal(),
               aProcess.Events())
    , m_ledgerGroup(Options(control::kLedgerGroup, "ledger-1"),
                    m_ledger,
                    Sender(control::kLedgerGroup),
                    OnFatal(),
                    aProcess.Events())
    , m_configReplica(m_config)
    , m_ledgerReplica(m_ledgerGroup)
    , m_server(
        aProcess.Context(),
        { m_store,
          m_configReplica,
          m_ledger,
          m_ledgerReplica,
          m_judge,
          base::SteadyClock::Instance(),
          aProcess.Events(),
          aProcess.Metrics() },
        { aProcess.Name(), m_peers.Names(), [this](const std::string& aName) {
           return m_peers.LinkTo(aName);
         } })
  {
  }

  absl::Status Start()
  {
    for (consensus::Group* group : { &m_config, &m_ledgerGroup }) {
      if (absl::Status status = group->Start(); !status.ok()) {
        return status;
      }
    }
    if (absl::Status status = m_links.Listen(m_process.ListenEndpoint());
        !status.ok()) {
      return status;
    }
    m_peers.Start();
    m_server.Start();
    m_process.AddReadyField("listen", m_links.Bound().ToString());
    m_process.Loop().OnShutdown([this] { BeginShutdown(); });
    return absl::OkStatus();
  }

  int Run()
  {
    const int code = m_process.Run([this] { return m_server.Fresh(); },
                                   [this] { return m_server.StatusJson(); });
    m_config.Stop();
    m_ledgerGroup.Stop();
    return m_failed ? kExitFailure : code;
  }

private:
  net::Link::Handlers MakeHandlers()
  {
    net::Link::Handlers handlers;
    handlers.m_onOpen = [](const net::Link::Pointer&) {};
    handlers.m_onMessage = [this](const net::Link::Pointer& aLink,
                                  wire::MessageT aMessage) {
      m_server.Handle(aLink, std::move(aMessage));
    };
    handlers.m_onClose = [](const net::Link::Pointer&, const absl::Status&) {};
    return handlers;
  }

  consensus::GroupOptions Options(uint32_t aGroup, const char* aFolder) const
  {
    consensus::GroupOptions options;
    options.m_group = aGroup;
    options.m_name = m_process.Name();
    options.m_initial = m_peers.Names();
    options.m_initial.push_back(m_process.Name());
    options.m_folder =
      (std::filesystem::path(m_process.Settings().Text("data")) / aFolder)
        .string();
    options.m_snapshotEvery =
      static_cast<uint64_t>(m_process.Settings().Integer("snapshot-every"));
    return options;
  }

  consensus::Group::SendFunction Sender(uint32_t aGroup)
  {
    return [this, aGroup](const std::string& aTo, std::string aPayload) {
      m_peers.SendEnvelope(aGroup, aTo, aPayload);
    };
  }

  // A replica that can't write its log must not answer any more.
  consensus::Group::FatalFunction OnFatal()
  {
    return [this](const absl::Status& aWhy) {
      base::LogError("control",
                     "stopping, the log can't be written",
                     { { "why", base::MessageOf(aWhy) } });
      m_process.Events().Record(
        "log_failed", { { "why", std::string(base::MessageOf(aWhy)) } });
      m_failed = true;
      m_process.Loop().Stop();
    };
  }

  void BeginShutdown()
  {
    net::Spawn(m_process.Context().get_executor(),
               "control",
               [this]() -> net::Task<void> { return Shutdown(); });
  }

  net::Task<void> Shutdown()
  {
    const base::Clock& clock = base::SteadyClock::Instance();
    const base::TimePoint deadline = clock.Now() + kTransferTime;
    const bool alone = m_peers.Names().empty();
    while (!alone && (m_config.IsLeader() || m_ledgerGroup.IsLeader()) &&
           clock.Now() < deadline) {
      if (m_config.IsLeader()) {
        m_config.TransferLeadership();
      }
      if (m_ledgerGroup.IsLeader()) {
        m_ledgerGroup.TransferLeadership();
      }
      co_await net::Sleep(kTransferPoll);
    }
    m_server.Stop();
    m_links.Stop();
    m_peers.Stop();
    m_process.Loop().Stop();
  }

  net::Process& m_process;
  std::atomic<bool> m_failed{ false };
  const net::Link::Handlers m_handlers;
  control::Peers m_peers;
  net::LinkServer m_links;
  control::ConfigStore m_store;
  ledger::Ledger m_ledger;
  consensus::Group m_config;
  consensus::Group m_ledgerGroup;
  control::GroupReplica m_configReplica;
  control::GroupReplica m_ledgerReplica;
  control::PolicyJudge m_judge;
  control::Server m_server;
};

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
  auto peers = control::ParsePeers(process.Settings().Text("peers"));
  Control control(process, std::move(*peers));
  if (const absl::Status status = control.Start(); !status.ok()) {
    base::LogError(
      "control", "cannot start", { { "why", base::MessageOf(status) } });
    std::cerr << "chivefront-control: " << base::MessageOf(status) << std::endl;
    return kExitFailure;
  }
  return control.Run();
}
