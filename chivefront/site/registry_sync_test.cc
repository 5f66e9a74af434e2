// Registrations between real control processes when one of them misses what
// another has acknowledged, and when all of them end after that.
// Promises: leaving
#define BOOST_TEST_MODULE registry_sync
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <filesystem>
#include <optional>
#include <thread>

#include <boost/asio/co_spawn.hpp>

#include "chivefront/base/errors.h"
#include "chivefront/net/testing/reserved_port.h"
#include "chivefront/site/messages.h"
#include "chivefront/site/node.h"

using namespace chivefront;
using namespace chivefront::site;
using routing::InstanceState;

namespace {

// Within which an entry must stop sending to an upstream that leaves, after the
// processes hear each other again. Entries poll each 200 ms.
constexpr int64_t kDrainMillis = 2500 - 200;
// After this a link to a process that does not answer has been closed.
constexpr int64_t kLinkClosedMillis = 2200;
// A process that joins must be admitted first.
constexpr int64_t kJoinMillis = 5000;
// After a restart of all processes, an entry that polls one of them hears what
// was acknowledged before within this time.
constexpr int64_t kRestartMillis = 4000;
// An upstream waits this long for an acknowledgement, then it asks again.
constexpr int64_t kAcknowledgeMillis = 1000;
constexpr int kSetupBeats = 20;
constexpr int64_t kBeatMillis = 400;

// One control process with an event loop of its own, so that it can freeze
// while the others go on.
class TestNode
{
public:
  TestNode(const std::string& aFolder, std::string aName)
    : m_folder(aFolder + "/" + aName)
    , m_name(std::move(aName))
  {
    std::filesystem::create_directories(m_folder);
    m_identity.m_role = wire::Role::Control;
    m_identity.m_process = m_name;
  }

  void Start(const std::vector<std::string>& aSeeds, bool aMayBootstrap = true)
  {
    m_identity.m_incarnation += 1;
    m_context = std::make_unique<net::asio::io_context>(1);
    m_metrics = std::make_unique<base::Metrics>();
    NodeOptions options;
    options.m_folder = m_folder;
    options.m_listen = *base::Endpoint::Parse(m_name);
    options.m_seeds = aSeeds;
    options.m_mayBootstrap = aMayBootstrap;
    m_node = std::make_unique<Node>(
      *m_context, m_identity, options, m_events, *m_metrics, m_log);
    BOOST_REQUIRE(m_node->Start().ok());
  }
  // Ends like a killed process: connections close, nothing more is sent.
  void Stop()
  {
    m_node->Stop();
    m_node.reset(); // its sockets use the context
    m_context.reset();
  }

  void RunFor(int64_t aMillis)
  {
    m_context->restart();
    m_context->run_for(std::chrono::milliseconds(aMillis));
  }

  const std::string m_folder;
  const std::string m_name;
  net::LinkIdentity m_identity;
  base::EventLog m_events{ "test", "", 10 };
  base::DecisionLog m_log{ "test", base::SteadyClock::Instance() };
  std::unique_ptr<base::Metrics> m_metrics;
  std::unique_ptr<net::asio::io_context> m_context;
  std::unique_ptr<Node> m_node;
};

struct ThreeNodes
{
  ThreeNodes()
  {
    for (const auto& port : m_ports) {
      m_seeds.push_back("127.0.0.1:" + std::to_string(port.Port()));
    }
    m_folder = (std::filesystem::temp_directory_path() /
                ("registry-sync-" + std::to_string(m_ports[0].Port())))
                 .string();
    for (size_t i = 0; i < m_ports.size(); ++i) {
      m_nodes.push_back(std::make_unique<TestNode>(m_folder, m_seeds[i]));
      m_nodes.back()->Start(m_seeds);
    }
    // Like a heartbeat, until all links have opened.
    bool seen = false;
    for (int i = 0; i < kSetupBeats && !seen; ++i) {
      Register(InstanceState::Ready);
      seen = Sees(1, InstanceState::Ready, kBeatMillis) &&
             Sees(2, InstanceState::Ready, kBeatMillis);
    }
    BOOST_REQUIRE(seen);
    // A group is formed only while all seeds run.
    for (int i = 0; i < kSetupBeats && !KnowLeader(); ++i) {
      RunFor(kBeatMillis);
    }
    BOOST_REQUIRE(KnowLeader());
  }
  ~ThreeNodes()
  {
    for (const auto& node : m_nodes) {
      if (node->m_node) {
        node->Stop();
      }
    }
    std::filesystem::remove_all(m_folder);
  }

  bool KnowLeader() const
  {
    return std::all_of(m_nodes.begin(), m_nodes.end(), [](const auto& aNode) {
      return !aNode->m_node->Leader().empty();
    });
  }

  // Runs all nodes that are up, except aFrozen.
  void RunFor(int64_t aMillis, const TestNode* aFrozen = nullptr)
  {
    const auto until =
      std::chrono::steady_clock::now() + std::chrono::milliseconds(aMillis);
    while (std::chrono::steady_clock::now() < until) {
      for (const auto& node : m_nodes) {
        if (node->m_node && node.get() != aFrozen) {
          node->RunFor(2);
        }
      }
    }
  }

  // Runs the nodes until the task is done, or for kAcknowledgeMillis. Returns
  // its result, or Unavailable.
  absl::Status Await(net::Task<absl::Status> aTask,
                     TestNode& aNode,
                     const TestNode* aFrozen = nullptr)
  {
    auto result = std::make_shared<std::optional<absl::Status>>();
    net::asio::co_spawn(
      *aNode.m_context,
      std::move(aTask),
      [result](const std::exception_ptr&, absl::Status aStatus) {
        *result = std::move(aStatus);
      });
    const auto until = std::chrono::steady_clock::now() +
                       std::chrono::milliseconds(kAcknowledgeMillis);
    while (!*result && std::chrono::steady_clock::now() < until) {
      RunFor(5, aFrozen);
    }
    return result->value_or(
      base::MakeError(base::ErrorKind::Unavailable, "no acknowledgement"));
  }

  // Like an upstream, asks again until its leaving is acknowledged, or for
  // kJoinMillis.
  bool Unregister(size_t aNode, const TestNode* aFrozen = nullptr)
  {
    const auto until =
      std::chrono::steady_clock::now() + std::chrono::milliseconds(kJoinMillis);
    TestNode& node = *m_nodes[aNode];
    while (std::chrono::steady_clock::now() < until) {
      if (Await(node.m_node->Unregister("i-1", 1), node, aFrozen).ok()) {
        return true;
      }
      RunFor(20, aFrozen);
    }
    return false;
  }

  // All processes end at once and start again with their folders.
  void RestartAll()
  {
    for (const auto& node : m_nodes) {
      node->Stop();
    }
    for (const auto& node : m_nodes) {
      node->Start(m_seeds, false);
    }
  }

  // The first node gets the upstream's next records until it acknowledges one.
  void Register(InstanceState aState, const TestNode* aFrozen = nullptr)
  {
    bool acknowledged = false;
    for (int i = 0; i < kSetupBeats && !acknowledged; ++i) {
      acknowledged = Beat(aState, aFrozen);
      if (!acknowledged) {
        RunFor(100, aFrozen);
      }
    }
    BOOST_REQUIRE(acknowledged);
  }

  // The first node gets the upstream's next record. Returns whether it is
  // acknowledged.
  bool Beat(InstanceState aState, const TestNode* aFrozen = nullptr)
  {
    routing::Instance record;
    record.m_id = "i-1";
    record.m_service = "app";
    record.m_address = { "10.0.0.1", 80 };
    record.m_state = aState;
    record.m_born = 1;
    record.m_sequence = ++m_sequence;
    record.m_reportedAt = base::SteadyClock::Instance().Now();
    TestNode& node = *m_nodes[0];
    return Await(node.m_node->Register(record), node, aFrozen).ok();
  }

  // Whether the node tells an entry within aMillis that the upstream is in this
  // state.
  bool Sees(size_t aNode, InstanceState aState, int64_t aMillis)
  {
    net::LinkIdentity identity;
    identity.m_process = "entry";
    net::Link::Handlers handlers;
    handlers.m_onOpen = [](const net::Link::Pointer&) {};
    handlers.m_onMessage = [](const net::Link::Pointer&,
                              const wire::MessageT&) {};
    handlers.m_onClose = [](const net::Link::Pointer&, const absl::Status&) {};
    net::asio::io_context context{ 1 };
    const auto connector = std::make_shared<net::LinkConnector>(
      context,
      identity,
      *base::Endpoint::Parse(m_nodes[aNode]->m_name),
      handlers);
    connector->Start();
    bool seen = false;
    net::Spawn(context.get_executor(), "entry", [&]() -> net::Task<void> {
      while (!seen) {
        if (const net::Link::Pointer link = connector->Current()) {
          wire::MessageT poll = wire::MakeMessage(wire::WatchRequestT());
          const auto reply =
            co_await link->Call(std::move(poll), base::Millis(500));
          seen = reply.ok() && Names(*reply->body.AsWatchReply(), aState);
        }
        co_await net::Sleep(base::Millis(50));
      }
    });
    const auto until =
      std::chrono::steady_clock::now() + std::chrono::milliseconds(aMillis);
    while (!seen && std::chrono::steady_clock::now() < until) {
      RunFor(5);
      context.restart();
      context.run_for(std::chrono::milliseconds(5));
    }
    connector->Stop();
    return seen;
  }

  static bool Names(const wire::WatchReplyT& aReply, InstanceState aState)
  {
    for (const auto& info : aReply.upstreams) {
      routing::Instance record;
      if (FromWire(*info, base::SteadyClock::Instance().Now(), record) &&
          record.m_id == "i-1" && record.m_state == aState) {
        return true;
      }
    }
    return false;
  }

  // Adds a process that is not among the seeds.
  void Join()
  {
    m_nodes.push_back(std::make_unique<TestNode>(
      m_folder, "127.0.0.1:" + std::to_string(m_joinerPort.Port())));
    m_nodes.back()->Start(m_seeds, false);
  }

  std::array<net::testing::ReservedPort, 3> m_ports;
  const net::testing::ReservedPort m_joinerPort;
  std::vector<std::string> m_seeds;
  std::string m_folder;
  std::vector<std::unique_ptr<TestNode>> m_nodes;
  uint64_t m_sequence = 0;
};

} // namespace

// Guards against an entry that keeps sending to an upstream that has left: it
// polls a control process whose links were closed when the upstream told
// another one, and the upstream sends no further record.
BOOST_FIXTURE_TEST_CASE(FrozenProcessHearsWhoLeftMeanwhile, ThreeNodes)
{
  const TestNode* const frozen = m_nodes[2].get();
  RunFor(kLinkClosedMillis, frozen);
  Register(InstanceState::Draining, frozen);
  RunFor(100, frozen);
  BOOST_TEST(Unregister(0, frozen));
  RunFor(500, frozen);
  BOOST_TEST(Sees(2, InstanceState::Gone, kDrainMillis));
}

// Guards against the same after a restart: the process reads an older record
// from its folder, and the process that got the newer one has ended.
BOOST_FIXTURE_TEST_CASE(RestartedProcessHearsWhoLeftFromAnother, ThreeNodes)
{
  RunFor(1500); // the third node saves what it knows
  m_nodes[2]->Stop();
  RunFor(200);
  Register(InstanceState::Draining);
  RunFor(200);
  m_nodes[0]->Stop(); // only the second node has the record now
  RunFor(200);
  m_nodes[2]->Start(m_seeds);
  BOOST_TEST(Sees(2, InstanceState::Draining, kDrainMillis));
}

// Guards against a process that joins later and never hears of an upstream that
// sends no further record: its links opened before the others knew it as one of
// them.
BOOST_FIXTURE_TEST_CASE(JoiningProcessHearsWhatIsKnown, ThreeNodes)
{
  Register(InstanceState::Draining);
  RunFor(300);
  Join();
  BOOST_TEST(Sees(3, InstanceState::Draining, kJoinMillis));
}

// Guards against an upstream that has unregistered and still gets requests: it
// told a process that had never heard of it, which acknowledged and told no
// one.
BOOST_FIXTURE_TEST_CASE(UnregisteringWhereItIsUnknownReachesTheOthers,
                        ThreeNodes)
{
  Join();
  TestNode& joiner = *m_nodes[3];
  BOOST_TEST(!Await(joiner.m_node->Unregister("i-1", 0), joiner).ok());
  BOOST_TEST(Unregister(3));
  for (size_t i = 0; i < 3; ++i) {
    BOOST_TEST(Sees(i, InstanceState::Gone, kJoinMillis), "node " << i);
  }
}

// Guards against an upstream that has unregistered and gets requests again
// after all control processes were killed: its leaving was acknowledged before
// it was on any disk. Each process may be the one that is asked.
BOOST_FIXTURE_TEST_CASE(LeavingSurvivesTheEndOfAllProcesses, ThreeNodes)
{
  RunFor(1500); // all save the upstream as ready
  BOOST_TEST(Unregister(1));
  RestartAll();
  for (size_t i = 0; i < 3; ++i) {
    BOOST_TEST(Sees(i, InstanceState::Gone, kRestartMillis), "node " << i);
  }
}

// Guards against the same with an upstream that drains, whose next record may
// come seconds later.
BOOST_FIXTURE_TEST_CASE(DrainingSurvivesTheEndOfAllProcesses, ThreeNodes)
{
  RunFor(1500);
  Register(InstanceState::Draining);
  RestartAll();
  for (size_t i = 0; i < 3; ++i) {
    BOOST_TEST(Sees(i, InstanceState::Draining, kRestartMillis), "node " << i);
  }
}

// Guards against an acknowledgement by a process that is cut off from the
// others: no other process can know what it was told.
BOOST_FIXTURE_TEST_CASE(LeavingIsNotAcknowledgedWithoutAMajority, ThreeNodes)
{
  m_nodes[1]->Stop();
  m_nodes[2]->Stop();
  TestNode& alone = *m_nodes[0];
  BOOST_TEST(!Await(alone.m_node->Unregister("i-1", 1), alone).ok());
  BOOST_TEST(!Beat(InstanceState::Draining));
  // It stops sending all the same.
  BOOST_TEST(Sees(0, InstanceState::Gone, kDrainMillis));
}

// Guards against a repeated request to leave that is refused because the first
// one, whose acknowledgement was lost, has been recorded.
BOOST_FIXTURE_TEST_CASE(RepeatedLeavingIsAcknowledgedAgain, ThreeNodes)
{
  BOOST_TEST(Unregister(0));
  for (size_t i = 0; i < 3; ++i) {
    BOOST_TEST(Unregister(i), "node " << i);
  }
}
