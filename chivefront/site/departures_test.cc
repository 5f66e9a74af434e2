// What the replicated state keeps of upstreams that leave.
// Promises: leaving
#define BOOST_TEST_MODULE departures
#include <boost/test/unit_test.hpp>

#include "chivefront/site/store.h"

using namespace chivefront;
using namespace chivefront::site;
using routing::InstanceState;

namespace {

constexpr uint64_t kBorn = 1000;
constexpr int64_t kNow = 5000000; // Unix milliseconds

Departure
Gone(const std::string& aId, int64_t aRecordedAt, uint64_t aBorn = kBorn)
{
  return { aId, aBorn, InstanceState::Gone, aRecordedAt };
}

struct StoreFixture
{
  void Execute(const Departure& aDeparture)
  {
    const std::string result =
      m_store.Apply(++m_index, Encode(RecordDeparture{ aDeparture }));
    const bool accepted = DecodeOutcome(result) == Outcome::Accepted;
    BOOST_TEST(accepted);
  }
  static bool Holds(const Store& aStore, const std::string& aId)
  {
    return aStore.Current()->m_departures->Holds(
      aId, kBorn, InstanceState::Gone, kNow);
  }

  base::ManualClock m_clock;
  Store m_store{ m_clock };
  uint64_t m_index = 0;
};

} // namespace

BOOST_AUTO_TEST_CASE(StateOfADepartureOnlyAdvances)
{
  Departures departures;
  const Departure draining{ "a", kBorn, InstanceState::Draining, kNow };
  BOOST_TEST(departures.Record(draining));
  BOOST_TEST(!departures.Record(draining));
  BOOST_TEST(departures.Holds("a", kBorn, InstanceState::Draining, kNow));
  BOOST_TEST(!departures.Holds("a", kBorn, InstanceState::Gone, kNow));
  BOOST_TEST(departures.Record(Gone("a", kNow)));
  BOOST_TEST(!departures.Record(draining));
  BOOST_TEST(departures.Holds("a", kBorn, InstanceState::Gone, kNow));
  // Another incarnation has not left.
  BOOST_TEST(!departures.Holds("a", kBorn + 1, InstanceState::Draining, kNow));
}

// Guards against a control process that takes a departure over twice or never:
// each has one number, and a change gets a new one.
BOOST_AUTO_TEST_CASE(ChangesAreVisitedOnce)
{
  Departures departures;
  departures.Record({ "a", kBorn, InstanceState::Draining, kNow });
  departures.Record(Gone("b", kNow));
  const uint64_t seen = departures.LastNumber();
  departures.Record(Gone("a", kNow));
  std::vector<std::string> visited;
  departures.ForEachAfter(seen, [&](const Departure& aDeparture) {
    visited.push_back(aDeparture.m_upstream);
  });
  BOOST_TEST(visited == std::vector<std::string>{ "a" });
}

// Guards against a state that grows with each upstream that ever left.
BOOST_AUTO_TEST_CASE(OldDeparturesAreForgotten)
{
  Departures departures;
  departures.Record(Gone("old", kNow - kDepartureRetention.Count() - 1));
  departures.Record(Gone("new", kNow));
  BOOST_TEST(!departures.Holds("old", kBorn, InstanceState::Gone, kNow));
  BOOST_TEST(departures.Holds("new", kBorn, InstanceState::Gone, kNow));
  for (size_t i = 0; i < kMaxDepartures; ++i) {
    departures.Record(Gone("more-" + std::to_string(i), kNow));
  }
  size_t count = 0;
  departures.ForEachAfter(0, [&](const Departure&) { ++count; });
  BOOST_TEST(count == kMaxDepartures);
  BOOST_TEST(!departures.Holds("new", kBorn, InstanceState::Gone, kNow));
}

// Guards against an upstream that can't come back under its id because it does
// not tell when it started.
BOOST_AUTO_TEST_CASE(UndatedDepartureEndsEarly)
{
  const int64_t later = kNow + kUndatedDepartureRetention.Count();
  Departures departures;
  departures.Record(Gone("a", kNow, 0));
  BOOST_TEST(departures.Holds("a", 0, InstanceState::Gone, later - 1));
  BOOST_TEST(!departures.Holds("a", 0, InstanceState::Gone, later));
  BOOST_TEST(departures.Record(Gone("a", later, 0)));
  BOOST_TEST(departures.Holds("a", 0, InstanceState::Gone, later));
}

// Guards against a replica that forgets departures with a snapshot, or numbers
// them in another way than the others.
BOOST_FIXTURE_TEST_CASE(DeparturesSurviveASnapshot, StoreFixture)
{
  Execute({ "a", kBorn, InstanceState::Draining, kNow });
  Execute(Gone("b", kNow));
  Execute(Gone("a", kNow));
  Store other(m_clock);
  BOOST_REQUIRE(other.Restore(m_store.TakeSnapshot()).ok());
  BOOST_TEST(Holds(other, "a"));
  BOOST_TEST(Holds(other, "b"));
  BOOST_TEST(other.Current()->m_departures->LastNumber() == 3U);
  BOOST_TEST(other.TakeSnapshot() == m_store.TakeSnapshot());
}

// Guards against a snapshot of an earlier release that can't be read.
BOOST_FIXTURE_TEST_CASE(SnapshotWithoutDeparturesIsRead, StoreFixture)
{
  const std::string old =
    R"({"revision":0,"number":0,"domains_out":[],"rollouts":[]})";
  BOOST_TEST(m_store.Restore(old).ok());
  BOOST_TEST(!Holds(m_store, "a"));
}
