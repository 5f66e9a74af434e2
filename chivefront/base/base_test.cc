// Tests of the base part: identifiers, errors, settings, event order.
#define BOOST_TEST_MODULE base
#include <boost/test/unit_test.hpp>

#include "chivefront/base/clock.h"
#include "chivefront/base/errors.h"
#include "chivefront/base/events.h"
#include "chivefront/base/ids.h"
#include "chivefront/base/metrics.h"
#include "chivefront/base/settings.h"

using namespace chivefront::base;

// Guards against identifiers that change when they cross a process boundary.
BOOST_AUTO_TEST_CASE(RequestIdRoundTrip)
{
  const RequestId id = RequestId::Random();
  BOOST_TEST((RequestId::Parse(id.ToString()) == id));
  BOOST_TEST(!RequestId::Parse("12"));
  BOOST_TEST(!RequestId::Parse(std::string(32, 'x')));
}

// Guards against two teams with the same idempotency key sharing a claim.
BOOST_AUTO_TEST_CASE(KeyedIdDependsOnTeam)
{
  BOOST_TEST((RequestId::FromKey("a", "k") == RequestId::FromKey("a", "k")));
  BOOST_TEST((RequestId::FromKey("a", "k") != RequestId::FromKey("b", "k")));
  BOOST_TEST((RequestId::FromKey("ab", "c") != RequestId::FromKey("a", "bc")));
}

// Guards against a kind that loses its type on the way through absl::Status.
BOOST_AUTO_TEST_CASE(ErrorKindSurvivesStatus)
{
  const absl::Status status = MakeError(ErrorKind::Quarantined, "3 losses");
  BOOST_TEST((KindOf(status) == ErrorKind::Quarantined));
  BOOST_TEST(MessageOf(status) == "3 losses");
  BOOST_TEST((KindOf(absl::OkStatus()) == ErrorKind::None));
  BOOST_TEST((KindOf(absl::InternalError("x")) == ErrorKind::Internal));
}

// Guards against a kind raised after dispatch that claims "not run".
BOOST_AUTO_TEST_CASE(FailuresAfterDispatchAreNeverNotRun)
{
  for (const ErrorKind kind : { ErrorKind::UpstreamFailed,
                                ErrorKind::UpstreamLost,
                                ErrorKind::AnswerIncomplete,
                                ErrorKind::BillingUnavailable,
                                ErrorKind::LinkClosed,
                                ErrorKind::Timeout,
                                ErrorKind::Unavailable,
                                ErrorKind::Internal }) {
    BOOST_TEST((OutcomeOf(kind) == Outcome::Unknown), ErrorName(kind));
  }
}

// Guards against a process that starts with some of its bad settings unseen.
BOOST_AUTO_TEST_CASE(SettingsReportBadValues)
{
  Settings settings("program", "Test.");
  settings.AddText("name", "Name.").Required();
  settings.AddInteger("limit", "Limit.", 5, 1, 10);
  settings.AddEndpoints("peers", "Peers.");
  const char* bad[] = { "program", "--limit=11", "--peers=host:1" };
  BOOST_TEST(settings.Parse(3, bad).value_or(0) == kExitBadSettings);
  const char* good[] = {
    "program", "--limit=7", "--peers=127.0.0.1:1,[::1]:2", "--name=n"
  };
  BOOST_TEST(!settings.Parse(4, good).has_value());
  BOOST_TEST(settings.Integer("limit") == 7);
  BOOST_REQUIRE(settings.EndpointsOf("peers").size() == 2);
  BOOST_TEST(settings.EndpointsOf("peers")[1].ToString() == "[::1]:2");
}

// Guards against a reply that sorts before its request in a merged time line.
BOOST_AUTO_TEST_CASE(HybridClockOrdersReceivedAfterSent)
{
  HybridClock ahead;
  HybridClock behind;
  uint64_t sent = 0;
  for (int i = 0; i < 1000; ++i) {
    sent = ahead.Tick();
  }
  behind.Observe(sent);
  BOOST_TEST(behind.Tick() > sent);
}

// Guards against an event log that grows without bound.
BOOST_AUTO_TEST_CASE(EventLogIsBounded)
{
  EventLog events("p", "", 2);
  events.Record("one");
  events.Record("two");
  events.Record("three", { { "k", "v" } }, "id");
  const std::string dump = events.Dump();
  BOOST_TEST(dump.find("\"one\"") == std::string::npos);
  BOOST_TEST(dump.find("\"three\"") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(MetricsRenderText)
{
  Metrics metrics;
  metrics.AddCounter("c_total", "Count.", "class=\"free\"").Increment(3);
  metrics.AddSummary("s", "Span.").Observe(2);
  metrics.AddHistogram("h", "Time.", "kind=\"once\"").Observe(7);
  metrics.AddHistogram("h", "Time.", "kind=\"once\"").Observe(90000);
  const std::string text = metrics.Render();
  BOOST_TEST(text.find("h_bucket{kind=\"once\",le=\"5\"} 0\n") !=
             std::string::npos);
  BOOST_TEST(text.find("h_bucket{kind=\"once\",le=\"10\"} 1\n") !=
             std::string::npos);
  BOOST_TEST(text.find("h_bucket{kind=\"once\",le=\"20000\"} 1\n") !=
             std::string::npos);
  BOOST_TEST(text.find("h_bucket{kind=\"once\",le=\"+Inf\"} 2\n") !=
             std::string::npos);
  BOOST_TEST(text.find("h_sum{kind=\"once\"} 90007\n") != std::string::npos);
  BOOST_TEST(text.find("h_count{kind=\"once\"} 2\n") != std::string::npos);
  BOOST_TEST(text.find("c_total{class=\"free\"} 3\n") != std::string::npos);
  BOOST_TEST(text.find("s_count 1\n") != std::string::npos);
}
