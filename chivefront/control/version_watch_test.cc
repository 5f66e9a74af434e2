// Tests of the withdrawal of versions whose quality drops in general use.
// Promises: withdrawn
#define BOOST_TEST_MODULE version_watch
#include <boost/test/unit_test.hpp>

#include "chivefront/control/version_watch.h"

using namespace chivefront;

namespace {

const std::string kHead = R"({"owner":"ops","class":"free",)";

struct Fixture
{
  control::ConfigStore m_store;
  control::VersionWatch m_watch;
  std::set<std::string> m_serving{ "v1", "v2" };
  std::map<std::string, wire::VersionEvidenceT> m_rows;

  Fixture()
  {
    const std::string version =
      kHead + R"("model":"m","prompt_cost":1,"answer_cost":1,)" +
      R"("limits":{"answer_tokens":9}})";
    Put("model/m", kHead + R"("version":"v2","limits":{"concurrency":1}})");
    Put("version/v1", version);
    Put("version/v2", version);
  }

  void Apply(wire::ChangeRequestT aChange)
  {
    uint64_t base = 0;
    const auto errors =
      m_store.Validate(aChange, control::Proposer::System, base);
    BOOST_TEST(errors.empty(), (errors.empty() ? "" : errors.front()));
    m_store.Apply(1, control::EncodeChange(aChange, m_store.Revision()));
  }

  // Skips the validation: entries of the catalogue refer to each other and are
  // put one by one.
  void Put(const std::string& aKey, const std::string& aText)
  {
    auto change = control::MakeSystemChange("put", m_store.Revision());
    control::AddEntry(change, aKey, aText);
    m_store.Apply(1, control::EncodeChange(change, m_store.Revision()));
  }

  void Rate(const std::string& aVersion, uint64_t aGood, uint64_t aBad)
  {
    wire::VersionEvidenceT& row = m_rows[aVersion];
    row.exposed += aGood + aBad;
    row.good += aGood;
    row.bad += aBad;
  }

  control::VersionWatch::Outcome Evaluate()
  {
    return m_watch.Evaluate(
      m_store,
      [this](const std::string& aVersion, uint64_t) {
        return m_rows[aVersion];
      },
      [this](const catalog::Catalog&) { return m_serving; });
  }

  // Adds ratings with half as many good answers for v2 until the watch finds
  // it bad, 400 at most. aRatings receives their number.
  control::VersionWatch::Outcome TurnBad(uint64_t& aRatings)
  {
    for (aRatings = 0; aRatings < 400;) {
      Rate("v2", 4, 6);
      aRatings += 10;
      control::VersionWatch::Outcome outcome = Evaluate();
      if (!outcome.m_changes.empty() || !outcome.m_unreplaced.empty()) {
        return outcome;
      }
    }
    return {};
  }
};

} // namespace

// Guards against leaving a version in service whose quality drops long after
// its roll-out, and against a withdrawal after which new sessions still get it.
BOOST_FIXTURE_TEST_CASE(LateQualityDropIsWithdrawnAndReplaced, Fixture)
{
  Put("rollout/m",
      kHead + R"("from":"v1","to":"v2","stages":[1000],"limits":{},)" +
        R"("state":"done"})");
  Rate("v2", 160, 40);
  for (int i = 0; i < 1000; ++i) {
    BOOST_TEST_REQUIRE(Evaluate().m_changes.empty());
    Rate("v2", 8, 2);
  }
  uint64_t ratings = 0;
  const auto outcome = TurnBad(ratings);
  BOOST_TEST_MESSAGE("ratings until the withdrawal: " << ratings);
  BOOST_TEST(ratings < 200U);
  BOOST_REQUIRE(outcome.m_changes.size() == 1U);
  Apply(outcome.m_changes.front());
  const catalog::Pointer catalog = m_store.Catalog();
  BOOST_REQUIRE(catalog != nullptr);
  BOOST_TEST(catalog->m_versionsOut.count("v2") == 1U);
  BOOST_TEST(catalog->FindModel("m")->m_version == "v1");
  BOOST_TEST(catalog::VersionForSession(*catalog, "m", 1) == "v1");
  BOOST_TEST(Evaluate().m_changes.empty());
}

// Guards against withdrawing the only version of a model that is in service,
// and against never withdrawing it once a replacement is in service.
BOOST_FIXTURE_TEST_CASE(LastVersionIsReportedOnly, Fixture)
{
  m_serving = { "v2" };
  Rate("v2", 160, 40);
  BOOST_TEST(Evaluate().m_unreplaced.empty());
  uint64_t ratings = 0;
  auto outcome = TurnBad(ratings);
  BOOST_TEST(outcome.m_changes.empty());
  BOOST_REQUIRE(outcome.m_unreplaced.count("v2") == 1U);
  BOOST_TEST(outcome.m_unreplaced.at("v2") == "ratings");
  m_serving.insert("v1");
  Rate("v2", 4, 6);
  outcome = Evaluate();
  BOOST_TEST(outcome.m_unreplaced.empty());
  BOOST_TEST(outcome.m_changes.size() == 1U);
}

// Guards against a replacement whose roll-out is not done, or that is out of
// service itself.
BOOST_FIXTURE_TEST_CASE(UnusableReplacementsAreSkipped, Fixture)
{
  Rate("v2", 160, 40);
  (void)Evaluate();
  Put("rollout/m",
      kHead + R"("from":"v2","to":"v1","stages":[10],"limits":{}})");
  uint64_t ratings = 0;
  BOOST_TEST(TurnBad(ratings).m_unreplaced.count("v2") == 1U);
  Put("rollout/m",
      kHead + R"("from":"v2","to":"v1","stages":[10],"limits":{},)" +
        R"("state":"done"})");
  Put("out/version/v1", "{}");
  Rate("v2", 4, 6);
  BOOST_TEST(Evaluate().m_unreplaced.count("v2") == 1U);
}

// Guards against a rise of errors that goes undetected when no rating service
// is configured.
BOOST_FIXTURE_TEST_CASE(ErrorsAreWatchedWithoutRatings, Fixture)
{
  m_rows["v2"].exposed = 10000;
  m_rows["v2"].errors = 20;
  BOOST_TEST(Evaluate().m_changes.empty());
  for (int i = 0; i < 20; ++i) {
    m_rows["v2"].exposed += 10;
    m_rows["v2"].errors += 5;
  }
  const auto outcome = Evaluate();
  BOOST_REQUIRE(outcome.m_changes.size() == 1U);
  BOOST_TEST(outcome.m_changes.front().entries.front()->value.find("errors") !=
             std::string::npos);
}
