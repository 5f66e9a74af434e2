// Tests of the configuration store: outcomes, conflicts, deltas, snapshots.
// Promises: config
#define BOOST_TEST_MODULE config_store
#include <boost/test/unit_test.hpp>

#include <random>

#include "chivefront/base/errors.h"
#include "chivefront/control/config_store.h"

using namespace chivefront;
using control::ConfigStore;
using wire::ChangeResult;

namespace {

constexpr const char* kModel =
  R"({"owner":"ops","class":"free","version":"","limits":{"concurrency":8}})";

wire::ChangeRequestT
Change(const std::string& aId,
       uint64_t aExpected,
       const std::vector<std::pair<std::string, std::string>>& aEntries)
{
  wire::ChangeRequestT change;
  change.change_id = aId;
  change.expected_revision = aExpected;
  for (const auto& [key, value] : aEntries) {
    auto entry = std::make_unique<wire::ConfigEntryT>();
    entry->key = key;
    entry->value = value;
    entry->removed = value.empty();
    change.entries.push_back(std::move(entry));
  }
  return change;
}

control::ChangeResult
Apply(ConfigStore& aStore,
      const wire::ChangeRequestT& aChange,
      uint64_t aBaseRevision)
{
  auto result = control::DecodeOutcome(
    aStore.Apply(1, control::EncodeChange(aChange, aBaseRevision)));
  BOOST_REQUIRE(result.ok());
  return std::move(*result);
}

// Applies aChange as validated against the current revision.
wire::ChangeReplyT
ApplyNow(ConfigStore& aStore, const wire::ChangeRequestT& aChange)
{
  return Apply(aStore, aChange, aStore.Revision()).m_reply;
}

// Updates the entries of a watcher from aDelta.
void
ApplyDelta(const control::Delta& aDelta, catalog::Entries& aEntries)
{
  if (aDelta.m_snapshot) {
    aEntries.clear();
  }
  for (const auto& entry : aDelta.m_entries) {
    if (entry.removed) {
      aEntries.erase(entry.key);
    } else {
      aEntries[entry.key] = entry.value;
    }
  }
}

} // namespace

// Guards against accepting two changes with the same expected revision, and
// against a conflict reply without the current revision.
BOOST_AUTO_TEST_CASE(EqualRevisionsFirstWins)
{
  ConfigStore store;
  const auto first =
    ApplyNow(store, Change("a", 1, { { "out/domain/x", "{}" } }));
  BOOST_TEST((first.result == ChangeResult::Accepted));
  BOOST_TEST(first.revision == 2U);
  const auto second =
    ApplyNow(store, Change("b", 1, { { "out/domain/y", "{}" } }));
  BOOST_TEST((second.result == ChangeResult::Conflict));
  BOOST_TEST(second.current_revision == 2U);
  BOOST_TEST(store.Entries().count("out/domain/y") == 0U);
}

// Guards against a repeated change that is applied again, or whose reply
// differs from the first outcome because the configuration has changed or the
// store was restored from a snapshot.
BOOST_AUTO_TEST_CASE(SameChangeIdGivesTheFirstOutcome)
{
  ConfigStore store;
  const auto put = Change("a", 1, { { "out/domain/x", "{}" } });
  const auto late = Change("b", 1, { { "out/domain/y", "{}" } });
  ApplyNow(store, put);
  ApplyNow(store, late);
  ApplyNow(store, Change("c", 2, { { "out/domain/x", "" } }));
  ConfigStore restored;
  BOOST_REQUIRE(restored.Restore(store.TakeSnapshot()).ok());
  for (ConfigStore* each : { &store, &restored }) {
    BOOST_TEST((ApplyNow(*each, put).result == ChangeResult::Accepted));
    BOOST_TEST(ApplyNow(*each, put).revision == 2U);
    BOOST_TEST((ApplyNow(*each, late).result == ChangeResult::Conflict));
    BOOST_TEST(each->Revision() == 3U);
    BOOST_TEST(each->Entries().empty());
    const auto other = Change("a", 3, { { "out/domain/z", "{}" } });
    BOOST_TEST((ApplyNow(*each, other).result == ChangeResult::Invalid));
  }
}

// Guards against applying a change that was validated against an older
// revision, which could commit an invalid catalogue.
BOOST_AUTO_TEST_CASE(ChangeValidatedAgainstAnOldRevisionIsRetried)
{
  ConfigStore store;
  const auto any = Change("a", 0, { { "out/domain/x", "{}" } });
  ApplyNow(store, Change("b", 0, { { "out/domain/y", "{}" } }));
  BOOST_TEST(Apply(store, any, 1).m_retry);
  BOOST_TEST(!store.OutcomeOf("a"));
  const auto again = Apply(store, any, 2);
  BOOST_TEST(!again.m_retry);
  BOOST_TEST((again.m_reply.result == ChangeResult::Accepted));
}

// Guards against outcomes that grow without bound: only the newest are kept.
BOOST_AUTO_TEST_CASE(OutcomesAreBounded)
{
  control::ConfigBounds bounds;
  bounds.m_maxOutcomes = 3;
  ConfigStore store(bounds);
  for (int i = 0; i < 5; ++i) {
    ApplyNow(store, Change(std::to_string(i), 0, { { "out/domain/x", "{}" } }));
  }
  BOOST_TEST(store.OutcomeCount() == 3U);
  BOOST_TEST(!store.OutcomeOf("1"));
  BOOST_TEST(store.OutcomeOf("2")->revision == 4U);
}

// Guards against proposing a change that breaks a rule, and against an error
// that does not start with its path.
BOOST_AUTO_TEST_CASE(ValidationTable)
{
  using control::Proposer;
  struct Row
  {
    wire::ChangeRequestT m_change;
    Proposer m_proposer;
    std::string m_error; // start of one of the errors; empty when valid
  };
  const std::string quarantine = "quarantine/00000000000000ff";
  std::vector<Row> rows;
  const auto add = [&rows](wire::ChangeRequestT aChange,
                           Proposer aProposer,
                           std::string aError) {
    rows.push_back({ std::move(aChange), aProposer, std::move(aError) });
  };
  add(Change("a", 0, { { "out/upstream/u", "{}" } }), Proposer::Operator, "");
  add(Change("a", 0, { { quarantine, "{}" } }), Proposer::System, "");
  add(Change("a", 0, { { quarantine, "{}" } }), Proposer::Operator, quarantine);
  add(Change("a", 0, { { quarantine, "" } }), Proposer::Operator, "");
  add(Change("a", 0, { { "model/m", "" } }), Proposer::Operator, "expected");
  add(
    Change("", 0, { { "out/domain/d", "{}" } }), Proposer::Operator, "change");
  add(Change("a", 1, {}), Proposer::Operator, "entries");
  add(Change("a", 1, { { "model/m", kModel } }), Proposer::Operator, "model/m");
  add(Change("a", 1, { { "what/x", "{}" } }), Proposer::Operator, "what/x");
  add(Change("a", 0, { { "out/domain/d", "{}" }, { "out/domain/d", "" } }),
      Proposer::Operator,
      "out/domain/d: appears twice");
  for (const Row& row : rows) {
    ConfigStore store;
    uint64_t base = 0;
    const auto errors = store.Validate(row.m_change, row.m_proposer, base);
    BOOST_TEST(base == 1U);
    BOOST_TEST(errors.empty() == row.m_error.empty());
    const bool found = std::any_of(
      errors.begin(), errors.end(), [&row](const std::string& aError) {
        return aError.rfind(row.m_error, 0) == 0;
      });
    BOOST_TEST((found || row.m_error.empty()), row.m_error);
  }
}

// Guards against a delta that misses a key or brings back a removed key, also
// when the kept removals no longer reach back to the watcher's revision. Keys
// are put and removed at random, watchers poll at random times, and the store
// is restored from a snapshot in between.
BOOST_AUTO_TEST_CASE(DeltasRebuildTheConfiguration)
{
  for (uint64_t seed = 1; seed <= 50; ++seed) {
    std::mt19937_64 random(seed);
    control::ConfigBounds bounds;
    bounds.m_maxRemovedKeys = 8;
    auto store = std::make_unique<ConfigStore>(bounds);
    std::vector<std::pair<uint64_t, catalog::Entries>> watchers(4);
    int snapshots = 0;
    for (int step = 0; step < 400; ++step) {
      const std::string key = "out/domain/" + std::to_string(random() % 12);
      const std::string value =
        random() % 2 == 0 ? "" : "{\"n\":" + std::to_string(step) + "}";
      ApplyNow(*store, Change(std::to_string(step), 0, { { key, value } }));
      if (step % 97 == 0) {
        auto restored = std::make_unique<ConfigStore>(bounds);
        BOOST_REQUIRE(restored->Restore(store->TakeSnapshot()).ok());
        store = std::move(restored);
      }
      for (size_t i = 0; i < watchers.size(); ++i) {
        if (random() % (i * i * 10 + 1) != 0) {
          continue;
        }
        auto& [revision, entries] = watchers[i];
        const control::Delta delta = store->Since(revision);
        snapshots += delta.m_snapshot ? 1 : 0;
        ApplyDelta(delta, entries);
        revision = delta.m_revision;
        BOOST_REQUIRE_MESSAGE(entries == store->Entries(), "seed " << seed);
      }
    }
    BOOST_TEST(snapshots > 0);
  }
}

BOOST_AUTO_TEST_CASE(DamagedSnapshotIsRefused)
{
  ConfigStore store;
  const auto status = store.Restore("not a snapshot");
  BOOST_TEST((base::KindOf(status) == base::ErrorKind::Corrupt));
}

// Guards against new sessions that go back to the old version when a roll-out
// that is done is removed and the model still names the old version.
BOOST_AUTO_TEST_CASE(RemovingADoneRolloutRequiresTheModelsVersion)
{
  const std::string head = R"({"owner":"ops","class":"free",)";
  const auto model = [&](const std::string& aVersion) {
    return head + R"("version":")" + aVersion +
           R"(","limits":{"concurrency":1}})";
  };
  const std::string version =
    head + R"("model":"m","prompt_cost":1,"answer_cost":1,)" +
    R"("limits":{"answer_tokens":9}})";
  const auto rollout = [&](const std::string& aState) {
    return head + R"("from":"v1","to":"v2","stages":[10],"limits":{},)" +
           R"("state":")" + aState + R"("})";
  };
  for (const std::string state : { "done", "stopped", "running" }) {
    ConfigStore store;
    ApplyNow(store,
             Change("a",
                    0,
                    { { "model/m", model("v1") },
                      { "version/v1", version },
                      { "version/v2", version },
                      { "rollout/m", rollout(state) } }));
    BOOST_REQUIRE(store.Catalog() != nullptr);
    const auto errors =
      [&](const std::vector<std::pair<std::string, std::string>>& aEntries) {
        uint64_t base = 0;
        return store.Validate(Change("b", store.Revision(), aEntries),
                              control::Proposer::Operator,
                              base);
      };
    const bool isDone = state == "done";
    BOOST_TEST(errors({ { "rollout/m", "" } }).empty() == !isDone);
    BOOST_TEST(
      errors({ { "rollout/m", "" }, { "model/m", model("v2") } }).empty());
    BOOST_TEST(
      errors({ { "rollout/m", "" }, { "out/version/v2", "{}" } }).empty());
  }
}
