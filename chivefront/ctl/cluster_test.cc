// Tests operators, watchers and owners of idempotency keys with three control
// nodes, which use real logs and links, are killed and restarted.
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

// Submits a change that adds one entry, aKey, and requires an outcome.
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

// Runs a command of the ledger and requires a reply.
template<typename CommandT>
wire::LedgerReplyT
RunLedgerCommand(ctl::ControlClient& aClient, CommandT aCommand)
{
  wire::LedgerRequestT request;
  request.command.Set(std::move(aCommand));
  auto reply = aClient.CallLedger(std::move(request));
  BOOST_REQUIRE(reply.ok());
  return std::move(*reply);
}

} // namespace

// Guards against an accepted change that is lost, reverted or applied twice
// because the leader is killed, all nodes restart, or the operator sends the
// change again.
BOOST_AUTO_TEST_CASE(AcceptedChangesSurviveLeaderLossAndRestarts)
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
    cluster.Kill(cluster.WaitForLeader());
    const auto again = Submit(*controlClient, "out-1", 0, "out/domain/d1");
    BOOST_TEST(again.revision == 3U);
  }
  cluster.m_nodes.clear();
  for (const auto& [name, endpoint] : cluster.m_peers) {
    cluster.Start(name);
  }
  auto controlClient = cluster.OpenClient();
  const auto current = controlClient->FetchConfiguration();
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

// Guards against several operators being told that their change was accepted,
// although they sent the changes at the same time with the same expected
// revision.
BOOST_AUTO_TEST_CASE(ConcurrentChangesWithOneRevision)
{
  TestCluster cluster;
  cluster.WaitForLeader();
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

// Guards against a watcher that, after the leader is killed, never becomes
// fresh again, misses a change, or goes back to an older revision.
BOOST_AUTO_TEST_CASE(WatcherFollowsThroughALeaderLoss)
{
  TestCluster cluster;
  TestProcess process("entry-1", wire::Role::Entry);
  client::ControlLinks links(
    process.m_context, process.m_identity, cluster.Endpoints());
  client::Watcher watcher(process.m_context,
                          links,
                          "entry-1#1",
                          wire::Role::Entry,
                          base::SteadyClock::Instance(),
                          process.m_events);
  links.Start();
  watcher.Start();
  process.StartLoop();
  WaitFor("fresh at first", [&] { return watcher.Fresh(); });
  auto controlClient = cluster.OpenClient();
  for (int round = 0; round < 3; ++round) {
    const std::string leader = cluster.WaitForLeader();
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

// Guards against a watcher that stays with a control process that answers but
// is cut off from the other control processes. Each watcher starts with a
// random control process, so some of them start with that one.
BOOST_AUTO_TEST_CASE(WatchersLeaveAnIsolatedNode)
{
  TestCluster cluster;
  cluster.WaitForLeader();
  cluster.Kill("c1");
  cluster.StartIsolated("c1");
  TestProcess process("entry-1", wire::Role::Entry);
  std::vector<std::unique_ptr<client::ControlLinks>> links;
  std::vector<std::unique_ptr<client::Watcher>> watchers;
  constexpr int kWatchers = 12; // on average, 4 start with c1
  for (int i = 0; i < kWatchers; ++i) {
    links.push_back(std::make_unique<client::ControlLinks>(
      process.m_context, process.m_identity, cluster.Endpoints()));
    watchers.push_back(
      std::make_unique<client::Watcher>(process.m_context,
                                        *links.back(),
                                        "entry#" + std::to_string(i),
                                        wire::Role::Entry,
                                        base::SteadyClock::Instance(),
                                        process.m_events));
    links.back()->Start();
    watchers.back()->Start();
  }
  process.StartLoop();
  for (const auto& watcher : watchers) {
    WaitFor("fresh", [&] { return watcher->Fresh(); });
  }
  process.StopLoop();
}

// Guards against a control process without a majority that reports its view as
// fresh, and against one that removes upstreams in that state.
BOOST_AUTO_TEST_CASE(NothingIsFreshWithoutAMajority)
{
  TestCluster cluster;
  const std::string leader = cluster.WaitForLeader();
  for (const auto& [name, endpoint] : cluster.m_peers) {
    if (name != leader) {
      cluster.Kill(name);
    }
  }
  control::Node& node = cluster.m_nodes.at(leader)->m_node;
  WaitFor("not fresh", [&] { return !node.IsFresh(); });
  BOOST_TEST(node.StatusJson().find("has no recent confirmation") !=
             std::string::npos);
  for (const auto& [name, endpoint] : cluster.m_peers) {
    if (name != leader) {
      cluster.Start(name);
    }
  }
  cluster.WaitForLeader();
}

// Guards against an entry that changes the configuration: only operators may.
BOOST_AUTO_TEST_CASE(OnlyOperatorsChange)
{
  TestCluster cluster;
  const auto controlClient = cluster.OpenClient();
  TestProcess process("entry-1", wire::Role::Entry);
  client::ControlLinks links(
    process.m_context, process.m_identity, cluster.Endpoints());
  std::promise<wire::ChangeResult> result;
  net::Spawn(
    process.m_context.get_executor(), "test", [&]() -> net::Task<void> {
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
  process.StartLoop();
  BOOST_TEST((result.get_future().get() == wire::ChangeResult::Invalid));
  BOOST_TEST(controlClient->FetchConfiguration()->m_revision == 1U);
  process.StopLoop();
}

// Guards against an idempotency key that is granted to two owners, which race
// for it while the leader is killed, and against a pinned version, a bill line
// or a stored answer that a new leader doesn't have.
BOOST_AUTO_TEST_CASE(OneOwnerDespiteLeaderLoss)
{
  TestCluster cluster;
  const std::string leader = cluster.WaitForLeader();
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
      return RunLedgerCommand(*controlClient, std::move(claim)).claim;
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
  BOOST_TEST(
    (RunLedgerCommand(*controlClient, finish).claim == wire::ClaimState::Done));
  wire::PinSessionT pin;
  pin.team = "sales";
  pin.session = "s";
  pin.version = "v1";
  BOOST_TEST(RunLedgerCommand(*controlClient, pin).version == "v1");
  wire::PostBillT bill;
  bill.lines.push_back(std::make_unique<wire::BillLineT>());
  bill.lines.front()->request_id = "r";
  BOOST_TEST(RunLedgerCommand(*controlClient, bill).ok);
  cluster.Start(leader);
  cluster.Kill(cluster.WaitForLeader());
  pin.version = "v2";
  BOOST_TEST(RunLedgerCommand(*controlClient, pin).version == "v1");
  BOOST_TEST(RunLedgerCommand(*controlClient, bill).ok);
  BOOST_TEST(
    RunLedgerCommand(*controlClient, wire::QueryBillsT()).total_lines == 1U);
  wire::ClaimRequestT late;
  late.team = "sales";
  late.key = "k";
  late.owner = "late";
  const std::string replayed =
    RunLedgerCommand(*controlClient, std::move(late)).body;
  BOOST_TEST(replayed == "booked");
}

// Guards against a request that crashed three upstreams but isn't quarantined,
// against a loss that counts twice because its report is repeated, and against
// a lifted quarantine that comes back.
BOOST_AUTO_TEST_CASE(ThreeLossesQuarantine)
{
  TestCluster cluster;
  auto controlClient = cluster.OpenClient();
  const auto reportLoss = [&](const std::string& aId) {
    wire::ReportLossT loss;
    loss.loss_id = aId;
    loss.fingerprints = { 0xabc };
    return RunLedgerCommand(*controlClient, std::move(loss))
      .suspects.front()
      ->losses;
  };
  reportLoss("l1");
  reportLoss("l2");
  BOOST_TEST(reportLoss("l2") == 2U);
  BOOST_TEST(reportLoss("l3") == 3U);
  const std::string key = "quarantine/0000000000000abc";
  WaitFor("quarantined", [&] {
    const auto current = controlClient->FetchConfiguration();
    return current.ok() && current->m_entries.count(key) == 1;
  });
  std::ostringstream out;
  BOOST_REQUIRE(
    ctl::LiftQuarantine(*controlClient, "0000000000000abc", {}, { out, false })
      .ok());
  BOOST_TEST(controlClient->FetchConfiguration()->m_entries.count(key) == 0U);
  const auto status = controlClient->FetchStatusJson();
  BOOST_REQUIRE(status.ok());
  BOOST_TEST(status->find("\"quarantines\":[]") != std::string::npos);
}
