// Operators, watchers and claimants against three control nodes with real
// logs and links, while leaders are lost and everything restarts.
// Promises: config, at-most-once, session, billed-once
#define BOOST_TEST_MODULE cluster
#include <boost/test/unit_test.hpp>

#include <future>
#include <sstream>

#include "chivefront/ctl/commands.h"
#include "chivefront/ctl/test_cluster.h"

using namespace chivefront;
using ctl::kTestCatalogue;
using ctl::TestCluster;
using ctl::TestProcess;
using ctl::WaitFor;

namespace {

wire::ChangeReplyT
Submit(ctl::ControlClient& aClient,
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
  auto reply = aClient.Submit(std::move(change));
  BOOST_REQUIRE(reply.ok());
  return std::move(*reply);
}

template<typename CommandT>
wire::LedgerReplyT
Run(ctl::ControlClient& aClient, CommandT aCommand)
{
  wire::LedgerRequestT request;
  request.command.Set(std::move(aCommand));
  auto reply = aClient.Ledger(std::move(request));
  BOOST_REQUIRE(reply.ok());
  return std::move(*reply);
}

} // namespace

// Guards against an accepted change that is lost, reverted or applied twice
// when the leader dies, when it is sent again, and when all nodes restart.
BOOST_AUTO_TEST_CASE(AcceptedChangesOutliveLeadersAndRestarts)
{
  TestCluster cluster;
  const std::string file = cluster.WriteCatalogue(kTestCatalogue);
  std::ostringstream out;
  {
    auto controlClient = cluster.OpenClient();
    ctl::ChangeOptions options;
    options.m_changeId = "first";
    BOOST_REQUIRE(
      ctl::ApplyFile(*controlClient, file, options, { out, false }).ok());
    BOOST_TEST(out.str().find("accepted at revision 2") != std::string::npos);
    BOOST_TEST(out.str().find("in force everywhere") != std::string::npos);
    cluster.Kill(cluster.Leader());
    const auto again = Submit(*controlClient, "out-1", 0, "out/domain/d1");
    BOOST_TEST(again.revision == 3U);
  }
  cluster.m_nodes.clear();
  for (const auto& [name, endpoint] : cluster.m_peers) {
    cluster.Start(name);
  }
  auto controlClient = cluster.OpenClient();
  const auto current = controlClient->Fetch();
  BOOST_REQUIRE(current.ok());
  BOOST_TEST(current->m_revision == 3U);
  BOOST_TEST(current->m_entries.count("out/domain/d1") == 1U);
  BOOST_TEST(Submit(*controlClient, "out-1", 0, "out/domain/d1").revision ==
             3U);
  ctl::ChangeOptions options;
  options.m_changeId = "first";
  std::ostringstream second;
  BOOST_REQUIRE(
    ctl::ApplyFile(*controlClient, file, options, { second, true }).ok());
  BOOST_TEST(second.str().find("\"revision\":2") != std::string::npos);
  const auto conflict = Submit(*controlClient, "late", 2, "out/domain/d2");
  BOOST_TEST((conflict.result == wire::ChangeResult::Conflict));
  BOOST_TEST(conflict.current_revision == 3U);
}

// Concurrent operators with one expected revision. Guards against more than
// one of them being told that it was accepted.
BOOST_AUTO_TEST_CASE(ConcurrentChangesWithOneRevision)
{
  TestCluster cluster;
  cluster.Leader();
  constexpr int kOperators = 6;
  std::vector<std::future<wire::ChangeReplyT>> replies;
  for (int i = 0; i < kOperators; ++i) {
    replies.push_back(std::async(std::launch::async, [&cluster, i] {
      auto controlClient = cluster.OpenClient();
      const std::string name = std::to_string(i);
      return Submit(*controlClient, name, 1, "out/domain/" + name);
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
  TestCluster cluster;
  TestProcess host("entry-1", wire::Role::Entry);
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
  auto controlClient = cluster.OpenClient();
  for (int round = 0; round < 3; ++round) {
    const std::string leader = cluster.Leader();
    const std::string name = std::to_string(round);
    cluster.Kill(leader);
    const auto reply = Submit(*controlClient, name, 0, "out/domain/" + name);
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

// Watchers that start at a random control process, one of which answers but is
// cut off from the others. Guards against a watcher that stays with it.
BOOST_AUTO_TEST_CASE(WatchersLeaveANodeThatIsCutOff)
{
  TestCluster cluster;
  cluster.Leader();
  cluster.Kill("c1");
  cluster.StartIsolated("c1");
  TestProcess host("entry-1", wire::Role::Entry);
  std::vector<std::unique_ptr<client::ControlLinks>> links;
  std::vector<std::unique_ptr<client::Watcher>> watchers;
  constexpr int kWatchers = 12; // by chance, 4 start at the one cut off
  for (int i = 0; i < kWatchers; ++i) {
    links.push_back(std::make_unique<client::ControlLinks>(
      host.m_context, host.m_identity, cluster.Endpoints()));
    watchers.push_back(
      std::make_unique<client::Watcher>(host.m_context,
                                        *links.back(),
                                        "entry#" + std::to_string(i),
                                        wire::Role::Entry,
                                        base::SteadyClock::Instance(),
                                        host.m_events));
    links.back()->Start();
    watchers.back()->Start();
  }
  host.StartLoop();
  for (const auto& watcher : watchers) {
    WaitFor("fresh", [&] { return watcher->Fresh(); });
  }
  host.StopLoop();
}

// Guards against a control process that calls its view fresh without a
// majority, and against one that then lets upstreams vanish.
BOOST_AUTO_TEST_CASE(NothingIsFreshWithoutAMajority)
{
  TestCluster cluster;
  const std::string leader = cluster.Leader();
  for (const auto& [name, endpoint] : cluster.m_peers) {
    if (name != leader) {
      cluster.Kill(name);
    }
  }
  control::Node& node = cluster.m_nodes.at(leader)->m_node;
  WaitFor("not fresh", [&] { return !node.Fresh(); });
  BOOST_TEST(node.StatusJson().find("has no recent confirmation") !=
             std::string::npos);
  for (const auto& [name, endpoint] : cluster.m_peers) {
    if (name != leader) {
      cluster.Start(name);
    }
  }
  cluster.Leader();
}

// Guards against a process that is no operator's changing the configuration.
BOOST_AUTO_TEST_CASE(OnlyOperatorsChange)
{
  TestCluster cluster;
  const auto controlClient = cluster.OpenClient();
  TestProcess host("entry-1", wire::Role::Entry);
  client::ControlLinks links(
    host.m_context, host.m_identity, cluster.Endpoints());
  std::promise<wire::ChangeResult> result;
  net::Spawn(host.m_context.get_executor(), "test", [&]() -> net::Task<void> {
    wire::ChangeRequestT change;
    change.change_id = "a";
    change.entries.push_back(std::make_unique<wire::ConfigEntryT>());
    change.entries.front()->key = "out/domain/d";
    change.entries.front()->value = "{}";
    auto reply = co_await links.CallUntil(
      wire::MakeMessage(std::move(change)),
      base::Millis(1000),
      base::SteadyClock::Instance().Now() + ctl::kTestTimeout,
      [](const wire::MessageT&) { return true; });
    result.set_value(reply.ok() ? reply->body.AsChangeReply()->result
                                : wire::ChangeResult::Unavailable);
  });
  links.Start();
  host.StartLoop();
  BOOST_TEST((result.get_future().get() == wire::ChangeResult::Invalid));
  BOOST_TEST(controlClient->Fetch()->m_revision == 1U);
  host.StopLoop();
}

// Claimants race for one key while the leader dies. Guards against a claim
// granted to two owners, and against a pin or bill that a new leader forgot.
BOOST_AUTO_TEST_CASE(OneOwnerThroughALeaderLoss)
{
  TestCluster cluster;
  const std::string leader = cluster.Leader();
  constexpr int kClaimants = 6;
  std::vector<std::future<wire::ClaimState>> states;
  for (int i = 0; i < kClaimants; ++i) {
    states.push_back(std::async(std::launch::async, [&cluster, i] {
      auto controlClient = cluster.OpenClient();
      wire::ClaimRequestT claim;
      claim.team = "sales";
      claim.key = "k";
      claim.owner = std::to_string(i);
      claim.request_id = "r";
      return Run(*controlClient, std::move(claim)).claim;
    }));
  }
  cluster.Kill(leader);
  int granted = 0;
  for (auto& state : states) {
    granted += state.get() == wire::ClaimState::Granted ? 1 : 0;
  }
  BOOST_TEST(granted == 1);
  auto controlClient = cluster.OpenClient();
  wire::FinishClaimT finish;
  finish.team = "sales";
  finish.key = "k";
  finish.request_id = "r";
  finish.state = wire::ClaimState::Done;
  finish.body = "booked";
  BOOST_TEST((Run(*controlClient, finish).claim == wire::ClaimState::Done));
  wire::PinSessionT pin;
  pin.team = "sales";
  pin.session = "s";
  pin.version = "v1";
  BOOST_TEST(Run(*controlClient, pin).version == "v1");
  wire::PostBillT bill;
  bill.lines.push_back(std::make_unique<wire::BillLineT>());
  bill.lines.front()->request_id = "r";
  BOOST_TEST(Run(*controlClient, bill).ok);
  cluster.Start(leader);
  cluster.Kill(cluster.Leader());
  pin.version = "v2";
  BOOST_TEST(Run(*controlClient, pin).version == "v1");
  BOOST_TEST(Run(*controlClient, bill).ok);
  BOOST_TEST(Run(*controlClient, wire::QueryBillsT()).total_lines == 1U);
  wire::ClaimRequestT late;
  late.team = "sales";
  late.key = "k";
  late.owner = "late";
  const std::string replayed = Run(*controlClient, std::move(late)).body;
  BOOST_TEST(replayed == "booked");
}

// Guards against a request that crashed three upstreams and is not
// quarantined everywhere, and against a lift that does not hold.
BOOST_AUTO_TEST_CASE(ThreeLossesQuarantine)
{
  TestCluster cluster;
  auto controlClient = cluster.OpenClient();
  const auto lose = [&](const std::string& aId) {
    wire::ReportLossT loss;
    loss.loss_id = aId;
    loss.fingerprints = { 0xabc };
    return Run(*controlClient, std::move(loss)).suspects.front()->losses;
  };
  lose("l1");
  lose("l2");
  BOOST_TEST(lose("l2") == 2U);
  BOOST_TEST(lose("l3") == 3U);
  const std::string key = "quarantine/0000000000000abc";
  WaitFor("quarantined", [&] {
    const auto current = controlClient->Fetch();
    return current.ok() && current->m_entries.count(key) == 1;
  });
  std::ostringstream out;
  BOOST_REQUIRE(
    ctl::LiftQuarantine(*controlClient, "0000000000000abc", {}, { out, false })
      .ok());
  BOOST_TEST(controlClient->Fetch()->m_entries.count(key) == 0U);
  const auto status = controlClient->Status();
  BOOST_REQUIRE(status.ok());
  BOOST_TEST(status->find("\"quarantines\":[]") != std::string::npos);
}
