// Tests of session pins: cache, choice of the version, commit in the ledger.
// Promises: session, withdrawn, allowed
#define BOOST_TEST_MODULE sessions
#include <boost/test/unit_test.hpp>

#include "chivefront/entry/test_fixture.h"

using namespace chivefront;
using namespace chivefront::entry::testing;

namespace {

catalog::Pointer
Build(const catalog::Entries& aEntries)
{
  std::vector<catalog::EntryError> errors;
  return catalog::Build(aEntries, 1, errors);
}

} // namespace

// Guards against a cached pin that changes, and against an unbounded cache.
BOOST_AUTO_TEST_CASE(CacheKeepsTheFirstPin)
{
  entry::PinCache cache(100);
  const base::TimePoint now;
  cache.Insert("sales/s1", "small-1", now);
  cache.Insert("sales/s1", "small-2", now);
  BOOST_TEST(cache.Find("sales/s1", now).value() == "small-1");
  for (int i = 0; i < 10000; ++i) {
    cache.Insert("sales/x" + std::to_string(i), "small-1", now);
  }
  BOOST_TEST(!cache.Find("sales/s1", now).has_value()); // dropped by the bound
}

// Guards against a second pin for a session in use: one entry serves it from
// its cache for longer than the ledger keeps the pin, and another entry then
// pins the session to another version.
BOOST_AUTO_TEST_CASE(PinInUseIsCommittedAgain)
{
  entry::PinCache cache(100);
  const base::TimePoint start;
  cache.Insert("sales/s1", "small-1", start);
  const base::TimePoint due = start + entry::kPinRenewalInterval;
  BOOST_TEST(cache.Find("sales/s1", due).has_value());
  BOOST_TEST(!cache.Find("sales/s1", due + base::Millis(1)).has_value());
  cache.Insert("sales/s1", "small-1", due + base::Millis(1));
  BOOST_TEST(cache.Find("sales/s1", due + base::Millis(2)).has_value());
}

// Guards against new requests on a withdrawn version, and against a pinned
// session that is moved to another version instead of getting an error.
BOOST_AUTO_TEST_CASE(WithdrawnVersions)
{
  auto entries = SampleEntries();
  entries["out/version/small-1"] = "{}";
  entries["rollout/small"] =
    R"({"owner":"ops","class":"free","from":"small-1","to":"small-2",)"
    R"("stages":[1],"limits":{}})";
  auto built = Build(entries);
  BOOST_REQUIRE(built);
  const auto none = entry::ProposeVersion(*built, "sales", "small", 5);
  BOOST_TEST(
    (base::KindOf(none.status()) == base::ErrorKind::VersionWithdrawn));
  const auto pinned = entry::CheckPinned(*built, "sales", "small-1", "small");
  BOOST_TEST((base::KindOf(pinned) == base::ErrorKind::VersionWithdrawn));
  BOOST_TEST(base::MessageOf(pinned).find("small-1") != std::string::npos);
  BOOST_TEST(
    (base::KindOf(entry::CheckPinned(*built, "sales", "small-2", "large")) ==
     base::ErrorKind::Conflict));
  entries.erase("out/version/small-1");
  entries["out/version/small-2"] = "{}";
  entries["rollout/small"] =
    R"({"owner":"ops","class":"free","from":"small-1","to":"small-2",)"
    R"("stages":[1000],"limits":{}})";
  built = Build(entries);
  BOOST_REQUIRE(built);
  BOOST_TEST(entry::ProposeVersion(*built, "sales", "small", 5).value() ==
             "small-1");
}

// Guards against two versions for one session when another entry pinned it
// first, and when a roll-out proposes another version later.
BOOST_AUTO_TEST_CASE(FirstCommittedPinWins)
{
  EntryFixture fixture;
  FakeAgent agent(fixture.m_loop.Context(),
                  "agent-1",
                  11,
                  [](net::Link& aLink, wire::MessageT& aMessage) {
                    if (const auto* dispatch = aMessage.body.AsDispatch()) {
                      SendWholeAnswer(aLink, *dispatch);
                    }
                  });
  fixture.m_control.Change([&](FakeControl& aControl) {
    aControl.m_upstreams = { agent.Upstream("e1", "small-1"),
                             agent.Upstream("e2", "small-2") };
    aControl.m_pins["sales/s1"] = "small-2";
  });
  BOOST_REQUIRE(fixture.WaitReady(1));
  const auto version = [&](const std::string& aSession) {
    const auto answer = fixture.Call(EntryFixture::Chat(false, aSession));
    BOOST_REQUIRE(answer.ok());
    return std::string(
      net::FindHeader(answer->m_headers, "X-Chivefront-Version"));
  };
  BOOST_TEST(version("s1") == "small-2");
  BOOST_TEST(version("s2") == "small-1");
  fixture.m_control.Change([&](FakeControl& aControl) {
    aControl.m_entries["rollout/small"] =
      R"({"owner":"ops","class":"free","from":"small-1","to":"small-2",)"
      R"("stages":[1000],"limits":{}})";
  });
  while (fixture.m_core.Watcher().LastView()->m_catalog->m_rollouts.empty()) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  BOOST_TEST(version("s2") == "small-1");
  BOOST_TEST(version("s3") == "small-2");
  fixture.m_control.Change([&](FakeControl& aControl) {
    BOOST_TEST(aControl.m_pins["sales/s2"] == "small-1");
  });
  fixture.m_loop.Stop();
}
