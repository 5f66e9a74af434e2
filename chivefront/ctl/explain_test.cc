// Tests the command explain with the three kinds of failed request of
// docs/OPERATIONS.md. The lines have the form that entries write.
#define BOOST_TEST_MODULE explain
#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>
#include <sstream>

#include "chivefront/base/ids.h"
#include "chivefront/ctl/commands.h"
#include "chivefront/ctl/exit_code.h"

using namespace chivefront;

namespace {

// A file of log lines, and the command explain on it.
struct LogFixture
{
  LogFixture()
    : m_path(std::filesystem::temp_directory_path() /
             ("chivefront-explain-" + base::RequestId::Random().ToString()))
  {
  }
  ~LogFixture() { std::filesystem::remove(m_path); }

  void Add(const std::string& aLine) const
  {
    std::ofstream(m_path, std::ios::app) << aLine << '\n';
  }

  // Returns what the command prints; empty when it fails.
  std::string Explain(const std::string& aRequest) const
  {
    ctl::ExplainOptions options;
    options.m_files = { m_path.string() };
    options.m_request = aRequest;
    std::ostringstream out;
    m_status = ctl::ExplainRequest(options, { out, false });
    return m_status.ok() ? out.str() : std::string();
  }

  const std::filesystem::path m_path;
  mutable absl::Status m_status;
};

bool
Contains(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

} // namespace

// Guards against a wrong cause of a request that an entry refused after a
// restart before it had a configuration, and against records of other requests,
// or from after the end, in the output.
BOOST_FIXTURE_TEST_CASE(RefusedRequestAfterARestart, LogFixture)
{
  // The lines include the prefix of a log collector, another request, and an
  // incomplete line.
  Add(R"(  34.573 node {"at":1000,"process":"b/entry","event":"started"})");
  Add(R"({"at":1001,"process":"b/entry","event":"request_refused",)"
      R"("request":"r1","status":"503","reason":"no_configuration",)"
      R"("may_have_run":"no","took_ms":"0","control_age_ms":"never"})");
  Add(R"({"at":1001,"process":"b/entry","event":"request_answered",)"
      R"("request":"r2","took_ms":"5"})");
  Add(R"({"at":1002,"process":"b/entry","ev)");
  Add(R"({"at":1700,"process":"b/entry","event":"state_adopted"})");
  const std::string text = Explain("r1");
  BOOST_TEST(Contains(text, "started"));
  BOOST_TEST(!Contains(text, "r2"));
  BOOST_TEST(!Contains(text, "state_adopted")); // after the end of r1
  BOOST_TEST(
    Contains(text,
             "cause: refused, not run: the entry knew no configuration "
             "yet; control has never answered"));
}

// Guards against a wrong cause of a stream that broke off, and against records
// of upstreams that the request wasn't sent to.
BOOST_FIXTURE_TEST_CASE(InterruptedStream, LogFixture)
{
  Add(R"({"at":5000,"process":"c/control","event":"upstream_left",)"
      R"("upstream":"u1"})");
  Add(R"({"at":5100,"process":"d/control","event":"upstream_left",)"
      R"("upstream":"u9"})");
  Add(R"({"at":9000,"process":"a/entry","event":"attempt_failed",)"
      R"("request":"r1","end":"cut_off","upstream":"u1","took_ms":"2000"})");
  Add(R"({"at":9600,"process":"a/entry","event":"request_failed",)"
      R"("request":"r1","status":"502","reason":"partial message",)"
      R"("upstream":"u2","sends":"3","may_have_run":"yes","took_ms":"8545",)"
      R"("control_age_ms":"7116"})");
  const std::string text = Explain("r1");
  BOOST_TEST(Contains(text, "upstream=u1"));
  BOOST_TEST(!Contains(text, "u9"));
  BOOST_TEST(Contains(text, "end=cut_off"));
  BOOST_TEST(Contains(text,
                      "cause: failed: the last attempt ended with 'partial "
                      "message'; sent 3 times, last to u2; it may have run; "
                      "control was out of reach for 7116 ms"));
}

// Guards against an output that doesn't say that a request may have run, and
// against success for a request that isn't in the logs.
BOOST_FIXTURE_TEST_CASE(RequestThatMayHaveRun, LogFixture)
{
  Add(R"({"at":9600,"process":"a/entry","event":"request_failed",)"
      R"("request":"r1","status":"504","reason":"time_over",)"
      R"("upstream":"u2","sends":"1","may_have_run":"yes","took_ms":"2500",)"
      R"("control_age_ms":"43"})");
  BOOST_TEST(
    Contains(Explain("r1"),
             "cause: failed: the time of the caller or of the route was "
             "over; sent 1 times, last to u2; it may have run\n"));
  BOOST_TEST(Explain("r7").empty());
  BOOST_TEST((ctl::ExitCodeOf(m_status) == ctl::ExitCode::Usage));
}
