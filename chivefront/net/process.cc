// Common settings, start and run of the server processes.
#include "chivefront/net/process.h"

#include <iostream>

#include "chivefront/base/errors.h"
#include "chivefront/base/ids.h"
#include "chivefront/base/log.h"

namespace chivefront::net {
namespace detail {

constexpr int64_t kDefaultEvents = 20000;
constexpr int64_t kMaxEvents = 1000000;
constexpr int64_t kMaxThreads = 64;
constexpr size_t kMinSecretBytes = 8;

std::string
CheckSecret(const std::string& aText)
{
  return aText.size() >= kMinSecretBytes
           ? std::string()
           : "needs at least " + std::to_string(kMinSecretBytes) + " bytes";
}

} // namespace detail

Process::Process(std::string aProgram,
                 wire::Role aRole,
                 const std::string& aHelp)
  : m_program(std::move(aProgram))
  , m_settings(m_program, aHelp)
{
  m_identity.m_role = aRole;
  m_settings.AddText("name", "Name of this process, unique in its cluster.")
    .Required();
  m_settings.AddText("domain", "Failure domain of this host.").Required();
  m_settings.AddText("cluster", "Name of the cluster.", "chivefront");
  m_settings
    .AddText("secret",
             "Secret that all processes of the cluster share; better given "
             "by the environment variable.")
    .Required()
    .WithCheck(detail::CheckSecret);
  m_settings.AddEndpoint("listen",
                         "Address for internal links; port 0 takes a free one.",
                         "127.0.0.1:0");
  m_settings.AddEndpoint(
    "admin", "Address of the admin HTTP port.", "127.0.0.1:0");
  m_settings.AddEndpoints("control", "Control processes, IP:PORT,IP:PORT,...");
  m_settings.AddText("event-log",
                     "File to which events are appended; none by default.");
  m_settings.AddInteger("event-buffer",
                        "Events kept in memory for the admin port.",
                        detail::kDefaultEvents,
                        1,
                        detail::kMaxEvents);
  m_settings.AddInteger(
    "threads", "Threads of the event loop.", 2, 1, detail::kMaxThreads);
  m_settings.AddFlag("verbose", "Log at debug level.");
}

Process::~Process() = default;

std::optional<int>
Process::Start(int argc, const char* const* argv)
{
  if (const auto code = m_settings.Parse(argc, argv)) {
    return code;
  }
  base::InitLogging(m_settings.Flag("verbose") ? base::Severity::Debug
                                               : base::Severity::Info);
  m_identity.m_cluster = m_settings.Text("cluster");
  m_identity.m_process = m_settings.Text("name");
  m_identity.m_failureDomain = m_settings.Text("domain");
  m_identity.m_secret = m_settings.Text("secret");
  m_identity.m_incarnation = base::RandomBits();
  m_events = std::make_unique<base::EventLog>(
    m_identity.m_process,
    m_settings.Text("event-log"),
    static_cast<size_t>(m_settings.Integer("event-buffer")));
  m_identity.m_events = m_events.get();
  m_runtime =
    std::make_unique<Runtime>(static_cast<int>(m_settings.Integer("threads")));
  return std::nullopt;
}

std::vector<base::Endpoint>
Process::ControlEndpoints() const
{
  return m_settings.EndpointsOf("control");
}

base::Endpoint
Process::ListenEndpoint() const
{
  return m_settings.EndpointOf("listen");
}

void
Process::AddReadyField(std::string aName, std::string aValue)
{
  m_readyFields.emplace_back(std::move(aName), std::move(aValue));
}

int
Process::Run(std::function<bool()> aReady, std::function<std::string()> aStatus)
{
  AdminServer admin(
    Context(), m_metrics, *m_events, std::move(aReady), std::move(aStatus));
  if (const absl::Status status = admin.Listen(m_settings.EndpointOf("admin"));
      !status.ok()) {
    base::LogError("process",
                   "cannot open the admin port",
                   { { "why", base::MessageOf(status) } });
    return 1;
  }
  std::string line =
    m_program + " ready admin=" + admin.BoundEndpoint().ToString();
  for (const auto& [name, value] : m_readyFields) {
    line += " " + name + "=" + value;
  }
  std::cout << line << std::endl;
  m_events->Record(
    "process_started",
    { { "program", m_program }, { "domain", m_identity.m_failureDomain } });
  m_runtime->Run();
  m_events->Record("process_stopped");
  return 0;
}

} // namespace chivefront::net
