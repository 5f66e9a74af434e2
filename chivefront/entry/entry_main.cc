// chivefront-entry: accepts callers' requests and routes them to upstreams.
#include "chivefront/base/log.h"
#include "chivefront/entry/server.h"
#include "chivefront/net/process.h"

using namespace chivefront;

namespace {

constexpr int64_t kKibi = 1024;
constexpr int64_t kMaxBodyBytes = 8 * kKibi * kKibi;
constexpr int64_t kLongestMs = 3600 * 1000;

void
AddSettings(base::Settings& aSettings)
{
  aSettings.AddEndpoint(
    "callers", "Address of the callers' HTTP port.", "127.0.0.1:0");
  aSettings.AddInteger("max-body-bytes",
                       "Largest body of a caller's request.",
                       kKibi * kKibi,
                       kKibi,
                       kMaxBodyBytes);
  aSettings.AddInteger("max-header-bytes",
                       "Largest header of a caller's request.",
                       16 * kKibi,
                       kKibi,
                       kKibi * kKibi);
  aSettings.AddInteger(
    "max-connections", "Callers' connections at once.", 20000, 1, 1000000);
  aSettings.AddInteger("window-bytes",
                       "Answer bytes under way to one reader; an entry holds "
                       "at most 24 KiB more than this per stream.",
                       32 * kKibi,
                       4 * kKibi,
                       kKibi * kKibi);
  aSettings.AddInteger("max-answer-bytes",
                       "Largest answer that is not streamed.",
                       kKibi * kKibi,
                       kKibi,
                       kMaxBodyBytes);
  aSettings.AddInteger("send-buffer-bytes",
                       "Kernel send buffer of a caller's connection.",
                       16 * kKibi,
                       4 * kKibi,
                       4 * kKibi * kKibi);
  aSettings.AddInteger("deadline-ms",
                       "Deadline of requests that give none.",
                       60000,
                       1,
                       kLongestMs);
  aSettings.AddInteger("write-timeout-ms",
                       "Time a reader may take no data before its request is "
                       "cancelled.",
                       30000,
                       1,
                       kLongestMs);
  aSettings.AddInteger("accept-after-term-ms",
                       "Time for which requests are accepted after SIGTERM, "
                       "so that the balancer sees /readyz fail first.",
                       2000,
                       0,
                       kLongestMs);
}

net::HttpLimits
MakeHttpLimits(const base::Settings& aSettings)
{
  net::HttpLimits limits;
  limits.m_headerBytes =
    static_cast<size_t>(aSettings.Integer("max-header-bytes"));
  limits.m_bodyBytes = static_cast<size_t>(aSettings.Integer("max-body-bytes"));
  limits.m_connections =
    static_cast<size_t>(aSettings.Integer("max-connections"));
  limits.m_sendBufferBytes =
    static_cast<int>(aSettings.Integer("send-buffer-bytes"));
  limits.m_write = base::Millis(aSettings.Integer("write-timeout-ms"));
  return limits;
}

entry::EntryLimits
MakeEntryLimits(const base::Settings& aSettings)
{
  entry::EntryLimits limits;
  limits.m_windowBytes = static_cast<size_t>(aSettings.Integer("window-bytes"));
  limits.m_maxAnswerBytes =
    static_cast<size_t>(aSettings.Integer("max-answer-bytes"));
  limits.m_deadline = base::Millis(aSettings.Integer("deadline-ms"));
  return limits;
}

} // namespace

int
main(int argc, char** argv)
{
  net::Process process("chivefront-entry",
                       wire::Role::Entry,
                       "Accepts callers' requests and routes them.");
  AddSettings(process.Settings());
  if (const auto code = process.Start(argc, argv)) {
    return *code;
  }
  const base::Clock& clock = base::SteadyClock::Instance();
  const std::string holder =
    process.Name() + "#" + std::to_string(process.Identity().m_incarnation);
  client::ControlLinks control(
    process.Context(), process.Identity(), process.ControlEndpoints());
  client::Watcher watcher(process.Context(),
                          control,
                          holder,
                          wire::Role::Entry,
                          clock,
                          process.Events());
  client::LedgerClient ledger(control);
  entry::RunningRequests running;
  entry::AgentLinks agents(
    process.Context(),
    process.Identity(),
    running,
    [](uint64_t, const std::vector<entry::RunningAttempt>&) {});
  entry::EntryParts parts{ holder,
                           process.FailureDomain(),
                           MakeEntryLimits(process.Settings()),
                           watcher,
                           ledger,
                           agents,
                           running,
                           process.Events(),
                           process.Metrics(),
                           clock };
  entry::FlowParts flows(parts);
  entry::EntryServer server(
    process.Context(), flows, MakeHttpLimits(process.Settings()));
  if (const absl::Status status =
        server.Listen(process.Settings().EndpointOf("callers"));
      !status.ok()) {
    base::LogError("entry",
                   "cannot open the callers' port",
                   { { "why", base::MessageOf(status) } });
    return 1;
  }
  watcher.OnChange(
    [&](const client::ViewPointer& aView) { agents.Update(*aView); });
  watcher.SetEvidenceSource(
    [&](uint64_t) { return flows.m_evidence.Totals(); });
  control.Start();
  watcher.Start();
  process.Loop().OnShutdown([&] { process.Loop().Stop(); });
  process.AddReadyField("callers", server.Bound().ToString());
  return process.Run(
    [&] { return watcher.Fresh(); },
    [&] { return "{\"running\":" + std::to_string(running.Size()) + "}"; });
}
