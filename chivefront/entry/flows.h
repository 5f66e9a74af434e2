// Handling of one authenticated request, from the checks of its body to the end
// of its answer.
#pragma once

#include <atomic>

#include "chivefront/entry/admission.h"
#include "chivefront/entry/answer_sinks.h"
#include "chivefront/entry/billing.h"
#include "chivefront/entry/caller_request.h"
#include "chivefront/entry/cascade.h"
#include "chivefront/entry/claims.h"
#include "chivefront/entry/evidence.h"
#include "chivefront/entry/sessions.h"

namespace chivefront::entry {

// The components that request flows use in addition to EntryComponents.
struct FlowComponents
{
  explicit FlowComponents(EntryComponents& aComponents)
    : m_entry(aComponents)
    , m_runner(aComponents, m_evidence)
    , m_billing(aComponents)
    , m_claims(aComponents)
    , m_sessions(aComponents)
    , m_teamLimits(aComponents)
    , m_cascadePlanner(aComponents, m_evidence)
  {
  }

  // Applies a new view.
  void OnView(const client::View& aView)
  {
    m_teamLimits.SetLiveEntries(aView.m_liveEntries);
  }

  EntryComponents& m_entry;
  Evidence m_evidence;
  Runner m_runner;
  Billing m_billing;
  Claims m_claims;
  SessionPins m_sessions;
  TeamLimits m_teamLimits;
  CascadePlanner m_cascadePlanner;
};

// What is known of an authenticated request before its body is parsed.
struct Caller
{
  std::string m_requestId;
  std::string m_team;
  wire::CallerClass m_class = wire::CallerClass::Free;
  CallerHeaders m_headers;
  base::TimePoint m_receivedAt;
  base::TimePoint m_deadline;
};

// Serves POST /v1/chat/completions. Always completes aExchange.
net::Task<void>
ServeChat(FlowComponents& aComponents,
          Caller aCaller,
          net::HttpExchange& aExchange);

// Serves /v1/services/<service>/<rest>. Always completes aExchange.
net::Task<void>
ServeService(FlowComponents& aComponents,
             Caller aCaller,
             net::HttpExchange& aExchange);

// Answers the caller with an error, and records it in metrics and event log.
net::Task<void>
Refuse(EntryComponents& aComponents,
       const std::string& aRequestId,
       const std::string& aTeam,
       const CallerError& aError,
       net::HttpExchange& aExchange);

} // namespace chivefront::entry
