// Tests of the catalogue: validation, permissions, roll-out shares, diffs.
// Promises: allowed, withdrawn
#define BOOST_TEST_MODULE catalog
#include <boost/test/unit_test.hpp>

#include "chivefront/base/errors.h"
#include "chivefront/base/ids.h"
#include "chivefront/catalog/catalog.h"

using namespace chivefront;

namespace {

catalog::Entries
Sample()
{
  const std::string head = R"("owner":"ops","class":"free",)";
  return {
    { "team/sales",
      R"({"owner":"ops","class":"paying","key_hashes":[")" +
        base::Sha256Hex("sales-key") +
        R"("],"models":["small"],"services":["booking"],"limits":{)"
        R"("requests_per_second":10,"concurrency":5,"tokens_per_minute":1000}})" },
    { "team/guest",
      R"({"owner":"ops","class":"free","key_hashes":[],"models":["small"],)"
      R"("limits":{"requests_per_second":1,"concurrency":1,)"
      R"("tokens_per_minute":10}})" },
    { "model/small",
      "{" + head + R"("version":"small-1","limits":{"concurrency":8}})" },
    { "model/large",
      R"({"owner":"ops","class":"paying","version":"large-1",)"
      R"("limits":{"concurrency":8}})" },
    { "version/small-1",
      "{" + head +
        R"("model":"small","prompt_cost":1,"answer_cost":2,)"
        R"("limits":{"answer_tokens":100}})" },
    { "version/small-2",
      "{" + head +
        R"("model":"small","prompt_cost":1,"answer_cost":2,)"
        R"("limits":{"answer_tokens":100}})" },
    { "version/large-1",
      "{" + head +
        R"("model":"large","prompt_cost":9,"answer_cost":9,)"
        R"("limits":{"answer_tokens":100}})" },
    { "service/booking",
      "{" + head +
        R"("idempotent_methods":["GET"],"limits":{"concurrency":4}})" },
  };
}

catalog::Pointer
MustBuild(const catalog::Entries& aEntries)
{
  std::vector<catalog::EntryError> errors;
  auto built = catalog::Build(aEntries, 1, errors);
  for (const auto& error : errors) {
    BOOST_TEST_MESSAGE(error.m_path << " " << error.m_problem);
  }
  BOOST_REQUIRE(built != nullptr);
  return built;
}

} // namespace

BOOST_AUTO_TEST_CASE(SampleIsValid)
{
  const auto built = MustBuild(Sample());
  const catalog::Team* team = built->TeamOfKey("sales-key");
  BOOST_REQUIRE(team != nullptr);
  BOOST_TEST(team->m_id == "sales");
  BOOST_TEST(built->TeamOfKey("other") == nullptr);
}

// Guards against accepting a key hash that can match no caller key.
BOOST_AUTO_TEST_CASE(KeyHashesAreLowerCaseDigests)
{
  const auto isValid = [](const std::string& aHash) {
    auto entries = Sample();
    entries["team/other"] =
      R"({"owner":"ops","class":"free","key_hashes":[")" + aHash +
      R"("],"limits":{"requests_per_second":1,"concurrency":1,)"
      R"("tokens_per_minute":1}})";
    std::vector<catalog::EntryError> errors;
    return catalog::Build(entries, 1, errors) != nullptr;
  };
  BOOST_TEST(isValid(std::string(64, 'a')));
  BOOST_TEST(!isValid(std::string(64, 'A')));
  BOOST_TEST(!isValid(std::string(63, 'a') + "g"));
  BOOST_TEST(!isValid(std::string(63, 'a')));
  BOOST_TEST(!isValid(std::string(65, 'a')));
}

// Guards against a validation that stops at the first error, so that an
// operator would have to mend the errors one by one.
BOOST_AUTO_TEST_CASE(AllErrorsAreListedWithTheirPaths)
{
  auto entries = Sample();
  entries["team/bad"] =
    R"({"owner":"","class":"gold","key_hashes":["x"],"models":["none"],)"
    R"("limits":{"concurrency":0,"speed":1}})";
  entries["what/ever"] = "{}";
  entries["model/odd"] = "[1]";
  std::vector<catalog::EntryError> errors;
  BOOST_TEST(catalog::Build(entries, 1, errors) == nullptr);
  std::set<std::string> paths;
  for (const auto& error : errors) {
    paths.insert(error.m_path);
  }
  for (const char* path : { "team/bad: owner",
                            "team/bad: class",
                            "team/bad: key_hashes",
                            "team/bad: models",
                            "team/bad: limits.concurrency",
                            "team/bad: limits.requests_per_second",
                            "team/bad: limits.speed",
                            "what/ever",
                            "model/odd" }) {
    BOOST_TEST(paths.count(path) == 1U, path);
  }
}

// Guards against a team that uses a model, version or service that it may not
// use.
BOOST_AUTO_TEST_CASE(PermissionTable)
{
  auto entries = Sample();
  entries["out/version/small-2"] = "{}";
  const auto built = MustBuild(entries);
  struct Row
  {
    const char* m_team;
    const char* m_version;
    base::ErrorKind m_expected;
  };
  for (const Row& row : {
         Row{ "sales", "small-1", base::ErrorKind::None },
         Row{ "sales", "small-2", base::ErrorKind::VersionWithdrawn },
         Row{ "sales", "large-1", base::ErrorKind::NotAllowed },
         Row{ "guest", "large-1", base::ErrorKind::NotAllowed },
         Row{ "sales", "none", base::ErrorKind::UnknownModel },
         Row{ "none", "small-1", base::ErrorKind::UnknownTeam },
       }) {
    const auto status =
      catalog::CheckVersionAllowed(*built, row.m_team, row.m_version);
    BOOST_TEST((base::KindOf(status) == row.m_expected),
               row.m_team << " " << row.m_version);
  }
  BOOST_TEST((base::KindOf(catalog::CheckServiceAllowed(
                *built, "guest", "booking")) == base::ErrorKind::NotAllowed));
}

// Guards against a roll-out that gives the new version to another share of the
// sessions than its stage says, or that changes the version of a session.
BOOST_AUTO_TEST_CASE(RolloutShareBySession)
{
  auto entries = Sample();
  entries["rollout/small"] =
    R"({"owner":"ops","class":"free","from":"small-1","to":"small-2",)"
    R"("stages":[100,500,1000],"limits":{}})";
  const auto built = MustBuild(entries);
  int onNewVersion = 0;
  constexpr int kSessions = 20000;
  for (uint64_t i = 0; i < kSessions; ++i) {
    const std::string version = catalog::VersionForSession(*built, "small", i);
    BOOST_REQUIRE(version == catalog::VersionForSession(*built, "small", i));
    onNewVersion += version == "small-2" ? 1 : 0;
  }
  BOOST_TEST(onNewVersion > kSessions / 12);
  BOOST_TEST(onNewVersion < kSessions / 8);
}

// Guards against a paused roll-out that goes on exposing new sessions.
BOOST_AUTO_TEST_CASE(PausedRolloutTakesNoNewSessions)
{
  auto entries = Sample();
  entries["rollout/small"] =
    R"({"owner":"ops","class":"free","from":"small-1","to":"small-2",)"
    R"("stages":[1000],"state":"paused","limits":{}})";
  const auto built = MustBuild(entries);
  for (uint64_t i = 0; i < 100; ++i) {
    BOOST_REQUIRE(catalog::VersionForSession(*built, "small", i) == "small-1");
  }
}

BOOST_AUTO_TEST_CASE(DiffIgnoresMemberOrder)
{
  const catalog::Entries before{ { "a/1", R"({"x":1,"y":2})" },
                                 { "a/2", "{}" } };
  const catalog::Entries after{ { "a/1", R"({ "y":2, "x":1 })" },
                                { "a/3", "{}" } };
  const auto changes = catalog::Diff(before, after);
  BOOST_REQUIRE(changes.size() == 2U);
  BOOST_TEST(changes[0].m_key == "a/3");
  BOOST_TEST(changes[1].m_key == "a/2");
}
