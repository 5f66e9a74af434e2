// Tests of chivefront/base: identifiers, errors, settings, event order,
// metrics.
#define BOOST_TEST_MODULE base
#include <boost/test/unit_test.hpp>

#include "chivefront/base/clock.h"
#include "chivefront/base/errors.h"
#include "chivefront/base/events.h"
#include "chivefront/base/ids.h"
#include "chivefront/base/metrics.h"
#include "chivefront/base/settings.h"

using namespace chivefront::base;

// Guards against an identifier that changes when one process formats it and
// another one parses it.
BOOST_AUTO_TEST_CASE(RequestIdRoundTrip)
{
  const RequestId id = RequestId::Random();
  BOOST_TEST((RequestId::Parse(id.ToString()) == id));
  BOOST_TEST(!RequestId::Parse("12"));
  BOOST_TEST(!RequestId::Parse(std::string(32, 'x')));
}

// Guards against two teams that share a claim because they chose the same
// idempotency key.
BOOST_AUTO_TEST_CASE(KeyedIdDependsOnTeam)
{
  BOOST_TEST((RequestId::FromKey("a", "k") == RequestId::FromKey("a", "k")));
  BOOST_TEST((RequestId::FromKey("a", "k") != RequestId::FromKey("b", "k")));
  BOOST_TEST((RequestId::FromKey("ab", "c") != RequestId::FromKey("a", "bc")));
}

// Guards against an error kind that is lost when it is stored in an
// absl::Status.
BOOST_AUTO_TEST_CASE(ErrorKindSurvivesStatus)
{
  const absl::Status status = MakeError(ErrorKind::Quarantined, "3 losses");
  BOOST_TEST((KindOf(status) == ErrorKind::Quarantined));
  BOOST_TEST(MessageOf(status) == "3 losses");
  BOOST_TEST((KindOf(absl::OkStatus()) == ErrorKind::None));
  BOOST_TEST((KindOf(absl::InternalError("x")) == ErrorKind::Internal));
}

// Guards against an error kind that may be raised after dispatch and still
// reports that the request did not run.
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

// Guards against a process that starts although a setting is missing or has an
// invalid value.
BOOST_AUTO_TEST_CASE(SettingsReportBadValues)
{
  Settings settings("program", "Test.");
  settings.AddText("name", "Name.").Required();
  settings.AddInteger("limit", "Limit.", 5, 1, 10);
  settings.AddEndpoints("peers", "Peers.");
  const char* invalid[] = { "program", "--limit=11", "--peers=host:1" };
  BOOST_TEST(settings.Parse(3, invalid).value_or(0) == kExitBadSettings);
  const char* valid[] = {
    "program", "--limit=7", "--peers=127.0.0.1:1,[::1]:2", "--name=n"
  };
  BOOST_TEST(!settings.Parse(4, valid).has_value());
  BOOST_TEST(settings.Integer("limit") == 7);
  BOOST_REQUIRE(settings.EndpointsOf("peers").size() == 2);
  BOOST_TEST(settings.EndpointsOf("peers")[1].ToString() == "[::1]:2");
}

// Guards against a reply that sorts before its request in the merged events of
// two processes, of which the sender's clock is ahead.
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

// Guards against an event log whose memory use has no limit.
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

// Guards against buckets that are not cumulative and against labels that are
// lost in the text format.
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
