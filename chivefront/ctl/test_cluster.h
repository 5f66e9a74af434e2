// Three control nodes in one process, for tests. The nodes use real logs and
// links and can be killed and restarted one by one.
#pragma once

#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <string>
#include <thread>

#include "chivefront/base/ids.h"
#include "chivefront/client/watcher.h"
#include "chivefront/control/node.h"
#include "chivefront/ctl/control_client.h"
#include "chivefront/net/testing/reserved_port.h"

namespace chivefront::ctl {

// After this time, a test that waits for something fails.
inline constexpr base::Millis kTestTimeout{ 20000 };

inline const char* const kTestCatalogue =
  R"({"model/small":{"owner":"ops","class":"free","version":"s1",)"
  R"("limits":{"concurrency":8}},"version/s1":{"owner":"ops","class":"free",)"
  R"("model":"small","prompt_cost":1,"answer_cost":2,)"
  R"("limits":{"answer_tokens":100}}})";

inline net::LinkIdentity
IdentityOf(const std::string& aName, wire::Role aRole)
{
  net::LinkIdentity identity;
  identity.m_role = aRole;
  identity.m_cluster = "test";
  identity.m_process = aName;
  identity.m_incarnation = base::RandomBits();
  identity.m_secret = "a test secret";
  return identity;
}

// What a process has: an identity, logs of events, metrics, and an event loop
// on a thread of its own.
struct TestProcess
{
  explicit TestProcess(const std::string& aName, wire::Role aRole)
    : m_identity(IdentityOf(aName, aRole))
    , m_events(aName, "", 1000)
  {
  }
  ~TestProcess() { StopLoop(); }

  void StartLoop()
  {
    m_thread = std::thread([this] {
      const auto work = net::asio::make_work_guard(m_context);
      m_context.run();
    });
  }
  void StopLoop()
  {
    m_context.stop();
    if (m_thread.joinable()) {
      m_thread.join();
    }
  }

  const net::LinkIdentity m_identity;
  base::EventLog m_events;
  base::Metrics m_metrics;
  net::asio::io_context m_context;
  std::thread m_thread;
};

struct TestNode : TestProcess
{
  TestNode(const std::string& aName, control::NodeOptions aOptions)
    : TestProcess(aName, wire::Role::Control)
    , m_node(m_context, m_identity, std::move(aOptions), m_events, m_metrics)
  {
    const absl::Status status = m_node.Start();
    BOOST_REQUIRE_MESSAGE(status.ok(), aName << ": " << status.message());
    StartLoop();
  }
  // Ends as a killed process does: without notice to the other nodes.
  ~TestNode()
  {
    StopLoop();
    m_node.Stop();
  }

  control::Node m_node;
};

// The nodes c1, c2 and c3, which are started by the constructor.
class TestCluster
{
public:
  TestCluster()
    : m_root(std::filesystem::temp_directory_path() /
             ("chivefront-cluster-" + base::RequestId::Random().ToString()))
  {
    for (const char* name : { "c1", "c2", "c3" }) {
      m_peers[name] = m_ports[name].Address();
    }
    for (const auto& [name, endpoint] : m_peers) {
      Start(name);
    }
  }
  ~TestCluster()
  {
    m_nodes.clear();
    std::filesystem::remove_all(m_root);
  }

  void Start(const std::string& aName) { StartWith(aName, m_peers); }

  // Starts a node that clients can reach but that can't reach any other node.
  void StartIsolated(const std::string& aName)
  {
    control::PeerMap peers = m_peers;
    for (auto& [name, endpoint] : peers) {
      endpoint = name == aName ? endpoint : m_unusedPort.Address();
    }
    StartWith(aName, peers);
  }

  void StartWith(const std::string& aName, const control::PeerMap& aPeers)
  {
    control::NodeOptions options;
    options.m_folder = (m_root / aName).string();
    std::filesystem::create_directories(options.m_folder);
    options.m_peers = aPeers;
    options.m_listen = m_peers.at(aName);
    options.m_snapshotEvery = 20; // so that restarted nodes read snapshots
    options.m_onFatal = [](const absl::Status&) {};
    m_nodes[aName] = std::make_unique<TestNode>(aName, std::move(options));
  }
  void Kill(const std::string& aName) { m_nodes.erase(aName); }

  // Waits until a node leads the configuration group, and returns its name.
  std::string WaitForLeader() const
  {
    const base::Clock& clock = base::SteadyClock::Instance();
    const base::TimePoint deadline = clock.Now() + kTestTimeout;
    while (clock.Now() < deadline) {
      for (const auto& [name, node] : m_nodes) {
        if (node->m_node.LeadsConfiguration() && node->m_node.IsFresh()) {
          return name;
        }
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    BOOST_FAIL("no leader in time");
    return {};
  }

  std::unique_ptr<ControlClient> OpenClient() const
  {
    ControlClientOptions options;
    for (const auto& [name, endpoint] : m_peers) {
      options.m_control +=
        (options.m_control.empty() ? "" : ",") + endpoint.ToString();
    }
    options.m_cluster = "test";
    options.m_secret = "a test secret";
    options.m_timeout = kTestTimeout;
    auto client = ControlClient::Open(options);
    BOOST_REQUIRE(client.ok());
    return std::move(*client);
  }

  std::vector<base::Endpoint> Endpoints() const
  {
    std::vector<base::Endpoint> endpoints;
    for (const auto& [name, endpoint] : m_peers) {
      endpoints.push_back(endpoint);
    }
    return endpoints;
  }

  // Writes aText to a catalogue file and returns the file's path.
  std::string WriteCatalogue(const std::string& aText) const
  {
    const std::string path = (m_root / "catalogue.json").string();
    std::ofstream(path) << aText;
    return path;
  }

  const std::filesystem::path m_root;
  std::map<std::string, net::testing::ReservedPort> m_ports; // by name
  const net::testing::ReservedPort m_unusedPort; // where nothing listens
  control::PeerMap m_peers;
  std::map<std::string, std::unique_ptr<TestNode>> m_nodes;
};

template<typename Condition>
void
WaitFor(const char* aWhat, Condition aCondition)
{
  const base::Clock& clock = base::SteadyClock::Instance();
  const base::TimePoint deadline = clock.Now() + kTestTimeout;
  while (!aCondition()) {
    BOOST_REQUIRE_MESSAGE(clock.Now() < deadline, aWhat);
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
}

} // namespace chivefront::ctl
