// One health check on a connection of the upstream, with a short timeout.
#include "chivefront/proxy/load_probe.h"

#include "chivefront/base/errors.h"

namespace chivefront::proxy {
namespace detail {

// Several round trips between failure domains. A request that waits for longer
// than that loses more than a better choice gains.
constexpr base::Millis kProbeTimeout{ 40 };

// Closes a connection if it is still in use when the time is over.
class ConnectionTimer
{
public:
  ConnectionTimer(const net::asio::any_io_executor& aExecutor,
                  UpstreamConnection& aConnection,
                  base::Millis aTimeout)
    : m_timer(aExecutor)
    , m_running(std::make_shared<bool>(true))
  {
    m_timer.expires_after(aTimeout.ToChrono());
    m_timer.async_wait([running = m_running,
                        &aConnection](const boost::system::error_code& aError) {
      if (!aError && *running) {
        aConnection.Close();
      }
    });
  }
  ~ConnectionTimer() { *m_running = false; }
  ConnectionTimer(const ConnectionTimer&) = delete;
  ConnectionTimer& operator=(const ConnectionTimer&) = delete;

private:
  net::asio::steady_timer m_timer;
  const std::shared_ptr<bool> m_running; // false: the connection may be gone
};

std::string
MakeHealthCheck(const std::string& aPath, const base::Endpoint& aAddress)
{
  return "GET " + aPath + " HTTP/1.1\r\nHost: " + aAddress.ToString() +
         "\r\n\r\n";
}

// Returns the load, or an error if the upstream did not tell it.
net::Task<absl::StatusOr<UpstreamLoad>>
AskLoad(SharedState& aShared,
        const UpstreamPointer& aUpstream,
        UpstreamConnection& aConnection,
        const std::string& aPath)
{
  const base::Endpoint address = aUpstream->m_instance.m_address;
  absl::Status status;
  if (!aConnection.Used()) {
    status = co_await aConnection.Connect(address, kProbeTimeout);
  }
  if (status.ok()) {
    auto check =
      std::make_shared<const std::string>(MakeHealthCheck(aPath, address));
    status = co_await aConnection.SendRequest(std::move(check));
  }
  if (!status.ok()) {
    co_return status;
  }
  const ResponseMetadata metadata = aShared.m_headerCodec.ParseResponseHeaders(
    static_cast<int>(aConnection.Head().result_int()), aConnection.Head());
  absl::StatusOr<std::string> piece = std::string("-");
  while (piece.ok() && !piece->empty()) {
    piece = co_await aConnection.ReadBody();
  }
  if (!metadata.m_load) {
    co_return base::MakeError(base::ErrorKind::Unavailable, "no load told");
  }
  co_return *metadata.m_load;
}

} // namespace detail

net::Task<void>
ProbeLoad(SharedState& aShared,
          UpstreamPointer aUpstream,
          std::string aHealthPath,
          net::asio::any_io_executor aExecutor)
{
  if (aUpstream->m_probing) {
    co_return;
  }
  aUpstream->m_probing = true;
  std::unique_ptr<UpstreamConnection> connection =
    aShared.m_upstreams.TakeIdleConnection(*aUpstream);
  if (!connection) {
    connection = std::make_unique<UpstreamConnection>(aExecutor);
  }
  absl::StatusOr<UpstreamLoad> load = UpstreamLoad();
  {
    const detail::ConnectionTimer timer(
      aExecutor, *connection, detail::kProbeTimeout);
    load =
      co_await detail::AskLoad(aShared, aUpstream, *connection, aHealthPath);
  }
  aUpstream->m_probing = false;
  const base::TimePoint now = aShared.m_clock.Now();
  aShared.m_loadProbes.OnProbe(load.ok(), now);
  aShared.m_metrics.m_probes.Increment();
  if (load.ok()) {
    aUpstream->m_estimate.OnLoad(
      load->m_running, load->m_waiting, now, load->m_slowdown);
    aShared.m_upstreams.ReturnConnection(*aUpstream, std::move(connection));
  } else {
    if (base::KindOf(load.status()) != base::ErrorKind::Unavailable) {
      aUpstream->m_estimate.OnOverloaded(now);
    }
    connection->Close();
  }
}

} // namespace chivefront::proxy
