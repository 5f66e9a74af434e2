// Tests of the soft state: registry, watchers, freshness, roll-out steps.
// Promises: leaving, domain-out, config
#define BOOST_TEST_MODULE soft_state
#include <boost/test/unit_test.hpp>

#include <random>

#include "chivefront/control/freshness.h"
#include "chivefront/control/peers.h"
#include "chivefront/control/registry.h"
#include "chivefront/control/system_changes.h"
#include "chivefront/control/watcher_table.h"

using namespace chivefront;

namespace {

base::TimePoint
At(int64_t aMs)
{
  return base::TimePoint(base::Millis(aMs));
}

wire::AnnounceRequestT
Announce(const std::string& aAgent, const std::vector<std::string>& aUpstreams)
{
  wire::AnnounceRequestT request;
  request.agent = aAgent;
  request.failure_domain = "d1";
  for (const std::string& name : aUpstreams) {
    auto info = std::make_unique<wire::UpstreamInfoT>();
    info->name = name;
    request.upstreams.push_back(std::move(info));
  }
  return request;
}

wire::VersionEvidenceT
Evidence(const std::string& aVersion, uint64_t aGood, uint64_t aBad)
{
  wire::VersionEvidenceT row;
  row.version = aVersion;
  row.exposed = aGood + aBad;
  row.good = aGood;
  row.bad = aBad;
  return row;
}

wire::WatchRequestT
Poll(const std::string& aHolder, wire::Role aRole, uint64_t aRevision)
{
  wire::WatchRequestT request;
  request.holder = aHolder;
  request.role = aRole;
  request.have_revision = aRevision;
  return request;
}

class FixedJudge final : public control::RolloutJudge
{
public:
  explicit FixedJudge(control::RolloutVerdict aVerdict)
    : m_verdict(aVerdict)
  {
  }
  control::RolloutDecision Judge(const catalog::Rollout&,
                                 const wire::VersionEvidenceT&,
                                 const wire::VersionEvidenceT&,
                                 base::TimePoint) override
  {
    return { m_verdict, "ratings" };
  }

private:
  const control::RolloutVerdict m_verdict;
};

// Applies one change that puts aEntries, without validation.
void
Put(control::ConfigStore& aStore, const catalog::Entries& aEntries)
{
  wire::ChangeRequestT change;
  change.change_id = "put" + std::to_string(aStore.Revision());
  change.expected_revision = aStore.Revision();
  for (const auto& [key, value] : aEntries) {
    auto entry = std::make_unique<wire::ConfigEntryT>();
    entry->key = key;
    entry->value = value;
    change.entries.push_back(std::move(entry));
  }
  aStore.Apply(1, control::EncodeChange(change, aStore.Revision()));
}

} // namespace

// Guards against an upstream that stays registered after its agent stopped
// announcing it, and against another agent that takes over the upstream of a
// live agent.
BOOST_AUTO_TEST_CASE(RegistryExpiresAndKeepsOwners)
{
  control::UpstreamRegistry registry(1);
  BOOST_TEST(registry.Announce(Announce("a", { "u1", "u2" }), At(0)) == 0U);
  BOOST_TEST(registry.Announce(Announce("b", { "u1", "u3" }), At(100)) == 1U);
  registry.Announce(Announce("a", { "u1" }), At(1500)); // without u2
  registry.Expire(At(2099));
  BOOST_TEST(registry.Size() == 2U);
  registry.Expire(At(2100)); // b
  BOOST_TEST(registry.Size() == 1U);
  registry.Expire(At(3500)); // a
  BOOST_TEST(registry.Size() == 0U);
  BOOST_TEST(registry.Announce(Announce("b", { "u1" }), At(3600)) == 0U);
}

// Guards against a delta of the registry that misses a change or a removal, and
// against sending every change of load to every watcher.
BOOST_AUTO_TEST_CASE(RegistryDeltas)
{
  control::UpstreamRegistry registry(7);
  registry.Announce(Announce("a", { "u1", "u2" }), At(0));
  const auto first = registry.Since(0, 0);
  BOOST_TEST(first.m_snapshot);
  BOOST_TEST(first.m_upstreams.size() == 2U);
  auto busy = Announce("a", { "u1", "u2" });
  busy.upstreams[0]->running = 5;
  registry.Announce(busy, At(100));
  BOOST_TEST(registry.Since(7, first.m_sequence).m_upstreams.empty());
  busy.upstreams[0]->leaving = true;
  busy.upstreams.pop_back();
  registry.Announce(busy, At(200));
  const auto second = registry.Since(7, first.m_sequence);
  BOOST_TEST(!second.m_snapshot);
  BOOST_REQUIRE(second.m_upstreams.size() == 2U);
  BOOST_TEST(second.m_upstreams[0].removed);
  BOOST_TEST(second.m_upstreams[0].name == "u2");
  BOOST_TEST(second.m_upstreams[1].leaving);
  BOOST_TEST(registry.Since(6, first.m_sequence).m_snapshot);
  BOOST_TEST(registry.Since(7, second.m_sequence + 1).m_snapshot);
}

// Guards against a newly started control process that withholds the upstreams
// it knows, or that moves the position of its watchers so that they never get
// the whole registry.
BOOST_AUTO_TEST_CASE(NewRegistrySendsAdditions)
{
  control::UpstreamRegistry registry(7);
  registry.Announce(Announce("a", { "u1", "u2" }), At(0));
  const auto additions = registry.Additions(5, 3);
  BOOST_TEST(additions.m_upstreams.size() == 2U);
  BOOST_TEST(!additions.m_snapshot);
  BOOST_TEST(additions.m_epoch == 5U);
  BOOST_TEST(additions.m_sequence == 3U);
  BOOST_TEST(registry.Since(5, 3).m_snapshot);
}

// Guards against evidence that changes when a report is lost, repeated or
// relayed twice, and against losing the evidence of an evicted watcher. 9000
// newer watchers evict it.
BOOST_AUTO_TEST_CASE(EvidenceIsPooledOnce)
{
  control::WatcherTable follower;
  control::WatcherTable leader;
  auto poll = Poll("e1#1", wire::Role::Entry, 5);
  poll.evidence.push_back(
    std::make_unique<wire::VersionEvidenceT>(Evidence("v", 3, 1)));
  follower.RecordPoll(poll, At(0));
  leader.RecordPoll(poll, At(0));
  for (int i = 0; i < 2; ++i) {
    for (const auto& report : follower.ReportsToRelay(At(100))) {
      leader.RecordRelayed(report, At(100));
    }
  }
  leader.RecordPoll(Poll("e2#1", wire::Role::Entry, 4), At(100));
  leader.RecordPoll(Poll("agent#1", wire::Role::Agent, 5), At(100));
  BOOST_TEST(leader.PooledEvidence("v", 0).good == 3U);
  BOOST_TEST(leader.LiveEntries(At(200)) == 2U);
  BOOST_TEST(leader.BehindRevision(5, At(200)) ==
               std::vector<std::string>{ "e2#1" },
             boost::test_tools::per_element());
  BOOST_TEST(leader.LiveEntries(At(2100)) == 0U);
  for (int i = 0; i < 9000; ++i) {
    leader.RecordPoll(Poll("x" + std::to_string(i), wire::Role::Agent, 5),
                      At(5000));
  }
  BOOST_TEST(leader.PooledEvidence("v", 0).good == 3U);
  BOOST_TEST(follower.ReportsToRelay(At(5000)).empty());
}

// Guards against counting evidence from before a roll-out in the roll-out, and
// against rows of ended roll-outs that leave no room for new roll-outs.
BOOST_AUTO_TEST_CASE(EvidenceIsKeptBySince)
{
  control::WatcherTable leader;
  for (uint64_t since = 0; since < 1000; ++since) {
    auto poll = Poll("e1#1", wire::Role::Entry, 5);
    poll.evidence.push_back(
      std::make_unique<wire::VersionEvidenceT>(Evidence("v", since + 1, 0)));
    poll.evidence.back()->since = since;
    leader.RecordPoll(poll, At(0));
  }
  BOOST_TEST(leader.PooledEvidence("v", 0).good == 1U);
  BOOST_TEST(leader.PooledEvidence("v", 999).good == 1000U);
  BOOST_TEST(leader.PooledEvidence("v", 1).good == 0U);
  for (int i = 0; i < 9000; ++i) {
    leader.RecordPoll(Poll("x" + std::to_string(i), wire::Role::Agent, 5),
                      At(5000));
  }
  BOOST_TEST(leader.PooledEvidence("v", 999).good == 1000U);
}

// Guards against a follower that is fresh before it has applied the revision
// that the leader confirmed.
BOOST_AUTO_TEST_CASE(FreshnessWaitsForTheRevision)
{
  control::Freshness freshness;
  BOOST_TEST(!freshness.AsOf(9));
  freshness.AddProof(At(100), 3);
  freshness.AddProof(At(300), 5);
  BOOST_TEST(!freshness.AsOf(2));
  BOOST_TEST((freshness.AsOf(3) == At(100)));
  BOOST_TEST((freshness.AsOf(4) == At(100)));
  BOOST_TEST((freshness.AsOf(5) == At(300)));
  freshness.AddProof(At(200), 5); // an older proof that arrives late
  BOOST_TEST((freshness.AsOf(5) == At(300)));
}

// Guards against a verdict that makes a wrong change or none. A bad version
// must be stopped and withdrawn in one change.
BOOST_AUTO_TEST_CASE(RolloutStepTable)
{
  using control::RolloutVerdict;
  const std::string head = R"({"owner":"ops","class":"free",)";
  const std::string version =
    head + R"("model":"m","prompt_cost":1,"answer_cost":1,)" +
    R"("limits":{"answer_tokens":9}})";
  struct Row
  {
    RolloutVerdict m_verdict;
    const char* m_progress; // members of the roll-out before the verdict
    const char* m_expected; // in the entry afterwards; empty for no change
  };
  for (const Row& row : {
         // Evidence counts from the start of the roll-out, so the start is
         // committed before any verdict.
         Row{ RolloutVerdict::Stop, R"("started":0)", R"("started":2)" },
         Row{ RolloutVerdict::Wait, R"("stage":0)", "" },
         Row{ RolloutVerdict::Advance, R"("stage":0)", R"("stage":1)" },
         Row{ RolloutVerdict::Advance, R"("stage":1)", R"("state":"done")" },
         Row{ RolloutVerdict::Stop, R"("stage":1)", R"("state":"stopped")" },
         Row{ RolloutVerdict::Hold, R"("stage":0)", R"("state":"paused")" },
         Row{ RolloutVerdict::Resume,
              R"("state":"paused","reason":"held until ratings come in")",
              R"("state":"running")" },
         Row{ RolloutVerdict::Stop,
              R"("state":"paused","reason":"operator")",
              "" },
         Row{ RolloutVerdict::Advance, R"("state":"stopped")", "" },
       }) {
    control::ConfigStore store;
    Put(store,
        { { "model/m", head + R"("version":"v1","limits":{"concurrency":1}})" },
          { "version/v1", version },
          { "version/v2", version },
          { "rollout/m",
            head + R"("from":"v1","to":"v2","stages":[10,1000],"limits":{},)" +
              (std::string(row.m_progress).find("started") == std::string::npos
                 ? R"("started":1,)"
                 : "") +
              row.m_progress + "}" } });
    BOOST_REQUIRE(store.Catalog() != nullptr);
    FixedJudge judge(row.m_verdict);
    const auto changes = control::RolloutChanges(
      store,
      judge,
      [](const std::string& aVersion, uint64_t aSince) {
        BOOST_TEST(aSince == 1U);
        return Evidence(aVersion, 1, 1);
      },
      At(0));
    BOOST_TEST(changes.empty() == std::string(row.m_expected).empty());
    if (changes.empty()) {
      continue;
    }
    const auto& change = changes.front();
    uint64_t base = 0;
    BOOST_TEST(store.Validate(change, control::Proposer::System, base).empty());
    BOOST_TEST(change.entries.front()->value.find(row.m_expected) !=
               std::string::npos);
    if (std::string(row.m_progress) == R"("started":0)") {
      BOOST_TEST(change.entries.size() == 1U);
      continue;
    }
    const bool withdrawn =
      change.entries.size() == 2 && change.entries[1]->key == "out/version/v2";
    BOOST_TEST(withdrawn == (row.m_verdict == RolloutVerdict::Stop));
  }
}

// Guards against a quarantine that returns without another loss after an
// operator has lifted it.
BOOST_AUTO_TEST_CASE(QuarantineOnceUntilTheNextLoss)
{
  control::ConfigStore store;
  const std::vector<ledger::QuarantineCandidate> candidates{
    { 0xff, 3, 1000 }
  };
  const auto changes = control::QuarantineChanges(store, candidates);
  BOOST_REQUIRE(changes.size() == 1U);
  BOOST_TEST(changes.front().entries.front()->key ==
             "quarantine/00000000000000ff");
  store.Apply(1, control::EncodeChange(changes.front(), store.Revision()));
  BOOST_TEST(store.Catalog()->m_quarantined.count(0xff) == 1U);
  BOOST_TEST(control::QuarantineChanges(store, candidates).empty());
  auto lift = changes.front();
  lift.change_id = "lift";
  lift.entries.front()->removed = true;
  store.Apply(2, control::EncodeChange(lift, store.Revision()));
  BOOST_TEST(store.Catalog()->m_quarantined.empty());
  BOOST_TEST(control::QuarantineChanges(store, candidates).empty());
  BOOST_TEST(control::QuarantineChanges(store, { { 0xff, 4, 2000 } }).size() ==
             1U);
}

BOOST_AUTO_TEST_CASE(PeerSettings)
{
  const auto peers = control::ParsePeers("a=127.0.0.1:1,b=[::1]:2");
  BOOST_REQUIRE(peers.ok());
  BOOST_TEST(peers->at("b").m_port == 2);
  for (const char* bad :
       { "a", "a=host:1", "=127.0.0.1:1", "a=127.0.0.1:1,a=127.0.0.1:2" }) {
    BOOST_TEST(!control::ParsePeers(bad).ok(), bad);
  }
}
