// Chooses the upstream of the next attempt of a request, and waits for one.
#include "chivefront/proxy/exchange.h"
#include "chivefront/proxy/load_probe.h"
#include "chivefront/proxy/waiting_request.h"
#include "chivefront/routing/silence.h"

namespace chivefront::proxy {

namespace detail {

// Interval at which a request that waits looks for an upstream.
constexpr base::Millis kPollPeriod{ 15 };
// Upstreams register about once a second, so a new entry knows all of them
// after this time.
constexpr base::Millis kRegistrationDelay{ 3000 };
// A request that waits asks for permits in each poll of control.
constexpr base::Millis kDemandPeriod{ 200 };
// Upstreams that are asked for their load before a request is sent.
constexpr int kMaxProbes = 3;
// Few requests of other entries arrive at an upstream in this time.
constexpr base::Millis kFreshLoad{ 30 };
// Before all new requests, because the caller sees the pause.
constexpr int kResumedStreamPriority = -1;

} // namespace detail

std::string
Exchange::CurrentModel() const
{
  if (m_metadata.m_anyModel && !m_route->m_models.empty()) {
    return m_route->m_models[m_modelIndex];
  }
  return m_metadata.m_model;
}

bool
Exchange::HasLargerModel() const
{
  return m_metadata.m_anyModel && m_modelIndex + 1 < m_route->m_models.size();
}

UpstreamCriteria
Exchange::Criteria() const
{
  UpstreamCriteria criteria;
  criteria.m_service = m_service;
  criteria.m_choice.m_ownDomain = m_shared.m_domain;
  criteria.m_triedUpstreams = m_triedUpstreams;
  const std::string& session = m_metadata.m_sessionId.empty()
                                 ? m_metadata.m_attemptId
                                 : m_metadata.m_sessionId;
  criteria.m_rolloutKey = { routing::StableHash(session),
                            !m_metadata.m_sessionId.empty() };
  // A session leaves the failure domain as a whole.
  criteria.m_choice.m_crossing = {
    static_cast<double>(m_caller->Request().body().size()),
    routing::TicketOf(criteria.m_rolloutKey.m_hash)
  };
  if (m_caller->ResponseStarted()) {
    criteria.m_streamVersion = m_streamVersion;
  }
  const std::string model = CurrentModel();
  criteria.m_choice.m_tokensPerMs =
    m_shared.m_readingPace.TokensPerMs({ m_service->m_name, model });
  criteria.m_choice.m_priority = Priority();
  if (!model.empty()) {
    criteria.m_choice.m_promptTokens = m_metadata.m_promptTokens;
    criteria.m_choice.m_maxAnswerTokens = m_metadata.m_maxAnswerTokens;
  }
  if (m_service->m_engine) {
    criteria.m_choice.m_memoryTokens =
      static_cast<double>(m_service->m_engine->m_cacheTokens);
  }
  for (size_t i = 0; i + 1 < m_metadata.m_promptParts.size(); ++i) {
    const PromptPart& part = m_metadata.m_promptParts[i];
    criteria.m_choice.m_sharedParts.push_back(
      { model + "/" + part.m_id, part.m_tokens });
  }
  return criteria;
}

// The priority of the team, or else of the route; 0 is the most urgent.
int
Exchange::Priority() const
{
  if (m_team != nullptr && m_team->m_priority) {
    return *m_team->m_priority;
  }
  return m_route->m_priority;
}

// Whether an answer may be dropped to ask a larger model: nothing of it has
// reached the caller, and an upstream is available for the larger model.
bool
Exchange::CanEscalate() const
{
  if (!HasLargerModel() || m_caller->ResponseStarted()) {
    return false;
  }
  UpstreamCriteria criteria = Criteria();
  criteria.m_triedUpstreams.clear(); // every upstream may run the larger model
  return m_shared.m_upstreams.HasAvailable(criteria);
}

// A new entry may not know all upstreams yet, because they register about once
// a second; the request may then use half of its time. Later a request waits
// only if upstreams are unavailable for a short time: until a quarter of the
// latency goal has passed, or, in the middle of a stream, for as long as a
// pause is tolerated. It does not wait if it would wait for longer than that:
// for rests that end later, or for request limits that others use up.
bool
Exchange::MayWaitForUpstream(const AvailableUpstreams& aAvailable,
                             base::Millis aExpectedWait,
                             base::TimePoint aSince) const
{
  const base::TimePoint now = m_shared.m_clock.Now();
  if (now - m_shared.m_watch.View().m_configuredAt <
      detail::kRegistrationDelay) {
    return TimeLeft() > (m_deadline - m_receivedAt) / 2;
  }
  if (aAvailable.m_reason == NoUpstreamReason::None) {
    return false;
  }
  if (m_caller->ResponseStarted()) {
    return now + aExpectedWait - aSince <
           routing::StallTimeout(m_route->m_pauseGoal);
  }
  return (now + aExpectedWait - m_receivedAt) * 4 < m_route->m_goal;
}

// Asks the upstreams that would be chosen for their load, until one with a
// fresh report remains the best.
net::Task<void>
Exchange::RefreshLoads(const UpstreamCriteria& aCriteria)
{
  if (m_service->m_healthPath.empty() || CurrentModel().empty() ||
      !m_shared.m_loadProbes.Pay(m_shared.m_clock.Now())) {
    co_return;
  }
  for (int i = 0; i < detail::kMaxProbes; ++i) {
    const UpstreamPointer upstream = m_shared.m_upstreams.Preview(aCriteria);
    const base::TimePoint now = m_shared.m_clock.Now();
    if (!upstream || upstream->m_instance.m_coldUntil > now ||
        upstream->m_estimate.ReportAge(now) < detail::kFreshLoad) {
      co_return;
    }
    // With a single upstream there is nothing to choose, and a probe that fails
    // would leave none.
    UpstreamCriteria others = aCriteria;
    others.m_triedUpstreams.push_back(upstream->m_instance.m_id);
    if (!m_shared.m_upstreams.HasAvailable(others)) {
      co_return;
    }
    co_await ProbeLoad(
      m_shared, upstream, m_service->m_healthPath, m_caller->Executor());
    if (m_abortReason != AbortReason::None) {
      co_return;
    }
    const base::TimePoint after = m_shared.m_clock.Now();
    if (upstream->m_estimate.ReportAge(after) >= detail::kFreshLoad &&
        upstream->m_estimate.BackoffUntil() <= after) {
      co_return; // it told no load, or another request asks it
    }
  }
}

// Chooses an upstream; waits for one if MayWaitForUpstream allows it. Responds
// to the request and returns null if there is none.
net::Task<UpstreamPointer>
Exchange::FindUpstream()
{
  const base::TimePoint startedAt = m_shared.m_clock.Now();
  const int priority =
    m_caller->ResponseStarted() ? detail::kResumedStreamPriority : Priority();
  WaitingRequest waiting(m_shared.m_upstreams.WaitQueueOf(m_service->m_name),
                         priority);
  UpstreamCriteria criteria = Criteria();
  criteria.m_ticket = waiting.Ticket();
  criteria.m_choice.m_random = m_shared.m_upstreams.DrawRandom();
  co_await RefreshLoads(criteria);
  const LoadCounter::Scope waits =
    m_shared.m_loads.CountWaiting(*m_service, m_shared.m_domain);
  base::TimePoint demandAddedAt;
  while (m_abortReason == AbortReason::None) {
    const base::TimePoint now = m_shared.m_clock.Now();
    criteria.m_ticket = waiting.Ticket();
    criteria.m_addsDemand = now - demandAddedAt >= detail::kDemandPeriod;
    if (criteria.m_addsDemand) {
      demandAddedAt = now;
    }
    AvailableUpstreams available;
    UpstreamPointer upstream = m_shared.m_upstreams.Choose(criteria, available);
    if (upstream) {
      co_return upstream;
    }
    const base::Millis expectedWait =
      available.m_reason == NoUpstreamReason::Resting
        ? available.m_restUntil - now
        : waiting.ExpectedWait(available.m_expectedRate);
    const bool mayWait = MayWaitForUpstream(available, expectedWait, startedAt);
    if (criteria.m_streamVersion &&
        (!mayWait || available.m_reason == NoUpstreamReason::None)) {
      criteria.m_streamVersion.reset(); // another version is better than none
      continue;
    }
    if (!mayWait) {
      co_await RespondNoUpstream(available.m_reason, expectedWait);
      break;
    }
    if (available.m_reason == NoUpstreamReason::Limited) {
      waiting.Enter();
    }
    co_await net::Sleep(detail::kPollPeriod);
  }
  co_return nullptr;
}

} // namespace chivefront::proxy
