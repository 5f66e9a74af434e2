// The course of one caller request from its checks to the end of its answer.
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

// The parts that flows use beside those of EntryComponents.
struct FlowComponents
{
  explicit FlowComponents(EntryComponents& aComponents)
    : m_entry(aComponents)
    , m_runner(aComponents, m_evidence)
    , m_billing(aComponents)
    , m_claims(aComponents)
    , m_sessions(aComponents)
    , m_limits(aComponents)
    , m_cascade(aComponents, m_evidence)
  {
  }

  // Takes over what changed in the view.
  void OnView(const client::View& aView)
  {
    m_limits.SetLiveEntries(aView.m_liveEntries);
  }

  EntryComponents& m_entry;
  Evidence m_evidence;
  Runner m_runner;
  Billing m_billing;
  Claims m_claims;
  SessionPins m_sessions;
  TeamLimits m_limits;
  CascadePlanner m_cascade;
};

// An authenticated request before its body is looked at.
struct Caller
{
  std::string m_requestId;
  std::string m_team;
  wire::CallerClass m_class = wire::CallerClass::Free;
  CallerHeaders m_headers;
  base::TimePoint m_receivedAt;
  base::TimePoint m_deadline;
};

// POST /v1/chat/completions. Answers the exchange in every case.
net::Task<void>
ServeChat(FlowComponents& aComponents,
          Caller aCaller,
          net::HttpExchange& aExchange);

// /v1/services/<service>/<rest>. Answers the exchange in every case.
net::Task<void>
ServeService(FlowComponents& aComponents,
             Caller aCaller,
             net::HttpExchange& aExchange);

// Sends a failure to the caller and records it.
net::Task<void>
Refuse(EntryComponents& aComponents,
       const std::string& aRequestId,
       const std::string& aTeam,
       const CallerError& aError,
       net::HttpExchange& aExchange);

} // namespace chivefront::entry
