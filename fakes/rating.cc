// Verdicts of the fake rating service.
#include "fakes/rating.h"

#include <boost/json.hpp>

#include "chivefront/base/ids.h"
#include "fakes/engine.h"

namespace fakes {
namespace {

namespace json = boost::json;

constexpr uint64_t kDrawValues = 1000000;

// A number in [0, 1) that depends on its arguments only.
double
Draw(uint64_t aSeed, const std::string& aText)
{
  return static_cast<double>(base::StableHash(aText, aSeed) % kDrawValues) /
         static_cast<double>(kDrawValues);
}

std::string
StringField(const json::object& aObject, const char* aName)
{
  const json::value* value = aObject.if_contains(aName);
  return value != nullptr && value->is_string()
           ? std::string(value->as_string().c_str())
           : std::string();
}

json::object
ParseObject(const std::string& aText)
{
  boost::system::error_code error;
  json::value value = json::parse(aText, error);
  return !error && value.is_object() ? value.as_object() : json::object();
}

} // namespace

Verdict
RateAnswer(const RatingOptions& aOptions,
           const std::string& aRequestId,
           const std::string& aVersion,
           const std::string& aAnswer)
{
  const auto found = aOptions.m_quality.find(aVersion);
  const bool marked = aAnswer.find(kLowRatingMarker) != std::string::npos;
  const double quality = found == aOptions.m_quality.end()
                           ? aOptions.m_defaultQuality
                           : found->second;
  const std::string subject = aRequestId + "/" + aVersion;
  const double draw = Draw(aOptions.m_seed, subject);
  Verdict verdict;
  verdict.m_acceptable = !marked && draw < quality;
  if (Draw(aOptions.m_seed + 1, subject) < aOptions.m_wrongRate) {
    verdict.m_acceptable = !verdict.m_acceptable;
  }
  verdict.m_score = (verdict.m_acceptable ? 1.0 : 0.0) / 2 +
                    Draw(aOptions.m_seed + 2, subject) / 2;
  return verdict;
}

FakeRating::FakeRating(net::asio::io_context& aContext, RatingOptions aOptions)
  : m_listen(aOptions.m_listen)
  , m_options(std::move(aOptions))
  , m_server(aContext, {}, [this](net::HttpExchange& aExchange) {
    return Handle(aExchange);
  })
{
}

net::Task<void>
FakeRating::Handle(net::HttpExchange& aExchange)
{
  const std::string_view path = aExchange.Request().Path();
  net::HttpResponse response(200, "application/json", {}, "{}");
  if (path == "/v1/rate") {
    co_await Rate(aExchange);
    co_return;
  }
  if (path == "/fake/behave") {
    ApplyBehavior(aExchange.Request().m_body);
  } else if (path == "/fake/history") {
    response.m_body = History();
  } else {
    response.m_status = 404;
  }
  (void)co_await aExchange.Respond(std::move(response));
}

void
FakeRating::ApplyBehavior(const std::string& aBody)
{
  const json::object body = ParseObject(aBody);
  boost::system::error_code error;
  const std::lock_guard lock(m_lock);
  if (const auto* slow = body.if_contains("slow_ms")) {
    m_options.m_slow = base::Millis(slow->to_number<int64_t>(error));
  }
  if (const auto* wrong = body.if_contains("wrong_rate")) {
    m_options.m_wrongRate = wrong->to_number<double>(error);
  }
  if (const auto* down = body.if_contains("down")) {
    m_down = down->is_bool() && down->as_bool();
  }
  const auto* quality = body.if_contains("quality");
  if (quality != nullptr && quality->is_object()) {
    for (const auto& [version, share] : quality->as_object()) {
      m_options.m_quality[std::string(version)] =
        share.to_number<double>(error);
    }
  }
}

net::Task<void>
FakeRating::Rate(net::HttpExchange& aExchange)
{
  const json::object body = ParseObject(aExchange.Request().m_body);
  const std::string version = StringField(body, "version");
  Verdict verdict;
  base::Millis slow;
  {
    const std::lock_guard lock(m_lock);
    if (m_down) {
      co_return; // the connection closes without a response
    }
    slow = m_options.m_slow;
    verdict = RateAnswer(m_options,
                         StringField(body, "request_id"),
                         version,
                         StringField(body, "answer"));
    Count& count = m_counts[version];
    ++count.m_rated;
    count.m_acceptable += verdict.m_acceptable ? 1 : 0;
  }
  co_await net::Sleep(slow);
  const json::object reply{ { "acceptable", verdict.m_acceptable },
                            { "score", verdict.m_score } };
  net::HttpResponse response(
    200, "application/json", {}, json::serialize(reply));
  (void)co_await aExchange.Respond(std::move(response));
}

std::string
FakeRating::History() const
{
  const std::lock_guard lock(m_lock);
  json::object versions;
  for (const auto& [version, count] : m_counts) {
    versions[version] = json::object{ { "rated", count.m_rated },
                                      { "acceptable", count.m_acceptable } };
  }
  return json::serialize(json::object{ { "versions", versions } });
}

} // namespace fakes
