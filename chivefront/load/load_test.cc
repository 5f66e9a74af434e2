// Tests arrivals, checks of answers, quantiles and scenarios of the load tool.
#define BOOST_TEST_MODULE load
#include <boost/test/unit_test.hpp>

#include "chivefront/load/arrivals.h"
#include "chivefront/load/stats.h"

using namespace chivefront;
using namespace chivefront::load;

namespace {

Scenario
TwoMixes(uint64_t aSeed)
{
  Scenario scenario;
  scenario.m_seed = aSeed;
  scenario.m_duration = base::Millis(100000);
  Mix mix;
  mix.m_name = "a";
  mix.m_rate = 10;
  scenario.m_mixes.push_back(mix);
  mix.m_name = "b";
  mix.m_rate = 40;
  mix.m_sessionTurns = 4;
  scenario.m_mixes.push_back(mix);
  return scenario;
}

const std::string kPrompt = "hello\n";

// Returns a stream of aWords events with the engine's words, followed by aEnd.
std::string
Streamed(size_t aWords, const std::string& aEnd)
{
  std::string text;
  std::istringstream words(EngineWords(kPrompt, 1, aWords));
  for (std::string word; words >> word;) {
    text += R"(data: {"choices":[{"delta":{"content":")" + word + " \"}}]}\n\n";
  }
  return text + aEnd;
}

const std::string kUsage =
  "data: {\"choices\":[],\"usage\":{\"completion_tokens\":3}}\n\n";
const std::string kTrailer =
  "data: {\"chivefront\":{\"request_id\":\"r\",\"cost_micros\":7}}\n\n";
const std::string kEndMarker = "data: [DONE]\n\n";

// Feeds aText byte by byte.
CheckResult
Check(const std::string& aText, bool aEndedCleanly, const std::string& aPrompt)
{
  StreamCheck check({ aPrompt, 1 });
  for (const char byte : aText) {
    check.Feed(std::string_view(&byte, 1));
  }
  return check.Finish(aEndedCleanly);
}

} // namespace

// Guards against load that differs between runs with the same seed, and against
// mixes whose rate is wrong. Mix "b" counts the turns of its sessions.
BOOST_AUTO_TEST_CASE(ArrivalsAreSeededAndHaveTheRate)
{
  const auto first = PlanArrivals(TwoMixes(1));
  const auto sameSeed = PlanArrivals(TwoMixes(1));
  const auto otherSeed = PlanArrivals(TwoMixes(2));
  BOOST_REQUIRE(first.size() == sameSeed.size());
  size_t counts[2] = { 0, 0 };
  for (size_t i = 0; i < first.size(); ++i) {
    BOOST_TEST(first[i].m_at.Count() == sameSeed[i].m_at.Count());
    BOOST_TEST((i == 0 || first[i - 1].m_at <= first[i].m_at));
    ++counts[first[i].m_mixIndex];
  }
  BOOST_TEST((otherSeed.size() != first.size() ||
              otherSeed[0].m_at.Count() != first[0].m_at.Count()));
  for (const size_t count : counts) { // 10 per second each, in 100 s
    BOOST_TEST(count > 900U);
    BOOST_TEST(count < 1100U);
  }
}

// Guards against a damaged or incomplete stream that passes as a correct
// answer.
BOOST_AUTO_TEST_CASE(StreamCheckResults)
{
  const auto complete = Streamed(3, kUsage + kTrailer + kEndMarker);
  const CheckResult good = Check(complete, true, kPrompt);
  BOOST_TEST(good.m_violation == "");
  BOOST_TEST(good.m_complete);
  BOOST_TEST(good.m_costMicros == 7U);
  struct Row
  {
    std::string m_text;
    bool m_endedCleanly;
    const char* m_error;
    const char* m_violation;
  };
  const std::string error =
    "data: {\"error\":{\"type\":\"upstream_lost\",\"run\":\"unknown\"}}\n\n";
  for (const Row& row : {
         Row{
           Streamed(2, kUsage + kEndMarker), true, "", "answer has 2 words" },
         Row{ Streamed(3, kEndMarker), true, "", "no usage" },
         Row{ Streamed(3, kUsage + kEndMarker), false, "", "not the end" },
         Row{ Streamed(3, kUsage), true, "cut", "without an end marker" },
         Row{ Streamed(3, kUsage), false, "cut", "" },
         Row{ Streamed(2, error), false, "upstream_lost", "" },
         Row{
           Streamed(2, error + kEndMarker), true, "upstream_lost", "an error" },
         Row{ complete + kTrailer, true, "", "after the end marker" },
         Row{ "data: {half\n\n" + kEndMarker, true, "", "" },
       }) {
    const CheckResult result = Check(row.m_text, row.m_endedCleanly, kPrompt);
    BOOST_TEST(result.m_error == row.m_error, row.m_text);
    BOOST_TEST(result.m_violation.find(row.m_violation) != std::string::npos,
               result.m_violation);
  }
  BOOST_TEST(Check(complete, true, "other\n").m_violation ==
             "answer is not the one to this request");
}

// Guards against a second execution of a service call, or the answer to another
// call, that passes as a correct answer.
BOOST_AUTO_TEST_CASE(ServiceCheckResults)
{
  BOOST_TEST(CheckServiceAnswer(R"({"executions":1,"target":"/x"})", "/x")
               .m_violation.empty());
  BOOST_TEST(
    CheckServiceAnswer(R"({"executions":2,"target":"/x"})", "/x").m_violation ==
    "executed more than once");
  BOOST_TEST(
    CheckServiceAnswer(R"({"executions":1,"target":"/y"})", "/x").m_violation ==
    "answer of another call");
}

// Guards against quantiles that aren't those of the nearest-rank method.
BOOST_AUTO_TEST_CASE(QuantilesByNearestRank)
{
  std::vector<double> values;
  for (int i = 100; i > 0; --i) {
    values.push_back(i);
  }
  BOOST_TEST(QuantileOf(values, 0.5) == 50);
  BOOST_TEST(QuantileOf(values, 0.99) == 99);
  BOOST_TEST(QuantileOf({}, 0.5) == 0);
}

// Guards against a misspelt member of a scenario that is ignored, and against
// errors that are not listed together.
BOOST_AUTO_TEST_CASE(ScenarioErrorsAreAllListed)
{
  std::vector<catalog::EntryError> errors;
  ParseScenario(R"({"sed":1,"mixes":[{"name":"a","rate":-1,"reader":"odd",)"
                R"("strem":true}]})",
                errors);
  BOOST_TEST(errors.size() == 4U);
  errors.clear();
  auto scenario =
    ParseScenario(R"({"seed":3,"mixes":[{"name":"a","rate":1,"stream":true},)"
                  R"({"name":"b","rate":1,"service":"booking"}]})",
                  errors);
  BOOST_REQUIRE(errors.empty());
  AddDirectMixes(scenario);
  BOOST_REQUIRE(scenario.m_mixes.size() == 3U);
  BOOST_TEST(scenario.m_mixes[2].m_name == "a/direct");
}
