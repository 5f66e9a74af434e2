// Reads announcements, load and cache reports.
#include "chivefront/agent/upstream_http.h"

#include <boost/json.hpp>

#include "chivefront/base/errors.h"

namespace chivefront::agent {
namespace detail {

namespace json = boost::json;

// An announcement is a few hundred bytes; cache reports are the largest.
constexpr size_t kMaxBodyBytes = 1024 * 1024;

std::string
JsonText(const json::object& aObject, const char* aName)
{
  const json::value* value = aObject.if_contains(aName);
  if (value == nullptr || !value->is_string()) {
    return {};
  }
  return std::string(value->as_string().c_str());
}

uint64_t
JsonNumber(const json::object& aObject, const char* aName)
{
  const json::value* value = aObject.if_contains(aName);
  if (value == nullptr) {
    return 0;
  }
  boost::system::error_code error;
  const auto number = value->to_number<uint64_t>(error);
  return error ? 0 : number;
}

uint32_t
Small(const json::object& aObject, const char* aName)
{
  return static_cast<uint32_t>(
    std::min<uint64_t>(JsonNumber(aObject, aName), UINT32_MAX));
}

absl::Status
Announce(UpstreamEvents& aEvents, const json::object& aBody)
{
  UpstreamFacts facts;
  facts.m_name = JsonText(aBody, "name");
  const std::string kind = JsonText(aBody, "kind");
  if (kind != "model" && kind != "plain") {
    return base::MakeError(base::ErrorKind::BadRequest,
                           "kind must be 'model' or 'plain'");
  }
  facts.m_kind =
    kind == "plain" ? wire::UpstreamKind::Plain : wire::UpstreamKind::Model;
  facts.m_model = JsonText(aBody, "model");
  facts.m_version = JsonText(aBody, "version");
  facts.m_service = JsonText(aBody, "service");
  facts.m_address = JsonText(aBody, "address");
  facts.m_incarnation = JsonText(aBody, "incarnation");
  return aEvents.Announce(
    facts, Small(aBody, "running"), Small(aBody, "queued"));
}

absl::Status
Call(UpstreamEvents& aEvents, std::string_view aPath, const json::object& aBody)
{
  const std::string name = JsonText(aBody, "name");
  if (aPath == "/v1/announce") {
    return Announce(aEvents, aBody);
  }
  if (aPath == "/v1/load") {
    return aEvents.Load(name, Small(aBody, "running"), Small(aBody, "queued"));
  }
  if (aPath == "/v1/cache-events") {
    const json::value* events = aBody.if_contains("events");
    const size_t count =
      events != nullptr && events->is_array() ? events->as_array().size() : 0;
    return aEvents.CacheEvents(name, JsonNumber(aBody, "sequence"), count);
  }
  if (aPath == "/v1/end") {
    return aEvents.End(name);
  }
  return base::MakeError(base::ErrorKind::UnknownRoute, "no such path");
}

net::HttpResponse
ToResponse(const absl::Status& aStatus)
{
  if (aStatus.ok()) {
    return { 200, "application/json", {}, "{}" };
  }
  const base::ErrorKind kind = base::KindOf(aStatus);
  const json::object error{
    { "type", json::string(std::string(base::ErrorName(kind))) },
    { "message", json::string(std::string(base::MessageOf(aStatus))) }
  };
  return { base::HttpStatusOf(kind),
           "application/json",
           {},
           json::serialize(json::object{ { "error", error } }) };
}

net::HttpLimits
Limits()
{
  net::HttpLimits limits;
  limits.m_bodyBytes = kMaxBodyBytes;
  return limits;
}

} // namespace detail

UpstreamHttp::UpstreamHttp(net::asio::io_context& aContext,
                           UpstreamEvents& aEvents)
  : m_events(aEvents)
  , m_server(aContext, detail::Limits(), [this](net::HttpExchange& aExchange) {
    return Handle(aExchange);
  })
{
}

net::Task<void>
UpstreamHttp::Handle(net::HttpExchange& aExchange)
{
  const net::HttpRequest& request = aExchange.Request();
  boost::system::error_code error;
  const detail::json::value body = detail::json::parse(request.m_body, error);
  absl::Status status =
    base::MakeError(base::ErrorKind::BadRequest, "expected a JSON object");
  if (!error && body.is_object() && request.m_method == "POST") {
    status = detail::Call(m_events, request.Path(), body.as_object());
  }
  net::HttpResponse response = detail::ToResponse(status);
  (void)co_await aExchange.Respond(std::move(response));
}

} // namespace chivefront::agent
