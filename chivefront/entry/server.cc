// Authentication and routing of callers' requests.
#include "chivefront/entry/server.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "chivefront/base/ids.h"

namespace chivefront::entry {
namespace detail {

// The answer to a request that the HTTP parser refused with aStatus.
net::HttpResponse
ParseErrorResponse(int aStatus, std::string_view aReason)
{
  constexpr int kTooLarge = 413;
  constexpr int kHeadersTooLarge = 431;
  const base::ErrorKind kind =
    aStatus == kTooLarge          ? base::ErrorKind::BodyTooLarge
    : aStatus == kHeadersTooLarge ? base::ErrorKind::BadHeader
                                  : base::ErrorKind::BadRequest;
  net::HttpResponse response =
    ErrorResponse(CallerError(kind, std::string(aReason)),
                  base::RequestId::Random().ToString());
  response.m_status = aStatus;
  return response;
}

} // namespace detail

net::Task<void>
Refuse(EntryComponents& aComponents,
       const std::string& aRequestId,
       const std::string& aTeam,
       const CallerError& aError,
       net::HttpExchange& aExchange)
{
  const std::string kind(base::ErrorName(aError.m_kind));
  aComponents.m_metrics
    .AddCounter("chivefront_entry_refused_total",
                "Requests answered with an error.",
                "kind=\"" + kind + "\"")
    .Increment();
  aComponents.m_events.Record(
    "refused",
    { { "team", aTeam },
      { "kind", kind },
      { "run", std::string(base::kOutcomeNames.Name(aError.m_outcome)) },
      { "message", aError.m_message } },
    aRequestId);
  net::HttpResponse response = ErrorResponse(aError, aRequestId);
  (void)co_await aExchange.Respond(std::move(response));
}

EntryServer::EntryServer(net::asio::io_context& aContext,
                         FlowComponents& aComponents,
                         const net::HttpLimits& aLimits)
  : m_components(aComponents)
  , m_received(aComponents.m_entry.m_metrics.AddCounter(
      "chivefront_entry_requests_total",
      "Requests received from callers."))
  , m_server(
      aContext,
      aLimits,
      [this](net::HttpExchange& aExchange) { return Handle(aExchange); },
      detail::ParseErrorResponse)
{
}

absl::StatusOr<Caller>
EntryServer::Authenticate(const net::HttpRequest& aRequest,
                          std::string aRequestId) const
{
  auto headers = ParseHeaders(aRequest);
  if (!headers.ok()) {
    return headers.status();
  }
  const auto view = m_components.m_entry.m_watcher.FreshView();
  if (!view.ok()) {
    return view.status();
  }
  const catalog::Team* team =
    (*view)->m_catalog->TeamOfKey(headers->m_callerKey);
  if (team == nullptr) {
    return base::MakeError(base::ErrorKind::UnknownTeam,
                           "the caller key is not registered");
  }
  Caller caller;
  caller.m_requestId = std::move(aRequestId);
  caller.m_team = team->m_id;
  caller.m_class = team->m_class == catalog::CallerClass::Paying
                     ? wire::CallerClass::Paying
                     : wire::CallerClass::Free;
  caller.m_headers = std::move(*headers);
  caller.m_receivedAt = m_components.m_entry.m_clock.Now();
  caller.m_deadline =
    caller.m_receivedAt + caller.m_headers.m_deadline.value_or(
                            m_components.m_entry.m_limits.m_deadline);
  return caller;
}

net::Task<void>
EntryServer::ServeModels(const Caller& aCaller, net::HttpExchange& aExchange)
{
  const auto view = m_components.m_entry.m_watcher.LastView();
  boost::json::array models;
  if (const catalog::Team* team = view->m_catalog->FindTeam(aCaller.m_team)) {
    for (const std::string& id : team->m_models) {
      const catalog::Model* model = view->m_catalog->FindModel(id);
      if (model == nullptr || !catalog::CheckVersionAllowed(
                                 *view->m_catalog, team->m_id, model->m_version)
                                 .ok()) {
        continue;
      }
      boost::json::object entry;
      entry["id"] = id;
      entry["object"] = "model";
      entry["owned_by"] = model->m_owner;
      models.push_back(std::move(entry));
    }
  }
  boost::json::object list;
  list["object"] = "list";
  list["data"] = std::move(models);
  net::HttpResponse response;
  response.m_body = boost::json::serialize(list);
  (void)co_await aExchange.Respond(std::move(response));
}

net::Task<void>
EntryServer::Handle(net::HttpExchange& aExchange)
{
  const std::string requestId = base::RequestId::Random().ToString();
  m_received.Increment();
  const auto route = ParseRoute(aExchange.Request());
  auto caller = Authenticate(aExchange.Request(), requestId);
  m_components.m_entry.m_events.Record(
    "request_received",
    { { "team", caller.ok() ? caller->m_team : std::string() },
      { "method", aExchange.Request().m_method },
      { "path", std::string(aExchange.Request().Path()) } },
    requestId);
  const absl::Status refused = !caller.ok() ? caller.status() : route.status();
  if (!refused.ok()) {
    const CallerError error = CallerError::BeforeDispatch(refused);
    co_await Refuse(m_components.m_entry, requestId, "", error, aExchange);
    co_return;
  }
  switch (*route) {
    case Route::Chat:
      co_await ServeChat(m_components, std::move(*caller), aExchange);
      co_return;
    case Route::Service:
      co_await ServeService(m_components, std::move(*caller), aExchange);
      co_return;
    case Route::Models:
      co_await ServeModels(*caller, aExchange);
      co_return;
  }
}

} // namespace chivefront::entry
