// Slopes of links over loopback. Both ends run in this process, so CPU and
// memory are divided by two to get the cost of one end.
#include "bench/slopes/cases.h"

#include <future>
#include <thread>

#include "chivefront/net/link.h"

namespace chivefront::bench {
namespace {

constexpr double kEnds = 2;
constexpr int kThreads = 4;

net::Link::Handlers
CountingHandlers(std::atomic<size_t>& aMessages, std::atomic<size_t>& aOpen)
{
  net::Link::Handlers handlers;
  handlers.m_onOpen = [&aOpen](const net::Link::Pointer&) { ++aOpen; };
  handlers.m_onMessage = [&aMessages](const net::Link::Pointer&,
                                      wire::MessageT) { ++aMessages; };
  handlers.m_onClose = [](const net::Link::Pointer&, const absl::Status&) {};
  return handlers;
}

net::LinkIdentity
Identity(std::string aName)
{
  net::LinkIdentity identity;
  identity.m_cluster = "slopes";
  identity.m_process = std::move(aName);
  identity.m_secret = "slopes-secret";
  return identity;
}

void
WaitFor(const std::atomic<size_t>& aCount, size_t aWanted)
{
  while (aCount < aWanted) {
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
}

// A server and its links, on one event loop with kThreads threads.
class LinkFixture
{
public:
  LinkFixture()
    : m_guard(net::asio::make_work_guard(m_context))
    , m_server(m_context,
               m_serverIdentity,
               CountingHandlers(m_received, m_accepted))
  {
    for (int i = 0; i < kThreads; ++i) {
      m_threads.emplace_back([this] { m_context.run(); });
    }
    (void)m_server.Listen({ "127.0.0.1", 0 });
  }
  ~LinkFixture()
  {
    for (const auto& connector : m_connectors) {
      connector->Stop();
    }
    m_context.stop();
    for (std::thread& thread : m_threads) {
      thread.join();
    }
  }

  void Connect(size_t aLinks)
  {
    for (size_t i = 0; i < aLinks; ++i) {
      m_connectors.push_back(std::make_shared<net::LinkConnector>(
        m_context,
        m_clientIdentity,
        m_server.BoundEndpoint(),
        CountingHandlers(m_sent, m_opened)));
      m_connectors.back()->Start();
    }
    WaitFor(m_opened, m_connectors.size());
    WaitFor(m_accepted, m_connectors.size());
  }

  net::Link::Pointer First() const { return m_connectors.front()->Current(); }
  const std::atomic<size_t>& Received() const { return m_received; }

private:
  std::atomic<size_t> m_received{ 0 };
  std::atomic<size_t> m_accepted{ 0 };
  std::atomic<size_t> m_sent{ 0 };
  std::atomic<size_t> m_opened{ 0 };
  net::LinkIdentity m_serverIdentity = Identity("server");
  net::LinkIdentity m_clientIdentity = Identity("client");
  net::asio::io_context m_context;
  net::asio::executor_work_guard<net::asio::io_context::executor_type> m_guard;
  net::LinkServer m_server;
  std::vector<std::shared_ptr<net::LinkConnector>> m_connectors;
  std::vector<std::thread> m_threads;
};

double
FrameBytes(wire::MessageT aMessage)
{
  return static_cast<double>(wire::EncodeFrame(aMessage).size());
}

wire::ChunkT
TokenChunk()
{
  wire::ChunkT chunk;
  chunk.request_id = std::string(32, 'a');
  chunk.attempt = 1;
  chunk.sequence = 1;
  // One server-sent event with one token, as an engine sends it.
  chunk.data = std::string(180, 'x');
  return chunk;
}

void
MeasureIdle(double aScale, std::vector<Slope>& aSlopes)
{
  Slope cpu{ "link.idle.cpu", "us/s per link end", {}, {} };
  Slope memory{ "link.memory", "bytes per link end", {}, {} };
  Slope connect{ "link.connect.cpu", "us per link end", {}, {} };
  const auto span = std::chrono::milliseconds(
    static_cast<int64_t>(4000 * std::max(aScale, 0.25)));
  for (const size_t links : { 10, 100, 300 }) {
    const double before = AllocatedBytes();
    const double cpuBefore = ProcessCpuMicros();
    LinkFixture fixture;
    fixture.Connect(links);
    const double connected = ProcessCpuMicros();
    const double size = static_cast<double>(links);
    connect.m_points.push_back({ size, (connected - cpuBefore) / kEnds });
    memory.m_points.push_back({ size, (AllocatedBytes() - before) / kEnds });
    const double start = ProcessCpuMicros();
    std::this_thread::sleep_for(span);
    const double used = ProcessCpuMicros() - start;
    const double seconds = std::chrono::duration<double>(span).count();
    cpu.m_points.push_back({ size, used / seconds / kEnds });
  }
  for (Slope* slope : { &cpu, &memory, &connect }) {
    slope->m_line = Fit(slope->m_points);
    aSlopes.push_back(*slope);
  }
  // A heartbeat of 500 ms: each end sends two pings and two pongs a second.
  const double perBeat = FrameBytes(wire::MakeMessage(wire::PingT{})) +
                         FrameBytes(wire::MakeMessage(wire::PongT{}));
  Slope bytes{ "link.idle.bytes", "bytes/s per link end", {}, {} };
  for (const double links : { 10.0, 100.0, 300.0 }) {
    bytes.m_points.push_back({ links, 2 * perBeat * links });
  }
  bytes.m_line = Fit(bytes.m_points);
  aSlopes.push_back(bytes);
}

void
MeasureChunks(double aScale, std::vector<Slope>& aSlopes)
{
  Slope cpu{ "link.chunk.cpu", "us per chunk, both ends", {}, {} };
  LinkFixture fixture;
  fixture.Connect(1);
  const auto link = fixture.First();
  constexpr size_t kInFlight = 2000; // chunks; stays below the link's queue
  for (const double wanted : { 20000.0, 50000.0, 100000.0 }) {
    const auto count = static_cast<size_t>(wanted * aScale);
    const size_t base = fixture.Received();
    const double start = ProcessCpuMicros();
    for (size_t i = 0; i < count; ++i) {
      (void)link->Send(wire::MakeMessage(TokenChunk()));
      if (i % kInFlight == 0) {
        WaitFor(fixture.Received(), base + i);
      }
    }
    WaitFor(fixture.Received(), base + count);
    cpu.m_points.push_back(
      { static_cast<double>(count), ProcessCpuMicros() - start });
  }
  cpu.m_line = Fit(cpu.m_points);
  aSlopes.push_back(cpu);
  Slope bytes{ "link.chunk.bytes", "bytes per chunk", {}, {} };
  const double frame = FrameBytes(wire::MakeMessage(TokenChunk()));
  for (const double count : { 1.0, 10.0, 100.0 }) {
    bytes.m_points.push_back({ count, frame * count });
  }
  bytes.m_line = Fit(bytes.m_points);
  aSlopes.push_back(bytes);
}

} // namespace

std::vector<Slope>
MeasureLinks(double aScale)
{
  std::vector<Slope> slopes;
  MeasureIdle(aScale, slopes);
  MeasureChunks(aScale, slopes);
  return slopes;
}

} // namespace chivefront::bench
