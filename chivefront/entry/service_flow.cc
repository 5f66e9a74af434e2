// Requests for plain services: claim, run, answer.
#include <algorithm>

#include "chivefront/base/ids.h"
#include "chivefront/entry/flows.h"

namespace chivefront::entry {
namespace detail {

// One request for a plain service.
class ServiceFlow
{
public:
  ServiceFlow(FlowComponents& aComponents,
              Caller aCaller,
              net::HttpExchange& aExchange)
    : m_components(aComponents)
    , m_caller(std::move(aCaller))
    , m_exchange(aExchange)
  {
  }

  net::Task<void> Serve();

private:
  // Parses the request, checks that the team may call the service, and sets
  // m_spec.
  absl::Status Resolve();
  net::Task<bool> AcquireClaim();
  net::Task<void> Run();
  net::Task<absl::Status> FinishClaim(const RunResult& aResult,
                                      const net::HttpResponse& aResponse);
  net::Task<void> RefuseWith(const CallerError& aError);

  FlowComponents& m_components;
  Caller m_caller;
  net::HttpExchange& m_exchange;
  RunSpec m_spec;
  std::string m_owner; // of the claim
  base::Millis m_retention;
};

net::Task<void>
ServiceFlow::RefuseWith(const CallerError& aError)
{
  return Refuse(m_components.m_entry,
                m_caller.m_requestId,
                m_caller.m_team,
                aError,
                m_exchange);
}

absl::Status
ServiceFlow::Resolve()
{
  const net::HttpRequest& request = m_exchange.Request();
  auto call = ParseService(request);
  if (!call.ok()) {
    return call.status();
  }
  const auto view = m_components.m_entry.m_watcher.FreshView();
  if (!view.ok()) {
    return view.status();
  }
  const catalog::Catalog& catalog = *(*view)->m_catalog;
  if (const absl::Status allowed =
        catalog::CheckServiceAllowed(catalog, m_caller.m_team, call->m_service);
      !allowed.ok()) {
    return allowed;
  }
  const catalog::Service* service = catalog.FindService(call->m_service);
  m_retention = service->m_claimRetention;
  if (!m_caller.m_headers.m_deadline) {
    m_caller.m_deadline = m_caller.m_receivedAt + service->m_deadline;
  }
  m_spec.m_requestId = m_caller.m_requestId;
  m_spec.m_team = m_caller.m_team;
  m_spec.m_class = m_caller.m_class;
  m_spec.m_service = call->m_service;
  m_spec.m_session = m_caller.m_headers.m_session;
  m_spec.m_idempotent =
    service->m_idempotentMethods.count(request.m_method) != 0;
  m_spec.m_fingerprint =
    Fingerprint(m_caller.m_team, request.Path(), request.m_body);
  m_spec.m_deadline = m_caller.m_deadline;
  m_spec.m_method = request.m_method;
  m_spec.m_target = call->m_target;
  m_spec.m_contentType = std::string(request.Header("Content-Type"));
  m_spec.m_body = request.m_body;
  return absl::OkStatus();
}

// Claims the call under its Idempotency-Key. True when the call may be run;
// otherwise the caller has been answered.
net::Task<bool>
ServiceFlow::AcquireClaim()
{
  m_spec.m_claimKey = m_caller.m_headers.m_idempotencyKey;
  m_owner = m_components.m_entry.m_name + "/" + m_spec.m_requestId;
  // Requests with the same key get the same request id, so that agents also
  // find the claim of the call. The first attempt number is random, because the
  // attempt numbers of an earlier run whose claim was released must not be
  // used again.
  m_spec.m_requestId =
    base::RequestId::FromKey(m_spec.m_team, m_spec.m_claimKey).ToString();
  m_caller.m_requestId = m_spec.m_requestId;
  m_spec.m_firstAttempt = static_cast<uint32_t>(base::RandomBits() >> 34U) + 1;
  const std::string whole = m_spec.m_method + " " +
                            m_exchange.Request().m_target + "\n" +
                            m_spec.m_contentType + "\n" + m_spec.m_body;
  const ClaimOutcome outcome = co_await m_components.m_claims.Acquire(
    m_spec, m_owner, base::StableHash(whole), m_retention);
  if (const auto* stored = std::get_if<net::HttpResponse>(&outcome)) {
    net::HttpResponse replay = *stored;
    replay.m_headers.emplace_back("X-Chivefront-Request", m_caller.m_requestId);
    m_components.m_entry.m_events.Record(
      "replayed", { { "team", m_caller.m_team } }, m_caller.m_requestId);
    (void)co_await m_exchange.Respond(std::move(replay));
    co_return false;
  }
  if (const auto* error = std::get_if<CallerError>(&outcome)) {
    co_await RefuseWith(*error);
    co_return false;
  }
  co_return true;
}

net::Task<absl::Status>
ServiceFlow::FinishClaim(const RunResult& aResult,
                         const net::HttpResponse& aResponse)
{
  if (m_spec.m_claimKey.empty()) {
    co_return absl::OkStatus();
  }
  co_return co_await m_components.m_claims.Finish(
    m_spec, m_owner, ClaimStateAfter(aResult), aResponse);
}

net::Task<void>
ServiceFlow::Run()
{
  BufferSink sink(m_components.m_entry.m_limits.m_maxAnswerBytes);
  RunResult result = co_await m_components.m_runner.Run(m_spec, sink);
  net::HttpResponse response;
  if (result.m_done && sink.Overflowed()) {
    // The call was run, so the stored outcome has to say so.
    response =
      ErrorResponse(CallerError(base::ErrorKind::AnswerIncomplete,
                                "the response exceeds the bound of this entry",
                                base::Outcome::Done),
                    m_caller.m_requestId);
  } else if (result.m_done) {
    response.m_status =
      result.m_httpStatus == 0 ? 200 : static_cast<int>(result.m_httpStatus);
    response.m_contentType = result.m_contentType;
    response.m_body = sink.Take();
  }
  const absl::Status finished = co_await FinishClaim(result, response);
  if (!result.m_done) {
    co_await RefuseWith(result.m_error);
    co_return;
  }
  if (!finished.ok()) {
    co_await RefuseWith(
      CallerError(base::ErrorKind::OutcomeUnknown,
                  "the call was run, but its result could not be stored",
                  base::Outcome::Done));
    co_return;
  }
  m_components.m_runner.Settle(m_spec, result);
  response.m_headers.emplace_back("X-Chivefront-Request", m_caller.m_requestId);
  const absl::Status sent = co_await m_exchange.Respond(std::move(response));
  m_components.m_entry.m_events.Record(sent.ok() ? "answered" : "reader_lost",
                                       { { "team", m_caller.m_team },
                                         { "service", m_spec.m_service },
                                         { "upstream", result.m_upstream } },
                                       m_caller.m_requestId);
}

net::Task<void>
ServiceFlow::Serve()
{
  const absl::Status resolved = Resolve();
  if (!resolved.ok()) {
    const CallerError error = CallerError::BeforeDispatch(resolved);
    co_await RefuseWith(error);
    co_return;
  }
  const auto view = m_components.m_entry.m_watcher.LastView();
  const catalog::Team* team = view->m_catalog->FindTeam(m_caller.m_team);
  if (team == nullptr) {
    const CallerError error(base::ErrorKind::UnknownTeam, "the team is gone");
    co_await RefuseWith(error);
    co_return;
  }
  base::Millis retryAfter;
  const auto guard = m_components.m_teamLimits.Admit(*team, 0, retryAfter);
  if (!guard.ok()) {
    CallerError error(guard.status());
    error.m_retryAfter = retryAfter;
    co_await RefuseWith(error);
    co_return;
  }
  if (!m_spec.m_idempotent && !m_caller.m_headers.m_idempotencyKey.empty()) {
    const bool granted = co_await AcquireClaim();
    if (!granted) {
      co_return;
    }
  }
  m_components.m_entry.m_events.Record("routed",
                                       { { "team", m_caller.m_team },
                                         { "service", m_spec.m_service },
                                         { "claim", m_spec.m_claimKey } },
                                       m_caller.m_requestId);
  co_await Run();
}

} // namespace detail

net::Task<void>
ServeService(FlowComponents& aComponents,
             Caller aCaller,
             net::HttpExchange& aExchange)
{
  detail::ServiceFlow flow(aComponents, std::move(aCaller), aExchange);
  co_await flow.Serve();
}

} // namespace chivefront::entry
