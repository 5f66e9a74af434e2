// Operators, watchers and claimants against three control nodes with real
// logs and links, while leaders are lost and everything restarts.
// Promises: config, at-most-once, session, billed-once
#define BOOST_TEST_MODULE cluster
#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>
#include <future>
#include <sstream>
#include <thread>

#include "chivefront/base/ids.h"
#include "chivefront/client/watcher.h"
#include "chivefront/control/node.h"
#include "chivefront/ctl/commands.h"
#include "chivefront/ctl/exit_code.h"

using namespace chivefront;

namespace {

constexpr base::Millis kPatience{ 20000 };

const char* const kCatalogue =
  R"({"model/small":{"owner":"ops","class":"free","version":"s1",)"
  R"("limits":{"concurrency":8}},"version/s1":{"owner":"ops","class":"free",)"
  R"("model":"small","prompt_cost":1,"answer_cost":2,)"
  R"("limits":{"answer_tokens":100}}})";

net::LinkIdentity
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

// A context with a thread, and what a node needs besides.
struct Host
{
  explicit Host(const std::string& aName, wire::Role aRole)
    : m_identity(IdentityOf(aName, aRole))
    , m_events(aName, "", 1000)
  {
  }
  ~Host() { StopLoop(); }

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

struct TestNode : Host
{
  TestNode(const std::string& aName, control::NodeOptions aOptions)
    : Host(aName, wire::Role::Control)
    , m_node(m_context, m_identity, std::move(aOptions), m_events, m_metrics)
  {
    BOOST_REQUIRE(m_node.Start().ok());
    StartLoop();
  }
  // Ends as a killed process does: without a word to the others.
  ~TestNode()
  {
    StopLoop();
    m_node.Stop();
  }

  control::Node m_node;
};

base::Endpoint
FreeEndpoint()
{
  net::asio::io_context context;
  net::asio::ip::tcp::acceptor acceptor(
    context, { net::asio::ip::make_address("127.0.0.1"), 0 });
  return { "127.0.0.1", acceptor.local_endpoint().port() };
}

class Cluster
{
public:
  Cluster()
    : m_root(std::filesystem::temp_directory_path() /
             ("chivefront-cluster-" + base::RequestId::Random().ToString()))
  {
    for (const char* name : { "c1", "c2", "c3" }) {
      m_peers[name] = FreeEndpoint();
    }
    for (const auto& [name, endpoint] : m_peers) {
      Start(name);
    }
  }
  ~Cluster()
  {
    m_nodes.clear();
    std::filesystem::remove_all(m_root);
  }

  void Start(const std::string& aName)
  {
    control::NodeOptions options;
    options.m_folder = (m_root / aName).string();
    std::filesystem::create_directories(options.m_folder);
    options.m_peers = m_peers;
    options.m_listen = m_peers.at(aName);
    options.m_snapshotEvery = 20; // so that restarts read snapshots
    options.m_onFatal = [](const absl::Status&) {};
    m_nodes[aName] = std::make_unique<TestNode>(aName, std::move(options));
  }
  void Kill(const std::string& aName) { m_nodes.erase(aName); }

  // The node that leads the configuration group.
  std::string Leader() const
  {
    const base::Clock& clock = base::SteadyClock::Instance();
    const base::TimePoint deadline = clock.Now() + kPatience;
    while (clock.Now() < deadline) {
      for (const auto& [name, node] : m_nodes) {
        if (node->m_node.LeadsConfiguration() && node->m_node.Fresh()) {
          return name;
        }
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    BOOST_FAIL("no leader in time");
    return {};
  }

  std::unique_ptr<ctl::Session> Session() const
  {
    ctl::SessionOptions options;
    for (const auto& [name, endpoint] : m_peers) {
      options.m_control +=
        (options.m_control.empty() ? "" : ",") + endpoint.ToString();
    }
    options.m_cluster = "test";
    options.m_secret = "a test secret";
    options.m_timeout = kPatience;
    auto session = ctl::Session::Open(options);
    BOOST_REQUIRE(session.ok());
    return std::move(*session);
  }

  std::vector<base::Endpoint> Endpoints() const
  {
    std::vector<base::Endpoint> endpoints;
    for (const auto& [name, endpoint] : m_peers) {
      endpoints.push_back(endpoint);
    }
    return endpoints;
  }

  std::string WriteFile(const std::string& aText) const
  {
    const std::string path = (m_root / "catalogue.json").string();
    std::ofstream(path) << aText;
    return path;
  }

  const std::filesystem::path m_root;
  control::PeerMap m_peers;
  std::map<std::string, std::unique_ptr<TestNode>> m_nodes;
};

wire::ChangeReplyT
Submit(ctl::Session& aSession,
       const std::string& aId,
       uint64_t aExpected,
       const std::string& aKey)
{
  wire::ChangeRequestT change;
  change.change_id = aId;
  change.expected_revision = aExpected;
  auto entry = std::make_unique<wire::ConfigEntryT>();
  entry->key = aKey;
  entry->value = "{}";
  change.entries.push_back(std::move(entry));
  auto reply = aSession.Submit(std::move(change));
  BOOST_REQUIRE(reply.ok());
  return std::move(*reply);
}

template<typename CommandT>
wire::LedgerReplyT
Run(ctl::Session& aSession, CommandT aCommand)
{
  wire::LedgerRequestT request;
  request.command.Set(std::move(aCommand));
  auto reply = aSession.Ledger(std::move(request));
  BOOST_REQUIRE(reply.ok());
  return std::move(*reply);
}

template<typename Condition>
void
WaitFor(const char* aWhat, Condition aCondition)
{
  const base::Clock& clock = base::SteadyClock::Instance();
  const base::TimePoint deadline = clock.Now() + kPatience;
  while (!aCondition()) {
    BOOST_REQUIRE_MESSAGE(clock.Now() < deadline, aWhat);
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
}

} // namespace

// Guards against an accepted change that is lost, reverted or applied twice
// when the leader dies, when it is sent again, and when all nodes restart.
BOOST_AUTO_TEST_CASE(AcceptedChangesOutliveLeadersAndRestarts)
{
  Cluster cluster;
  const std::string file = cluster.WriteFile(kCatalogue);
  std::ostringstream out;
  {
    auto session = cluster.Session();
    ctl::ChangeOptions options;
    options.m_changeId = "first";
    BOOST_REQUIRE(ctl::ApplyFile(*session, file, options, { out, false }).ok());
    BOOST_TEST(out.str().find("accepted at revision 2") != std::string::npos);
    BOOST_TEST(out.str().find("in force everywhere") != std::string::npos);
    cluster.Kill(cluster.Leader());
    const auto again = Submit(*session, "out-1", 0, "out/domain/d1");
    BOOST_TEST(again.revision == 3U);
  }
  cluster.m_nodes.clear();
  for (const auto& [name, endpoint] : cluster.m_peers) {
    cluster.Start(name);
  }
  auto session = cluster.Session();
  const auto current = session->Fetch();
  BOOST_REQUIRE(current.ok());
  BOOST_TEST(current->m_revision == 3U);
  BOOST_TEST(current->m_entries.count("out/domain/d1") == 1U);
  BOOST_TEST(Submit(*session, "out-1", 0, "out/domain/d1").revision == 3U);
  ctl::ChangeOptions options;
  options.m_changeId = "first";
  std::ostringstream second;
  BOOST_REQUIRE(ctl::ApplyFile(*session, file, options, { second, true }).ok());
  BOOST_TEST(second.str().find("\"revision\":2") != std::string::npos);
  const auto conflict = Submit(*session, "late", 2, "out/domain/d2");
  BOOST_TEST((conflict.result == wire::ChangeResult::Conflict));
  BOOST_TEST(conflict.current_revision == 3U);
}

// Concurrent operators with one expected revision. Guards against more than
// one of them being told that it was accepted.
BOOST_AUTO_TEST_CASE(ConcurrentChangesWithOneRevision)
{
  Cluster cluster;
  cluster.Leader();
  constexpr int kOperators = 6;
  std::vector<std::future<wire::ChangeReplyT>> replies;
  for (int i = 0; i < kOperators; ++i) {
    replies.push_back(std::async(std::launch::async, [&cluster, i] {
      auto session = cluster.Session();
      const std::string name = std::to_string(i);
      return Submit(*session, name, 1, "out/domain/" + name);
    }));
  }
  int accepted = 0;
  for (auto& reply : replies) {
    const auto result = reply.get();
    accepted += result.result == wire::ChangeResult::Accepted ? 1 : 0;
    BOOST_TEST(result.current_revision == 2U);
  }
  BOOST_TEST(accepted == 1);
}

// Guards against a watcher that never becomes fresh again after its leader
// died, misses a change, or goes back to an older revision.
BOOST_AUTO_TEST_CASE(WatcherFollowsThroughALeaderLoss)
{
  Cluster cluster;
  Host host("entry-1", wire::Role::Entry);
  client::ControlLinks links(
    host.m_context, host.m_identity, cluster.Endpoints());
  client::Watcher watcher(host.m_context,
                          links,
                          "entry-1#1",
                          wire::Role::Entry,
                          base::SteadyClock::Instance(),
                          host.m_events);
  links.Start();
  watcher.Start();
  host.StartLoop();
  WaitFor("fresh at first", [&] { return watcher.Fresh(); });
  auto session = cluster.Session();
  for (int round = 0; round < 3; ++round) {
    const std::string leader = cluster.Leader();
    const std::string name = std::to_string(round);
    cluster.Kill(leader);
    const auto reply = Submit(*session, name, 0, "out/domain/" + name);
    BOOST_TEST((reply.result == wire::ChangeResult::Accepted));
    WaitFor("the change arrives, fresh", [&] {
      const auto view = watcher.FreshView();
      return view.ok() && (*view)->m_catalog->m_domainsOut.count(name) == 1;
    });
    BOOST_TEST(watcher.Revision() == reply.revision);
    cluster.Start(leader);
  }
  watcher.Stop();
  links.Stop();
}

// Claimants race for one key while the leader dies. Guards against a claim
// granted to two owners, and against a pin or bill that a new leader forgot.
BOOST_AUTO_TEST_CASE(OneOwnerThroughALeaderLoss)
{
  Cluster cluster;
  const std::string leader = cluster.Leader();
  constexpr int kClaimants = 6;
  std::vector<std::future<wire::ClaimState>> states;
  for (int i = 0; i < kClaimants; ++i) {
    states.push_back(std::async(std::launch::async, [&cluster, i] {
      auto session = cluster.Session();
      wire::ClaimRequestT claim;
      claim.team = "sales";
      claim.key = "k";
      claim.owner = std::to_string(i);
      claim.request_id = "r";
      return Run(*session, std::move(claim)).claim;
    }));
  }
  cluster.Kill(leader);
  int granted = 0;
  for (auto& state : states) {
    granted += state.get() == wire::ClaimState::Granted ? 1 : 0;
  }
  BOOST_TEST(granted == 1);
  auto session = cluster.Session();
  wire::FinishClaimT finish;
  finish.team = "sales";
  finish.key = "k";
  finish.request_id = "r";
  finish.state = wire::ClaimState::Done;
  finish.body = "booked";
  BOOST_TEST((Run(*session, finish).claim == wire::ClaimState::Done));
  wire::PinSessionT pin;
  pin.team = "sales";
  pin.session = "s";
  pin.version = "v1";
  BOOST_TEST(Run(*session, pin).version == "v1");
  wire::PostBillT bill;
  bill.lines.push_back(std::make_unique<wire::BillLineT>());
  bill.lines.front()->request_id = "r";
  BOOST_TEST(Run(*session, bill).ok);
  cluster.Start(leader);
  cluster.Kill(cluster.Leader());
  pin.version = "v2";
  BOOST_TEST(Run(*session, pin).version == "v1");
  BOOST_TEST(Run(*session, bill).ok);
  BOOST_TEST(Run(*session, wire::QueryBillsT()).total_lines == 1U);
  wire::ClaimRequestT late;
  late.team = "sales";
  late.key = "k";
  late.owner = "late";
  BOOST_TEST(Run(*session, std::move(late)).body == "booked");
}

// Guards against a request that crashed three upstreams and is not
// quarantined everywhere, and against a lift that does not hold.
BOOST_AUTO_TEST_CASE(ThreeLossesQuarantine)
{
  Cluster cluster;
  auto session = cluster.Session();
  const auto lose = [&](const std::string& aId) {
    wire::ReportLossT loss;
    loss.loss_id = aId;
    loss.fingerprints = { 0xabc };
    return Run(*session, std::move(loss)).suspects.front()->losses;
  };
  lose("l1");
  lose("l2");
  BOOST_TEST(lose("l2") == 2U);
  BOOST_TEST(lose("l3") == 3U);
  const std::string key = "quarantine/0000000000000abc";
  WaitFor("quarantined", [&] {
    const auto current = session->Fetch();
    return current.ok() && current->m_entries.count(key) == 1;
  });
  std::ostringstream out;
  BOOST_REQUIRE(
    ctl::LiftQuarantine(*session, "0000000000000abc", {}, { out, false }).ok());
  BOOST_TEST(session->Fetch()->m_entries.count(key) == 0U);
  const auto status = session->Status();
  BOOST_REQUIRE(status.ok());
  BOOST_TEST(status->find("\"quarantines\":[]") != std::string::npos);
}
