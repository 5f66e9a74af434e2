// Tests of request parsing and of the errors that callers get.
// Promises: not-run
#define BOOST_TEST_MODULE caller_request
#include <boost/test/unit_test.hpp>

#include "chivefront/entry/caller_error.h"
#include "chivefront/entry/caller_request.h"

using namespace chivefront;
using namespace chivefront::entry;

namespace {

net::HttpRequest
ChatWith(const std::string& aBody)
{
  net::HttpRequest request("POST", "/v1/chat/completions");
  request.m_body = aBody;
  return request;
}

const std::string kMessages = R"("messages":[{"role":"user","content":"x"}])";

} // namespace

// Guards against a misspelt or wrongly typed field that is ignored.
BOOST_AUTO_TEST_CASE(BodyTable)
{
  struct Row
  {
    std::string m_body;
    const char* m_problem; // empty when valid
  };
  for (const Row& row : {
         Row{ R"({"model":"m",)" + kMessages + "}", "" },
         Row{ R"({"model":"m","stream":true,"max_tokens":5,)" + kMessages + "}",
              "" },
         Row{ "{", "JSON object" },
         Row{ "[]", "JSON object" },
         Row{ "{}", "model is missing; messages is missing" },
         Row{ R"({"model":1,)" + kMessages + "}", "model must be a string" },
         Row{ R"({"model":"m","steam":true,)" + kMessages + "}",
              "steam is not known" },
         Row{ R"({"model":"m","stream":"yes",)" + kMessages + "}",
              "stream must be a boolean" },
         Row{ R"({"model":"m","max_tokens":1.5,)" + kMessages + "}",
              "max_tokens must be a whole number" },
         Row{ R"({"model":"m","temperature":9,)" + kMessages + "}",
              "temperature must be a number" },
         Row{ R"({"model":"m","n":2,)" + kMessages + "}", "n must be" },
         Row{ R"({"model":"m","messages":[]})", "messages must be" },
         Row{ R"({"model":"m","messages":[{"role":"user"}]})",
              "messages must hold" },
       }) {
    const auto chat = ParseChat(ChatWith(row.m_body));
    const std::string problem(base::MessageOf(chat.status()));
    BOOST_TEST(chat.ok() == (*row.m_problem == '\0'), row.m_body);
    BOOST_TEST(problem.find(row.m_problem) != std::string::npos, problem);
    BOOST_TEST((chat.ok() || base::OutcomeOf(base::KindOf(chat.status())) ==
                               base::Outcome::NotRun));
  }
}

// Guards against an ambiguous or overlong header value that becomes part of a
// key in the ledger.
BOOST_AUTO_TEST_CASE(HeaderTable)
{
  struct Row
  {
    net::HttpHeaders m_headers;
    base::ErrorKind m_kind;
  };
  const std::pair<std::string, std::string> key{ "Authorization", "Bearer k" };
  for (const Row& row : {
         Row{ { key }, base::ErrorKind::None },
         Row{ {}, base::ErrorKind::UnknownTeam },
         Row{ { { "Authorization", "Basic k" } },
              base::ErrorKind::UnknownTeam },
         Row{ { key, { "X-Chivefront-Deadline-Ms", "250" } },
              base::ErrorKind::None },
         Row{ { key, { "X-Chivefront-Deadline-Ms", "0" } },
              base::ErrorKind::BadHeader },
         Row{ { key, { "X-Chivefront-Deadline-Ms", "1s" } },
              base::ErrorKind::BadHeader },
         Row{ { key, { "X-Chivefront-Session", "a b" } },
              base::ErrorKind::BadHeader },
         Row{ { key, { "Idempotency-Key", std::string(129, 'k') } },
              base::ErrorKind::BadHeader },
         Row{ { key, { "Idempotency-Key", "1" }, { "idempotency-key", "2" } },
              base::ErrorKind::BadHeader },
       }) {
    net::HttpRequest request("GET", "/");
    request.m_headers = row.m_headers;
    const auto headers = ParseHeaders(request);
    BOOST_TEST((base::KindOf(headers.status()) == row.m_kind));
  }
}

// Guards against a wrong target at the service, and against a ".." segment that
// leaves the path of the service.
BOOST_AUTO_TEST_CASE(ServiceTargets)
{
  const auto target = [](const std::string& aTarget) {
    const auto parsed = ParseService(net::HttpRequest("GET", aTarget));
    return parsed.ok()
             ? parsed->m_service + " " + parsed->m_target
             : std::string(base::ErrorName(base::KindOf(parsed.status())));
  };
  BOOST_TEST(target("/v1/services/booking/a/b?x=1") == "booking /a/b?x=1");
  BOOST_TEST(target("/v1/services/booking?x=1") == "booking /?x=1");
  BOOST_TEST(target("/v1/services/booking") == "booking /");
  BOOST_TEST(target("/v1/services/") == "unknown_route");
  BOOST_TEST(target("/v1/services/booking/../admin") == "bad_request");
}

// Guards against an answer longer than the version's limit.
BOOST_AUTO_TEST_CASE(EngineBodyLimitsTheAnswer)
{
  const auto chat =
    ParseChat(ChatWith(R"({"model":"m","max_tokens":500,)" + kMessages + "}"));
  BOOST_REQUIRE(chat.ok());
  const std::string body = EngineBody(*chat, "m-2", 100, true);
  BOOST_TEST(body.find(R"("max_tokens":100)") != std::string::npos);
  BOOST_TEST(body.find(R"("model":"m-2")") != std::string::npos);
}

// Guards against an error without its outcome or its Retry-After header.
BOOST_AUTO_TEST_CASE(ErrorsSayWhetherTheRequestRan)
{
  const auto response =
    ErrorResponse(CallerError(base::ErrorKind::Overloaded, "full"), "id");
  BOOST_TEST(response.m_status == 503);
  BOOST_TEST(response.m_body.find(R"("run":"not_run")") != std::string::npos);
  BOOST_TEST(net::FindHeader(response.m_headers, "Retry-After") == "1");
  BOOST_TEST(
    (KindByName("version_withdrawn") == base::ErrorKind::VersionWithdrawn));
}
