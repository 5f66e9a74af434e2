// Tests the parts of chivefrontctl that need no cluster.
// Promises: config
#define BOOST_TEST_MODULE ctl
#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>
#include <sstream>

#include "chivefront/base/ids.h"
#include "chivefront/ctl/commands.h"
#include "chivefront/ctl/exit_code.h"
#include "chivefront/ctl/table.h"

using namespace chivefront;

namespace {

// A file that is removed when this object is destroyed.
class TemporaryFile
{
public:
  explicit TemporaryFile(const std::string& aText)
    : m_path(std::filesystem::temp_directory_path() /
             ("chivefront-ctl-" + base::RequestId::Random().ToString()))
  {
    std::ofstream(m_path) << aText;
  }
  ~TemporaryFile() { std::filesystem::remove(m_path); }
  std::string Path() const { return m_path.string(); }

private:
  const std::filesystem::path m_path;
};

} // namespace

// Guards against an apply that brings something back into service, lifts a
// quarantine, or reverts a roll-out that has advanced or was stopped.
BOOST_AUTO_TEST_CASE(ApplyLeavesServiceStateAlone)
{
  const catalog::Entries current{
    { "model/a", R"({"x":1})" },
    { "model/b", R"({"x":1})" },
    { "out/domain/d", "{}" },
    { "quarantine/00000000000000ff", "{}" },
    { "rollout/a",
      R"({"from":"1","to":"2","stages":[1,9],"state":"stopped","stage":1})" },
    { "rollout/b", R"({"from":"1","to":"2","stages":[1,9],"stage":1})" },
  };
  const catalog::Entries wanted{
    { "model/a", R"({"x":2})" },
    { "model/c", R"({"x":1})" },
    { "rollout/a", R"({"to":"2","from":"1","stages":[1,9]})" },
    { "rollout/b", R"({"from":"1","to":"3","stages":[1,9]})" },
  };
  std::string text;
  for (const auto& row : ctl::PlanApply(current, wanted)) {
    text += row.m_key + (row.m_before.empty()  ? " add\n"
                         : row.m_after.empty() ? " remove\n"
                                               : " change\n");
  }
  BOOST_TEST(text == "model/a change\nmodel/c add\nrollout/b change\n"
                     "model/b remove\n");
}

// Guards against a pause or a resumption that has no effect, and against a file
// with an old state that restarts an ended roll-out or lifts the hold of the
// roll-out judge.
BOOST_AUTO_TEST_CASE(ApplyPausesAndResumes)
{
  const std::string definition = R"({"from":"1","to":"2","stages":[1,9])";
  const std::string heldByJudge =
    std::string(R"(,"state":"paused","reason":")") + catalog::kHeldReason + '"';
  const std::string byOperator =
    R"(,"state":"paused","reason":"paused by an operator")";
  struct Row
  {
    std::string m_stored;
    std::string m_asked;
    std::string m_after; // empty for no change
  };
  const std::string progress = R"(,"stage":1,"started":7)";
  for (const Row& row : {
         Row{ R"(,"state":"running")", R"(,"state":"paused")", byOperator },
         Row{ "", R"(,"state":"paused")", byOperator },
         Row{ heldByJudge, R"(,"state":"paused")", byOperator },
         Row{ byOperator, R"(,"state":"running")", R"(,"state":"running")" },
         Row{ byOperator, R"(,"state":"paused")", "" },
         Row{ byOperator, "", "" },
         Row{ heldByJudge, R"(,"state":"running")", "" },
         Row{ R"(,"state":"stopped")", R"(,"state":"running")", "" },
         Row{ R"(,"state":"done")", R"(,"state":"paused")", "" },
       }) {
    const catalog::Entries current{
      { "rollout/a", definition + progress + row.m_stored + "}" }
    };
    const auto plan = ctl::PlanApply(
      current, { { "rollout/a", definition + row.m_asked + "}" } });
    BOOST_TEST(plan.empty() == row.m_after.empty(),
               row.m_stored << " and " << row.m_asked);
    if (!plan.empty() && !row.m_after.empty()) {
      BOOST_TEST(
        catalog::Diff(
          { { "rollout/a", plan.front().m_after } },
          { { "rollout/a", definition + progress + row.m_after + "}" } })
          .empty(),
        plan.front().m_after);
    }
  }
}

// Guards against records of several processes that are shown out of causal
// order, twice, or although a filter excludes them. The first file ends with an
// incomplete line and is given twice.
BOOST_AUTO_TEST_CASE(TimelineMergesInCausalOrder)
{
  const TemporaryFile first(
    R"({"hlc":131072,"ms":2,"process":"a","event":"one","request":"r"})"
    "\n"
    R"({"hlc":262144,"ms":4,"process":"a","event":"three","request":"r"})"
    "\n{\"hlc\":");
  const TemporaryFile second(
    R"({"hlc":131073,"ms":2,"process":"b","event":"two","request":"r"})"
    "\n"
    R"({"hlc":131074,"ms":2,"process":"b","event":"else","request":"q"})"
    "\n");
  ctl::TimelineOptions options;
  options.m_files = { second.Path(), first.Path(), first.Path() };
  options.m_request = "r";
  std::ostringstream out;
  BOOST_REQUIRE(ctl::ShowTimeline(options, { out, true }).ok());
  std::string events;
  std::istringstream lines(out.str());
  for (std::string line; std::getline(lines, line);) {
    const size_t start = line.find("\"event\":\"") + 9;
    events += line.substr(start, line.find('"', start) - start) + " ";
  }
  BOOST_TEST(events == "one two three ");
  options.m_files.push_back("/nonexistent");
  BOOST_TEST((ctl::ExitCodeOf(ctl::ShowTimeline(options, { out, true })) ==
              ctl::ExitCode::Unavailable));
}

// Guards against an error of a catalogue file that only the cluster finds.
BOOST_AUTO_TEST_CASE(ValidateFileTable)
{
  struct Row
  {
    const char* m_text;
    ctl::ExitCode m_expected;
  };
  for (const Row& row :
       { Row{ "{}", ctl::ExitCode::Ok },
         Row{ "[]", ctl::ExitCode::Invalid },
         Row{ "{", ctl::ExitCode::Invalid },
         Row{ R"({"model/a":{}})", ctl::ExitCode::Invalid } }) {
    const TemporaryFile file(row.m_text);
    std::ostringstream out;
    const auto status = ctl::ValidateFile(file.Path(), { out, false });
    BOOST_TEST((ctl::ExitCodeOf(status) == row.m_expected), row.m_text);
  }
  std::ostringstream out;
  BOOST_TEST((ctl::ExitCodeOf(ctl::ValidateFile(
                "/nonexistent", { out, false })) == ctl::ExitCode::Usage));
}

// Guards against a malformed list of control processes that is accepted.
BOOST_AUTO_TEST_CASE(ControlClientOptionsAreChecked)
{
  ctl::ControlClientOptions options;
  options.m_secret = "long enough";
  for (const char* control : { "", "host:1", "127.0.0.1:1,", "127.0.0.1" }) {
    options.m_control = control;
    const auto controlClient = ctl::ControlClient::Open(options);
    BOOST_TEST(
      (ctl::ExitCodeOf(controlClient.status()) == ctl::ExitCode::Usage),
      control);
  }
}

// Guards against columns that are misaligned by non-ASCII letters, and against
// control characters that reach the terminal.
BOOST_AUTO_TEST_CASE(TableAlignsColumnsAndReplacesControlCharacters)
{
  ctl::Table table({ "A", "B" });
  table.AddRow({ "Saliņš", "x\x1b[2J" });
  table.AddRow({ "b", "y" });
  std::ostringstream out;
  table.Print(out);
  BOOST_TEST(out.str() == "A       B\nSaliņš  x [2J\nb       y\n");
}
