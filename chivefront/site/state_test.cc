// The replicated state: document numbers, repeated commands, snapshots,
// encoding for entries, and roll-out verdicts.
#define BOOST_TEST_MODULE site_store
#include <boost/test/unit_test.hpp>

#include "chivefront/site/messages.h"
#include "chivefront/site/rollout_verdict.h"
#include "chivefront/site/store.h"

using namespace chivefront;
using namespace chivefront::site;

namespace {

struct Fixture
{
  Outcome Execute(const Command& aCommand)
  {
    return DecodeOutcome(m_store.Apply(++m_index, Encode(aCommand)));
  }

  base::ManualClock m_clock;
  Store m_store{ m_clock };
  uint64_t m_index = 0;
};

bool
Accepted(Outcome aOutcome)
{
  return aOutcome == Outcome::Accepted;
}

} // namespace

BOOST_FIXTURE_TEST_CASE(HighestNumberIsInForce, Fixture)
{
  BOOST_TEST(Accepted(Execute(Configure{ 7, "seven" })));
  BOOST_TEST(Accepted(Execute(Configure{ 5, "five" })));
  BOOST_TEST(*m_store.Current()->m_document == "seven");
  // Other content under the current number is ignored.
  BOOST_TEST(Accepted(Execute(Configure{ 7, "other" })));
  BOOST_TEST(*m_store.Current()->m_document == "seven");
  BOOST_TEST(m_store.Current()->m_revision == 1U);
  BOOST_TEST(Accepted(Execute(Configure{ 9, "nine" })));
  BOOST_TEST(m_store.Current()->m_number == 9U);
}

BOOST_FIXTURE_TEST_CASE(RepeatedCommandsAreAcceptedAgain, Fixture)
{
  const StartRollout order{ "app", "v2", base::Millis(12000), 0 };
  BOOST_TEST(Accepted(Execute(order)));
  BOOST_TEST(Accepted(Execute(order)));
  const bool busy =
    Execute(StartRollout{ "app", "v3", base::Millis(1), 0 }) == Outcome::Busy;
  BOOST_TEST(busy);
  Execute(EndRollout{ "app", "v2", RolloutStage::RolledBack });
  // A late verdict doesn't change a final stage.
  Execute(EndRollout{ "app", "v2", RolloutStage::Completed });
  const bool rolledBack =
    m_store.Current()->m_rollouts.at("app").m_stage == RolloutStage::RolledBack;
  BOOST_TEST(rolledBack);
  BOOST_TEST(Accepted(Execute(order)));
  BOOST_TEST(
    Accepted(Execute(StartRollout{ "app", "v3", base::Millis(1), 0 })));
}

BOOST_FIXTURE_TEST_CASE(DomainsGoOutAndComeBack, Fixture)
{
  Execute(SetDomain{ "riga-a", true });
  Execute(SetDomain{ "riga-a", true });
  BOOST_TEST(m_store.Current()->m_domainsOut.count("riga-a") == 1U);
  BOOST_TEST(m_store.Current()->m_revision == 1U);
  Execute(SetDomain{ "riga-a", false });
  BOOST_TEST(m_store.Current()->m_domainsOut.empty());
}

BOOST_FIXTURE_TEST_CASE(UndecodableCommandsAreUnknown, Fixture)
{
  for (const char* text : { "", "{", "[]", "{}", "{\"configure\":{}}" }) {
    const bool unknown =
      DecodeOutcome(m_store.Apply(++m_index, text)) == Outcome::Unknown;
    BOOST_TEST(unknown, text);
  }
  BOOST_TEST(m_store.Current()->m_revision == 0U);
}

BOOST_FIXTURE_TEST_CASE(SnapshotsKeepTheWholeState, Fixture)
{
  Execute(Configure{ 7, "text with \"quotes\" and \n lines" });
  Execute(SetDomain{ "riga-a", true });
  Execute(StartRollout{ "app", "v2", base::Millis(12000), 5 });
  Store other(m_clock);
  BOOST_REQUIRE(other.Restore(m_store.TakeSnapshot()).ok());
  BOOST_TEST(other.TakeSnapshot() == m_store.TakeSnapshot());
  BOOST_TEST(*other.Current()->m_document == *m_store.Current()->m_document);
  BOOST_TEST(!other.Restore("{}").ok());
  BOOST_TEST(other.Current()->m_number == 7U);
}

// Guards against a token that repeats or goes down after a restore.
BOOST_FIXTURE_TEST_CASE(EachAcquisitionRaisesTheTokenOfItsDuty, Fixture)
{
  using duty::Duty;
  const uint64_t owner = 0xfedcba9876543210; // above the signed range
  Execute(AcquireDuty{ Duty::UsageReport, "a", owner });
  Execute(AcquireDuty{ Duty::UsageReport, "b", 2 });
  Execute(AcquireDuty{ Duty::Autoscaling, "b", 2 });
  BOOST_REQUIRE(m_store.Restore(m_store.TakeSnapshot()).ok());
  // The same process again: its commit tells it the token by its owner.
  Execute(AcquireDuty{ Duty::UsageReport, "a", owner });
  const duty::Holders holders = m_store.Current()->m_duties->HoldersByDuty();
  BOOST_TEST((holders.at(Duty::UsageReport) == duty::Holder{ 3, "a", owner }));
  BOOST_TEST((holders.at(Duty::Autoscaling) == duty::Holder{ 1, "b", 2 }));
  BOOST_TEST(m_store.Current()->m_revision == 0U);
  const auto unknown = DecodeOutcome(m_store.Apply(
    9, R"({"acquire_duty":{"duty":"none","host":"a","owner":1}})"));
  BOOST_TEST((unknown == Outcome::Unknown));
}

// Guards against two reports of a window with different counts.
BOOST_FIXTURE_TEST_CASE(FirstDecisionOfAWindowWins, Fixture)
{
  Execute(DecideUsage{ { 7, { { "hule930", 412 }, { "fida11", 1 } } } });
  Execute(DecideUsage{ { 7, { { "hule930", 413 } } } });
  Execute(DecideUsage{ { 6, {} } });
  Store other(m_clock);
  BOOST_REQUIRE(other.Restore(m_store.TakeSnapshot()).ok());
  const auto undelivered = other.Current()->m_duties->Undelivered();
  BOOST_REQUIRE(undelivered.size() == 2U);
  BOOST_TEST(undelivered[0].m_window == 6U);
  BOOST_TEST(undelivered[1].m_counts.at("hule930") == 412U);
  BOOST_TEST(undelivered[1].m_counts.at("fida11") == 1U);
  Execute(ConfirmUsage{ 7 });
  Execute(ConfirmUsage{ 7 });
  Execute(ConfirmUsage{ 8 });
  Execute(DecideUsage{ { 7, { { "hule930", 413 } } } });
  const auto& duties = *m_store.Current()->m_duties;
  BOOST_TEST(duties.Undelivered().size() == 1U);
  BOOST_TEST(!duties.IsDecided(8));
  BOOST_TEST(m_store.Current()->m_revision == 0U);
}

// Guards against unbounded state while the service is unreachable, and against
// a second decision of a window that was forgotten.
BOOST_FIXTURE_TEST_CASE(OldestWindowsAreGivenUp, Fixture)
{
  for (uint64_t window = 100; window < 300; ++window) {
    Execute(DecideUsage{ { window, { { "hule930", window } } } });
  }
  const auto& duties = *m_store.Current()->m_duties;
  const auto undelivered = duties.Undelivered();
  BOOST_TEST(undelivered.size() == kMaxUndeliveredWindows);
  BOOST_TEST(undelivered.back().m_window == 299U);
  BOOST_TEST(duties.GivenUpCount() == 200U - kMaxUndeliveredWindows);
  BOOST_TEST(duties.IsDecided(100));
  BOOST_TEST(!duties.IsDecided(300));
}

// Guards against a release that can't read the snapshots of the one before.
BOOST_FIXTURE_TEST_CASE(OlderSnapshotsHaveNoDuties, Fixture)
{
  Execute(AcquireDuty{ duty::Duty::UsageReport, "a", 1 });
  const char* older =
    R"({"revision":1,"number":0,"domains_out":["riga-a"],"rollouts":[]})";
  BOOST_REQUIRE(m_store.Restore(older).ok());
  BOOST_TEST(m_store.Current()->m_duties->HoldersByDuty().empty());
  const auto broken = m_store.Restore(
    R"({"revision":1,"number":0,"domains_out":[],"rollouts":[],"duties":{}})");
  BOOST_TEST(!broken.ok());
}

BOOST_FIXTURE_TEST_CASE(StateIsEncodedForEntries, Fixture)
{
  Execute(Configure{ 7, "seven" });
  Execute(SetDomain{ "riga-a", true });
  Execute(StartRollout{ "app", "v 2", base::Millis(12000), 5 });
  const base::TimePoint now = m_clock.Now();
  State received;
  const auto& state = *m_store.Current();
  BOOST_REQUIRE(FromEntries(ToEntries(state, 0, now), now, received).ok());
  BOOST_TEST(*received.m_document == "seven");
  BOOST_TEST(received.m_domainsOut.count("riga-a") == 1U);
  const Rollout& rollout = received.m_rollouts.at("app");
  BOOST_TEST(rollout.m_version == "v 2");
  BOOST_TEST(rollout.m_span.Count() == 12000);
  BOOST_TEST(rollout.m_orderedAt == 5);
  // The document is left out for a receiver that has its number.
  State again;
  BOOST_REQUIRE(FromEntries(ToEntries(state, 7, now), now, again).ok());
  BOOST_TEST(again.m_document == nullptr);
}

BOOST_AUTO_TEST_CASE(RolloutVerdicts)
{
  Rollout rollout;
  rollout.m_span = base::Millis(24000);
  const base::TimePoint start = rollout.m_started;
  const base::TimePoint end = start + base::Millis(23900);
  const AnswerCounts others{ 500, 10 };
  const auto stageAt = [&](AnswerCounts aCounts, base::TimePoint aNow) {
    const auto stage = JudgeRollout(rollout, aCounts, others, aNow);
    return stage ? std::string(kRolloutStageNames.Name(*stage)) : "none";
  };
  // Good so far, but the version may turn bad late.
  BOOST_TEST(stageAt({ 60, 1 }, start + base::Millis(12000)) == "none");
  BOOST_TEST(stageAt({ 200, 3 }, end) == "completed");
  BOOST_TEST(stageAt({ 10, 10 }, start + base::Millis(3000)) == "rolled_back");
  // Too few answers: the old version is kept.
  BOOST_TEST(stageAt({ 2, 0 }, end) == "rolled_back");
}

// Guards against a slow version that is completed because the proof against it
// falls short of the one for a roll-back before the end (counts as seen on
// days with a slow version).
BOOST_AUTO_TEST_CASE(DoubtfulVersionIsNotCompleted)
{
  Rollout rollout;
  rollout.m_span = base::Millis(15000);
  const base::TimePoint end = rollout.m_started + base::Millis(14900);
  const auto stageWith = [&](AnswerCounts aVersion, AnswerCounts aOthers) {
    const auto stage = JudgeRollout(rollout, aVersion, aOthers, end);
    return std::string(kRolloutStageNames.Name(stage.value()));
  };
  BOOST_TEST(stageWith({ 18, 18 }, { 477, 116 }) == "rolled_back");
  BOOST_TEST(stageWith({ 27, 14 }, { 1144, 267 }) == "rolled_back");
  BOOST_TEST(stageWith({ 32, 8 }, { 477, 116 }) == "completed");
}
