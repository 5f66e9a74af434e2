// Records what an attempt shows of its request, for usage, the quarantine of
// crashing requests, and the limits and rests that its upstream asks for.
#include "chivefront/proxy/exchange.h"

#include "chivefront/base/ids.h"

namespace chivefront::proxy {
namespace detail {

// The ids of the parts of the prompt that other requests may share.
std::string
JoinSharedParts(const RequestMetadata& aMetadata)
{
  std::string ids;
  for (size_t i = 0; i + 1 < aMetadata.m_promptParts.size(); ++i) {
    ids += (ids.empty() ? "" : ",") + aMetadata.m_promptParts[i].m_id;
  }
  return ids;
}

} // namespace detail

void
Exchange::RecordPromptParts(Upstream& aUpstream) const
{
  const std::string model = CurrentModel();
  for (const PromptPart& part : m_metadata.m_promptParts) {
    aUpstream.m_estimate.OnPromptPartSent(model + "/" + part.m_id,
                                          m_shared.m_clock.Now());
  }
}

// Counts usage: a team's request, when it first begins to run at an upstream.
// It is called when the head of an answer that shows it has been read and its
// body has begun or ended, also by a lost connection. An answer that says that
// the request did not run, or that comes from another upstream than the one
// meant, is no run, and neither is an attempt without an answer. A request that
// is repeated, resumed or escalated does not count again, as it is billed once.
// Requests without a team are not counted.
void
Exchange::RecordBegun()
{
  if (m_shared.m_usage != nullptr && m_team != nullptr && !m_usageCounted) {
    m_usageCounted = true;
    m_shared.m_usage->Record(m_team->m_name);
  }
}

void
Exchange::RecordAnswerBegun()
{
  if (!m_answerBegun) {
    m_answerBegun = true;
    m_answerBegunAt = m_shared.m_clock.Now();
    m_shared.m_crashEvidence.OnBegun(m_sharedParts, m_answerBegunAt);
  }
}

// Records that the upstream still runs the request some time after it began to
// answer.
void
Exchange::RecordSurvival()
{
  const base::TimePoint now = m_shared.m_clock.Now();
  if (m_answerBegun && !m_survivalRecorded &&
      now - m_answerBegunAt >= routing::kSurvivalTime) {
    m_survivalRecorded = true;
    m_shared.m_crashEvidence.OnSurvived(m_sharedParts, now);
  }
}

// Records a whole answer. A resumed attempt has run only the rest of the
// request, so it shows nothing of the upstreams that were lost before.
void
Exchange::RecordAnswered()
{
  if (!m_resumesStream) {
    m_shared.m_crashEvidence.OnAnswered(
      m_sharedParts, m_requestKey, m_shared.m_clock.Now());
  }
}

// Records an attempt whose connection ended before the end of the response, by
// the upstream or because it was left as silent. It counts against the
// upstream's version. If the upstream closed it, the request or a part of its
// prompt may have crashed it, whether the answer had begun or not.
void
Exchange::RecordConnectionLost(Upstream& aUpstream)
{
  CountForVersion(aUpstream, false);
  if (m_leftUpstream) {
    return;
  }
  m_shared.m_crashEvidence.OnLoss(
    { routing::MakeUpstreamKey(aUpstream.m_instance),
      base::StableHash(m_metadata.m_attemptId),
      m_headReceivedAt != base::TimePoint(),
      m_answerBegun,
      m_sentAt,
      m_shared.m_clock.Now() },
    m_sharedParts,
    m_requestKey);
}

// Records the request limit that an answer states, or that it states none. Only
// a request that was sent after the last statement can withdraw it, because
// answers on different connections may overtake each other.
void
Exchange::RecordRequestLimit(Upstream& aUpstream,
                             const std::optional<double>& aPerSecond)
{
  const base::TimePoint heardAt =
    aPerSecond ? m_shared.m_clock.Now() : m_sentAt;
  const routing::LimitChange change =
    m_shared.m_upstreams.RequestLimits().Record(
      { routing::MakeUpstreamKey(aUpstream.m_instance), aPerSecond, heardAt });
  if (change == routing::LimitChange::None) {
    return;
  }
  m_shared.m_log.Record(
    "request_limit_changed",
    base::LogCategory::State,
    { { "upstream", aUpstream.m_instance.m_id },
      { "per_second", aPerSecond ? std::to_string(*aPerSecond) : "none" },
      { "status", static_cast<int64_t>(m_responseStatus) },
      { "sent_before", aUpstream.m_sentWhileLimited },
      { "retries_before", aUpstream.m_retriesWhileLimited } });
  aUpstream.m_sentWhileLimited = 0;
  aUpstream.m_retriesWhileLimited = 0;
}

// Stops sending to an upstream that says that it leaves. Its registration may
// say so only later, or never.
void
Exchange::RecordLeaving(const Upstream& aUpstream)
{
  if (m_shared.m_upstreams.Forget(aUpstream.m_instance)) {
    m_shared.m_log.Record("upstream_leaves",
                          base::LogCategory::State,
                          { { "upstream", aUpstream.m_instance.m_id },
                            { "request", m_metadata.m_attemptId } });
  }
}

// Records that the upstream rejected the request and asked for a rest.
void
Exchange::RecordRest(Upstream& aUpstream, base::Millis aRest)
{
  const base::TimePoint now = m_shared.m_clock.Now();
  m_shared.m_log.Record(
    "upstream_rests",
    base::LogCategory::State,
    { { "request", m_metadata.m_attemptId },
      { "upstream", aUpstream.m_instance.m_id },
      { "for_ms", aRest.Count() },
      { "in_rest", aUpstream.m_estimate.RestUntil() > now ? "yes" : "no" },
      { "sent_in_rest", aUpstream.m_sentWhileResting },
      { "answers_in_rest", aUpstream.m_answersWhileResting } });
  aUpstream.m_estimate.OnRest(now + aRest);
  aUpstream.m_sentWhileResting = 0;
  aUpstream.m_answersWhileResting = 0;
}

void
Exchange::CountSent(Upstream& aUpstream) const
{
  if (aUpstream.m_estimate.RestUntil() > m_shared.m_clock.Now()) {
    ++aUpstream.m_sentWhileResting;
  }
  const routing::UpstreamKey key =
    routing::MakeUpstreamKey(aUpstream.m_instance);
  if (m_shared.m_upstreams.RequestLimits().Find(key)) {
    ++aUpstream.m_sentWhileLimited;
    aUpstream.m_retriesWhileLimited += m_sendCount > 1 ? 1 : 0;
  }
}

void
Exchange::LogFailedAttempt(std::string_view aResult,
                           std::string_view aReason) const
{
  m_shared.m_log.Record(
    "attempt_failed",
    base::LogCategory::Failure,
    { { "request", m_metadata.m_attemptId },
      { "end", aResult },
      { "why", aReason },
      { "upstream", m_lastUpstream },
      { "model", CurrentModel() },
      { "send", static_cast<uint64_t>(m_sendCount) },
      { "took_ms", (m_shared.m_clock.Now() - m_sentAt).Count() },
      { "head", m_headReceivedAt != base::TimePoint() ? "read" : "awaited" },
      { "shared_parts", detail::JoinSharedParts(m_metadata) },
      { "fingerprint", m_requestKey },
      { "last_event", m_eventSplitter.LastId().value_or(0) } });
}

} // namespace chivefront::proxy
