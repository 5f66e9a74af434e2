// Tests roll-outs, the registry of upstreams and the count of live entries, as
// watchers of three control nodes see them.
// Promises: withdrawn, leaving, config
#define BOOST_TEST_MODULE rollout
#include <boost/test/unit_test.hpp>

#include "chivefront/ctl/commands.h"
#include "chivefront/ctl/test_cluster.h"

using namespace chivefront;
using ctl::TestCluster;
using ctl::TestProcess;
using ctl::WaitFor;

namespace {

std::string
RolloutCatalogue()
{
  const std::string head = R"({"owner":"ops","class":"free",)";
  const std::string version =
    head + R"("model":"m","prompt_cost":1,"answer_cost":1,)" +
    R"("limits":{"answer_tokens":9}})";
  return R"({"model/m":)" + head +
         R"("version":"v1","limits":{"concurrency":9}},"version/v1":)" +
         version + R"(,"version/v2":)" + version + R"(,"rollout/m":)" + head +
         R"("from":"v1","to":"v2","stages":[50,500],"limits":{}}})";
}

// Returns the counters of one entry for one version.
wire::VersionEvidenceT
Evidence(const std::string& aVersion, uint64_t aGood, uint64_t aBad)
{
  wire::VersionEvidenceT row;
  row.version = aVersion;
  row.exposed = aGood + aBad;
  row.good = aGood;
  row.bad = aBad;
  row.latency_ms_sum = row.exposed * 100;
  return row;
}

// Reports the same rows at each poll.
client::Watcher::EvidenceSource
FixedEvidence(std::vector<wire::VersionEvidenceT> aRows)
{
  return [rows = std::move(aRows)](uint64_t) { return rows; };
}

// An entry's watcher that polls only one control process.
struct Entry : TestProcess
{
  Entry(const std::string& aName,
        const base::Endpoint& aControl,
        client::Watcher::EvidenceSource aSource)
    : TestProcess(aName, wire::Role::Entry)
    , m_links(m_context, m_identity, { aControl })
    , m_watcher(m_context,
                m_links,
                aName + "#1",
                wire::Role::Entry,
                base::SteadyClock::Instance(),
                m_events)
  {
    // Declares all rows as counted since the start of the roll-out, if there is
    // one.
    m_watcher.SetEvidenceSource(
      [this, source = std::move(aSource)](uint64_t aSequence) mutable {
        auto rows = source(aSequence);
        const auto* rollout = m_watcher.LastView()->m_catalog->FindRollout("m");
        for (wire::VersionEvidenceT& row : rows) {
          row.since = rollout == nullptr ? 0 : rollout->m_started;
        }
        return rows;
      });
    m_links.Start();
    m_watcher.Start();
    StartLoop();
  }
  ~Entry() { StopLoop(); }

  const catalog::Rollout* Rollout(client::ViewPointer& aView) const
  {
    const auto view = m_watcher.FreshView();
    if (!view.ok()) {
      return nullptr;
    }
    aView = *view;
    return aView->m_catalog->FindRollout("m");
  }

  client::ControlLinks m_links;
  client::Watcher m_watcher;
};

void
ApplyText(TestCluster& aCluster, const std::string& aText)
{
  auto controlClient = aCluster.OpenClient();
  std::ostringstream out;
  ctl::ChangeOptions options;
  options.m_waitUntilInForce = false;
  const auto status = ctl::ApplyFile(
    *controlClient, aCluster.WriteCatalogue(aText), options, { out, false });
  BOOST_REQUIRE_MESSAGE(status.ok(), status);
}

void
ApplyRollout(TestCluster& aCluster)
{
  ApplyText(aCluster, RolloutCatalogue());
}

// Returns the names of the two followers and then of the leader.
std::vector<std::string>
FollowersFirst(const TestCluster& aCluster)
{
  const std::string leader = aCluster.WaitForLeader();
  std::vector<std::string> names;
  for (const auto& [name, endpoint] : aCluster.m_peers) {
    if (name != leader) {
      names.push_back(name);
    }
  }
  names.push_back(leader);
  return names;
}

} // namespace

// Two entries report through two followers, and neither has enough evidence
// alone. Guards against a bad version whose roll-out goes on because evidence
// is not pooled, and against a stopped roll-out whose version is not withdrawn.
BOOST_AUTO_TEST_CASE(BadVersionIsWithdrawnFromPooledEvidence)
{
  TestCluster cluster;
  const auto names = FollowersFirst(cluster);
  Entry first(
    "e1",
    cluster.m_peers.at(names[0]),
    FixedEvidence({ Evidence("v1", 450, 50), Evidence("v2", 6, 18) }));
  Entry second(
    "e2",
    cluster.m_peers.at(names[1]),
    FixedEvidence({ Evidence("v1", 450, 50), Evidence("v2", 6, 18) }));
  ApplyRollout(cluster);
  for (const Entry* entry : { &first, &second }) {
    WaitFor("withdrawn", [&] {
      client::ViewPointer view;
      const auto* rollout = entry->Rollout(view);
      return rollout != nullptr &&
             rollout->m_state == catalog::RolloutState::Stopped &&
             view->m_catalog->m_versionsOut.count("v2") == 1;
    });
  }
  const auto view = first.m_watcher.LastView();
  BOOST_TEST(catalog::VersionForSession(*view->m_catalog, "m", 1) == "v1");
}

// Guards against a roll-out that is never completed because the leader, which
// judges it, is killed.
BOOST_AUTO_TEST_CASE(GoodVersionAdvancesDespiteLeaderLoss)
{
  TestCluster cluster;
  const auto names = FollowersFirst(cluster);
  Entry entry(
    "e1",
    cluster.m_peers.at(names[0]),
    FixedEvidence({ Evidence("v1", 900, 100), Evidence("v2", 1850, 150) }));
  ApplyRollout(cluster);
  cluster.Kill(names[2]);
  WaitFor("done", [&] {
    client::ViewPointer view;
    const auto* rollout = entry.Rollout(view);
    return rollout != nullptr &&
           rollout->m_state == catalog::RolloutState::Done;
  });
  const auto view = entry.m_watcher.LastView();
  BOOST_TEST(view->m_catalog->m_versionsOut.empty());
  BOOST_TEST(catalog::VersionForSession(*view->m_catalog, "m", 1) == "v2");
}

// Guards against a version in general use, without a roll-out, that becomes bad
// and is not withdrawn because the leader doesn't monitor it.
BOOST_AUTO_TEST_CASE(LeaderWithdrawsAVersionThatBecomesBad)
{
  TestCluster cluster;
  const auto names = FollowersFirst(cluster);
  TestProcess agent("a1", wire::Role::Agent);
  client::ControlLinks links(
    agent.m_context, agent.m_identity, cluster.Endpoints());
  links.Start();
  net::SpawnPeriodic(agent.m_context.get_executor(),
                     "test",
                     base::Millis(300),
                     [&]() -> net::Task<bool> {
                       wire::AnnounceRequestT request;
                       request.agent = "a1";
                       for (const char* version : { "v1", "v2" }) {
                         auto info = std::make_unique<wire::UpstreamInfoT>();
                         info->name = std::string("u-") + version;
                         info->version = version;
                         request.upstreams.push_back(std::move(info));
                       }
                       links.Broadcast(wire::MakeMessage(std::move(request)));
                       co_return true;
                     });
  agent.StartLoop();
  // 80% of the answers are good while the leader evaluates the version twice,
  // then 40%.
  Entry entry("e1",
              cluster.m_peers.at(names[0]),
              [polls = 0U, good = 800U, bad = 200U](uint64_t) mutable {
                const bool isBad = ++polls > 25;
                good += isBad ? 4 : 0;
                bad += isBad ? 6 : 0;
                return std::vector{ Evidence("v2", good, bad) };
              });
  const std::string head = R"({"owner":"ops","class":"free",)";
  const std::string version =
    head + R"("model":"m","prompt_cost":1,"answer_cost":1,)" +
    R"("limits":{"answer_tokens":9}})";
  ApplyText(cluster,
            R"({"model/m":)" + head +
              R"("version":"v2","limits":{"concurrency":9}},"version/v1":)" +
              version + R"(,"version/v2":)" + version + "}");
  WaitFor("v2 is replaced", [&] {
    const auto catalog = entry.m_watcher.LastView()->m_catalog;
    return catalog->m_versionsOut.count("v2") == 1 &&
           catalog::VersionForSession(*catalog, "m", 1) == "v1";
  });
  agent.StopLoop();
}

// Guards against entries that divide the teams' limits by too small a count of
// entries, and against an upstream that stays in the registry after its agent
// has stopped announcing it.
BOOST_AUTO_TEST_CASE(EntriesAndUpstreamsAreKnownEverywhere)
{
  TestCluster cluster;
  const auto names = FollowersFirst(cluster);
  Entry first("e1", cluster.m_peers.at(names[0]), FixedEvidence({}));
  Entry second("e2", cluster.m_peers.at(names[2]), FixedEvidence({}));
  auto agent = std::make_unique<TestProcess>("a1", wire::Role::Agent);
  client::ControlLinks links(
    agent->m_context, agent->m_identity, cluster.Endpoints());
  links.Start();
  std::atomic<bool> announcing{ true };
  net::SpawnPeriodic(agent->m_context.get_executor(),
                     "test",
                     base::Millis(300),
                     [&]() -> net::Task<bool> {
                       wire::AnnounceRequestT request;
                       request.agent = "a1";
                       request.upstreams.push_back(
                         std::make_unique<wire::UpstreamInfoT>());
                       request.upstreams.front()->name = "u1";
                       links.Broadcast(wire::MakeMessage(std::move(request)));
                       co_return announcing.load();
                     });
  agent->StartLoop();
  const std::vector<const Entry*> entries{ &first, &second };
  for (const Entry* entry : entries) {
    WaitFor("two entries and the upstream", [&] {
      const auto view = entry->m_watcher.LastView();
      return view->m_liveEntries == 2 && view->m_registry->count("u1") == 1;
    });
  }
  announcing = false;
  for (const Entry* entry : entries) {
    WaitFor("the upstream is gone",
            [&] { return entry->m_watcher.LastView()->m_registry->empty(); });
  }
  agent->StopLoop();
}
