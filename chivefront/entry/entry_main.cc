// chivefront-entry: accepts callers' requests and routes them to upstreams.
#include "chivefront/base/log.h"
#include "chivefront/entry/core.h"
#include "chivefront/net/process.h"

using namespace chivefront;

namespace {

constexpr int64_t kKibibyte = 1024;
constexpr int64_t kMaxBodyBytes = 8 * kKibibyte * kKibibyte;
constexpr int64_t kMaxDurationMs = 3600 * 1000;

void
AddSettings(base::Settings& aSettings)
{
  aSettings.AddEndpoint(
    "callers", "Address of the callers' HTTP port.", "127.0.0.1:0");
  aSettings.AddInteger("max-body-bytes",
                       "Largest body of a caller's request.",
                       kKibibyte * kKibibyte,
                       kKibibyte,
                       kMaxBodyBytes);
  aSettings.AddInteger("max-header-bytes",
                       "Largest header of a caller's request.",
                       16 * kKibibyte,
                       kKibibyte,
                       kKibibyte * kKibibyte);
  aSettings.AddInteger(
    "max-connections", "Callers' connections at once.", 20000, 1, 1000000);
  aSettings.AddInteger("window-bytes",
                       "Answer bytes under way to one reader; an entry holds "
                       "at most 32 KiB more than this per stream.",
                       16 * kKibibyte,
                       4 * kKibibyte,
                       kKibibyte * kKibibyte);
  aSettings.AddInteger("max-answer-bytes",
                       "Largest answer that is not streamed.",
                       kKibibyte * kKibibyte,
                       kKibibyte,
                       kMaxBodyBytes);
  aSettings.AddInteger("send-buffer-bytes",
                       "Kernel send buffer of a caller's connection.",
                       16 * kKibibyte,
                       4 * kKibibyte,
                       4 * kKibibyte * kKibibyte);
  aSettings.AddInteger("queue",
                       "Requests that wait here for one version or service.",
                       1000,
                       0,
                       1000000);
  aSettings.AddEndpoint("rating",
                        "Answer rating service; without one nothing is rated "
                        "or escalated.");
  aSettings.AddInteger("rating-timeout-ms",
                       "Time to wait for a verdict.",
                       2000,
                       1,
                       kMaxDurationMs);
  aSettings.AddInteger("deadline-ms",
                       "Deadline of requests that give none.",
                       60000,
                       1,
                       kMaxDurationMs);
  aSettings.AddInteger("write-timeout-ms",
                       "Time a reader may take no data before its request is "
                       "cancelled.",
                       30000,
                       1,
                       kMaxDurationMs);
  aSettings.AddInteger("accept-after-term-ms",
                       "Time for which requests are accepted after SIGTERM, "
                       "so that the balancer sees /readyz fail first.",
                       2000,
                       0,
                       kMaxDurationMs);
}

net::HttpLimits
MakeHttpLimits(const base::Settings& aSettings)
{
  net::HttpLimits limits;
  limits.m_headerBytes =
    static_cast<size_t>(aSettings.Integer("max-header-bytes"));
  limits.m_bodyBytes = static_cast<size_t>(aSettings.Integer("max-body-bytes"));
  limits.m_maxConnections =
    static_cast<size_t>(aSettings.Integer("max-connections"));
  limits.m_sendBufferBytes =
    static_cast<int>(aSettings.Integer("send-buffer-bytes"));
  limits.m_writeTimeout = base::Millis(aSettings.Integer("write-timeout-ms"));
  return limits;
}

entry::EntryLimits
MakeEntryLimits(const base::Settings& aSettings)
{
  entry::EntryLimits limits;
  limits.m_windowBytes = static_cast<size_t>(aSettings.Integer("window-bytes"));
  limits.m_maxAnswerBytes =
    static_cast<size_t>(aSettings.Integer("max-answer-bytes"));
  limits.m_queueCapacity = static_cast<size_t>(aSettings.Integer("queue"));
  if (!aSettings.Text("rating").empty()) {
    limits.m_ratingEndpoint = aSettings.EndpointOf("rating");
  }
  limits.m_ratingTimeout = base::Millis(aSettings.Integer("rating-timeout-ms"));
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
  entry::EntryCore core(process.Context(),
                        process.Identity(),
                        process.ControlEndpoints(),
                        MakeEntryLimits(process.Settings()),
                        MakeHttpLimits(process.Settings()),
                        process.Events(),
                        process.Metrics());
  if (const absl::Status status =
        core.Start(process.Settings().EndpointOf("callers"));
      !status.ok()) {
    base::LogError("entry",
                   "cannot listen on the callers' port",
                   { { "why", base::MessageOf(status) } });
    return 1;
  }
  const base::Millis acceptFor(
    process.Settings().Integer("accept-after-term-ms"));
  process.Loop().OnShutdown(
    [&] { core.BeginShutdown(acceptFor, [&] { process.Loop().Stop(); }); });
  process.AddReadyField("callers", core.Callers().ToString());
  return process.Run([&] { return core.Ready(); },
                     [&] { return core.Status(); });
}
