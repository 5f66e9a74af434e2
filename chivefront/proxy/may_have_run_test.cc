// All orders of what two upstreams can do with a request, and what the caller
// may be told then. See docs/decisions/may-have-run.md.
// Promises: not-run, at-most-once
#define BOOST_TEST_MODULE proxy_may_have_run
#include <boost/test/unit_test.hpp>

#include "chivefront/proxy/testing/entry_fixture.h"

using namespace chivefront;
using namespace chivefront::proxy::testing;

namespace {

// What an upstream does with a request, and whether the request may have run
// there as far as the entry can know.
struct Behavior
{
  const char* m_name;
  std::string m_script;
  bool m_mayHaveRun;
};

std::string
ErrorResponse(const std::string& aStatusAndFields)
{
  return "HTTP/1.1 " + aStatusAndFields +
         "\r\nId: $ID\r\nSeal: s\r\nContent-Length: 3\r\n\r\nbad";
}

const std::vector<Behavior> kBehaviors{
  { "answers", kGoodResponse, true },
  { "rejects", ErrorResponse("503 Full"), false },
  { "fails with an unmarked refusal",
    ErrorResponse("503 Full\r\nRan: 1"),
    true },
  { "limits without a mark", ErrorResponse("429 Many"), true },
  { "fails", ErrorResponse("500 Oops"), true },
  { "closes without an answer", kCloseConnection, true },
  { "breaks off in the head",
    std::string("HTTP/1.1 200 OK\r\nId: ") + kCloseConnection,
    true },
  { "breaks off in the body",
    "HTTP/1.1 200 OK\r\nId: $ID\r\nSeal: s\r\nContent-Length: 9\r\n\r\ngo" +
      std::string(kCloseConnection),
    true },
  { "sends no HTTP", std::string("nonsense\r\n\r\n") + kCloseConnection, true },
  { "answers another request",
    "HTTP/1.1 200 OK\r\nId: other\r\nSeal: s\r\nContent-Length: 3\r\n\r\nbad" +
      std::string(kCloseConnection),
    true },
  { "answers without a seal",
    "HTTP/1.1 200 OK\r\nId: $ID\r\nContent-Length: 3\r\n\r\nbad",
    true },
  { "stays silent", kHoldConnection, true },
};

bool
PromisesNotRun(const std::string& aAnswer)
{
  for (const char* status : { "408", "421", "429", "503" }) {
    if (aAnswer.starts_with(std::string("HTTP/1.1 ") + status)) {
      return true;
    }
  }
  return Contains(aAnswer, R"("run":"not_run")");
}

// Checks one order of behaviors for a request of the route aRoute.
void
CheckOrder(const char* aRoute, const Behavior& aFirst, const Behavior& aSecond)
{
  RunningEntry entry;
  entry.m_near.AddScript(aFirst.m_script);
  entry.m_far.AddScript(aSecond.m_script);
  const std::string answer =
    entry.Call(MakeRequest(aRoute, "Patience: 300\r\n"));
  const size_t runs =
    (aFirst.m_mayHaveRun ? entry.m_near.m_requests.size() : 0) +
    (aSecond.m_mayHaveRun ? entry.m_far.m_requests.size() : 0);
  const std::string order = std::string(aRoute) + ": first " + aFirst.m_name +
                            ", then " + aSecond.m_name + "\n" + answer;
  BOOST_TEST(answer.starts_with("HTTP/1.1 "), order);
  BOOST_TEST(!(PromisesNotRun(answer) && runs > 0), order);
  BOOST_TEST(!(answer.starts_with("HTTP/1.1 200") && !Contains(answer, "good")),
             order);
  if (std::string(aRoute) == "once") {
    BOOST_TEST(runs <= 1U, order);
  }
}

} // namespace

// Guards against work that runs twice though it must not, and against a caller
// that is told that nothing ran when something may have.
BOOST_AUTO_TEST_CASE(NoOrderBreaksAPromise)
{
  for (const char* route : { "once", "plain" }) {
    for (const Behavior& first : kBehaviors) {
      for (const Behavior& second : kBehaviors) {
        CheckOrder(route, first, second);
      }
    }
  }
}
