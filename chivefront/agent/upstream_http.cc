// Parses the announcements, load reports and cache reports of upstreams.
#include "chivefront/agent/upstream_http.h"

#include <boost/json.hpp>

#include "chivefront/base/errors.h"

namespace chivefront::agent {
namespace detail {

namespace json = boost::json;

// An announcement is a few hundred bytes; cache reports are the largest.
constexpr size_t kMaxBodyBytes = 1024 * 1024;

std::string
JsonString(const json::object& aObject, const char* aName)
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
JsonUint32(const json::object& aObject, const char* aName)
{
  return static_cast<uint32_t>(
    std::min<uint64_t>(JsonNumber(aObject, aName), UINT32_MAX));
}

absl::Status
Announce(UpstreamEvents& aEvents, const json::object& aBody)
{
  UpstreamDescription description;
  description.m_name = JsonString(aBody, "name");
  const std::string kind = JsonString(aBody, "kind");
  if (kind != "model" && kind != "plain") {
    return base::MakeError(base::ErrorKind::BadRequest,
                           "kind must be 'model' or 'plain'");
  }
  description.m_kind =
    kind == "plain" ? wire::UpstreamKind::Plain : wire::UpstreamKind::Model;
  description.m_model = JsonString(aBody, "model");
  description.m_version = JsonString(aBody, "version");
  description.m_service = JsonString(aBody, "service");
  description.m_address = JsonString(aBody, "address");
  description.m_incarnation = JsonString(aBody, "incarnation");
  return aEvents.Announce(
    description, JsonUint32(aBody, "running"), JsonUint32(aBody, "queued"));
}

absl::Status
HandleEvent(UpstreamEvents& aEvents,
            std::string_view aPath,
            const json::object& aBody)
{
  const std::string name = JsonString(aBody, "name");
  if (aPath == "/v1/announce") {
    return Announce(aEvents, aBody);
  }
  if (aPath == "/v1/load") {
    return aEvents.ReportLoad(
      name, JsonUint32(aBody, "running"), JsonUint32(aBody, "queued"));
  }
  if (aPath == "/v1/cache-events") {
    const json::value* events = aBody.if_contains("events");
    const size_t count =
      events != nullptr && events->is_array() ? events->as_array().size() : 0;
    return aEvents.ReportCacheEvents(
      name, JsonNumber(aBody, "sequence"), count);
  }
  if (aPath == "/v1/end") {
    return aEvents.Leave(name);
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

UpstreamHttpServer::UpstreamHttpServer(net::asio::io_context& aContext,
                                       UpstreamEvents& aEvents)
  : m_events(aEvents)
  , m_server(aContext, detail::Limits(), [this](net::HttpExchange& aExchange) {
    return Handle(aExchange);
  })
{
}

net::Task<void>
UpstreamHttpServer::Handle(net::HttpExchange& aExchange)
{
  const net::HttpRequest& request = aExchange.Request();
  boost::system::error_code error;
  const detail::json::value body = detail::json::parse(request.m_body, error);
  absl::Status status =
    base::MakeError(base::ErrorKind::BadRequest, "expected a JSON object");
  if (!error && body.is_object() && request.m_method == "POST") {
    status = detail::HandleEvent(m_events, request.Path(), body.as_object());
  }
  net::HttpResponse response = detail::ToResponse(status);
  (void)co_await aExchange.Respond(std::move(response));
}

} // namespace chivefront::agent
